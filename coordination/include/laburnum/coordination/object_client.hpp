#pragma once

#include "laburnum/contract/object_store.hpp"
#include "laburnum/http/client.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace laburnum::coordination {

/// The condition was met and the object has the version given by the platform.
struct Written
{
  std::uint64_t version = 0;
};
/// The condition was not met; the present object, if there is one.
struct ConflictWith
{
  std::optional<contract::Object> present;
};
/// Nothing is known: the write may have taken effect. Settle by reading back.
struct ReplyLost
{
  Failure failure;
};

using WriteOutcome = std::variant<Written, ConflictWith, ReplyLost>;

/// Objects newer than a version, and the platform's version as of then.
struct ObjectList
{
  std::vector<contract::Object> objects;
  std::uint64_t version = 0;
};

/// What the platform's lagging list says of an instance.
struct ListedInstance
{
  std::string name;
  bool leaving = false;
};

/// The platform's object API over HTTP; docs/INTERFACES.md has its protocol.
/// Every address is tried in turn. Thread safety: loop thread.
class ObjectClient
{
public:
  ObjectClient(Loop& aLoop, const std::vector<contract::Address>& aAddresses);

  // Reading. Fails with PlatformUnavailable or ObjectNotFound.

  asio::awaitable<Result<contract::Object>> read(std::string_view aKind,
                                                 std::string_view aName);

  /// All objects of a kind; an empty kind means all kinds that daemons follow.
  asio::awaitable<Result<ObjectList>> list(std::string_view aKind = "");

  /// Waits until something newer than a version exists, at most aWait.
  asio::awaitable<Result<ObjectList>> watch(std::uint64_t aAfter,
                                            Duration aWait);

  /// The list of instances, which lags.
  asio::awaitable<Result<std::vector<ListedInstance>>> instances();

  // Writing, on condition that the present version is aExpected; 0 means that
  // no object may be there yet. Pre: the value is JSON below a megabyte.

  asio::awaitable<WriteOutcome> write(contract::Object aObject,
                                      std::uint64_t aExpected);
  asio::awaitable<WriteOutcome> remove(std::string_view aKind,
                                       std::string_view aName,
                                       std::uint64_t aExpected);

  /// Calls made so far. Pre: none.
  std::uint64_t calls() const { return mCalls; }

private:
  asio::awaitable<Result<http::Response>> call(http::Request aRequest,
                                               Duration aTimeout);

  std::vector<std::unique_ptr<http::ClientPool>> mPools;
  std::size_t mNext = 0;
  std::uint64_t mCalls = 0;
};

/// Reads an object from its JSON form. Pre: none. Thread safety: any thread.
Result<contract::Object>
parseObject(const boost::json::value& aValue);

/// The JSON form of an object; `value` is embedded as JSON.
/// Pre: its value is JSON or empty. Thread safety: any thread.
boost::json::object
toJson(const contract::Object& aObject);

} // namespace laburnum::coordination
