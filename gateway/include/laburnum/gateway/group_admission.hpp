#pragma once

#include "laburnum/gateway/configuration.hpp"

#include <optional>

namespace laburnum::gateway {

struct GroupAdmissionOptions
{
  /// Part of the allowed pause that passes may take. The rest is for the
  /// seconds after other experts come into favour, when a pass takes up to
  /// twice as long until the map follows.
  double gapShare = 0.6;
  /// Streams of this entry that are always let in: the measure needs some.
  double least = 3;
  /// What a refused caller is told to wait at least and at most. Callers
  /// honour up to a third of the time they have left.
  Duration leastWait = milliseconds(500);
  Duration longestWait = milliseconds(2500);
};

/// Bounds the streams of this entry in a group whose servers step together.
/// Every stream gets an event a pass, so the pause between the events of any
/// stream is the time of a pass of the whole group, which grows with its
/// streams. What this entry has let in since the measure is added to it in
/// proportion. Answers the crest, at which one more stream would make all
/// others late, and which comes faster than passes tell of it. Free of I/O.
/// Thread safety: loop thread.
class GroupAdmission
{
public:
  explicit GroupAdmission(GroupAdmissionOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// A pause between two events of a stream was seen, beside so many streams
  /// of this entry. Pre: none.
  void gapSeen(Duration aGap, int aStreams, Instant aNow);

  /// Nothing if a stream may begin beside so many others of this entry, or
  /// how long its caller should wait. aEmptyPass is a pass without streams.
  /// Pre: times never go back.
  std::optional<Duration> refusal(int aStreams,
                                  Duration aAllowedGap,
                                  Duration aEmptyPass,
                                  Instant aNow) const;

  /// The smoothed time of a pass. Pre: none.
  Duration pass() const { return fromSeconds(mPassMs / 1000); }

private:
  GroupAdmissionOptions mOptions;
  double mPassMs = 0;
  double mStreams = 0; ///< Smoothed like the pass.
  Instant mSeenAt{};
};

} // namespace laburnum::gateway
