#pragma once

#include "laburnum/gateway/configuration.hpp"
#include "laburnum/gateway/group_status.hpp"
#include "laburnum/gateway/pass_model.hpp"

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
  /// Streams of this gateway that are always admitted while nobody tells the
  /// state of the group; the estimate needs some.
  double minStreams = 3;
  /// Requests for each slot of the group that are admitted. A few more than
  /// slots, since a slot is free again within a pass or two.
  double maxLoadPerSlot = 1.05;
  /// Bounds of the retry time sent to a rejected client. Clients wait for up to
  /// a third of the time they have left.
  Duration minRetryAfter = milliseconds(500);
  Duration maxRetryAfter = milliseconds(2500);
  /// A group is stalled if none of its streams had an event for this many times
  /// the longest allowed gap between events.
  int stalledGaps = 5;
  /// Retry time sent to clients while a group is stalled: dead ranks block a
  /// group for 1.5 s, and it takes another 0.5 s to re-form.
  Duration stallRetryAfter = milliseconds(2000);
  /// What others told of the group is used up to this age.
  Duration maxStatusAge = milliseconds(1000);
  /// While a group that has just opened is filled, the streams that it takes
  /// in multiples of those that it had when it was measured last.
  double fillFactor = 2;
  /// Measured statuses after which a group that has opened counts as filled.
  int fillStatuses = 10;
  /// Age that reported loads have when they arrive.
  Duration statusDelay = milliseconds(200);
  /// Smoothing factor of the change of a group's streams from status to status.
  double growthSmoothing = 0.5;
};

/// Why a stream was rejected.
enum class RefusalCause : std::uint8_t
{
  Overloaded, ///< Another stream would delay all streams beyond the limit.
  Stalled,    ///< No stream of the group makes progress.
  NoSlot,     ///< All slots are taken; the stream would wait for one.
  HeldBack    ///< The room left is for more urgent streams.
};

inline constexpr EnumNames<RefusalCause, 4> kRefusalCauseNames{
  { { RefusalCause::Overloaded, "crest" },
    { RefusalCause::Stalled, "stands_still" },
    { RefusalCause::NoSlot, "no_slot" },
    { RefusalCause::HeldBack, "held_back" } }
};

/// A rejected stream.
struct Refusal
{
  Duration retryAfter{ 0 }; ///< Time after which the client should retry.
  RefusalCause cause = RefusalCause::Overloaded;
};

/// The group that a stream asks for.
struct GroupDemand
{
  int ownStreams = 0;   ///< Of this gateway in the group, without the newcomer.
  Duration maxGap{ 0 }; ///< Maximum time between events; 0: no limit.
  Duration emptyPass{ 0 }; ///< Duration of a pass without streams.
  int slotsPerRank = 0;    ///< Requests that a rank runs at once; 0: unknown.
  /// Fraction of the limits that applies: less than 1 for accounts that surge
  /// and for work that is less urgent than other work that is expected.
  double limitShare = 1;
  /// Other groups can take streams, so that this one is filled after it opened
  /// at the pace at which its passes are measured.
  bool hasOtherGroups = false;
  /// Fraction of the group's ranks that receive streams: less than 1 while
  /// failure domains are evacuated.
  double offeredShare = 1;
  /// Fraction of the streams that end in a second; 0: unknown. Bounds how far
  /// the streams of a group can have changed since they were reported.
  double turnover = 0;
};

/// State of a group as a gateway knows it.
enum class GroupState : std::uint8_t
{
  Open,
  Stalled, ///< Open, but no pass begins.
  Forming, ///< Serves no requests.
  Untold   ///< No recent status; the gateway knows its own streams only.
};

inline constexpr EnumNames<GroupState, 4> kGroupStateNames{
  { { GroupState::Open, "open" },
    { GroupState::Stalled, "stalled" },
    { GroupState::Forming, "forming" },
    { GroupState::Untold, "untold" } }
};

