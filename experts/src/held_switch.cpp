#include "laburnum/experts/held_switch.hpp"

#include <algorithm>

namespace laburnum::experts {
namespace {

using States = std::vector<std::optional<RankState>>;

template<class Predicate>
bool
all(const States& aStates, Predicate aPredicate)
{
  return std::all_of(aStates.begin(), aStates.end(), [&](const auto& aState) {
    return aState && aPredicate(*aState);
  });
}

/// The map that a rank is armed with for a step; 0 if none is.
std::uint64_t
versionArmed(const States& aStates, std::uint64_t aStep)
{
  for (const auto& state : aStates) {
    if (state && state->armed && state->armed->step == aStep) {
      return state->armed->version;
    }
  }
  return 0;
}

std::uint64_t
newestStep(const States& aStates)
{
  std::uint64_t step = 0;
  for (const auto& state : aStates) {
    step = std::max(step, state ? state->step : 0);
  }
  return step;
}

} // namespace

HeldSwitch::HeldSwitch(std::size_t aOwn,
                       std::size_t aRanks,
                       HeldSwitchOptions aOptions)
  : mOwn(aOwn)
  , mRanks(aRanks)
  , mOptions(aOptions)
{
}

void
HeldSwitch::enter(SwitchPhase aPhase, Instant aNow)
{
  mPhase = aPhase;
  mPhaseAt = aNow;
  mSentAt.clear();
}

bool
HeldSwitch::due(std::size_t aRank, Instant aNow, Duration aAgain)
{
  const auto found = mSentAt.find(aRank);
  if (found != mSentAt.end() && aNow - found->second < aAgain) {
    return false;
  }
  mSentAt[aRank] = aNow;
  return true;
}

void
HeldSwitch::begin(std::uint64_t aVersion,
                  GroupMap aMap,
                  Instant aNow,
                  Duration aCopy)
{
  mVersion = aVersion;
  mMap = std::move(aMap);
  mCopy = aCopy;
  mEpoch = 0;
  enter(SwitchPhase::Preparing, aNow);
}

std::vector<RankOrder>
HeldSwitch::tick(Instant aNow,
                 const States& aStates,
                 Duration aPass,
                 std::uint64_t aNewVersion,
                 const GroupMap& aInForce)
{
  if (aStates.size() != mRanks || !aStates[mOwn]) {
    return {};
  }
  const std::uint64_t epoch = aStates[mOwn]->epoch;
  if (mPhase != SwitchPhase::Idle && mEpoch != 0 && epoch != mEpoch) {
    // The group has formed anew and forgotten all, holds included.
    enter(SwitchPhase::Idle, aNow);
  }
  mEpoch = epoch;
  // A state of another epoch says nothing of this one.
  States states = aStates;
  for (auto& state : states) {
    if (state && state->epoch != epoch) {
      state.reset();
    }
  }
  if (mPhase == SwitchPhase::Idle && !recover(aNow, states, aNewVersion)) {
    return {};
  }
  switch (mPhase) {
    case SwitchPhase::Idle:
      return {};
    case SwitchPhase::Preparing:
      return prepare(aNow, states);
    case SwitchPhase::Holding:
      return hold(aNow, states, aPass);
    case SwitchPhase::Arming: {
      mUndoVersion = aNewVersion;
      return arm(aNow, states);
    }
    case SwitchPhase::Undoing:
      return undo(aNow, states, aInForce);
    case SwitchPhase::Releasing:
      return release(aNow, states);
  }
  return {};
}

bool
HeldSwitch::recover(Instant aNow,
                    const States& aStates,
                    std::uint64_t aNewVersion)
{
  const auto& own = *aStates[mOwn];
  if (!own.held || own.step + 1 < *own.held) {
    mHeldSince.reset();
    return false;
  }
  // A hold of a former life, or one that was carried out late. An old state
  // may show a hold that was just released; one that lasts is none.
  if (!mHeldSince) {
    mHeldSince = aNow;
  }
  if (aNow - *mHeldSince < mOptions.recoverAfter ||
      !all(aStates, [](const RankState&) { return true; })) {
    return false;
  }
  mHeldSince.reset();
  mStep = *own.held;
  mVersion = versionArmed(aStates, mStep);
  const ArmedMap wanted{ .version = mVersion, .step = mStep };
  const bool isArmed =
    all(aStates, [&](const RankState& aRank) { return aRank.armed == wanted; });
  const bool mayArm =
    mVersion != 0 && all(aStates, [&](const RankState& aRank) {
      return aRank.armed == wanted ||
             (!aRank.armed && aRank.prepared == mVersion);
    });
  if (isArmed) {
    // The release may be under way already, so nothing may be disarmed.
    enter(SwitchPhase::Releasing, aNow);
  } else if (mayArm) {
    enter(SwitchPhase::Arming, aNow);
  } else {
    mUndoVersion = aNewVersion;
    enter(SwitchPhase::Undoing, aNow);
  }
  return true;
}

bool
HeldSwitch::isOvertaken(const States& aStates) const
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
  if (all(aStates, isPrepared)) {
    enter(SwitchPhase::Holding, aNow);
    return {};
  }
  if (isOvertaken(aStates) || aNow - mPhaseAt > mOptions.prepareTime) {
    // Nothing is armed, so nothing has to be undone.
    enter(SwitchPhase::Idle, aNow);
    return {};
  }
  Orders orders;
  for (std::size_t rank = 0; rank < mRanks; ++rank) {
    if (!(aStates[rank] && isPrepared(*aStates[rank])) &&
        due(rank, aNow, mCopy + mOptions.prepareAgain)) {
      orders.push_back({ rank, PrepareOrder{ mVersion, mMap } });
    }
  }
  return orders;
}

