#include "laburnum/gateway/group_admission.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// Weight of one pass in the smoothed measure, over all streams that tell it.
constexpr double kPassWeight = 0.35;
/// A measure older than this says nothing of the group's load now.
constexpr Duration kFresh = milliseconds(1000);

double
millisOf(Duration aTime)
{
  return toSeconds(aTime) * 1000;
}

} // namespace

void
GroupAdmission::gapSeen(Duration aGap, int aStreams, Instant aNow)
{
  const double gap = millisOf(aGap);
  const double streams = std::max(1, aStreams);
  if (mPassMs == 0 || aNow - mSeenAt > kFresh) {
    mPassMs = gap;
    mStreams = streams;
  } else {
    const double weight = kPassWeight / streams;
    mPassMs += weight * (gap - mPassMs);
    mStreams += weight * (streams - mStreams);
  }
  mSeenAt = aNow;
}

std::optional<Duration>
GroupAdmission::refusal(int aStreams,
                        Duration aAllowedGap,
                        Duration aEmptyPass,
                        Instant aNow) const
{
  if (aStreams < mOptions.least || aAllowedGap == Duration(0) || mPassMs == 0 ||
      aNow - mSeenAt > kFresh) {
    return std::nullopt;
  }
  const double empty = millisOf(aEmptyPass);
  const double allowed = millisOf(aAllowedGap) * mOptions.gapShare;
  const double loaded = std::max(0.0, mPassMs - empty);
  const double predicted =
    empty + loaded * (aStreams + 1) / std::max(1.0, mStreams);
  if (predicted <= allowed) {
    return std::nullopt;
  }
  const double excess = predicted / allowed - 1;
  const auto span = mOptions.longestWait - mOptions.leastWait;
  return mOptions.leastWait +
         fromSeconds(toSeconds(span) * std::min(1.0, excess));
}

} // namespace laburnum::gateway