/// The room in a group for streams with one gap objective.
struct GroupRoom
{
  GroupState state = GroupState::Untold;
  /// Streams now: those reported, and the own change since times the gateways.
  /// Of this gateway only while no status is recent.
  double streams = 0;
  /// As above, with the own change counted once.
  double knownStreams = 0;
  /// Streams that the group can bear for the objective; of this gateway only
  /// while no status is recent. Nothing if neither slots nor passes bound them.
  std::optional<double> bears;
  /// As above by the passes at present, whether or not the expert map matches
  /// the load; to compare groups.
  std::optional<double> bearsNow;
  Duration nextPass{ 0 }; ///< Predicted with one stream more; 0: unknown.
  /// Time until the group is expected to serve requests; 0 if it does.
  Duration opensIn{ 0 };
  int gateways = 1;           ///< That share the group, as last reported.
  Duration age{ 0 };          ///< Of the status; 0 while none is recent.
  double growthPerSecond = 0; ///< Of the streams, as reported.
};

/// Limits the streams in a group of servers that execute passes together. Each
/// stream gets one event per pass, so the gap between the events of any stream
/// is the duration of a pass of the whole group, which grows with its number of
/// streams. Rejects a stream if it would delay all others beyond the limit, if
/// it would wait for a slot, or if the group is stalled and clients would wait
/// until they time out.
///
/// The state of the group is what its stewards tell all gateways. Between two
/// statuses every gateway assumes that the others have admitted and ended as
/// many streams as itself, so that together they fill the room that is left
/// once. While nobody tells, a gateway uses the pass times and the number of
/// its own streams.
///
/// Answers the load patterns of a crest that reaches many gateways at once, and
/// of a group that stalls or forms anew. All times passed in must be
/// non-decreasing. Performs no I/O. Thread safety: loop thread only.
class GroupAdmission
{
public:
  explicit GroupAdmission(GroupAdmissionOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Records what the stewards tell. `aOwnStreams` is the number of streams of
  /// this gateway in the group now.
  void recordStatus(const GroupStatus& aStatus,
                    int aOwnStreams,
                    Duration aEmptyPassTime,
                    Instant aNow);

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

  /// Decides whether a stream may start. Returns nothing if it may.
  std::optional<Refusal> checkAdmission(const GroupDemand& aDemand,
                                        Instant aNow) const;

  /// Returns the room in the group. One account for all decisions under load;
  /// `checkAdmission` follows the same bounds.
  GroupRoom room(const GroupDemand& aDemand, Instant aNow) const;

private:
  struct Told
  {
    GroupStatus status;
    int totalLoad = 0;
    int ownStreams = 0;
    Instant at{};
  };
  std::optional<Refusal> checkByStatus(const GroupDemand& aDemand,
                                       Instant aNow) const;
  std::optional<Refusal> checkByOwnStreams(const GroupDemand& aDemand,
                                           Instant aNow) const;
  std::optional<Refusal> checkPassTime(const PassModel& aModel,
                                       double aStreams,
                                       const GroupDemand& aDemand,
                                       Instant aNow) const;
  bool isFresh(Instant aNow) const
  {
    return mTold && aNow - mTold->at <= mOptions.maxStatusAge;
  }
  bool isStalled(const GroupDemand& aDemand, Instant aNow) const;
  /// Streams now, the own change counted aGateways times.
  double toldStreams(const GroupDemand& aDemand,
                     int aGateways,
                     Instant aNow) const;
  double slotLimit(const GroupDemand& aDemand) const;
  /// Streams that a group that has just opened takes at present.
  std::optional<double> fillLimit(const GroupDemand& aDemand) const;
  const PassModel& groupPasses(const GroupDemand& aDemand) const;
  PassModel::Prediction maxPassMs(const GroupDemand& aDemand) const;
  /// A refusal with a later retry the further the load is above the limit.
  Refusal overload(double aExcess, RefusalCause aCause) const;

  GroupAdmissionOptions mOptions;
  PassModel mOwnPasses;        ///< By the streams of this gateway.
  PassModel mGroupPasses;      ///< By all streams of the group.
  PassModel mEpochPasses;      ///< As above, since the group opened last.
  double mGrowthPerSecond = 0; ///< Of the streams, smoothed.
  int mFillStatusesLeft = 0;   ///< Until the group counts as filled.
  std::optional<Told> mTold;
  /// Last event of any stream, or the start of the first one.
  std::optional<Instant> mLastProgressAt;
};

} // namespace laburnum::gateway
