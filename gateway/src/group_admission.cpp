#include "laburnum/gateway/group_admission.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// A pass is measured by every stream; the smoothing spans a few passes.
constexpr double kSmoothing = 0.03;
/// A measure older than this says nothing of the group's load now.
constexpr Duration kFresh = milliseconds(1000);

} // namespace

void
GroupAdmission::gapSeen(Duration aGap, Instant aNow)
{
  const double gap = toSeconds(aGap) * 1000;
  const bool isFirst = mPassMs == 0 || aNow - mSeenAt > kFresh;
  mPassMs = isFirst ? gap : mPassMs + kSmoothing * (gap - mPassMs);
  mSeenAt = aNow;
}

std::optional<Duration>
GroupAdmission::refusal(int aStreams, Duration aAllowedGap, Instant aNow) const
{
  if (aStreams < mOptions.least || aAllowedGap == Duration(0) || mPassMs == 0 ||
      aNow - mSeenAt > kFresh) {
    return std::nullopt;
  }
  const double allowed = toSeconds(aAllowedGap) * 1000 * mOptions.gapShare;
  if (mPassMs <= allowed) {
    return std::nullopt;
  }
  const double excess = mPassMs / allowed - 1;
  const auto span = mOptions.longestWait - mOptions.leastWait;
  return mOptions.leastWait +
         fromSeconds(toSeconds(span) * std::min(1.0, excess));
}

} // namespace laburnum::gateway
