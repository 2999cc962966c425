#include "laburnum/gateway/pass_model.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// Smoothing factor of the duration of a pass.
constexpr double kPassSmoothing = 0.35;
/// Smoothing factor with which the minimum time per stream rises; takes seconds
/// at usual pass durations.
constexpr double kBalancedSmoothing = 0.02;
/// Older measurements do not describe the current load of the group.
constexpr Duration kMaxMeasurementAge = milliseconds(1000);
/// Lower bound of the time for each stream when streams are derived from a
/// time.
constexpr double kMinMsPerStream = 1e-3;

double
toMillis(Duration aTime)
{
  return toSeconds(aTime) * 1000;
}

} // namespace

double
PassModel::msPerStream(Duration aEmptyPass) const
{
  return std::max(0.0, mPassMs - toMillis(aEmptyPass)) /
         std::max(1.0, mMeanStreams);
}

void
PassModel::record(Duration aPass,
                  double aStreams,
                  double aWeight,
                  Duration aEmptyPass,
                  Instant aNow)
{
  const double pass = toMillis(aPass);
  if (mPassMs == 0 || aNow - mMeasuredAt > kMaxMeasurementAge) {
    mPassMs = pass;
    mMeanStreams = aStreams;
  }
  mPassMs += kPassSmoothing * aWeight * (pass - mPassMs);
  mMeanStreams += kPassSmoothing * aWeight * (aStreams - mMeanStreams);
  const double current = msPerStream(aEmptyPass);
  if (mBalancedMsPerStream == 0 || current < mBalancedMsPerStream) {
    mBalancedMsPerStream = current;
  } else {
    mBalancedMsPerStream +=
      kBalancedSmoothing * aWeight * (current - mBalancedMsPerStream);
  }
  mMeasuredAt = aNow;
}

std::optional<PassModel::Prediction>
PassModel::predict(double aStreams, Duration aEmptyPass, Instant aNow) const
{
  if (mPassMs == 0 || aNow - mMeasuredAt > kMaxMeasurementAge) {
    return std::nullopt;
  }
  const double empty = toMillis(aEmptyPass);
  return Prediction{ .nowMs = empty + msPerStream(aEmptyPass) * aStreams,
                     .balancedMs = empty + mBalancedMsPerStream * aStreams };
}

std::optional<double>
PassModel::streamsWithin(const Prediction& aMaxMs,
                         Duration aEmptyPass,
                         Instant aNow) const
{
  const auto streams = [&](double aMax, double aPerStream) {
    return std::max(0.0, aMax - toMillis(aEmptyPass)) /
           std::max(aPerStream, kMinMsPerStream);
  };
  if (mPassMs == 0 || aNow - mMeasuredAt > kMaxMeasurementAge) {
    return std::nullopt;
  }
  return std::min(streams(aMaxMs.nowMs, msPerStream(aEmptyPass)),
                  streams(aMaxMs.balancedMs, mBalancedMsPerStream));
}

} // namespace laburnum::gateway
