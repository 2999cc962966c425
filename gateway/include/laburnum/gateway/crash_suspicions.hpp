#pragma once

#include "laburnum/gateway/crash_detector.hpp"
#include "laburnum/gateway/served_content.hpp"
#include "laburnum/wire/suspicion.hpp"

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

  /// Sets the function that sends records to the other gateways.
  void setShare(std::function<void(const Records&)> aShare)
  {
    mShare = std::move(aShare);
  }

  /// Records that the response to a request did not become complete, although
  /// the server neither said that it leaves nor that it rejects the request.
  void requestLost(const std::string& aServerId, CrashDetector::Loss aLoss);

  /// Called when a process is listed at an address. Requests that another
  /// process there has lost become suspects.
  void serverStarted(const contract::Address& aAddress,
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

  /// Called when a server is unreachable or was removed (`Unreachable`), or
  /// refuses connections (`Ended`). Requests that were in progress when it was
  /// lost become suspects.
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

  /// How long a request that crashes servers is refused at first.
  static constexpr Duration kRefusalDuration = seconds(60);

  CrashDetector mDetector;
  ServedContent mServed;
  policy::Quarantine mQuarantine{ kRefusalDuration };
  std::function<void(const Records&)> mShare = [](const Records&) {};
};

} // namespace laburnum::gateway
