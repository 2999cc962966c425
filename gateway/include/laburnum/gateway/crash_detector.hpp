#pragma once

#include "laburnum/kernel/time.hpp"
#include "laburnum/policy/quarantine.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnum::gateway {

/// Distinguishes a crashed server from a lost connection. A server that
/// responds to a request sent after the loss has not crashed. Without the
/// distinction, network resets while many clients send the same request would
/// quarantine that request as one that crashes servers.
///
/// All times passed in must be non-decreasing. Performs no I/O. Thread safety:
/// loop thread only.
class CrashDetector
{
public:
  /// Records that the connection was lost before the response to a request
  /// began. `aCrash` identifies the process of the server that the request was
  /// sent to.
  void recordLoss(const std::string& aServerId,
                  policy::CrashId aCrash,
                  policy::RequestContent aRequest,
                  Instant aNow);

  /// Records a response to a request sent at `aSentAt`. Losses up to that time
  /// were not crashes and are discarded.
  void recordResponse(const std::string& aServerId, Instant aSentAt);

  /// The end of a server process.
  struct Crash
  {
    Instant at{}; ///< When the first request was lost.
    std::vector<policy::RequestContent> suspects; ///< The requests lost.

    bool operator==(const Crash&) const = default;
  };

  /// Called when the server is unreachable or was removed. Returns the requests
  /// lost within the last 5 s, by process, and discards them, so that each is
  /// reported once.
  std::map<policy::CrashId, Crash> takeCrashes(const std::string& aServerId,
                                               Instant aNow);

private:
  struct Loss
  {
    policy::CrashId crash = 0;
    policy::RequestContent request;
    Instant at{};
  };
  std::map<std::string, std::vector<Loss>> mLosses; ///< By server.
};

} // namespace laburnum::gateway
