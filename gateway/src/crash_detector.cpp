#include "laburnum/gateway/crash_detector.hpp"

namespace laburnum::gateway {
namespace {

/// A crash is detected within this time: a server that sends nothing is removed
/// from the list after three heartbeats of 1.2 s, and the list lags by less
/// than a second.
constexpr Duration kLossRetention = seconds(5);
/// Time within which the end of a process explains a loss: a crashed server is
/// back after some seconds.
constexpr Duration kEndedRetention = seconds(30);
/// Limit of the losses stored per server; more than the requests it can have in
/// progress.
constexpr std::size_t kMaxLossesPerServer = 64;

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
  std::erase_if(aLosses, [&](Loss& aLoss) {
    if (!aPredicate(aLoss)) {
      return false;
    }
    Crash& crash =
      crashes.try_emplace(aLoss.process, Crash{ .at = aLoss.at }).first->second;
    crash.suspects.push_back(std::move(aLoss.request));
    return true;
  });
  return crashes;
}

CrashDetector::Crashes
CrashDetector::takeCrashes(const std::string& aServerId,
                           Evidence aEvidence,
                           Instant aNow)
{
  const auto found = mLosses.find(aServerId);
  if (found == mLosses.end()) {
    return {};
  }
  Crashes crashes = take(found->second, [&](const Loss& aLoss) {
    return aEvidence == Evidence::Ended
             ? aNow - aLoss.at <= kEndedRetention
             : !aLoss.needsProof && aNow - aLoss.at <= kLossRetention;
  });
  if (found->second.empty()) {
    mLosses.erase(found);
  }
  return crashes;
}

std::map<std::string, CrashDetector::Crashes>
CrashDetector::takeEnded(const contract::Address& aAddress,
                         policy::CrashId aProcess,
                         Instant aNow)
{
  std::map<std::string, Crashes> ended;
  for (auto& [server, losses] : mLosses) {
    Crashes crashes = take(losses, [&](const Loss& aLoss) {
      return aLoss.address == aAddress && aLoss.process != aProcess &&
             aNow - aLoss.at <= kEndedRetention;
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
