#pragma once

#include "laburnum/contract/object_store.hpp"
#include "laburnum/http/client.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace laburnum::coordination {

/// The write succeeded; the platform gave the object this version.
struct Written
{
  std::uint64_t version = 0;
};
/// The write was rejected because the object has another version.
struct WriteConflict
{
  std::optional<contract::Object> present; ///< Nothing if there is no object.
};
/// The write may or may not have taken effect; read the object to find out.
struct OutcomeUnknown
{
  Failure failure;
};

using WriteOutcome = std::variant<Written, WriteConflict, OutcomeUnknown>;

/// Objects newer than a version, and the platform's version at that time.
struct ObjectList
{
  std::vector<contract::Object> objects;
  std::uint64_t version = 0;
};

/// An entry of the platform's list of instances, which may be out of date.
struct ListedInstance
{
  std::string name;
  bool leaving = false;
};

/// Client of the platform's object API over HTTP, through which daemons read,
/// watch and conditionally write shared objects; docs/INTERFACES.md has the
/// protocol. A call uses one address; after a failure the next call uses the
/// next one. Reads fail with PlatformUnavailable or ObjectNotFound.
/// Thread safety: loop thread.
class ObjectClient
{
public:
  ObjectClient(Loop& aLoop, const std::vector<contract::Address>& aAddresses);

  asio::awaitable<Result<contract::Object>> read(std::string_view aKind,
                                                 std::string_view aName);

  /// All objects of a kind; an empty kind means all kinds that daemons watch.
  asio::awaitable<Result<ObjectList>> list(std::string_view aKind = "");

  /// Objects newer than aAfterVersion, as soon as there is one, or an empty
  /// list after aMaxWait.
  asio::awaitable<Result<ObjectList>> watch(std::uint64_t aAfterVersion,
                                            Duration aMaxWait);

  /// The platform's list of instances, which may be out of date.
  asio::awaitable<Result<std::vector<ListedInstance>>> instances();

  /// Writes an object if its present version is aExpectedVersion; 0 means that
  /// the object must not exist.
  /// @pre The value is JSON of less than a megabyte.
  asio::awaitable<WriteOutcome> write(contract::Object aObject,
                                      std::uint64_t aExpectedVersion);

  /// Deletes an object if its present version is aExpectedVersion.
  asio::awaitable<WriteOutcome> remove(std::string_view aKind,
                                       std::string_view aName,
                                       std::uint64_t aExpectedVersion);

  /// Number of calls made so far.
  std::uint64_t calls() const { return mCalls; }

private:
  asio::awaitable<Result<http::Response>> call(http::Request aRequest,
                                               Duration aTimeout);

  std::vector<std::unique_ptr<http::ClientPool>> mPools; ///< One per address.
  std::size_t mCurrentPool = 0;
  std::uint64_t mCalls = 0;
};

/// Reads an object from its JSON form. Thread safety: any thread.
Result<contract::Object>
parseObject(const boost::json::value& aValue);

/// The JSON form of an object; its value is embedded as JSON.
/// Thread safety: any thread.
/// @pre The value is JSON or empty.
boost::json::object
toJson(const contract::Object& aObject);

} // namespace laburnum::coordination
