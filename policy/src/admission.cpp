#include "laburnum/policy/admission.hpp"

#include <algorithm>
#include <functional>

namespace laburnum::policy {
namespace {

constexpr Duration kMeasurementWindow = seconds(1);

/// Weight of a new window in the exponential average.
constexpr double kSmoothingFactor = 0.3;

/// Shortest busy time, in seconds of the whole server, for a window to count;
/// an almost idle window says little about throughput.
constexpr double kMinBusySeconds = 0.2;

constexpr double kMinTokensPerSecond = 1;

} // namespace

Duration
expectedWait(std::vector<double> aSlotSeconds,
             std::span<const double> aQueuedSeconds)
{
  const auto byLatest = std::greater<>();
  std::make_heap(aSlotSeconds.begin(), aSlotSeconds.end(), byLatest);
  for (const double seconds : aQueuedSeconds) {
    std::pop_heap(aSlotSeconds.begin(), aSlotSeconds.end(), byLatest);
    aSlotSeconds.back() += seconds;
    std::push_heap(aSlotSeconds.begin(), aSlotSeconds.end(), byLatest);
  }
  return fromSeconds(aSlotSeconds.front());
}

void
ThroughputMeter::advance(Instant aNow)
{
  if (!mStarted) {
    mStarted = true;
    mAdvancedAt = mWindowStart = aNow;
    return;
  }
  mBusySeconds += mBusyShare * toSeconds(aNow - mAdvancedAt);
  mAdvancedAt = aNow;
  if (aNow - mWindowStart < kMeasurementWindow) {
    return;
  }
  if (mBusySeconds > kMinBusySeconds) {
    const double measured = mTokens / mBusySeconds;
    mTokensPerSecond = std::max(
      kMinTokensPerSecond,
      mTokensPerSecond + kSmoothingFactor * (measured - mTokensPerSecond));
  }
  mTokens = 0;
  mBusySeconds = 0;
  mWindowStart = aNow;
}

void
ThroughputMeter::recordTokens(double aTokens, Instant aNow)
{
  advance(aNow);
  mTokens += aTokens;
}

void
ThroughputMeter::setBusySlots(int aBusy, int aSlots, Instant aNow)
{
  advance(aNow);
  mBusyShare = aSlots > 0 ? static_cast<double>(aBusy) / aSlots : 0;
}

} // namespace laburnum::policy
