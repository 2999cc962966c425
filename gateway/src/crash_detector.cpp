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
                          policy::CrashId aCrash,
                          policy::RequestContent aRequest,
                          Instant aNow)
{
  auto& losses = mLosses[aServerId];
  std::erase_if(losses, [aNow](const Loss& aLoss) {
    return aNow - aLoss.at > kLossRetention;
  });
  if (losses.size() < kMaxLossesPerServer) {
    losses.push_back(
      { .crash = aCrash, .request = std::move(aRequest), .at = aNow });
  }
}

void
CrashDetector::recordResponse(const std::string& aServerId, Instant aSentAt)
{
  const auto found = mLosses.find(aServerId);
  if (found == mLosses.end()) {
    return;
  }
  std::erase_if(found->second,
                [aSentAt](const Loss& aLoss) { return aLoss.at <= aSentAt; });
  if (found->second.empty()) {
    mLosses.erase(found);
  }
}

std::map<policy::CrashId, CrashDetector::Crash>
CrashDetector::takeCrashes(const std::string& aServerId, Instant aNow)
{
  std::map<policy::CrashId, Crash> crashes;
  const auto found = mLosses.find(aServerId);
  if (found == mLosses.end()) {
    return crashes;
  }
  for (const Loss& loss : found->second) {
    if (aNow - loss.at <= kLossRetention) {
      Crash& crash =
        crashes.try_emplace(loss.crash, Crash{ .at = loss.at }).first->second;
      crash.suspects.push_back(loss.request);
    }
  }
  mLosses.erase(found);
  return crashes;
}

} // namespace laburnum::gateway
