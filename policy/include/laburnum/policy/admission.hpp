#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace laburnum::policy {

/// Estimates how long a new request would wait for a slot of a backend server.
/// Queued requests are assigned in order to whichever slot is free first.
/// Thread-safe. O(m log n) for m queued requests and n slots.
/// @param aSlotSeconds Seconds until each slot is free; 0 for a free slot.
/// @param aQueuedSeconds Run times of the requests ahead, in queue order.
/// @pre aSlotSeconds is not empty.
Duration
expectedWait(std::vector<double> aSlotSeconds,
             std::span<const double> aQueuedSeconds);

/// Measures the throughput of a backend server, scaled to full occupancy, so
/// that admission can convert predicted tokens to seconds. Samples are taken
/// over windows of one second and averaged exponentially; mostly idle windows
/// are ignored. Not thread-safe; timestamps must not decrease between calls.
class ThroughputMeter
{
public:
  /// @param aInitialTokensPerSecond Estimate to use until the first sample.
  explicit ThroughputMeter(double aInitialTokensPerSecond)
    : mTokensPerSecond(aInitialTokensPerSecond)
  {
  }

  /// Adds output tokens to the current window.
  void recordTokens(double aTokens, Instant aNow);

  /// Sets the number of busy slots from aNow on.
  void setBusySlots(int aBusy, int aSlots, Instant aNow);

  /// Estimated tokens per second of the whole server when all slots are busy.
  double tokensPerSecond() const { return mTokensPerSecond; }

private:
  void advance(Instant aNow);

  double mTokensPerSecond;
  double mTokens = 0;
  double mBusySeconds = 0; ///< Time in this window, weighted by mBusyShare.
  double mBusyShare = 0;   ///< Fraction of the slots that is busy, 0 to 1.
  Instant mAdvancedAt{};
  Instant mWindowStart{};
  bool mStarted = false;
};

} // namespace laburnum::policy
