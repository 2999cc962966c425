#include "laburnum/gateway/crash_watch.hpp"

namespace laburnum::gateway {
namespace {

/// A crash shows within it: a server that sends nothing leaves the list after
/// three heartbeats of 1.2 s, and the list lags by less than a second.
constexpr Duration kEvidenceTime = seconds(5);
/// Losses kept for one server: more than it can have in progress.
constexpr std::size_t kMaxLosses = 64;

} // namespace

void
CrashWatch::lost(const std::string& aServer,
                 std::uint64_t aFingerprint,
                 Instant aNow)
{
  auto& losses = mLosses[aServer];
  std::erase_if(losses, [aNow](const Loss& aLoss) {
    return aNow - aLoss.at > kEvidenceTime;
  });
  if (losses.size() < kMaxLosses) {
    losses.push_back({ .fingerprint = aFingerprint, .at = aNow });
  }
}

void
CrashWatch::answered(const std::string& aServer, Instant aSentAt)
{
  const auto found = mLosses.find(aServer);
  if (found == mLosses.end()) {
    return;
  }
  std::erase_if(found->second,
                [aSentAt](const Loss& aLoss) { return aLoss.at <= aSentAt; });
  if (found->second.empty()) {
    mLosses.erase(found);
  }
}

std::vector<std::uint64_t>
CrashWatch::gone(const std::string& aServer, Instant aNow)
{
  std::vector<std::uint64_t> suspects;
  const auto found = mLosses.find(aServer);
  if (found == mLosses.end()) {
    return suspects;
  }
  for (const Loss& loss : found->second) {
    if (aNow - loss.at <= kEvidenceTime) {
      suspects.push_back(loss.fingerprint);
    }
  }
  mLosses.erase(found);
  return suspects;
}

} // namespace laburnum::gateway
