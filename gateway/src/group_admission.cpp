#include "laburnum/gateway/group_admission.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// Weight of one pass in the smoothed measure, over all streams that tell it.
constexpr double kPassWeight = 0.35;
/// As above, by which the least slope rises: seconds at usual passes.
constexpr double kEvenWeight = 0.02;
/// A measure older than this says nothing of the group's load now.
constexpr Duration kFresh = milliseconds(1000);

double
millisOf(Duration aTime)
{
  return toSeconds(aTime) * 1000;
}

} // namespace

void
GroupAdmission::gapSeen(Duration aGap,
                        int aStreams,
                        Duration aEmptyPass,
                        Instant aNow)
{
  const double gap = millisOf(aGap);
  const double streams = std::max(1, aStreams);
  if (mPassMs == 0 || aNow - mSeenAt > kFresh) {
    mPassMs = gap;
    mStreams = streams;
  }
  const double weight = kPassWeight / streams;
  mPassMs += weight * (gap - mPassMs);
  mStreams += weight * (streams - mStreams);
  const double slope =
    std::max(0.0, mPassMs - millisOf(aEmptyPass)) / std::max(1.0, mStreams);
  if (mEvenMsPerStream == 0 || slope < mEvenMsPerStream) {
    mEvenMsPerStream = slope;
  } else {
    mEvenMsPerStream += kEvenWeight / streams * (slope - mEvenMsPerStream);
  }
  mSeenAt = aNow;
}

double
GroupAdmission::predicted(double aMsPerStream,
                          int aStreams,
                          Duration aEmptyPass) const
{
  return millisOf(aEmptyPass) + aMsPerStream * (aStreams + 1);
}

void
GroupAdmission::begun(int aOthers, Instant aNow)
{
  if (aOthers == 0) {
    mProgressAt = aNow;
  }
}

std::optional<Refusal>
GroupAdmission::refusal(int aStreams,
                        Duration aAllowedGap,
                        Duration aEmptyPass,
                        Instant aNow) const
{
  if (aStreams >= mOptions.least && mProgressAt &&
      aNow - *mProgressAt >= mOptions.stalled) {
    return Refusal{ .wait = mOptions.stalledWait,
                    .cause = RefusalCause::StandsStill };
  }
  if (aStreams < mOptions.least || aAllowedGap == Duration(0) || mPassMs == 0 ||
      aNow - mSeenAt > kFresh) {
    return std::nullopt;
  }
  const double allowed = millisOf(aAllowedGap);
  const double slope =
    std::max(0.0, mPassMs - millisOf(aEmptyPass)) / std::max(1.0, mStreams);
  const double excess =
    std::max(predicted(slope, aStreams, aEmptyPass) /
               (allowed * mOptions.presentShare),
             predicted(mEvenMsPerStream, aStreams, aEmptyPass) /
               (allowed * mOptions.evenShare)) -
    1;
  if (excess <= 0) {
    return std::nullopt;
  }
  const auto span = mOptions.longestWait - mOptions.leastWait;
  return Refusal{ .wait =
                    mOptions.leastWait +
                    fromSeconds(toSeconds(span) * std::min(1.0, excess)) };
}

} // namespace laburnum::gateway
