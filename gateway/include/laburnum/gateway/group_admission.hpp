#pragma once

#include "laburnum/gateway/configuration.hpp"

#include <optional>

namespace laburnum::gateway {

struct GroupAdmissionOptions
{
  /// Part of the allowed pause that a pass may take while the expert map suits
  /// the load. After other experts come into favour a pass takes about twice
  /// as long until the map follows, and then must still be in time.
  double evenShare = 0.7;
  /// Part of the allowed pause that a pass may take at any time.
  double presentShare = 0.92;
  /// Streams of this entry that are always let in: the measure needs some.
  double least = 3;
  /// What a refused caller is told to wait at least and at most. Callers
  /// honour up to a third of the time they have left.
  Duration leastWait = milliseconds(500);
  Duration longestWait = milliseconds(2500);
  /// A group whose streams have all been silent for so long stands still: four
  /// passes of the longest pause between events that the users' sheets allow.
  Duration stalled = milliseconds(600);
  /// Then, what a refused caller is told: ranks that are dead hold up a group
  /// for 1.5 s, and it needs half a second to form anew.
  Duration stalledWait = milliseconds(2000);
};

enum class RefusalCause : std::uint8_t
{
  Crest,      ///< One more stream would make all others late.
  StandsStill ///< No stream of the group goes on.
};

inline constexpr EnumNames<RefusalCause, 2> kRefusalCauseNames{
  { { RefusalCause::Crest, "crest" },
    { RefusalCause::StandsStill, "stands_still" } }
};

struct Refusal
{
  Duration wait{ 0 }; ///< Until the caller should come back.
  RefusalCause cause = RefusalCause::Crest;
};

/// Bounds the streams of this entry in a group whose servers step together.
/// Every stream gets an event a pass, so the pause between the events of any
/// stream is the time of a pass of the whole group, which grows with its
/// streams. What this entry has let in since the measure is added to it in
/// proportion. Answers the crest, at which one more stream would make all
/// others late, and which comes faster than passes tell of it; and the group
/// that stands still, in which callers would wait until they give up. Free of
/// I/O. Thread safety: loop thread.
class GroupAdmission
{
public:
  explicit GroupAdmission(GroupAdmissionOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// A pause between two events of a stream was seen, beside so many streams
  /// of this entry. aEmptyPass is a pass without streams. Pre: none.
  void gapSeen(Duration aGap, int aStreams, Duration aEmptyPass, Instant aNow);

  /// A stream begins beside so many others, or has sent an event.
  /// Pre: times never go back.
  void begun(int aOthers, Instant aNow);
  void progress(Instant aNow) { mProgressAt = aNow; }

  /// Nothing if a stream may begin beside so many others of this entry.
  /// Pre: times never go back.
  std::optional<Refusal> refusal(int aStreams,
                                 Duration aAllowedGap,
                                 Duration aEmptyPass,
                                 Instant aNow) const;

private:
  double predicted(double aMsPerStream,
                   int aStreams,
                   Duration aEmptyPass) const;

  GroupAdmissionOptions mOptions;
  double mPassMs = 0;
  double mStreams = 0; ///< Smoothed like the pass.
  /// What a stream adds to a pass while the map suits the load: the least of
  /// the last seconds.
  double mEvenMsPerStream = 0;
  Instant mSeenAt{};
  /// Of any stream, or of the begin of the first one.
  std::optional<Instant> mProgressAt;
};

} // namespace laburnum::gateway
