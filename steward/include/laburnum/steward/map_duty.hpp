#pragma once

#include "laburnum/experts/copy_planner.hpp"
#include "laburnum/experts/held_switch.hpp"

#include <optional>
#include <string>
#include <vector>

namespace laburnum::steward {

struct MapControllerOptions
{
  std::size_t slotsPerRank = 1; ///< Experts that fit on a rank, for each set.
  /// Slots of a rank, for each set, into which new experts are copied while the
  /// former map is still in force.
  std::size_t standbySlotsPerRank = 1;
  /// Time constants of the exponentially decaying expert loads. The long one
  /// averages out random variation, the short one shows a shift of the load to
  /// other experts early.
  Duration loadTimeConstant = milliseconds(900);
  Duration recentTimeConstant = milliseconds(200);
  /// The recent loads replace the long-term ones if the skew that they give is
  /// larger by this factor.
  double shiftRatio = 1.25;
  Duration warmup = milliseconds(200); ///< From the first counts to a plan.
  /// Minimum reduction of the pass time, as a fraction, for a change of the
  /// map. Passes take 15 % longer while experts are copied, which lasts for
  /// half of the lifetime of the map if the load shifts again soon.
  double minGain = 0.07;
  /// As above, for a change that replaces one that is still being prepared.
  double minReplacementGain = 0.1;
  Duration copyTime = milliseconds(100); ///< Of one expert to a rank.
  /// Limits the copies to one rank in one change, of which one is always
  /// allowed. The old map stays in force until the last copy is complete, so
  /// two changes of one copy each help sooner than one change of two copies.
  /// 120 ms is the shortest pause between events that the users' data sheets
  /// allow.
  Duration maxCopyTime = milliseconds(120);
  /// Limits the size of a change by the time that it takes to reach all ranks,
  /// over the link of the keeper and that of a relay.
  Duration maxTransferTime = milliseconds(200);
  /// Rate of the link of an instance of a steward.
  double linkBytesPerSecond = 1e6;
  /// Minimum reduction of the largest load of a set by a copy, as a fraction
  /// of the mean load, for each second that the copy takes.
  double minGainPerCopySecond = 0.36;
  double expertRatio = 0.85; ///< Fraction of a pass that experts take.
  /// States of ranks that are older than this are ignored.
  Duration maxStateAge = milliseconds(1500);
};

/// A rank's report in the form that the map controller processes.
struct RankUpdate
{
  std::size_t rank = 0;
  std::size_t groupSize = 0; ///< Number of ranks.
  bool isOpen = false;       ///< The group serves requests.
  /// The rank's steward has the whole map in force, so that a change can be
  /// sent to it as a difference.
  bool hasFullMap = false;
  /// Current processing time divided by the usual one for the same work.
  double slowdown = 1;
  experts::RankState state;
  /// In the map in force, by set; empty if unchanged since an earlier update.
  std::vector<std::vector<std::uint16_t>> experts;
  /// Selections of each expert since the last update, set by set; may be empty.
  std::vector<double> counts;
};

/// Plans the expert maps of one group and the orders that put them in force.
/// Runs in the keeper, the steward to which all others report. Input are the
/// reports of all ranks, output are orders to ranks. It exists because the
/// experts that draw most of the load change every few seconds, so that a
/// fixed map would leave some ranks overloaded. Acts only while every rank
/// reports: as a rank reports to one steward at a time, two controllers never
/// act on a group at once. Performs no I/O. Thread safety: loop thread.
/// @pre Ranks passed to the methods are below aRanks; times never decrease.
class MapController
{
public:
  /// @pre aHoldSteps belongs to the own rank and outlives this object.
  MapController(std::size_t aOwnRank,
                std::size_t aRanks,
                experts::HoldSteps& aHoldSteps,
                MapControllerOptions aOptions);

  void update(const RankUpdate& aUpdate, Instant aNow);

  /// True if the experts of the rank are known, from this update or from an
  /// earlier one for the same map version. A keeper that has just started
  /// knows none.
  bool knowsExperts(const RankUpdate& aUpdate) const;

