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
/// A step that is held for longer is taken over.
constexpr Duration kStalled = milliseconds(600);

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
  double freeze = 0;  ///< Of the holder, in a tick.
  bool isRescued = false;   ///< Another one takes over a hold that lasts.
  double rescuerFreeze = 0; ///< Of that one, in a tick.
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
    , mHolder{ fresh({}) }
  {
  }

  Outcome run(Duration aSpan)
  {
    for (; mNow - Instant{} < aSpan; mNow += kTick) {
      deliverLate();
      pass();
      if (mRandom.chance(mWeather.restart)) {
        mHolder = { fresh({}), mNow + kQuietStart };
      }
      if (awake(mHolder, mWeather.freeze)) {
        observe(mHolder);
        const double wish = mHolder.change.isIdle() ? 0.05 : mWeather.anew;
        if (mHolder.change.mayBegin() && mRandom.chance(wish)) {
          mHolder.change.begin(++mVersion, GroupMap(1), mNow);
        }
        act(mHolder);
      }
      rescue();
    }
    return mOutcome;
  }

private:
  /// One that decides, with what it has seen of the ranks.
  struct Actor
  {
    HeldSwitch change;
    Instant quietUntil{};
    std::vector<std::optional<RankState>> seen =
      std::vector<std::optional<RankState>>(kRanks);
    std::array<Instant, kRanks> seenAt{};
    bool wakes = false;
  };

  HeldSwitch fresh(HeldSwitchOptions aOptions) const
  {
    aOptions.rules = mWeather.rules;
    return HeldSwitch(0, kRanks, aOptions);
  }

  /// False while it stands still. It acts once on what it saw before.
  bool awake(Actor& aActor, double aFreeze)
  {
    if (mNow >= aActor.quietUntil && mRandom.chance(aFreeze)) {
      aActor.quietUntil =
        mNow + milliseconds(static_cast<int>(mRandom.below(4000)));
      aActor.wakes = true;
    }
    if (mNow < aActor.quietUntil) {
      return false;
    }
    if (aActor.wakes) {
      aActor.wakes = false;
      act(aActor);
      return false;
    }
    return true;
  }

  void act(Actor& aActor)
  {
    for (const RankOrder& order : aActor.change.tick(
           mNow, aActor.seen, kPass, ++mVersion, GroupMap(1))) {
      give(order);
    }
  }

  void rescue()
  {
    if (!mWeather.isRescued) {
      return;
    }
    if (!mRescuer && mHeldFor >= kStalled) {
      mRescuer = Actor{ fresh({ .recoverAfter = milliseconds(0) }) };
    }
    if (mRescuer && awake(*mRescuer, mWeather.rescuerFreeze)) {
      observe(*mRescuer);
      act(*mRescuer);
      if (mHeldFor == Duration(0) && mRescuer->change.isIdle()) {
        mRescuer.reset();
      }
    }
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

  void observe(Actor& aActor)
  {
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      if (!mRandom.chance(mWeather.unseen)) {
        aActor.seen[rank] = mRanks[rank].state;
        aActor.seenAt[rank] = mNow;
      } else if (mNow - aActor.seenAt[rank] >= kOldest) {
        aActor.seen[rank].reset();
      }
    }
  }

  Random mRandom;
  Weather mWeather;
  Actor mHolder;
  std::optional<Actor> mRescuer;
  std::array<FakeRank, kRanks> mRanks;
  std::deque<std::pair<Instant, RankOrder>> mLate;
  std::uint64_t mVersion = 0;
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

/// True if any of the seeds shows a pass with two maps; ends with the first.
bool
mixes(int aSeeds, const Weather& aWeather)
{
  for (int seed = 1; seed <= aSeeds; ++seed) {
    if (GroupWorld(seed, aWeather).run(seconds(60)).mixed > 0) {
      return true;
    }
  }
  return false;
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

TEST_CASE("held_switch_holderFrozenAndTakenOver_neverMixesMaps")
{
  const Outcome outcome = runAll(2000,
                                 { .lost = 0.35,
                                   .restart = 0.005,
                                   .unseen = 0.5,
                                   .freeze = 0.02,
                                   .isRescued = true });
  CHECK(outcome.mixed == 0);
  CHECK(outcome.changes > 300);
}

TEST_CASE("held_switch_holderFrozen_isReleasedBeforeCallersLeave")
{
  // Callers leave a stream after a pause of two seconds.
  CHECK(runAll(100, { .freeze = 0.01 }).longestHold > seconds(3));
  const Outcome rescued = runAll(100, { .freeze = 0.01, .isRescued = true });
  CHECK(rescued.longestHold < seconds(2));
  CHECK(rescued.mixed == 0);
}

TEST_CASE("held_switch_undoneWithoutADecision_mixesMaps")
{
  CHECK(mixes(2000,
              { .lost = 0.35,
                .restart = 0.005,
                .unseen = 0.5,
                .freeze = 0.02,
                .isRescued = true,
                .rescuerFreeze = 0.02,
                .rules = { .decidesFirst = false } }));
}

TEST_CASE("held_switch_releasedBeforeAllAreArmed_mixesMaps")
{
  CHECK(mixes(50, { .lost = 0.35, .rules = { .waitsForAll = false } }));
}

TEST_CASE("held_switch_undoneByDisarmingOnly_mixesMaps")
{
  CHECK(mixes(2000,
              { .lost = 0.5,
                .restart = 0.01,
                .unseen = 0.5,
                .freeze = 0.02,
                .isRescued = true,
                .rescuerFreeze = 0.02,
                .rules = { .undoPrepares = false } }));
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
