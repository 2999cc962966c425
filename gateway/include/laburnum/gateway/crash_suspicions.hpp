#pragma once

#include "laburnum/gateway/crash_detector.hpp"
#include "laburnum/gateway/served_content.hpp"
#include "laburnum/wire/suspicion.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace laburnum::gateway {

/// Finds out, together with the other gateways, which requests or parts of
/// prompts crash backend servers: collects the crashes that this gateway sees
/// and what it has served, and exchanges both.
///
/// Performs no I/O itself. Thread safety: loop thread only.
/// @pre Times passed to the methods never decrease.
class CrashSuspicions
{
public:
  using Records = std::vector<policy::SuspicionRecord>;

  /// `aHeartbeat`: interval of the heartbeats of servers.
  explicit CrashSuspicions(Duration aHeartbeat = milliseconds(1200))
    : mDetector(aHeartbeat)
  {
  }

  /// Sets the function that sends records to the other gateways.
  void setShare(std::function<void(const Records&)> aShare)
  {
    mShare = std::move(aShare);
  }

  /// Records that the response to a request did not become complete, although
  /// the server neither said that it leaves nor that it rejects the request.
  void requestLost(const std::string& aServerId,
                   CrashDetector::Loss aLoss,
                   Instant aNow);

  /// Records that a process sends something.
  void serverActive(policy::CrashId aProcess, Instant aNow)
  {
    mDetector.recordActivity(aProcess, aNow);
  }

  /// Called when a process of a server is listed at an address. Requests that
  /// another process of that server or at that address has lost become
  /// suspects. If the entry of this process was removed and is back, the
  /// process was only silent, and no request has crashed it.
  void serverListed(const std::string& aServerId,
                    const contract::Address& aAddress,
                    policy::CrashId aProcess,
                    Instant aNow);

  /// Records a response to a request that was sent at `aSentAt`: the process
  /// had not crashed by then.
  void serverResponded(const std::string& aServerId,
                       policy::CrashId aProcess,
                       Instant aSentAt);

  /// Records that a process accepts connections.
  void serverReachable(const std::string& aServerId, policy::CrashId aProcess);

  /// Called when a server reports that it is leaving: no request has crashed
  /// it.
  void serverLeaving(const std::string& aServerId);

  /// Called when the entry of a server process was removed. Requests that may
  /// have silenced it become suspects.
  void serverRemoved(const std::string& aServerId,
                     policy::CrashId aProcess,
                     Instant aNow);

  /// Called when a server is unreachable or refuses connections (`Ended`).
  /// Requests that were in progress when it was lost become suspects.
  void serverGone(const std::string& aServerId,
                  CrashDetector::Evidence aEvidence,
                  Instant aNow);

  /// Called when a request ended without a crash.
  void requestEnded(const policy::RequestContent& aRequest, Instant aNow);

  /// Called when a request was answered completely. The begin of a stream is no
  /// evidence: a request may crash its server later.
  void requestServed(const policy::RequestContent& aRequest, Instant aNow);

  /// Merges records from other gateways, and sends them what this gateway has
  /// served. Returns the records that changed something.
  Records merge(const wire::SuspectsT& aMessage, Instant aNow);

  /// All current records, for a peer that may know none of them.
  Records records(Instant aNow) { return mQuarantine.records(aNow); }

  /// Returns the request or the part of its prompt that is refused, if any is.
  std::optional<std::uint64_t> refusedContent(
    const policy::RequestContent& aRequest,
    Instant aNow) const;

  /// Returns for how long a request is refused; 0 if it is not.
  Duration remainingRefusal(const policy::RequestContent& aRequest,
                            Instant aNow) const;

private:
  void recordCrashes(const std::string& aServerId,
                     CrashDetector::Crashes aCrashes,
                     Instant aNow);
  /// Drops what was served after the crash and so did not cause it.
  void removeServedSince(CrashDetector::Crash& aCrash) const;
  void logCrash(const std::string& aServerId,
                const CrashDetector::Crash& aCrash) const;
  /// Sends the other gateways the exoneration of these contents.
  void shareExonerated(const std::vector<std::uint64_t>& aContents) const;
  bool wasServed(std::uint64_t aContent) const
  {
    return mServed.lastServed(aContent).has_value();
  }

  /// Processes whose entry was removed that are remembered.
  static constexpr std::size_t kMaxRemoved = 4096;
  /// How long a request that crashes servers is refused at first.
  static constexpr Duration kRefusalDuration = seconds(60);

  CrashDetector mDetector;
  std::deque<policy::CrashId> mRemoved; ///< Processes, the oldest one first.
  ServedContent mServed;
  policy::Quarantine mQuarantine{ kRefusalDuration };
  std::function<void(const Records&)> mShare = [](const Records&) {};
};

} // namespace laburnum::gateway
