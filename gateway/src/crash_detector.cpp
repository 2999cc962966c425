#include "laburnum/gateway/crash_detector.hpp"

namespace laburnum::gateway {
namespace {

/// A crash is detected within this time: a server that sends nothing is removed
/// from the list after three heartbeats of 1.2 s, and the list lags by less
/// than a second.
constexpr Duration kLossRetention = seconds(5);
/// Limit of the losses stored per server; more than the requests it can have in
/// progress.
constexpr std::size_t kMaxLossesPerServer = 64;

} // namespace

void
CrashDetector::recordLoss(const std::string& aServerId,
                          policy::CrashId aProcess,
                          policy::RequestInProgress aRequest,
                          Instant aNow)
{
  auto& losses = mLosses[aServerId];
  std::erase_if(losses, [aNow](const Loss& aLoss) {
    return aNow - aLoss.at > kLossRetention;
  });
  if (losses.size() < kMaxLossesPerServer) {
    losses.push_back(
      { .process = aProcess, .request = std::move(aRequest), .at = aNow });
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

std::map<policy::CrashId, CrashDetector::Crash>
CrashDetector::takeCrashes(const std::string& aServerId,
                           Evidence aEvidence,
                           Instant aNow)
{
  std::map<policy::CrashId, Crash> crashes;
  const auto found = mLosses.find(aServerId);
  if (found == mLosses.end()) {
    return crashes;
  }
  std::erase_if(found->second, [&](Loss& aLoss) {
    if (aNow - aLoss.at > kLossRetention) {
      return true;
    }
    if (aLoss.needsProof && aEvidence != Evidence::Ended) {
      return false;
    }
    Crash& crash =
      crashes.try_emplace(aLoss.process, Crash{ .at = aLoss.at }).first->second;
    crash.suspects.push_back(std::move(aLoss.request));
    return true;
  });
  if (found->second.empty()) {
    mLosses.erase(found);
  }
  return crashes;
}

} // namespace laburnum::gateway