  /// True if a change can be sent to the rank's steward as the difference from
  /// the map in force.
  bool hasFullMap(std::size_t aRank) const;

  /// Forgets the state of a rank whose steward is no longer connected.
  void removeRank(std::size_t aRank);

  /// Returns the orders to send now.
  /// @pre aVersion is a map version that no order has named, and larger than
  /// all that the ranks have reported.
  std::vector<experts::RankOrder> tick(Instant aNow, std::uint64_t aVersion);

  /// True while a change of the map is in progress, in which `tick` has to be
  /// called every few ms.
  bool isSwitching() const { return !mSwitch.isIdle(); }

  experts::SwitchPhase phase() const { return mSwitch.phase(); }
  /// Map version of the change in progress, or of the last one.
  std::uint64_t changeVersion() const { return mSwitch.version(); }
  /// Smoothed duration of a pass.
  Duration passTime() const { return mPassTime; }
  /// When the own rank was last seen to begin a pass.
  Instant lastStepAt() const { return mLastStepAt; }
  /// The map in force when the states of all ranks were last known.
  const experts::GroupMap& currentMap() const { return mCurrentMap; }

  /// Load of the busiest rank relative to the mean before the last plan,
  /// averaged over the sets.
  double skew() const { return mSkew; }
  /// Copies of experts in the last change that was begun.
  std::size_t plannedCopies() const { return mPlannedCopies; }

private:
  struct Rank
  {
    std::optional<RankUpdate> update;
    Instant updatedAt{};
  };
  /// Measures the duration of passes from the states of the own rank.
  void recordSteps(const experts::RankState& aState, Instant aNow);
  void addCounts(const RankUpdate& aUpdate, Instant aNow);
  /// Replaces the long-term loads by the recent ones if the load has shifted;
  /// returns whether it has.
  bool adoptShiftedLoads();
  void plan(Instant aNow, std::uint64_t aVersion);
  experts::CopyPlanOptions copyOptions() const;
  std::vector<double> slowdowns() const;
  /// Pass time relative to that with even loads. aSkewSum is the sum of the
  /// skews of all sets.
  double relativePassTime(double aSkewSum) const;
  /// Frames with a change that cross the links of the keeper and of a relay,
  /// one after the other.
  double framesPerChange() const;
  /// Time to send a change with this number of copies to all ranks.
  Duration transferTime(std::size_t aCopies) const;
  /// Builds the current map anew if the version in force has changed.
  /// @pre All ranks have reported.
  void updateCurrentMap();
  /// Builds the map in force from the experts that the ranks reported.
  experts::GroupMap assembleMap() const;

  std::size_t mOwnRank;
  MapControllerOptions mOptions;
  const experts::HoldSteps& mHoldSteps;
  experts::HeldSwitch mSwitch;
  std::vector<Rank> mRanks;
  std::vector<std::vector<double>> mLoads; ///< By set and expert, decaying.
  std::vector<std::vector<double>> mRecentLoads; ///< Decaying faster.
  Instant mDecayedAt{};
  Instant mPlannedAt{};
  Instant mFirstCountsAt{};
  experts::GroupMap mCurrentMap; ///< When all ranks were last known.
  /// Epoch and version of `mCurrentMap`, if all ranks had the same.
  std::optional<std::pair<std::uint64_t, std::uint64_t>> mCurrentVersion;
  std::uint64_t mLastStep = 0; ///< Of the own rank.
  Instant mLastStepAt{};
  std::optional<std::uint64_t> mLastHeld; ///< Of the own rank.
  bool mHasWaited = false; ///< At a held step, since `mLastStepAt`.
  double mPassSeconds = 0; ///< Decaying sum, in which `mPasses` were made.
  double mPasses = 0;
  Duration mPassTime = milliseconds(50); ///< Smoothed.
  double mSkew = 1;
  std::size_t mPlannedCopies = 0;
};

} // namespace laburnum::steward
