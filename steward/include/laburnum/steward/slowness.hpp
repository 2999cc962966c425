#pragma once

#include "laburnum/kernel/time.hpp"

#include <optional>

namespace laburnum::steward {

struct SlowdownFilterOptions
{
  /// Slowdowns below this count as 1: the servers of a service differ in speed
  /// by less.
  double slowThreshold = 1.4;
  /// Relative difference up to which two slowdowns count as equal, so that
  /// small changes are not written again.
  double relativeTolerance = 0.25;
  /// Time for which a new value has to persist before it is used; reported
  /// values are some hundred ms old.
  Duration confirmationTime = milliseconds(300);
  /// Minimum time between two writes to the platform's store.
  Duration minWriteInterval = seconds(1);
};

/// Filters the slowdown that an engine reports, which is its current
/// processing time divided by the usual one. Input are the reported values and
/// the value in the platform's store; the results are the confirmed slowdown
/// and the value to write to the store. It exists because a rank that becomes
/// slow for some seconds delays every pass of its group, so the expert map and
/// the gateways have to assign little work to it. Performs no I/O. Thread
/// safety: loop thread.
/// @pre Times passed to the methods never decrease.
class SlowdownFilter
{
public:
  explicit SlowdownFilter(SlowdownFilterOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Processes a slowdown that the engine reported.
  void observe(double aSlowdown, Instant aNow);

  /// The confirmed slowdown; 1 for an engine that is not slow.
  double slowdown() const { return mSlowdown; }

  /// Sets the slowdown of the engine that the store has now.
  void setStored(double aSlowdown) { mStored = aSlowdown; }

  /// Returns the slowdown to write to the store now, if the stored one is out
  /// of date; then starts a new write interval.
  std::optional<double> takeValueToStore(Instant aNow);

private:
  bool isClose(double aLeft, double aRight) const;
  double applyThreshold(double aSlowdown) const;

  SlowdownFilterOptions mOptions;
  double mSlowdown = 1;
  double mCandidate = 1; ///< Not yet confirmed.
  Instant mCandidateAt{};
  double mStored = 1;
  std::optional<Instant> mWrittenAt;
};

} // namespace laburnum::steward
