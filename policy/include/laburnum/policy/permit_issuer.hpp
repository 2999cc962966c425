#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace laburnum::policy {

/// Settings of a `PermitIssuer`.
struct PermitIssuerOptions
{
  /// Time whose unused permits may be issued later.
  Duration maxCredit = milliseconds(500);
  /// Time without use after which a server is forgotten.
  Duration expiry = seconds(60);
};

/// Hands out the requests per second that backend servers accept from all
/// instances together (virtual scheduling, ITU-T I.371). In any span of t
/// seconds, at most rate * (t + maxCredit + longest wait) + 1 permits of a
/// server become valid.
///
/// All times passed in must be non-decreasing. Performs no I/O. Thread safety:
/// one thread per object.
class PermitIssuer
{
public:
  explicit PermitIssuer(PermitIssuerOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Result of a request for a permit.
  struct Reply
  {
    bool isGranted = false;
    /// Granted: time until the permit becomes valid. Otherwise: time after
    /// which it is worth asking again.
    Duration wait{ 0 };
  };

  /// Issues a permit for one request to a server process that becomes valid
  /// within `aMaxWait`, if there is one. `aRate`: requests per second that the
  /// process accepts.
  /// @pre aRate > 0
  Reply request(const std::string& aServerId,
                std::int64_t aStartedMs,
                double aRate,
                Duration aMaxWait,
                Instant aNow);

  /// Number of servers for which permits were issued recently.
  std::size_t size() const { return mSchedules.size(); }

private:
  struct Schedule
  {
    std::int64_t startedMs = 0; ///< Of the server process.
    Duration interval{ 0 };     ///< Between permits, at the present rate.
    Instant nextAt{};           ///< When the next permit becomes valid.
  };
  void removeExpired(Instant aNow);

  PermitIssuerOptions mOptions;
  std::unordered_map<std::string, Schedule> mSchedules; ///< By server.
  Instant mExpiredAt{};
};

} // namespace laburnum::policy
