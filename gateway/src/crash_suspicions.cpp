#include "laburnum/gateway/crash_suspicions.hpp"

#include "laburnum/gateway/fingerprint.hpp"
#include "laburnum/kernel/log.hpp"

#include <algorithm>
#include <boost/json/array.hpp>

namespace laburnum::gateway {

void
CrashSuspicions::requestLost(const std::string& aServerId,
                             CrashDetector::Loss aLoss,
                             Instant aNow)
{
  mDetector.recordLoss(aServerId, std::move(aLoss));
  recordCrashes(aServerId, mDetector.takeLostLater(aServerId), aNow);
}

void
CrashSuspicions::serverListed(const std::string& aServerId,
                              const contract::Address& aAddress,
                              policy::CrashId aProcess,
                              Instant aNow)
{
  for (auto& [server, crashes] :
       mDetector.takeEnded(aServerId, aAddress, aProcess, aNow)) {
    recordCrashes(server, std::move(crashes), aNow);
  }
  if (std::erase(mRemoved, aProcess) > 0) {
    mQuarantine.retractCrash(aProcess);
  }
}

void
CrashSuspicions::serverRemoved(const std::string& aServerId,
                               policy::CrashId aProcess,
                               Instant aNow)
{
  mRemoved.push_back(aProcess);
  if (mRemoved.size() > kMaxRemoved) {
    mRemoved.pop_front();
  }
  serverGone(aServerId, CrashDetector::Evidence::Removed, aNow);
}

void
CrashSuspicions::serverResponded(const std::string& aServerId,
                                 policy::CrashId aProcess,
                                 Instant aSentAt)
{
  mDetector.recordResponse(aServerId, aProcess, aSentAt);
}

void
CrashSuspicions::serverReachable(const std::string& aServerId,
                                 policy::CrashId aProcess)
{
  mDetector.recordReachable(aServerId, aProcess);
}

void
CrashSuspicions::serverLeaving(const std::string& aServerId)
{
  mDetector.recordLeaving(aServerId);
}

void
CrashSuspicions::serverGone(const std::string& aServerId,
                            CrashDetector::Evidence aEvidence,
                            Instant aNow)
{
  recordCrashes(
    aServerId, mDetector.takeCrashes(aServerId, aEvidence, aNow), aNow);
}

void
CrashSuspicions::recordCrashes(const std::string& aServerId,
                               CrashDetector::Crashes aCrashes,
                               Instant aNow)
{
  for (auto& [process, crash] : aCrashes) {
    removeServedSince(crash);
    logCrash(aServerId, crash);
    mShare(mQuarantine.recordCrash(
      process,
      crash.suspects,
      aNow,
      [this](std::uint64_t aContent) { return wasServed(aContent); },
      aNow - crash.at));
  }
}

void
CrashSuspicions::removeServedSince(CrashDetector::Crash& aCrash) const
{
  const auto isInnocent = [this, &aCrash](std::uint64_t aContent) {
    return mServed.lastServed(aContent) > aCrash.at;
  };
  std::erase_if(aCrash.suspects, [&](const auto& aRequest) {
    return isInnocent(aRequest.content.fingerprint);
  });
  for (policy::RequestInProgress& request : aCrash.suspects) {
    std::erase_if(request.content.parts, isInnocent);
  }
}

void
CrashSuspicions::logCrash(const std::string& aServerId,
                          const CrashDetector::Crash& aCrash) const
{
  boost::json::array suspects;
  boost::json::array parts;
  boost::json::array served;
  for (const auto& [request, hasBegun] : aCrash.suspects) {
    suspects.emplace_back(fingerprintText(request.fingerprint));
    for (const std::uint64_t part : request.parts) {
      (wasServed(part) ? served : parts).emplace_back(fingerprintText(part));
    }
  }
  log(LogLevel::Warn,
      "server_crashed",
      { { "server", aServerId },
        { "in_progress", aCrash.suspects.size() },
        { "suspects", std::move(suspects) },
        { "parts", std::move(parts) },
        { "served_parts", std::move(served) } });
}

void
CrashSuspicions::requestEnded(const policy::RequestContent& aRequest,
                              Instant aNow)
{
  if (mQuarantine.clearSuspect(aRequest.fingerprint, aNow)) {
    shareExonerated({ aRequest.fingerprint });
  }
}

void
CrashSuspicions::requestServed(const policy::RequestContent& aRequest,
                               Instant aNow)
{
  // A request with shared parts has one of its own, and so is seen only once.
  const std::vector<std::uint64_t> contents =
    aRequest.parts.empty() ? std::vector{ aRequest.fingerprint }
                           : aRequest.parts;
  std::vector<std::uint64_t> exonerated;
  for (const std::uint64_t content : contents) {
    mServed.record(content, aNow);
    if (mQuarantine.exonerate(content)) {
      exonerated.push_back(content);
    }
  }
  shareExonerated(exonerated);
}

CrashSuspicions::Records
CrashSuspicions::merge(const wire::SuspectsT& aMessage, Instant aNow)
{
  Records changes = wire::mergeSuspicions(mQuarantine, aMessage, aNow);
  std::vector<std::uint64_t> exonerated;
  Records served;
  for (const policy::SuspicionRecord& change : changes) {
    const auto servedAt = mServed.lastServed(change.fingerprint);
    if (change.crashes == 0 || !servedAt) {
      continue;
    }
    if (*servedAt > aNow - change.sinceLastCrash) {
      mQuarantine.exonerate(change.fingerprint);
      exonerated.push_back(change.fingerprint);
    } else if (auto record = mQuarantine.markServed(change.fingerprint, aNow)) {
      served.push_back(std::move(*record));
    }
  }
  shareExonerated(exonerated);
  if (!served.empty()) {
    mShare(served);
  }
  return changes;
}

void
CrashSuspicions::shareExonerated(
  const std::vector<std::uint64_t>& aContents) const
{
  Records records;
  for (const std::uint64_t content : aContents) {
    records.push_back(
      { .fingerprint = content, .remaining = kRefusalDuration });
  }
  if (!records.empty()) {
    mShare(records);
  }
}

std::optional<std::uint64_t>
CrashSuspicions::refusedContent(const policy::RequestContent& aRequest,
                                Instant aNow) const
{
  const auto isRefused = [&](std::uint64_t aContent) {
    return mQuarantine.suspicion(aContent, aNow) == policy::Suspicion::Refused;
  };
  if (isRefused(aRequest.fingerprint)) {
    return aRequest.fingerprint;
  }
  const auto part =
    std::find_if(aRequest.parts.begin(), aRequest.parts.end(), isRefused);
  return part == aRequest.parts.end() ? std::nullopt : std::optional(*part);
}

Duration
CrashSuspicions::remainingRefusal(const policy::RequestContent& aRequest,
                                  Instant aNow) const
{
  Duration longest = mQuarantine.remainingRefusal(aRequest.fingerprint, aNow);
  for (const std::uint64_t part : aRequest.parts) {
    longest = std::max(longest, mQuarantine.remainingRefusal(part, aNow));
  }
  return longest;
}

} // namespace laburnum::gateway