std::vector<RankOrder>
HeldSwitch::hold(Instant aNow, const States& aStates, Duration aPass)
{
  const RankState& own = *aStates[mOwn];
  if (own.held && own.held == mStep) {
    enter(SwitchPhase::Arming, aNow);
    return {};
  }
  if (own.held) {
    // An older hold came late; nothing is armed yet, so it may go.
    return due(mOwn, aNow, mOptions.again)
             ? Orders{ { mOwn, ReleaseOrder{ *own.held } } }
             : Orders{};
  }
  if (isOvertaken(aStates) || aNow - mPhaseAt > mOptions.holdTime) {
    enter(SwitchPhase::Idle, aNow);
    return {};
  }
  if (!due(mOwn, aNow, mOptions.again)) {
    return {};
  }
  const bool isLossy = mLostAt && aNow - *mLostAt < mOptions.lossMemory;
  const auto passes = static_cast<std::uint64_t>(
    toSeconds(isLossy ? mOptions.leadAfterLoss : mOptions.lead) /
    std::max(0.005, toSeconds(aPass)));
  // Each try names another step, so that a late release of an earlier one
  // cannot release this.
  mStep = std::max(mStep + 1,
                   newestStep(aStates) + std::max(mOptions.leastLead, passes));
  return { { mOwn, HoldOrder{ mStep } } };
}

std::vector<RankOrder>
HeldSwitch::arm(Instant aNow, const States& aStates)
{
  const ArmedMap wanted{ .version = mVersion, .step = mStep };
  const auto isArmed = [&](const RankState& aRank) {
    return aRank.armed == wanted;
  };
  const bool hasSwitched =
    std::any_of(aStates.begin(), aStates.end(), [this](const auto& aState) {
      return aState && aState->inForce == mVersion;
    });
  if (hasSwitched) {
    // Another one released the step, which it does only if all are armed.
    enter(SwitchPhase::Idle, aNow);
    return {};
  }
  if (aStates[mOwn]->held != mStep || isOvertaken(aStates)) {
    // Without the hold the step may begin at any time; a rank that has a later
    // map prepared can't be armed any more.
    enter(SwitchPhase::Undoing, aNow);
    return {};
  }
  const auto armed = static_cast<std::size_t>(
    std::count_if(aStates.begin(), aStates.end(), [&](const auto& aState) {
      return aState && isArmed(*aState);
    }));
  if (armed == mRanks || (!mOptions.rules.waitsForAll && armed * 2 > mRanks)) {
    enter(SwitchPhase::Releasing, aNow);
    return release(aNow, aStates);
  }
  if (aNow - mPhaseAt > mOptions.armTime) {
    enter(SwitchPhase::Undoing, aNow);
    return {};
  }
  Orders orders;
  for (std::size_t rank = 0; rank < mRanks; ++rank) {
    if (!(aStates[rank] && isArmed(*aStates[rank])) &&
        due(rank, aNow, mOptions.again)) {
      if (aNow - mPhaseAt >= mOptions.again) {
        mLostAt = aNow;
      }
      orders.push_back({ rank, ArmOrder{ wanted } });
    }
  }
  return orders;
}

std::vector<RankOrder>
HeldSwitch::undo(Instant aNow, const States& aStates, const GroupMap& aInForce)
{
  const ArmedMap wanted{ .version = mVersion, .step = mStep };
  const auto isUndone = [this](const RankState& aRank) {
    return !aRank.armed &&
           (aRank.prepared >= mUndoVersion || !mOptions.rules.undoPrepares);
  };
  const auto isWanted = [&](const RankState& aRank) {
    return aRank.armed == wanted;
  };
  if (all(aStates, isUndone) || all(aStates, isWanted)) {
    enter(SwitchPhase::Releasing, aNow);
    return release(aNow, aStates);
  }
  // Once one rank can't be armed any more nobody can have seen all ranks armed,
  // nor ever will. Before that, another one may be about to release the step.
  const bool isDecided =
    !mOptions.rules.decidesFirst || (mVersion != 0 && isOvertaken(aStates)) ||
    std::any_of(aStates.begin(), aStates.end(), [&](const auto& aState) {
      return aState && isUndone(*aState);
    });
  Orders orders;
  for (std::size_t rank = 0; rank < mRanks; ++rank) {
    const auto& state = aStates[rank];
    if (state && (isUndone(*state) || (!isDecided && isWanted(*state)))) {
      continue;
    }
    if (!due(rank, aNow, mOptions.again)) {
      continue;
    }
    if (state && state->armed) {
      orders.push_back({ rank, DisarmOrder{ state->armed->version } });
    } else {
      orders.push_back({ rank, PrepareOrder{ mUndoVersion, aInForce } });
    }
  }
  return orders;
}

std::vector<RankOrder>
HeldSwitch::release(Instant aNow, const States& aStates)
{
  const RankState& own = *aStates[mOwn];
  if (own.held != mStep) {
    enter(SwitchPhase::Idle, aNow);
    return {};
  }
  if (!due(mOwn, aNow, mOptions.again)) {
    return {};
  }
  return { { mOwn, ReleaseOrder{ mStep } } };
}

} // namespace laburnum::experts
