#include "laburnum/experts/map_change.hpp"

#include <algorithm>
#include <cmath>

namespace laburnum::experts {
namespace {

/// Low bits of an epoch, which count the changes of one holder of the duty. The
/// high bits are its fencing token.
constexpr int kChangeCountBits = 20;

std::vector<ChangeAction>
toActions(std::vector<OutgoingMessage> aMessages)
{
  return { std::make_move_iterator(aMessages.begin()),
           std::make_move_iterator(aMessages.end()) };
}

/// Returns the largest number of experts on a rank, at least 1.
std::size_t
maxSlots(const ExpertMap& aMap)
{
  std::size_t maxCount = 1;
  for (const auto& experts : aMap.slots) {
    maxCount = std::max(maxCount, experts.size());
  }
  return maxCount;
}

} // namespace

MapChange::MapChange(std::size_t aRankCount, MapChangeOptions aOptions)
  : mRankCount(aRankCount)
  , mOptions(aOptions)
  , mCoordinator(aRankCount)
{
}

bool
MapChange::isPlanDue(Instant aNow) const
{
  return mPhase == Phase::Idle &&
         (!mPlannedAt || aNow - *mPlannedAt >= mOptions.planInterval);
}

MapChange::Actions
MapChange::tick(Instant aNow,
                const GroupView& aGroup,
                std::uint64_t aFencingToken)
{
  switch (mPhase) {
    case Phase::Idle:
      return isPlanDue(aNow) ? plan(aNow, aGroup, aFencingToken) : Actions();
    case Phase::Preparing:
      return prepare(aNow, aGroup, aFencingToken);
    case Phase::Arming:
      return arm(aNow);
  }
  return {};
}

MapChange::Actions
MapChange::plan(Instant aNow,
                const GroupView& aGroup,
                std::uint64_t aFencingToken)
{
  mPlannedAt = aNow;
  std::size_t moves = 0;
  GroupMap next;
  for (std::size_t layer = 0; layer < aGroup.map.size(); ++layer) {
    const ExpertMap& present = aGroup.map[layer];
    if (layer >= aGroup.loads.size() || present.slots.size() != mRankCount) {
      return {};
    }
    PlannerOptions options = mOptions.planner;
    options.ranks = mRankCount;
    options.slotsPerRank = maxSlots(present);
    MapPlan plan = improveMap(present, aGroup.loads[layer], options);
    moves += plan.moves;
    next.push_back(std::move(plan.map));
  }
  if (moves == 0) {
    return {};
  }
  mNext = { .epoch = (aFencingToken << kChangeCountBits) + ++mChangeCount,
            .map = std::move(next) };
  mPrepared.clear();
  mPhase = Phase::Preparing;
  mPhaseStart = mSentAt = aNow;
  return { mNext };
}

MapChange::Actions
MapChange::prepare(Instant aNow,
                   const GroupView& aGroup,
                   std::uint64_t aFencingToken)
{
  if (mPrepared.size() == mRankCount) {
    mPhase = Phase::Arming;
    mPhaseStart = mSentAt = aNow;
    const double leadSteps =
      std::ceil(aGroup.stepsPerSecond * toSeconds(mOptions.switchLead));
    const StepNumber firstStep =
      aGroup.step + 1 + static_cast<StepNumber>(leadSteps);
    return toActions(mCoordinator.begin({ .epoch = mNext.epoch,
                                          .firstStep = firstStep,
                                          .fence = aFencingToken }));
  }
  if (aNow - mPhaseStart >= mOptions.prepareTimeout) {
    // No rank was asked to arm yet, so there is nothing to undo.
    mPhase = Phase::Idle;
    return {};
  }
  if (aNow - mSentAt < mOptions.prepareRetryInterval) {
    return {};
  }
  mSentAt = aNow;
  return { mNext };
}

MapChange::Actions
MapChange::arm(Instant aNow)
{
  if (mCoordinator.isDone()) {
    mPhase = Phase::Idle;
    return {};
  }
  if (aNow - mSentAt < mOptions.armRetryInterval) {
    return {};
  }
  mSentAt = aNow;
  return toActions(aNow - mPhaseStart < mOptions.armTimeout
                     ? mCoordinator.repeat()
                     : mCoordinator.giveUp());
}

void
MapChange::abandon()
{
  mPhase = Phase::Idle;
  mCoordinator = SwitchCoordinator(mRankCount);
  mPrepared.clear();
  mPlannedAt.reset();
}

void
MapChange::markPrepared(Rank aRank, Epoch aEpoch)
{
  if (mPhase == Phase::Preparing && aEpoch == mNext.epoch &&
      aRank < mRankCount) {
    mPrepared.insert(aRank);
  }
}

MapChange::Actions
MapChange::handle(Rank aFrom, const SwitchMessage& aMessage)
{
  return toActions(mCoordinator.handle(aFrom, aMessage));
}

} // namespace laburnum::experts
