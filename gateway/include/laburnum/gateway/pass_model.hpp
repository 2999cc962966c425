#pragma once

#include "laburnum/kernel/time.hpp"

#include <optional>

namespace laburnum::gateway {

/// Predicts how long a pass of a group takes with a number of streams, from
/// measured passes. A pass takes a fixed time plus some for each stream; the
/// latter depends on how well the expert map matches the load.
///
/// All times passed in must be non-decreasing. Performs no I/O. Thread safety:
/// loop thread only.
class PassModel
{
public:
  /// Records a pass of aPass with aStreams streams. aWeight is the weight of
  /// the measurement, at most 1. aEmptyPass is the duration without streams.
  void record(Duration aPass,
              double aStreams,
              double aWeight,
              Duration aEmptyPass,
              Instant aNow);

  /// Predicted durations in ms of a pass with one number of streams.
  struct Prediction
  {
    double nowMs = 0; ///< With the present expert map and load.
    double balancedMs =
      0; ///< While the map matches the load, as it mostly does.
  };

  /// Returns nothing if no recent measurement describes the group.
  std::optional<Prediction> predict(double aStreams,
                                    Duration aEmptyPass,
                                    Instant aNow) const;

  /// Returns the number of streams with which a pass takes aMaxMs at most, both
  /// durations of the prediction being within their bound. Nothing if no recent
  /// measurement describes the group.
  std::optional<double> streamsWithin(const Prediction& aMaxMs,
                                      Duration aEmptyPass,
                                      Instant aNow) const;

private:
  double msPerStream(Duration aEmptyPass) const;

  double mPassMs = 0;      ///< Smoothed duration of a pass.
  double mMeanStreams = 0; ///< Smoothed with the same weight as `mPassMs`.
  /// Time that each stream adds to a pass while the expert map matches the
  /// load: the minimum over the last seconds.
  double mBalancedMsPerStream = 0;
  Instant mMeasuredAt{};
};

} // namespace laburnum::gateway
