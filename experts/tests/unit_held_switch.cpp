#include "laburnum/experts/held_switch.hpp"
#include "laburnum/kernel/random.hpp"

#include <catch2/catch.hpp>
#include <deque>

using namespace laburnum;
using namespace laburnum::experts;

namespace {

constexpr std::size_t kRanks = 3;
constexpr Duration kTick = milliseconds(20);
/// Maximum age of a known rank state. A restarted holder waits for longer
/// before it acts.
constexpr Duration kMaxStateAge = milliseconds(300);
constexpr Duration kRestartDelay = milliseconds(400);
constexpr Duration kStepTime = milliseconds(60);
/// Another instance takes over a step that is held for longer.
constexpr Duration kStallLimit = milliseconds(600);

/// Engine of one rank, with the behavior that was observed on the users'
/// engines: a newer prepare order replaces an older one, an armed rank refuses
/// prepare orders, and orders for past steps are refused.
struct FakeRank
{
  RankState state;
  std::uint64_t highestVersion = 0;

  void execute(const PrepareOrder& aOrder)
  {
    if (!state.armed && aOrder.version > highestVersion) {
      highestVersion = aOrder.version;
      state.prepared = aOrder.version;
    }
  }
  void execute(const ArmOrder& aOrder)
  {
    if (state.prepared == aOrder.armed.version &&
        aOrder.armed.step > state.step) {
      state.armed = aOrder.armed;
    }
  }
  void execute(const DisarmOrder& aOrder)
  {
    if (state.armed && state.armed->version == aOrder.version) {
      state.armed.reset();
    }
  }
  void execute(const HoldOrder& aOrder)
  {
    if (!state.held && aOrder.step > state.step) {
      state.held = aOrder.step;
    }
  }
  void execute(const ReleaseOrder& aOrder)
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

/// Probabilities of faults. A rate "per tick" applies to each `kTick`.
struct Faults
{
  double orderDelay = 0;    ///< Orders that are executed seconds later.
  double restart = 0;       ///< Of the holder, per tick.
  double reportLoss = 0;    ///< Of the state report of a rank, per tick.
  double replace = 0;       ///< Of a change while ranks prepare, per tick.
  double freeze = 0;        ///< Of the holder, per tick.
  bool hasRescuer = false;  ///< Another instance takes over a stalled hold.
  double rescuerFreeze = 0; ///< Of that instance, per tick.
  HeldSwitchRules rules;
};

struct Outcome
{
  int mixedSteps = 0;
  int changes = 0;
  Duration longestHold{ 0 };
};

/// Simulates a group while orders are executed seconds late and after newer
/// ones, state reports are lost, and the holder restarts or freezes.
class GroupSimulation
{
public:
  GroupSimulation(std::uint64_t aSeed, Faults aFaults)
    : mRandom(aSeed)
    , mFaults(aFaults)
    , mHolder{ createSwitch({}) }
  {
  }

  Outcome run(Duration aDuration)
  {
    for (; mNow - Instant{} < aDuration; mNow += kTick) {
      deliverDelayed();
      runStep();
      if (mRandom.chance(mFaults.restart)) {
        mHolder = { createSwitch({}), mNow + kRestartDelay };
      }
      if (isResponsive(mHolder, mFaults.freeze)) {
        observe(mHolder);
        const double beginChance =
          mHolder.change.isIdle() ? 0.05 : mFaults.replace;
        if (mHolder.change.canBegin() && mRandom.chance(beginChance)) {
          mHolder.change.begin(++mVersion, GroupMap(1), mNow);
        }
        act(mHolder);
      }
      runRescuer();
    }
    return mOutcome;
  }

private:
  /// An instance that runs a `HeldSwitch`, with the rank states it has read.
  struct Actor
  {
    HeldSwitch change;
    Instant pausedUntil{};
    std::vector<std::optional<RankState>> knownStates =
      std::vector<std::optional<RankState>>(kRanks);
    std::array<Instant, kRanks> readAt{};
    bool hasResumed = false;
  };

  HeldSwitch createSwitch(HeldSwitchOptions aOptions) const
  {
    aOptions.rules = mFaults.rules;
    return HeldSwitch(0, kRanks, aOptions);
  }

  /// Returns false while the actor is frozen. On resuming it acts once on the
  /// states that it read before.
  bool isResponsive(Actor& aActor, double aFreeze)
  {
    if (mNow >= aActor.pausedUntil && mRandom.chance(aFreeze)) {
      aActor.pausedUntil =
        mNow + milliseconds(static_cast<int>(mRandom.below(4000)));
      aActor.hasResumed = true;
    }
    if (mNow < aActor.pausedUntil) {
      return false;
    }
    if (aActor.hasResumed) {
      aActor.hasResumed = false;
      act(aActor);
      return false;
    }
    return true;
  }

