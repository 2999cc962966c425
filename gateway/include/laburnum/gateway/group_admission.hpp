#pragma once

#include "laburnum/gateway/configuration.hpp"

#include <optional>

namespace laburnum::gateway {

/// Thresholds of `GroupAdmission`.
struct GroupAdmissionOptions
{
  /// Fraction of the maximum gap that a pass may take while the expert map
  /// matches the load. When the popular experts change, a pass takes about
  /// twice as long until the map is updated, and must still be within the
  /// limit.
  double balancedGapShare = 0.7;
  /// Fraction of the maximum gap that a pass may take at any time.
  double currentGapShare = 0.92;
  /// Streams of this gateway that are always admitted; the estimate needs some.
  double minStreams = 3;
  /// Bounds of the retry time sent to a rejected client. Clients wait for up to
  /// a third of the time they have left.
  Duration minRetryAfter = milliseconds(500);
  Duration maxRetryAfter = milliseconds(2500);
  /// A group is stalled if none of its streams had an event for this long: four
  /// passes of the longest allowed gap between events.
  Duration stallTimeout = milliseconds(600);
  /// Retry time sent to clients while a group is stalled: dead ranks block a
  /// group for 1.5 s, and it takes another 0.5 s to re-form.
  Duration stallRetryAfter = milliseconds(2000);
};

/// Why a stream was rejected.
enum class RefusalCause : std::uint8_t
{
  Overloaded, ///< Another stream would delay all streams beyond the limit.
  Stalled     ///< No stream of the group makes progress.
};

inline constexpr EnumNames<RefusalCause, 2> kRefusalCauseNames{
  { { RefusalCause::Overloaded, "crest" },
    { RefusalCause::Stalled, "stands_still" } }
};

/// A rejected stream.
struct Refusal
{
  Duration retryAfter{ 0 }; ///< Time after which the client should retry.
  RefusalCause cause = RefusalCause::Overloaded;
};

/// Limits the streams that this gateway runs in a group of servers that execute
/// passes together. Each stream gets one event per pass, so the gap between the
/// events of any stream is the duration of a pass of the whole group, which
/// grows with its number of streams. The estimate scales the measured duration
/// by the streams admitted since, because load can rise faster than the passes
/// show it.
///
/// Rejects a stream if it would delay all others beyond the limit, or if the
/// group is stalled and clients would wait until they time out.
///
/// All times passed in must be non-decreasing. Performs no I/O. Thread safety:
/// loop thread only.
class GroupAdmission
{
public:
  explicit GroupAdmission(GroupAdmissionOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Records the time between two consecutive events of one stream. `aStreams`
  /// is the number of streams of this gateway in the group, `aEmptyPassTime`
  /// the duration of a pass without streams.
  void recordGap(Duration aGap,
                 int aStreams,
                 Duration aEmptyPassTime,
                 Instant aNow);

  /// Records that a stream started, in addition to `aOtherStreams` others.
  void streamStarted(int aOtherStreams, Instant aNow);
  /// Records that some stream of the group delivered an event.
  void recordProgress(Instant aNow) { mLastProgressAt = aNow; }

  /// Decides whether a stream may start in addition to `aStreams` others of
  /// this gateway. Returns nothing if it may. `aMaxGap` is the maximum time
  /// between events; 0 means no limit.
  std::optional<Refusal> checkAdmission(int aStreams,
                                        Duration aMaxGap,
                                        Duration aEmptyPassTime,
                                        Instant aNow) const;

private:
  double predictPassMs(double aPassMsPerStream,
                       int aStreams,
                       Duration aEmptyPassTime) const;

  GroupAdmissionOptions mOptions;
  double mPassMs = 0;      ///< Smoothed duration of a pass.
  double mMeanStreams = 0; ///< Smoothed with the same weight as `mPassMs`.
  /// Time that each stream adds to a pass while the expert map matches the
  /// load: the minimum over the last seconds.
  double mBalancedMsPerStream = 0;
  Instant mMeasuredAt{};
  /// Last event of any stream, or the start of the first one.
  std::optional<Instant> mLastProgressAt;
};

} // namespace laburnum::gateway
