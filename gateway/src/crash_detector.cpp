#include "laburnum/gateway/crash_detector.hpp"

namespace laburnum::gateway {
namespace {

/// Intervals of heartbeats after the last one at which an entry is removed.
constexpr int kIntervalsToRemoval = 3;
/// Of these, how many the process was silent for at least: it went silent
/// within one interval after its last heartbeat, or a little later.
constexpr double kSilentIntervals = 1.5;
/// Delay with which a removal is read.
constexpr Duration kMaxListDelay = milliseconds(1400);
/// Time within which the end of a process explains a loss: a crashed server is
/// back after some seconds.
constexpr Duration kEndedRetention = seconds(30);
/// Limit of the losses stored per server; more than the requests it can have in
/// progress.
constexpr std::size_t kMaxLossesPerServer = 64;
/// Processes and servers of which something is stored, before those of which
/// nothing was heard lately are dropped.
constexpr std::size_t kMaxProcesses = 4096;

} // namespace

void
CrashDetector::recordLoss(const std::string& aServerId, Loss aLoss)
{
  auto& losses = mLosses[aServerId];
  std::erase_if(losses, [&aLoss](const Loss& aOther) {
    return aLoss.at - aOther.at > kEndedRetention;
  });
  if (losses.size() < kMaxLossesPerServer) {
    losses.push_back(std::move(aLoss));
  }
}

void
CrashDetector::recordActivity(policy::CrashId aProcess, Instant aNow)
{
  mActiveAt[aProcess] = aNow;
  if (mActiveAt.size() > kMaxProcesses) {
    removeOld(aNow);
  }
}

void
CrashDetector::removeOld(Instant aNow)
{
  const auto isOld = [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kEndedRetention;
  };
  std::erase_if(mActiveAt, isOld);
  std::erase_if(mRemovedAt, isOld);
}

Duration
CrashDetector::lossRetention() const
{
  return kIntervalsToRemoval * mHeartbeat + kMaxListDelay;
}

bool
CrashDetector::maySilence(const Loss& aLoss, Instant aRemovedAt) const
{
  const Instant silentSince =
    aRemovedAt - fromSeconds(kSilentIntervals * toSeconds(mHeartbeat));
  const auto active = mActiveAt.find(aLoss.process);
  return aLoss.sentAt <= silentSince &&
         (active == mActiveAt.end() || active->second <= silentSince) &&
         aRemovedAt - aLoss.at <= lossRetention();
}

void
CrashDetector::recordResponse(const std::string& aServerId,
                              policy::CrashId aProcess,
                              Instant aSentAt)
{
  const auto found = mLosses.find(aServerId);
  if (found == mLosses.end()) {
    return;
  }
  std::erase_if(found->second, [&](const Loss& aLoss) {
    return aLoss.process == aProcess && aLoss.at <= aSentAt;
  });
  if (found->second.empty()) {
    mLosses.erase(found);
  }
}

void
CrashDetector::recordReachable(const std::string& aServerId,
                               policy::CrashId aProcess)
{
  const auto found = mLosses.find(aServerId);
  if (found == mLosses.end()) {
    return;
  }
  for (Loss& loss : found->second) {
    loss.needsProof = loss.needsProof || loss.process == aProcess;
  }
}

void
CrashDetector::recordLeaving(const std::string& aServerId)
{
  mLosses.erase(aServerId);
}

template<class Predicate>
CrashDetector::Crashes
CrashDetector::take(std::vector<Loss>& aLosses, Predicate aPredicate)
{
  Crashes crashes;
  std::vector<Loss> others;
  for (Loss& loss : aLosses) {
    if (!aPredicate(loss)) {
      others.push_back(std::move(loss));
      continue;
    }
    Crash& crash =
      crashes.try_emplace(loss.process, Crash{ .at = loss.at }).first->second;
    crash.suspects.push_back(std::move(loss.request));
  }
  aLosses = std::move(others);
  return crashes;
}

CrashDetector::Crashes
CrashDetector::takeCrashes(const std::string& aServerId,
                           Evidence aEvidence,
                           Instant aNow)
{
  if (aEvidence == Evidence::Removed) {
    mRemovedAt[aServerId] = aNow;
    if (mRemovedAt.size() > kMaxProcesses) {
      removeOld(aNow);
    }
  }
  const auto found = mLosses.find(aServerId);
  if (found == mLosses.end()) {
    return {};
  }
  Crashes crashes = take(found->second, [&](Loss& aLoss) {
    if (aEvidence == Evidence::Ended) {
      return aNow - aLoss.at <= kEndedRetention;
    }
    if (!aLoss.needsProof) {
      return aNow - aLoss.at <= lossRetention();
    }
    return aEvidence == Evidence::Removed && takeUncertain(aLoss, aNow);
  });
  if (found->second.empty()) {
    mLosses.erase(found);
  }
  return crashes;
}

bool
CrashDetector::takeUncertain(Loss& aLoss, Instant aRemovedAt) const
{
  if (!maySilence(aLoss, aRemovedAt)) {
    return false;
  }
  // Whoever has served the request since it was sent here shows that it does no
  // harm. Other requests may share its parts.
  aLoss.at = aLoss.sentAt;
  aLoss.request.hasBegun = true;
  aLoss.request.content.parts.clear();
  return true;
}

CrashDetector::Crashes
CrashDetector::takeLostLater(const std::string& aServerId)
{
  const auto found = mLosses.find(aServerId);
  const auto removed = mRemovedAt.find(aServerId);
  if (found == mLosses.end() || removed == mRemovedAt.end()) {
    return {};
  }
  Crashes crashes = take(found->second, [&](Loss& aLoss) {
    return aLoss.needsProof && takeUncertain(aLoss, removed->second);
  });
  if (found->second.empty()) {
    mLosses.erase(found);
  }
  return crashes;
}

std::map<std::string, CrashDetector::Crashes>
CrashDetector::takeEnded(const std::string& aServerId,
                         const contract::Address& aAddress,
                         policy::CrashId aProcess,
                         Instant aNow)
{
  mRemovedAt.erase(aServerId);
  std::map<std::string, Crashes> ended;
  for (auto& entry : mLosses) {
    const std::string& server = entry.first;
    Crashes crashes = take(entry.second, [&](const Loss& aLoss) {
      return (aLoss.address == aAddress || server == aServerId) &&
             aLoss.process != aProcess && aNow - aLoss.at <= kEndedRetention;
    });
    if (!crashes.empty()) {
      ended.emplace(server, std::move(crashes));
    }
  }
  std::erase_if(mLosses,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  return ended;
}

} // namespace laburnum::gateway
