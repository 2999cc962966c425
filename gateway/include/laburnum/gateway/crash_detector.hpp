#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/kernel/time.hpp"
#include "laburnum/policy/quarantine.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnum::gateway {

/// Distinguishes a crashed server from a lost connection. A process that
/// responds to a request sent after the loss has not crashed, and neither has
/// one that still accepts connections, unless it turns out that it has ended.
/// Without the distinction, network resets while many clients send the same
/// request would quarantine that request as one that crashes servers.
///
/// A process that goes silent may never return at its address. The source of
/// the server list removes its entry after three missing heartbeats. A request
/// then counts if it may have silenced the process: it was sent before the
/// process had missed a heartbeat, and nothing has come from the process since.
/// The process may be cut off all the same, so such a crash is uncertain.
///
/// All times passed in must be non-decreasing. Performs no I/O. Thread safety:
/// loop thread only.
class CrashDetector
{
public:
  /// A request whose response did not become complete.
  struct Loss
  {
    policy::CrashId process = 0; ///< Of the server that it was sent to.
    contract::Address address;   ///< Of the server.
    policy::RequestInProgress request;
    Instant sentAt{};
    Instant at{};
    /// Counts only if the process has ended: the server was silent, or still
    /// accepted connections.
    bool needsProof = false;
  };

  /// `aHeartbeat`: interval of the heartbeats of servers.
  explicit CrashDetector(Duration aHeartbeat = milliseconds(1200))
    : mHeartbeat(aHeartbeat)
  {
  }

  /// Records a loss at a server.
  void recordLoss(const std::string& aServerId, Loss aLoss);

  /// Records that a process sends something.
  void recordActivity(policy::CrashId aProcess, Instant aNow);

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
    Unreachable, ///< It may be cut off.
    Removed,     ///< Its entry was removed; it may be cut off.
    Ended        ///< Its port is closed.
  };

  using Crashes = std::map<policy::CrashId, Crash>; ///< By process.

  /// Called when the server is gone. Returns the requests lost since shortly
  /// before its last heartbeat may have come, or within 30 s if it has ended,
  /// that count by this evidence, and discards them, so that each is reported
  /// once.
  Crashes takeCrashes(const std::string& aServerId,
                      Evidence aEvidence,
                      Instant aNow);

  /// Returns the requests that were lost after the entry of their server had
  /// been removed and count by that, and discards them.
  Crashes takeLostLater(const std::string& aServerId);

  /// Called when a process of a server is listed at an address: any other
  /// process of that server or at that address has ended. Returns the requests
  /// that it has lost within the last 30 s, and discards them.
  std::map<std::string, Crashes> takeEnded(const std::string& aServerId,
                                           const contract::Address& aAddress,
                                           policy::CrashId aProcess,
                                           Instant aNow);

private:
  /// Moves the losses for which the predicate holds to crashes.
  template<class Predicate>
  Crashes take(std::vector<Loss>& aLosses, Predicate aPredicate);

  /// True if the request of a loss may have silenced its process, whose entry
  /// was removed at `aRemovedAt`.
  bool maySilence(const Loss& aLoss, Instant aRemovedAt) const;
  /// Prepares a loss to be taken as an uncertain crash, if it may be one.
  bool takeUncertain(Loss& aLoss, Instant aRemovedAt) const;
  /// Age of losses that the removal of an entry explains.
  Duration lossRetention() const;
  void removeOld(Instant aNow);

  Duration mHeartbeat;
  std::map<std::string, std::vector<Loss>> mLosses;       ///< By server.
  std::map<std::string, Instant> mRemovedAt;              ///< By server.
  std::unordered_map<policy::CrashId, Instant> mActiveAt; ///< By process.
};

} // namespace laburnum::gateway
