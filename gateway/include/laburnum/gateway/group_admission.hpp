#pragma once

#include "laburnum/gateway/configuration.hpp"

#include <optional>

namespace laburnum::gateway {

struct GroupAdmissionOptions
{
  /// Part of the allowed pause that the passes may take, so that one longer
  /// pass does not make every stream late.
  double gapShare = 0.8;
  /// Streams of this entry that are always let in: the measure needs some.
  int least = 4;
  /// What a refused caller is told to wait at least and at most. Callers
  /// honour up to a third of the time they have left.
  Duration leastWait = milliseconds(500);
  Duration longestWait = milliseconds(2500);
};

/// Bounds the streams of this entry in a group whose servers step together.
/// Every stream gets an event a pass, so the pause between the events of any
/// stream is the time of a pass of the whole group. Answers the crest, at
/// which one more stream would make all others late. Free of I/O.
/// Thread safety: loop thread.
class GroupAdmission
{
public:
  explicit GroupAdmission(GroupAdmissionOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// A pause between two events of a stream was seen. Pre: none.
  void gapSeen(Duration aGap, Instant aNow);

  /// Nothing if a stream may begin beside so many others of this entry, or
  /// how long its caller should wait. Pre: times never go back.
  std::optional<Duration> refusal(int aStreams,
                                  Duration aAllowedGap,
                                  Instant aNow) const;

  /// The smoothed time of a pass. Pre: none.
  Duration pass() const { return fromSeconds(mPassMs / 1000); }

private:
  GroupAdmissionOptions mOptions;
  double mPassMs = 0;
  Instant mSeenAt{};
};

} // namespace laburnum::gateway
