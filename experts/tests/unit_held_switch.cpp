#include "laburnum/experts/held_switch.hpp"
#include "laburnum/kernel/random.hpp"

#include <catch2/catch.hpp>
#include <deque>

using namespace laburnum;
using namespace laburnum::experts;

namespace {

constexpr std::size_t kRanks = 3;
constexpr Duration kTick = milliseconds(20);
/// States are at most this old, and a holder that starts anew waits longer.
constexpr Duration kOldest = milliseconds(300);
constexpr Duration kQuietStart = milliseconds(400);
constexpr Duration kPass = milliseconds(60);

/// A rank's engine, by the rules that were tried on the users' engines: a newer
/// prepare takes the place of an older one, an armed rank refuses it, orders
/// of the past are refused.
struct FakeRank
{
  RankState state;
  std::uint64_t highest = 0;

  void take(const PrepareOrder& aOrder)
  {
    if (!state.armed && aOrder.version > highest) {
      highest = aOrder.version;
      state.prepared = aOrder.version;
    }
  }
  void take(const ArmOrder& aOrder)
  {
    if (state.prepared == aOrder.armed.version &&
        aOrder.armed.step > state.step) {
      state.armed = aOrder.armed;
    }
  }
  void take(const DisarmOrder& aOrder)
  {
    if (state.armed && state.armed->version == aOrder.version) {
      state.armed.reset();
    }
  }
  void take(const HoldOrder& aOrder)
  {
    if (!state.held && aOrder.step > state.step) {
      state.held = aOrder.step;
    }
  }
  void take(const ReleaseOrder& aOrder)
  {
    if (state.held == aOrder.step) {
      state.held.reset();
    }
  }
  void begin(std::uint64_t aStep)
  {
    state.step = aStep;
    if (state.armed && state.armed->step <= aStep) {
      state.inForce = state.armed->version;
      state.armed.reset();
      state.prepared.reset();
    }
  }
};

struct Weather
{
  double lost = 0;    ///< Orders without an answer.
  double restart = 0; ///< Of the holder, in a tick.
  double unseen = 0;  ///< Reports that do not arrive, in a tick.
  double anew = 0;    ///< A change is replaced while ranks prepare, in a tick.
  HeldSwitchRules rules;
};

struct Outcome
{
  int mixed = 0;
  int changes = 0;
  Duration longestHold{ 0 };
};

/// A group whose engines run the real rules while orders are lost, late by
/// seconds and carried out after newer ones, and the holder starts anew.
class GroupWorld
{
public:
  GroupWorld(std::uint64_t aSeed, Weather aWeather)
    : mRandom(aSeed)
    , mWeather(aWeather)
    , mSwitch(fresh())
  {
    mSeen.resize(kRanks);
  }

  Outcome run(Duration aSpan)
  {
    for (; mNow - Instant{} < aSpan; mNow += kTick) {
      deliverLate();
      pass();
      observe();
      if (mRandom.chance(mWeather.restart)) {
        mSwitch = fresh();
        mQuietUntil = mNow + kQuietStart;
      }
      if (mNow < mQuietUntil) {
        continue;
      }
      const double wish = mSwitch.isIdle() ? 0.05 : mWeather.anew;
      if (mSwitch.mayBegin() && mRandom.chance(wish)) {
        mSwitch.begin(++mVersion, GroupMap(1), mNow);
      }
      for (const RankOrder& order :
           mSwitch.tick(mNow, mSeen, kPass, ++mVersion, GroupMap(1))) {
        give(order);
      }
    }
    return mOutcome;
  }

private:
  HeldSwitch fresh() const
  {
    return HeldSwitch(0, kRanks, { .rules = mWeather.rules });
  }

  void give(const RankOrder& aOrder)
  {
    if (!mRandom.chance(mWeather.lost)) {
      apply(aOrder);
      return;
    }
    const auto late = milliseconds(2000 + mRandom.below(10000));
    mLate.emplace_back(mNow + late, aOrder);
  }

  void apply(const RankOrder& aOrder)
  {
    std::visit([&](const auto& aOne) { mRanks[aOrder.rank].take(aOne); },
               aOrder.order);
  }

