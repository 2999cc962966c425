#include "laburnum/gateway/group_admission.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// Smoothing factor of the pass duration, over all streams that report the same
/// pass.
constexpr double kPassSmoothing = 0.35;
/// Smoothing factor with which the minimum time per stream rises; takes seconds
/// at usual pass durations.
constexpr double kBalancedSmoothing = 0.02;
/// Older measurements do not describe the current load of the group.
constexpr Duration kMaxMeasurementAge = milliseconds(1000);

double
toMillis(Duration aTime)
{
  return toSeconds(aTime) * 1000;
}

} // namespace

void
GroupAdmission::recordGap(Duration aGap,
                          int aStreams,
                          Duration aEmptyPassTime,
                          Instant aNow)
{
  const double gap = toMillis(aGap);
  const double streams = std::max(1, aStreams);
  if (mPassMs == 0 || aNow - mMeasuredAt > kMaxMeasurementAge) {
    mPassMs = gap;
    mMeanStreams = streams;
  }
  const double weight = kPassSmoothing / streams;
  mPassMs += weight * (gap - mPassMs);
  mMeanStreams += weight * (streams - mMeanStreams);
  const double msPerStream = std::max(0.0, mPassMs - toMillis(aEmptyPassTime)) /
                             std::max(1.0, mMeanStreams);
  if (mBalancedMsPerStream == 0 || msPerStream < mBalancedMsPerStream) {
    mBalancedMsPerStream = msPerStream;
  } else {
    mBalancedMsPerStream +=
      kBalancedSmoothing / streams * (msPerStream - mBalancedMsPerStream);
  }
  mMeasuredAt = aNow;
}

double
GroupAdmission::predictPassMs(double aPassMsPerStream,
                              int aStreams,
                              Duration aEmptyPassTime) const
{
  return toMillis(aEmptyPassTime) + aPassMsPerStream * (aStreams + 1);
}

void
GroupAdmission::streamStarted(int aOtherStreams, Instant aNow)
{
  if (aOtherStreams == 0) {
    mLastProgressAt = aNow;
  }
}

std::optional<Refusal>
GroupAdmission::checkAdmission(int aStreams,
                               Duration aMaxGap,
                               Duration aEmptyPassTime,
                               Instant aNow) const
{
  if (aStreams >= mOptions.minStreams && mLastProgressAt &&
      aNow - *mLastProgressAt >= mOptions.stallTimeout) {
    return Refusal{ .retryAfter = mOptions.stallRetryAfter,
                    .cause = RefusalCause::Stalled };
  }
  if (aStreams < mOptions.minStreams || aMaxGap == Duration(0) ||
      mPassMs == 0 || aNow - mMeasuredAt > kMaxMeasurementAge) {
    return std::nullopt;
  }
  const double maxGapMs = toMillis(aMaxGap);
  const double msPerStream = std::max(0.0, mPassMs - toMillis(aEmptyPassTime)) /
                             std::max(1.0, mMeanStreams);
  const double excess =
    std::max(predictPassMs(msPerStream, aStreams, aEmptyPassTime) /
               (maxGapMs * mOptions.currentGapShare),
             predictPassMs(mBalancedMsPerStream, aStreams, aEmptyPassTime) /
               (maxGapMs * mOptions.balancedGapShare)) -
    1;
  if (excess <= 0) {
    return std::nullopt;
  }
  const auto span = mOptions.maxRetryAfter - mOptions.minRetryAfter;
  return Refusal{ .retryAfter =
                    mOptions.minRetryAfter +
                    fromSeconds(toSeconds(span) * std::min(1.0, excess)) };
}

} // namespace laburnum::gateway
