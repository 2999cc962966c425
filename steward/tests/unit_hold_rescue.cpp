#include "laburnum/steward/hold_rescue.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::steward;

namespace {

constexpr std::size_t kRanks = 4;
constexpr experts::ArmedMap kWanted{ .version = 9, .step = 41 };
/// Age of what is read from afar.
constexpr Duration kLag = milliseconds(300);
constexpr Duration kTick = milliseconds(30);
/// Callers leave a stream after a pause of two seconds, 600 ms of which pass
/// before the stall is seen.
constexpr Duration kBound = milliseconds(1400);

/// A group whose third rank holds step 41, after its holder was frozen.
struct RescueFixture
{
  HoldRescue rescue{ kRanks };
  std::vector<experts::RankState> ranks;
  std::vector<std::vector<experts::RankState>> history;
  Instant begun{ seconds(100) };
  Instant now = begun;

  RescueFixture()
    : ranks(
        kRanks,
        { .epoch = 1, .step = 40, .inForce = 3, .prepared = kWanted.version })
  {
    ranks[2].held = kWanted.step;
  }

  /// Plays until the step is released or the bound is reached.
  void run(std::uint64_t aVersion, const experts::GroupMap& aMap)
  {
    for (; ranks[2].held && now - begun < kBound; now += kTick) {
      history.push_back(ranks);
      const auto old = static_cast<std::size_t>(kLag / kTick);
      if (history.size() > old) {
        for (std::size_t rank = 0; rank < kRanks; ++rank) {
          rescue.seen(rank, history[history.size() - 1 - old][rank]);
        }
      }
      for (const auto& order : rescue.tick(now, aVersion, aMap)) {
        if (obey(ranks[order.rank], order.order)) {
          rescue.accepted(order.rank, order.order, now);
        }
      }
    }
  }

  static bool obey(experts::RankState& aState,
                   const experts::EngineOrder& aOrder)
  {
    if (const auto* prepare = std::get_if<experts::PrepareOrder>(&aOrder)) {
      const bool fits =
        !aState.armed && prepare->version > aState.prepared.value_or(0);
      aState.prepared = fits ? prepare->version : aState.prepared;
      return fits;
    }
    if (const auto* arm = std::get_if<experts::ArmOrder>(&aOrder)) {
      const bool fits = aState.prepared == arm->armed.version;
      aState.armed = fits ? std::optional(arm->armed) : aState.armed;
      return fits;
    }
    if (std::holds_alternative<experts::DisarmOrder>(aOrder)) {
      aState.armed.reset();
    } else {
      aState.held.reset();
    }
    return true;
  }

  bool allArmed() const
  {
    return std::all_of(ranks.begin(), ranks.end(), [](const auto& aRank) {
      return aRank.armed == kWanted;
    });
  }
  bool noneArmed() const
  {
    return std::none_of(ranks.begin(), ranks.end(), [](const auto& aRank) {
      return aRank.armed.has_value();
    });
  }
};

} // namespace

TEST_CASE("hold_rescue_holderFrozenWhileArming_endsTheSwitch")
{
  RescueFixture group;
  group.ranks[0].armed = kWanted;
  group.run(20, {});
  CHECK_FALSE(group.ranks[2].held);
  CHECK(group.allArmed());
}

TEST_CASE("hold_rescue_holderFrozenBeforeArming_undoesTheChange")
{
  RescueFixture group;
  group.run(20, experts::GroupMap(1));
  CHECK_FALSE(group.ranks[2].held);
  CHECK(group.noneArmed());
  for (const auto& rank : group.ranks) {
    CHECK(rank.prepared >= 20U);
  }
}

TEST_CASE("hold_rescue_aRankCannotBeArmed_undoesTheChange")
{
  RescueFixture group;
  group.ranks[0].armed = kWanted;
  group.ranks[1].prepared = 15; // By another deputy.
  group.run(20, experts::GroupMap(1));
  CHECK_FALSE(group.ranks[2].held);
  CHECK(group.noneArmed());
}

TEST_CASE("hold_rescue_mapNotKnown_leavesWhatIsNotArmed")
{
  RescueFixture group;
  group.run(20, {});
  CHECK(group.ranks[2].held);
  CHECK(group.ranks[0].prepared == kWanted.version);
}

TEST_CASE("hold_rescue_noRankHolds_givesNoOrders")
{
  RescueFixture group;
  group.ranks[2].held.reset();
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    group.rescue.seen(rank, group.ranks[rank]);
  }
  CHECK(group.rescue.tick(group.now, 20, experts::GroupMap(1)).empty());
  CHECK_FALSE(group.rescue.holder());
}

TEST_CASE("stall_watch_groupStandsStill_callsTheFirstDeputyFirst")
{
  const Instant start{ seconds(100) };
  for (const auto& [place, expected] :
       { std::pair<std::size_t, Duration>{ 1, milliseconds(600) },
         { 2, milliseconds(1200) },
         { 0, milliseconds(1200) },
         { 3, milliseconds(2000) } }) {
    StallWatch watch;
    Duration called = milliseconds(2000);
    for (Duration at{ 0 }; at < milliseconds(2000); at += milliseconds(100)) {
      if (watch.look(1, 40, true, place, start + at)) {
        called = std::min(called, at);
      }
    }
    CHECK(called == expected);
  }
}

TEST_CASE("stall_watch_idleOrStepping_callsNobody")
{
  const Instant start{ seconds(100) };
  StallWatch idle;
  StallWatch stepping;
  for (int i = 0; i < 40; ++i) {
    const Instant now = start + milliseconds(100) * i;
    CHECK_FALSE(idle.look(1, 40, false, 1, now));
    CHECK_FALSE(
      stepping.look(1, static_cast<std::uint64_t>(40 + i), true, 1, now));
  }
}