  void act(Actor& aActor)
  {
    for (const RankOrder& order : aActor.change.tick(
           mNow, aActor.knownStates, kStepTime, ++mVersion, GroupMap(1))) {
      send(order);
    }
  }

  void runRescuer()
  {
    if (!mFaults.hasRescuer) {
      return;
    }
    if (!mRescuer && mHeldTime >= kStallLimit) {
      mRescuer = Actor{ createSwitch({ .takeoverDelay = milliseconds(0) }) };
    }
    if (mRescuer && isResponsive(*mRescuer, mFaults.rescuerFreeze)) {
      observe(*mRescuer);
      act(*mRescuer);
      if (mHeldTime == Duration(0) && mRescuer->change.isIdle()) {
        mRescuer.reset();
      }
    }
  }

  void send(const RankOrder& aOrder)
  {
    if (!mRandom.chance(mFaults.orderDelay)) {
      apply(aOrder);
      return;
    }
    const auto delay = milliseconds(2000 + mRandom.below(10000));
    mDelayed.emplace_back(mNow + delay, aOrder);
  }

  void apply(const RankOrder& aOrder)
  {
    std::visit(
      [&](const auto& aAlternative) {
        mRanks[aOrder.rank].execute(aAlternative);
      },
      aOrder.order);
  }

  void deliverDelayed()
  {
    for (auto it = mDelayed.begin(); it != mDelayed.end();) {
      if (it->first <= mNow) {
        apply(it->second);
        it = mDelayed.erase(it);
      } else {
        ++it;
      }
    }
  }

  void runStep()
  {
    if (mNow < mNextStepAt) {
      return;
    }
    const std::uint64_t step = mRanks[0].state.step + 1;
    for (const FakeRank& rank : mRanks) {
      if (rank.state.held && *rank.state.held <= step) {
        mHeldTime += kTick;
        mOutcome.longestHold = std::max(mOutcome.longestHold, mHeldTime);
        return;
      }
    }
    mHeldTime = Duration(0);
    mNextStepAt = mNow + kStepTime;
    const std::uint64_t versionBefore = mRanks[0].state.inForce;
    for (FakeRank& rank : mRanks) {
      rank.begin(step);
    }
    for (const FakeRank& rank : mRanks) {
      mOutcome.mixedSteps += rank.state.inForce != mRanks[0].state.inForce;
    }
    mOutcome.changes += versionBefore != mRanks[0].state.inForce;
  }

  void observe(Actor& aActor)
  {
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      if (!mRandom.chance(mFaults.reportLoss)) {
        aActor.knownStates[rank] = mRanks[rank].state;
        aActor.readAt[rank] = mNow;
      } else if (mNow - aActor.readAt[rank] >= kMaxStateAge) {
        aActor.knownStates[rank].reset();
      }
    }
  }

  Random mRandom;
  Faults mFaults;
  Actor mHolder;
  std::optional<Actor> mRescuer;
  std::array<FakeRank, kRanks> mRanks;
  std::deque<std::pair<Instant, RankOrder>> mDelayed;
  std::uint64_t mVersion = 0;
  Instant mNow{};
  Instant mNextStepAt{};
  Duration mHeldTime{ 0 };
  Outcome mOutcome;
};

Outcome
runAll(int aSeeds, const Faults& aFaults)
{
  Outcome total;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    const Outcome outcome = GroupSimulation(seed, aFaults).run(seconds(60));
    total.mixedSteps += outcome.mixedSteps;
    total.changes += outcome.changes;
    total.longestHold = std::max(total.longestHold, outcome.longestHold);
  }
  return total;
}

