#include "laburnum/experts/held_switch.hpp"

#include <algorithm>
#include <cmath>

namespace laburnum::experts {
namespace {

using States = std::vector<std::optional<RankState>>;

/// Returns true if all states are known and satisfy a predicate.
template<class Predicate>
bool
allRanks(const States& aStates, Predicate aPredicate)
{
  return std::all_of(aStates.begin(), aStates.end(), [&](const auto& aState) {
    return aState && aPredicate(*aState);
  });
}

/// Returns the number of ranks whose state is known and satisfies a predicate.
template<class Predicate>
std::size_t
countRanks(const States& aStates, Predicate aPredicate)
{
  return static_cast<std::size_t>(
    std::count_if(aStates.begin(), aStates.end(), [&](const auto& aState) {
      return aState && aPredicate(*aState);
    }));
}

/// Returns the version that some rank is armed with for a step, or 0.
std::uint64_t
findArmedVersion(const States& aStates, std::uint64_t aStep)
{
  for (const auto& state : aStates) {
    if (state && state->armed && state->armed->step == aStep) {
      return state->armed->version;
    }
  }
  return 0;
}

std::uint64_t
latestStep(const States& aStates)
{
  std::uint64_t step = 0;
  for (const auto& state : aStates) {
    step = std::max(step, state ? state->step : 0);
  }
  return step;
}

} // namespace

HeldSwitch::HeldSwitch(std::size_t aOwnRank,
                       std::size_t aRankCount,
                       HoldSteps& aHoldSteps,
                       HeldSwitchOptions aOptions)
  : mOwnRank(aOwnRank)
  , mRankCount(aRankCount)
  , mHoldSteps(&aHoldSteps)
  , mOptions(aOptions)
{
}

void
HeldSwitch::enter(SwitchPhase aPhase, Instant aNow)
{
  mPhase = aPhase;
  mPhaseStart = aNow;
  mSentAt.clear();
  mAnswers = 0;
  mLastAnswerAt = aNow;
}

void
HeldSwitch::recordAnswers(std::size_t aAnswers, Instant aNow)
{
  if (aAnswers > mAnswers) {
    mLastAnswerAt = aNow;
  }
  mAnswers = aAnswers;
}

void
HeldSwitch::recordArmTime(Instant aNow)
{
  if (mArmRetryAt && *mArmRetryAt >= mPhaseStart) {
    return; // The time was that of lost orders, which have a lead of their own.
  }
  const Duration time = aNow - mPhaseStart;
  mArmTime = std::max<Duration>(
    time,
    mArmTime + std::chrono::duration_cast<Duration>((time - mArmTime) *
                                                    mOptions.armTimeSmoothing));
}

Duration
HeldSwitch::switchLead(Instant aNow) const
{
  const bool hadRecentLoss =
    mArmRetryAt && aNow - *mArmRetryAt < mOptions.lossWindow;
  const Duration lead =
    hadRecentLoss ? mOptions.switchLeadAfterLoss : mOptions.switchLead;
  return std::max<Duration>(
    lead,
    std::chrono::duration_cast<Duration>(mArmTime * mOptions.armTimeMargin));
}

bool
HeldSwitch::startAttempt(std::size_t aRank, Instant aNow, Duration aInterval)
{
  const auto found = mSentAt.find(aRank);
  if (found != mSentAt.end() &&
      (aNow - found->second < aInterval ||
       (mAnswers > 0 && aNow - mLastAnswerAt < mOptions.answerPause))) {
    return false;
  }
  mSentAt[aRank] = aNow;
  return true;
}

void
HeldSwitch::begin(std::uint64_t aVersion,
                  GroupMap aMap,
                  Instant aNow,
                  Duration aCopyTime)
{
  mVersion = aVersion;
  mMap = std::make_shared<const GroupMap>(std::move(aMap));
  mCopyTime = aCopyTime;
  mEpoch = 0;
  enter(SwitchPhase::Preparing, aNow);
}

std::vector<RankOrder>
HeldSwitch::tick(Instant aNow,
                 const States& aStates,
                 Duration aStepTime,
                 std::uint64_t aUnusedVersion,
                 const GroupMap& aInForce)
{
  if (aStates.size() != mRankCount || !aStates[mOwnRank]) {
    return {};
  }
  const std::uint64_t epoch = aStates[mOwnRank]->epoch;
  if (mPhase != SwitchPhase::Idle && mEpoch != 0 && epoch != mEpoch) {
    // The group formed again, without any hold or armed map.
    enter(SwitchPhase::Idle, aNow);
  }
  mEpoch = epoch;
  // States of another epoch do not apply.
  States states = aStates;
  for (auto& state : states) {
    if (state && state->epoch != epoch) {
      state.reset();
    }
  }
  if (mPhase == SwitchPhase::Idle && !recover(aNow, states, aUnusedVersion)) {
    return {};
  }
  Orders orders = decide(aNow, states, aStepTime, aUnusedVersion, aInForce);
  for (RankOrder& order : orders) {
    order.epoch = mEpoch;
  }
  return orders;
}

std::vector<RankOrder>
HeldSwitch::decide(Instant aNow,
                   const States& aStates,
                   Duration aStepTime,
                   std::uint64_t aUnusedVersion,
                   const GroupMap& aInForce)
{
  switch (mPhase) {
    case SwitchPhase::Idle:
      return {};
    case SwitchPhase::Preparing:
      return prepare(aNow, aStates);
    case SwitchPhase::Holding:
      return hold(aNow, aStates, aStepTime);
    case SwitchPhase::Arming: {
      mUndoVersion = aUnusedVersion;
      return arm(aNow, aStates);
    }
    case SwitchPhase::Undoing:
      return undo(aNow, aStates, aInForce);
    case SwitchPhase::Releasing:
      return release(aNow, aStates);
  }
  return {};
}

bool
HeldSwitch::recover(Instant aNow,
                    const States& aStates,
                    std::uint64_t aUnusedVersion)
{
  const auto& own = *aStates[mOwnRank];
  if (!own.held || own.step + 1 < *own.held) {
    mHoldSeenAt.reset();
    return false;
  }
  // The hold was made before a restart of this holder, or its order was
  // executed late. An outdated state may show a hold that was just released, so
  // it has to persist for a while.
  if (!mHoldSeenAt) {
    mHoldSeenAt = aNow;
  }
  if (aNow - *mHoldSeenAt < mOptions.takeoverDelay ||
      !allRanks(aStates, [](const RankState&) { return true; })) {
    return false;
  }
  mHoldSeenAt.reset();
  mStep = *own.held;
  mHoldSteps->reserve(mEpoch, mStep);
  mVersion = findArmedVersion(aStates, mStep);
  const ArmedMap target{ .version = mVersion, .step = mStep };
  const bool isArmed = allRanks(
    aStates, [&](const RankState& aRank) { return aRank.armed == target; });
  const bool canArm =
    mVersion != 0 && allRanks(aStates, [&](const RankState& aRank) {
      return aRank.armed == target ||
             (!aRank.armed && aRank.prepared == mVersion);
    });
  if (isArmed) {
    // The release may have been sent already, so no rank may be disarmed.
    enter(SwitchPhase::Releasing, aNow);
  } else if (canArm) {
    enter(SwitchPhase::Arming, aNow);
  } else {
    mUndoVersion = aUnusedVersion;
    enter(SwitchPhase::Undoing, aNow);
  }
  return true;
}

bool
HeldSwitch::isSuperseded(const States& aStates) const
{
  return std::any_of(
    aStates.begin(), aStates.end(), [this](const auto& aState) {
      return aState && !aState->armed && aState->prepared > mVersion;
    });
}

std::vector<RankOrder>
HeldSwitch::prepare(Instant aNow, const States& aStates)
{
  const auto isPrepared = [this](const RankState& aRank) {
    return aRank.prepared == mVersion;
  };
  if (allRanks(aStates, isPrepared)) {
    mStep = 0; // This change has ordered no hold yet.
    enter(SwitchPhase::Holding, aNow);
    return {};
  }
  if (isSuperseded(aStates) || aNow - mPhaseStart > mOptions.prepareTimeout) {
    // No rank is armed, so there is nothing to undo.
    enter(SwitchPhase::Idle, aNow);
    return {};
  }
  Orders orders;
  for (std::size_t rank = 0; rank < mRankCount; ++rank) {
    if (!(aStates[rank] && isPrepared(*aStates[rank])) &&
        startAttempt(rank, aNow, mCopyTime + mOptions.prepareRetryInterval)) {
      orders.push_back({ rank, PrepareOrder{ mVersion, mMap } });
    }
  }
  return orders;
}

std::vector<RankOrder>
HeldSwitch::hold(Instant aNow, const States& aStates, Duration aStepTime)
{
  const RankState& own = *aStates[mOwnRank];
  if (own.held && own.held == mStep) {
    enter(SwitchPhase::Arming, aNow);
    return {};
  }
  if (own.held) {
    // An earlier hold order was executed late. No rank is armed yet, so that
    // step can be released. It must not serve for this change, since another
    // instance may have ordered its release already.
    mHoldSteps->reserve(mEpoch, *own.held);
    return startAttempt(mOwnRank, aNow, mOptions.retryInterval)
             ? Orders{ { mOwnRank, ReleaseOrder{ *own.held } } }
             : Orders{};
  }
  if (isSuperseded(aStates) || aNow - mPhaseStart > mOptions.holdTimeout) {
    enter(SwitchPhase::Idle, aNow);
    return {};
  }
  if (!startAttempt(mOwnRank, aNow, mOptions.retryInterval)) {
    return {};
  }
  const auto leadSteps = static_cast<std::uint64_t>(std::ceil(
    toSeconds(switchLead(aNow)) / std::max(0.005, toSeconds(aStepTime))));
  const std::uint64_t earliest =
    latestStep(aStates) + std::max(mOptions.minLeadSteps, leadSteps);
  const auto step = mOptions.rules.holdsEachStepOnce
                      ? mHoldSteps->next(mEpoch, own.step, earliest - own.step)
                      : std::optional(earliest);
  if (!step) {
    return {}; // The group has to make steps first.
  }
  mStep = *step;
  return { { mOwnRank, HoldOrder{ mStep } } };
}

std::vector<RankOrder>
HeldSwitch::arm(Instant aNow, const States& aStates)
{
  const ArmedMap target{ .version = mVersion, .step = mStep };
  const auto isArmed = [&](const RankState& aRank) {
    return aRank.armed == target;
  };
  const bool hasSwitched =
    std::any_of(aStates.begin(), aStates.end(), [this](const auto& aState) {
      return aState && aState->inForce == mVersion;
    });
  if (hasSwitched) {
    // Another instance released the step, which requires all ranks armed.
    enter(SwitchPhase::Idle, aNow);
    return {};
  }
  if (aStates[mOwnRank]->held != mStep || isSuperseded(aStates)) {
    // Without the hold the step may begin at any time, and a rank that has a
    // later map prepared can no longer be armed.
    enter(SwitchPhase::Undoing, aNow);
    return {};
  }
  const std::size_t armed = countRanks(aStates, isArmed);
  recordAnswers(armed, aNow);
  if (armed == mRankCount) {
    recordArmTime(aNow);
  }
  if (armed == mRankCount ||
      (!mOptions.rules.waitsForAllArmed && armed * 2 > mRankCount)) {
    enter(SwitchPhase::Releasing, aNow);
    return release(aNow, aStates);
  }
  if (aNow - mLastAnswerAt > mOptions.armTimeout) {
    enter(SwitchPhase::Undoing, aNow);
    return {};
  }
  Orders orders;
  for (std::size_t rank = 0; rank < mRankCount; ++rank) {
    if (!(aStates[rank] && isArmed(*aStates[rank])) &&
        startAttempt(rank, aNow, mOptions.retryInterval)) {
      if (aNow - mPhaseStart >= mOptions.retryInterval) {
        mArmRetryAt = aNow;
      }
      orders.push_back({ rank, ArmOrder{ target } });
    }
  }
  return orders;
}

std::vector<RankOrder>
HeldSwitch::undo(Instant aNow, const States& aStates, const GroupMap& aInForce)
{
  if (aStates[mOwnRank]->held != mStep) {
    // Another instance released the step, which requires the outcome that this
    // one works on. Ranks may be armed for the next change.
    enter(SwitchPhase::Idle, aNow);
    return {};
  }
  if (mVersion == 0) {
    // Late orders may have armed ranks since the hold was taken over.
    mVersion = findArmedVersion(aStates, mStep);
  }
  const ArmedMap target{ .version = mVersion, .step = mStep };
  const auto isArmed = [&](const RankState& aRank) {
    return aRank.armed == target;
  };
  // A rank that is armed for another step cannot be armed for an older version,
  // and its change has a hold and an outcome of its own.
  const auto isUndone = [this](const RankState& aRank) {
    if (aRank.armed) {
      return aRank.armed->step != mStep && aRank.armed->version > mVersion;
    }
    return aRank.prepared >= mUndoVersion || !mOptions.rules.undoesByPreparing;
  };
  if (allRanks(aStates, isUndone) || allRanks(aStates, isArmed)) {
    enter(SwitchPhase::Releasing, aNow);
    return release(aNow, aStates);
  }
  recordAnswers(countRanks(aStates, isUndone), aNow);
  // Once a rank can no longer be armed, no instance has seen or will see all
  // ranks armed. Before that, another instance may be about to release the
  // step.
  const bool isOutcomeDecided =
    !mOptions.rules.disarmsAfterDecision ||
    (mVersion != 0 && isSuperseded(aStates)) ||
    std::any_of(aStates.begin(), aStates.end(), [&](const auto& aState) {
      return aState && isUndone(*aState);
    });
  Orders orders;
  SharedGroupMap inForce;
  for (std::size_t rank = 0; rank < mRankCount; ++rank) {
    const auto& state = aStates[rank];
    const bool isArmedRank = state && state->armed;
    if ((state && isUndone(*state)) || (isArmedRank && !isOutcomeDecided) ||
        !startAttempt(rank, aNow, mOptions.retryInterval)) {
      continue;
    }
    if (isArmedRank) {
      orders.push_back({ rank, DisarmOrder{ state->armed->version } });
    } else {
      inForce = inForce ? inForce : std::make_shared<const GroupMap>(aInForce);
      orders.push_back({ rank, PrepareOrder{ mUndoVersion, inForce } });
    }
  }
  return orders;
}

std::vector<RankOrder>
HeldSwitch::release(Instant aNow, const States& aStates)
{
  const RankState& own = *aStates[mOwnRank];
  if (own.held != mStep) {
    enter(SwitchPhase::Idle, aNow);
    return {};
  }
  if (!startAttempt(mOwnRank, aNow, mOptions.retryInterval)) {
    return {};
  }
  return { { mOwnRank, ReleaseOrder{ mStep } } };
}

} // namespace laburnum::experts
