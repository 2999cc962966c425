#pragma once

#include "laburnum/kernel/time.hpp"
#include "laburnum/policy/quarantine.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnum::gateway {

/// Distinguishes a crashed server from a lost connection. A process that
/// responds to a request sent after the loss has not crashed, and neither has
/// one that still accepts connections, unless it turns out that it has ended.
/// Without the distinction, network resets while many clients send the same
/// request would quarantine that request as one that crashes servers.
///
/// All times passed in must be non-decreasing. Performs no I/O. Thread safety:
/// loop thread only.
class CrashDetector
{
public:
  /// Records that the connection was lost before the response to a request was
  /// complete. `aProcess` identifies the process of the server that the request
  /// was sent to.
  void recordLoss(const std::string& aServerId,
                  policy::CrashId aProcess,
                  policy::RequestInProgress aRequest,
                  Instant aNow);

  /// Records a response to a request sent at `aSentAt`. Losses of the same
  /// process up to that time were not crashes and are discarded.
  void recordResponse(const std::string& aServerId,
                      policy::CrashId aProcess,
                      Instant aSentAt);

  /// Records that a process accepts connections: its losses so far count only
  /// if it is known to have ended.
  void recordReachable(const std::string& aServerId, policy::CrashId aProcess);

  /// Records that a server leaves by plan: its losses were not crashes.
  void recordLeaving(const std::string& aServerId);

  /// The end of a server process.
  struct Crash
  {
    Instant at{}; ///< When the first request was lost.
    std::vector<policy::RequestInProgress> suspects; ///< The requests lost.

    bool operator==(const Crash&) const = default;
  };

  /// How it is known that a server process is gone.
  enum class Evidence : std::uint8_t
  {
    Unreachable, ///< Or no longer listed; it may be cut off.
    Ended        ///< Its port is closed.
  };

  /// Called when the server is gone. Returns the requests lost within the last
  /// 5 s that count by this evidence, by process, and discards them, so that
  /// each is reported once.
  std::map<policy::CrashId, Crash> takeCrashes(const std::string& aServerId,
                                               Evidence aEvidence,
                                               Instant aNow);

private:
  struct Loss
  {
    policy::CrashId process = 0;
    policy::RequestInProgress request;
    Instant at{};
    bool needsProof = false; ///< Counts only if the process has ended.
  };
  std::map<std::string, std::vector<Loss>> mLosses; ///< By server.
};

} // namespace laburnum::gateway