/// Returns true if a step runs with two maps under any of the seeds; stops at
/// the first.
bool
findsMixedStep(int aSeeds, const Faults& aFaults)
{
  for (int seed = 1; seed <= aSeeds; ++seed) {
    if (GroupSimulation(seed, aFaults).run(seconds(60)).mixedSteps > 0) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE("held_switch_calm_changesWithoutHoldingAStep")
{
  const Outcome outcome = runAll(5, {});
  CHECK(outcome.mixedSteps == 0);
  CHECK(outcome.changes > 50);
  CHECK(outcome.longestHold <= 2 * kTick);
}

TEST_CASE("held_switch_ordersLateAndHolderRestarts_neverMixesMaps")
{
  const Outcome outcome =
    runAll(2000, { .orderDelay = 0.35, .restart = 0.01, .reportLoss = 0.5 });
  CHECK(outcome.mixedSteps == 0);
  CHECK(outcome.changes > 300);
}

TEST_CASE("held_switch_changesReplacedWhilePreparing_neverMixesMaps")
{
  const Outcome outcome = runAll(
    500,
    { .orderDelay = 0.35, .restart = 0.01, .reportLoss = 0.5, .replace = 0.1 });
  CHECK(outcome.mixedSteps == 0);
  CHECK(outcome.changes > 100);
}

TEST_CASE("held_switch_holderFrozenAndTakenOver_neverMixesMaps")
{
  const Outcome outcome = runAll(2000,
                                 { .orderDelay = 0.35,
                                   .restart = 0.005,
                                   .reportLoss = 0.5,
                                   .freeze = 0.02,
                                   .hasRescuer = true });
  CHECK(outcome.mixedSteps == 0);
  CHECK(outcome.changes > 300);
}

TEST_CASE("held_switch_holderFrozen_isReleasedBeforeCallersLeave")
{
  // Callers abandon a stream after a pause of two seconds.
  CHECK(runAll(100, { .freeze = 0.01 }).longestHold > seconds(3));
  const Outcome rescued = runAll(100, { .freeze = 0.01, .hasRescuer = true });
  CHECK(rescued.longestHold < seconds(2));
  CHECK(rescued.mixedSteps == 0);
}

// The next three tests each turn off one safety rule and expect a mixed step.

TEST_CASE("held_switch_undoneWithoutADecision_mixesMaps")
{
  CHECK(findsMixedStep(2000,
                       { .orderDelay = 0.35,
                         .restart = 0.005,
                         .reportLoss = 0.5,
                         .freeze = 0.02,
                         .hasRescuer = true,
                         .rescuerFreeze = 0.02,
                         .rules = { .disarmsAfterDecision = false } }));
}

TEST_CASE("held_switch_releasedBeforeAllAreArmed_mixesMaps")
{
  CHECK(findsMixedStep(
    50, { .orderDelay = 0.35, .rules = { .waitsForAllArmed = false } }));
}

TEST_CASE("held_switch_undoneByDisarmingOnly_mixesMaps")
{
  CHECK(findsMixedStep(2000,
                       { .orderDelay = 0.5,
                         .restart = 0.01,
                         .reportLoss = 0.5,
                         .freeze = 0.02,
                         .hasRescuer = true,
                         .rescuerFreeze = 0.02,
                         .rules = { .undoesByPreparing = false } }));
}

TEST_CASE("held_switch_holdOfAnEarlierChange_isNotUsedForThisOne")
{
  // A hold that is executed late can stall the group until another instance
  // releases it. If that release is late too, it would end the hold of a change
  // that uses the same hold, while ranks are being armed.
  HeldSwitch change(0, 1);
  RankState state{ .epoch = 1, .step = 10, .prepared = 7 };
  Instant now{};
  const auto tick = [&] {
    now += kTick;
    return change.tick(now, { state }, kStepTime, 20, GroupMap(1));
  };
  const auto holdStep = [](const std::vector<RankOrder>& aOrders) {
    REQUIRE(aOrders.size() == 1);
    return std::get<HoldOrder>(aOrders[0].order).step;
  };
  change.begin(7, GroupMap(1), now);
  tick();
  std::uint64_t step = holdStep(tick());
  while (!change.isIdle()) {
    for (const RankOrder& order : tick()) {
      step = std::get<HoldOrder>(order.order).step;
    }
  }
  change.begin(8, GroupMap(1), now);
  state.prepared = 8;
  state.held = step;
  tick();
  const auto orders = tick();
  REQUIRE(orders.size() == 1);
  CHECK(std::get<ReleaseOrder>(orders[0].order).step == step);
  state.held.reset();
  now += milliseconds(60);
  CHECK(holdStep(tick()) > step);
}

TEST_CASE("held_switch_newEpoch_forgetsTheChange")
{
  HeldSwitch change(0, 1);
  change.begin(7, GroupMap(1), Instant{});
  RankState state{ .epoch = 1 };
  change.tick(Instant{}, { state }, kStepTime, 8, GroupMap(1));
  state.epoch = 2;
  CHECK(change.tick(Instant{} + kTick, { state }, kStepTime, 9, GroupMap(1))
          .empty());
  CHECK(change.isIdle());
}
