#pragma once

#include "laburnum/experts/copy_planner.hpp"
#include "laburnum/experts/held_switch.hpp"

#include <optional>
#include <string>
#include <vector>

namespace laburnum::steward {

struct MapDutyOptions
{
  std::size_t placements = 1;
  std::size_t standby = 1;
  /// Time constants of the loads: the long one evens out chance, the short one
  /// tells soon of another favour.
  Duration memory = milliseconds(900);
  Duration shortMemory = milliseconds(200);
  /// The short view holds if it finds the ranks so much less even.
  double shiftRatio = 1.25;
  Duration settle = milliseconds(200); ///< Of the first counts.
  /// A change is worth it above this part of the time of a pass: passes take
  /// 15 in 100 longer while experts are copied, for half as long as the map
  /// lasts if favour shifts soon.
  double leastGain = 0.07;
  /// A change under way gives place to another one only for this much.
  double leastGainAnew = 0.1;
  Duration copyTime = milliseconds(100); ///< Of one expert to a rank.
  /// Of all copies that one change brings to a rank, at least one. The old map
  /// holds until the last copy is there; two changes of one copy each help
  /// sooner than one of two. 120 ms is the shortest pause between events that
  /// the users' sheets allow.
  Duration longestCopy = milliseconds(120);
  /// Time in which a change is told to all ranks over one link.
  Duration longestTelling = milliseconds(100);
  /// A copy has to lower the largest load of its set by this part of the mean
  /// for each second that it takes.
  double gainPerCopySecond = 0.36;
  double expertRatio = 0.85; ///< Part of a pass that experts take.
  /// A rank whose state is older than this is not counted on.
  Duration fresh = milliseconds(1500);
};

/// A rank's report as the duty takes it in.
struct RankNews
{
  std::size_t rank = 0;
  std::size_t size = 0;
  bool isOpen = false;
  bool knowsMap = false; ///< Its steward holds the whole map in force.
  double pace = 1;       ///< How many times as long as usual its work takes.
  experts::RankState state;
  std::vector<std::vector<std::uint16_t>> experts; ///< In force, by set.
  std::vector<double> counts; ///< Since the last news; may be empty.
};

/// Plans and carries out the maps of one group at the steward to which every
/// other one reports. It acts only while all ranks report, so two of these
/// never act at once: a rank reports to one steward at a time. Answers the
/// load whose favoured experts change every few seconds. Free of I/O.
/// Thread safety: loop thread.
class MapDuty
{
public:
  MapDuty(std::size_t aOwnRank, std::size_t aRanks, MapDutyOptions aOptions);

  /// Takes in a rank's report. Pre: the rank is below the number of ranks.
  void news(const RankNews& aNews, Instant aNow);

  /// True if the report tells the rank's experts, or an earlier one told those
  /// of the same map. A keeper that starts anew knows none. Pre: as above.
  bool knowsExperts(const RankNews& aNews) const;

  /// True if a change can be told to the rank's steward as what differs from
  /// the map in force. Pre: as above.
  bool knowsMap(std::size_t aRank) const;

  /// A rank's steward is no longer in touch. Pre: as above.
  void lost(std::size_t aRank);

  /// The orders to send now. aVersion is a number larger than any given
  /// before, by anyone. Pre: times never go back.
  std::vector<experts::RankOrder> tick(Instant aNow, std::uint64_t aVersion);

  /// True while orders are under way and `tick` is due every few ms.
  bool isBusy() const { return !mSwitch.isIdle(); }

  experts::SwitchPhase phase() const { return mSwitch.phase(); }
  /// The map in force, as of when all ranks were known last. Pre: none.
  const experts::GroupMap& present() const { return mInForce; }

  double skew() const { return mSkew; }
  std::size_t copies() const { return mCopies; }

private:
  struct Rank
  {
    std::optional<RankNews> news;
    Instant at{};
  };
  void addCounts(const RankNews& aNews, Instant aNow);
  bool followShift();
  void plan(Instant aNow, std::uint64_t aVersion);
  experts::CopyPlanOptions copyOptions() const;
  std::vector<double> paces() const;
  double passOf(double aSkews) const;
  Duration tellingTime(std::size_t aCopies) const;
  experts::GroupMap inForce() const;

  std::size_t mOwn;
  MapDutyOptions mOptions;
  experts::HeldSwitch mSwitch;
  std::vector<Rank> mRanks;
  std::vector<std::vector<double>> mLoads;  ///< By set and expert, fading.
  std::vector<std::vector<double>> mRecent; ///< As `mLoads`, fading sooner.
  Instant mFadedAt{};
  Instant mPlannedAt{};
  Instant mCountsSince{};
  experts::GroupMap mInForce; ///< As of when all ranks were known last.
  std::uint64_t mStepAt = 0;
  Instant mStepSeen{};
  Duration mPass = milliseconds(50);
  double mSkew = 1;
  std::size_t mCopies = 0;
};

} // namespace laburnum::steward
