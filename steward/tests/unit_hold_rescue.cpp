#include "laburnum/steward/hold_rescue.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::steward;

namespace {

constexpr std::size_t kRanks = 4;
constexpr experts::ArmedMap kArmedMap{ .version = 9, .step = 41 };
/// Age of a state read from another instance.
constexpr Duration kReportDelay = milliseconds(300);
constexpr Duration kTickInterval = milliseconds(30);
/// Clients leave a stream after a pause of two seconds, of which 600 ms pass
/// before the stall is detected.
constexpr Duration kMaxDuration = milliseconds(1400);

/// A group whose third rank holds step 41 because its steward is frozen.
struct RecoveryFixture
{
  HoldRecovery recovery{ kRanks };
  std::vector<experts::RankState> ranks;
  std::vector<std::vector<experts::RankState>> history;
  Instant startedAt{ seconds(100) };
  Instant now = startedAt;

  RecoveryFixture()
    : ranks(
        kRanks,
        { .epoch = 1, .step = 40, .inForce = 3, .prepared = kArmedMap.version })
  {
    ranks[2].held = kArmedMap.step;
  }

  /// Simulates until the step is released or `kMaxDuration` has passed.
  void simulate(std::uint64_t aVersion, const experts::GroupMap& aMap)
  {
    for (; ranks[2].held && now - startedAt < kMaxDuration;
         now += kTickInterval) {
      history.push_back(ranks);
      const auto delayTicks =
        static_cast<std::size_t>(kReportDelay / kTickInterval);
      if (history.size() > delayTicks) {
        for (std::size_t rank = 0; rank < kRanks; ++rank) {
          recovery.updateState(rank,
                               history[history.size() - 1 - delayTicks][rank]);
        }
      }
      for (const auto& order : recovery.tick(now, aVersion, aMap)) {
        if (applyOrder(ranks[order.rank], order.order)) {
          recovery.recordAccepted(order.rank, order.order, now);
        }
      }
    }
  }

  static bool applyOrder(experts::RankState& aState,
                         const experts::EngineOrder& aOrder)
  {
    if (const auto* prepare = std::get_if<experts::PrepareOrder>(&aOrder)) {
      const bool isAccepted =
        !aState.armed && prepare->version > aState.prepared.value_or(0);
      aState.prepared = isAccepted ? prepare->version : aState.prepared;
      return isAccepted;
    }
    if (const auto* arm = std::get_if<experts::ArmOrder>(&aOrder)) {
      const bool isAccepted = aState.prepared == arm->armed.version;
      aState.armed = isAccepted ? std::optional(arm->armed) : aState.armed;
      return isAccepted;
    }
    if (std::holds_alternative<experts::DisarmOrder>(aOrder)) {
      aState.armed.reset();
    } else {
      aState.held.reset();
    }
    return true;
  }

  bool areAllArmed() const
  {
    return std::all_of(ranks.begin(), ranks.end(), [](const auto& aRank) {
      return aRank.armed == kArmedMap;
    });
  }
  bool isNoneArmed() const
  {
    return std::none_of(ranks.begin(), ranks.end(), [](const auto& aRank) {
      return aRank.armed.has_value();
    });
  }
};

} // namespace

TEST_CASE("hold_recovery_holderFrozenWhileArming_completesTheChange")
{
  RecoveryFixture group;
  group.ranks[0].armed = kArmedMap;
  group.simulate(20, {});
  CHECK_FALSE(group.ranks[2].held);
  CHECK(group.areAllArmed());
}

TEST_CASE("hold_recovery_holderFrozenBeforeArming_undoesTheChange")
{
  RecoveryFixture group;
  group.simulate(20, experts::GroupMap(1));
  CHECK_FALSE(group.ranks[2].held);
  CHECK(group.isNoneArmed());
  for (const auto& rank : group.ranks) {
    CHECK(rank.prepared >= 20U);
  }
}

TEST_CASE("hold_recovery_aRankCannotBeArmed_undoesTheChange")
{
  RecoveryFixture group;
  group.ranks[0].armed = kArmedMap;
  group.ranks[1].prepared = 15; // By another backup steward.
  group.simulate(20, experts::GroupMap(1));
  CHECK_FALSE(group.ranks[2].held);
  CHECK(group.isNoneArmed());
}

TEST_CASE("hold_recovery_mapUnknown_doesNotUndoTheChange")
{
  RecoveryFixture group;
  group.simulate(20, {});
  CHECK(group.ranks[2].held);
  CHECK(group.ranks[0].prepared == kArmedMap.version);
}

TEST_CASE("hold_recovery_noRankHolds_givesNoOrders")
{
  RecoveryFixture group;
  group.ranks[2].held.reset();
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    group.recovery.updateState(rank, group.ranks[rank]);
  }
  CHECK(group.recovery.tick(group.now, 20, experts::GroupMap(1)).empty());
  CHECK_FALSE(group.recovery.holder());
}

TEST_CASE("stall_detector_groupStalls_triggersTheFirstBackupFirst")
{
  const Instant start{ seconds(100) };
  for (const auto& [engineIndex, expected] :
       { std::pair<std::size_t, Duration>{ 1, milliseconds(600) },
         { 2, milliseconds(1200) },
         { 0, milliseconds(1200) },
         { 3, milliseconds(2000) } }) {
    StallDetector detector;
    Duration triggeredAfter = milliseconds(2000);
    for (Duration elapsed{ 0 }; elapsed < milliseconds(2000);
         elapsed += milliseconds(100)) {
      if (detector.update(1, 40, true, engineIndex, start + elapsed)) {
        triggeredAfter = std::min(triggeredAfter, elapsed);
      }
    }
    CHECK(triggeredAfter == expected);
  }
}

TEST_CASE("stall_detector_idleOrStepping_doesNotTrigger")
{
  const Instant start{ seconds(100) };
  StallDetector idleGroup;
  StallDetector steppingGroup;
  for (int i = 0; i < 40; ++i) {
    const Instant now = start + milliseconds(100) * i;
    CHECK_FALSE(idleGroup.update(1, 40, false, 1, now));
    CHECK_FALSE(steppingGroup.update(
      1, static_cast<std::uint64_t>(40 + i), true, 1, now));
  }
}