  void deliverLate()
  {
    for (auto it = mLate.begin(); it != mLate.end();) {
      if (it->first <= mNow) {
        apply(it->second);
        it = mLate.erase(it);
      } else {
        ++it;
      }
    }
  }

  void pass()
  {
    if (mNow < mNextPass) {
      return;
    }
    const std::uint64_t step = mRanks[0].state.step + 1;
    for (const FakeRank& rank : mRanks) {
      if (rank.state.held && *rank.state.held <= step) {
        mHeldFor += kTick;
        mOutcome.longestHold = std::max(mOutcome.longestHold, mHeldFor);
        return;
      }
    }
    mHeldFor = Duration(0);
    mNextPass = mNow + kPass;
    const std::uint64_t before = mRanks[0].state.inForce;
    for (FakeRank& rank : mRanks) {
      rank.begin(step);
    }
    for (const FakeRank& rank : mRanks) {
      mOutcome.mixed += rank.state.inForce != mRanks[0].state.inForce;
    }
    mOutcome.changes += before != mRanks[0].state.inForce;
  }

  void observe()
  {
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      if (!mRandom.chance(mWeather.unseen)) {
        mSeen[rank] = mRanks[rank].state;
        mSeenAt[rank] = mNow;
      } else if (mNow - mSeenAt[rank] >= kOldest) {
        mSeen[rank].reset();
      }
    }
  }

  Random mRandom;
  Weather mWeather;
  HeldSwitch mSwitch;
  std::array<FakeRank, kRanks> mRanks;
  std::vector<std::optional<RankState>> mSeen;
  std::deque<std::pair<Instant, RankOrder>> mLate;
  std::array<Instant, kRanks> mSeenAt{};
  std::uint64_t mVersion = 0;
  Instant mQuietUntil{};
  Instant mNow{};
  Instant mNextPass{};
  Duration mHeldFor{ 0 };
  Outcome mOutcome;
};

Outcome
runAll(int aSeeds, const Weather& aWeather)
{
  Outcome sum;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    const Outcome one = GroupWorld(seed, aWeather).run(seconds(60));
    sum.mixed += one.mixed;
    sum.changes += one.changes;
    sum.longestHold = std::max(sum.longestHold, one.longestHold);
  }
  return sum;
}

} // namespace

TEST_CASE("held_switch_calm_changesWithoutHoldingAStep")
{
  const Outcome outcome = runAll(5, {});
  CHECK(outcome.mixed == 0);
  CHECK(outcome.changes > 50);
  CHECK(outcome.longestHold <= 2 * kTick);
}

TEST_CASE("held_switch_ordersLateAndHolderRestarts_neverMixesMaps")
{
  const Outcome outcome =
    runAll(2000, { .lost = 0.35, .restart = 0.01, .unseen = 0.5 });
  CHECK(outcome.mixed == 0);
  CHECK(outcome.changes > 300);
}

TEST_CASE("held_switch_changesReplacedWhilePreparing_neverMixesMaps")
{
  const Outcome outcome =
    runAll(500, { .lost = 0.35, .restart = 0.01, .unseen = 0.5, .anew = 0.1 });
  CHECK(outcome.mixed == 0);
  CHECK(outcome.changes > 100);
}

TEST_CASE("held_switch_releasedBeforeAllAreArmed_mixesMaps")
{
  const Outcome outcome =
    runAll(50, { .lost = 0.35, .rules = { .waitsForAll = false } });
  CHECK(outcome.mixed > 0);
}

TEST_CASE("held_switch_undoneByDisarmingOnly_mixesMaps")
{
  const Outcome outcome = runAll(
    300, { .lost = 0.5, .restart = 0.03, .rules = { .undoPrepares = false } });
  CHECK(outcome.mixed > 0);
}

TEST_CASE("held_switch_newEpoch_forgetsTheChange")
{
  HeldSwitch change(0, 1);
  change.begin(7, GroupMap(1), Instant{});
  RankState state{ .epoch = 1 };
  change.tick(Instant{}, { state }, kPass, 8, GroupMap(1));
  state.epoch = 2;
  CHECK(
    change.tick(Instant{} + kTick, { state }, kPass, 9, GroupMap(1)).empty());
  CHECK(change.isIdle());
}
