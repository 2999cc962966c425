#pragma once

#include "laburnum/contract/object_store.hpp"
#include "laburnum/kernel/time.hpp"
#include "laburnum/policy/rate_limiter.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace laburnum::standins {

/// Faults that a test or operator of the stand-in switches on.
struct PlatformFaults
{
  bool outage = false;        ///< Every call fails.
  Duration delay{ 0 };        ///< Added to every call.
  int loseReplies = 0;        ///< So many next writes take effect unanswered.
  double writesPerSecond = 0; ///< 0: no limit.
  double readsPerSecond = 0;
};

struct PlatformCounts
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t refused = 0;
};

/// The objects of the platform's stand-in: versions, conditional updates,
/// tombstones. Free of I/O. Thread safety: loop thread.
class PlatformCore
{
public:
  /// The outcome of a write: the object as it then is, or the present one.
  struct WriteResult
  {
    bool written = false;
    std::optional<contract::Object> object;
  };

  WriteResult write(contract::Object aObject, std::uint64_t aExpected);
  const contract::Object* read(std::string_view aKind,
                               std::string_view aName) const;
  std::vector<contract::Object> newerThan(std::uint64_t aVersion) const;
  std::vector<contract::Object> ofKind(std::string_view aKind) const;
  std::uint64_t version() const { return mVersion; }

  /// Counts a call and tells whether the rate limits let it pass.
  bool admit(bool aIsWrite, Instant aNow);

  PlatformFaults faults;
  PlatformCounts counts;

private:
  std::map<std::pair<std::string, std::string>, contract::Object> mObjects;
  std::map<std::uint64_t, std::pair<std::string, std::string>> mByVersion;
  std::uint64_t mVersion = 0;
  std::optional<policy::TokenBucket> mWrites;
  std::optional<policy::TokenBucket> mReads;
};

} // namespace laburnum::standins
