#include "laburnum/steward/map_duty.hpp"

#include <algorithm>
#include <cmath>

namespace laburnum::steward {
namespace {

/// Minimum time between two plans, and for each rank, as a plan takes longer
/// for more ranks.
constexpr Duration kPlanPeriod = milliseconds(100);
constexpr Duration kPlanPeriodPerRank = milliseconds(1);
/// Time for each rank to send it an order and to process the report with which
/// it answers, on an instance with a seventh of a core.
constexpr Duration kOrderTimePerRank = milliseconds(1);
/// Encoded size of one copy in a frame with the difference between two maps.
constexpr double kChangeBytes = 8;
/// Encoded size of an expert, or of the end of a rank's list, in a frame with a
/// whole map.
constexpr double kMapEntryBytes = 2;
/// Weight of new passes in the exponential moving average of their duration.
constexpr double kPassSmoothing = 0.15;

/// Repeats orders only after the answers of all ranks can have been processed:
/// each repetition is answered too, and the keeper of a large group would fall
/// ever further behind while the held step stalls the group.
experts::HeldSwitchOptions
switchOptions(std::size_t aRanks)
{
  experts::HeldSwitchOptions options;
  const Duration orderTime =
    kOrderTimePerRank * static_cast<std::int64_t>(aRanks);
  options.retryInterval = std::max(options.retryInterval, orderTime);
  options.prepareRetryInterval =
    std::max(options.prepareRetryInterval, orderTime);
  options.switchLead =
    std::max<Duration>(options.switchLead, orderTime * 3 / 2);
  options.switchLeadAfterLoss =
    std::max<Duration>(options.switchLeadAfterLoss, orderTime * 3);
  options.holdTimeout = std::max<Duration>(options.holdTimeout, orderTime * 6);
  options.armTimeout = std::max<Duration>(options.armTimeout, orderTime * 9);
  return options;
}

} // namespace

MapController::MapController(std::size_t aOwnRank,
                             std::size_t aRanks,
                             experts::HoldSteps& aHoldSteps,
                             MapControllerOptions aOptions)
  : mOwnRank(aOwnRank)
  , mOptions(aOptions)
  , mHoldSteps(aHoldSteps)
  , mSwitch(aOwnRank, aRanks, aHoldSteps, switchOptions(aRanks))
  , mRanks(aRanks)
{
}

void
MapController::recordSteps(const experts::RankState& aState, Instant aNow)
{
  const auto isAt = [&aState](const std::optional<std::uint64_t>& aHeld) {
    return aHeld && aState.step + 1 >= *aHeld;
  };
  mHasWaited = mHasWaited || isAt(mLastHeld) || isAt(aState.held);
  mLastHeld = aState.held;
  if (aState.step == mLastStep) {
    return;
  }
  // The time at a held step is no pass: a longer one would shorten the lead of
  // the next held step, and gateways would refuse streams.
  if (aState.step > mLastStep && mLastStep > 0 && !mHasWaited) {
    // A ratio of sums, since a mean of ratios overrates reads that are late.
    const double weight = 1 - kPassSmoothing;
    mPassSeconds = mPassSeconds * weight + toSeconds(aNow - mLastStepAt);
    mPasses = mPasses * weight + static_cast<double>(aState.step - mLastStep);
    mPassTime = fromSeconds(mPassSeconds / mPasses);
  }
  mHasWaited = isAt(aState.held);
  mLastStep = aState.step;
  mLastStepAt = aNow;
}

void
MapController::update(const RankUpdate& aUpdate, Instant aNow)
{
  Rank& rank = mRanks[aUpdate.rank];
  if (aUpdate.rank == mOwnRank) {
    recordSteps(aUpdate.state, aNow);
  }
  RankUpdate merged = aUpdate;
  if (merged.experts.empty() && rank.update &&
      rank.update->state.inForce == aUpdate.state.inForce) {
    merged.experts = rank.update->experts; // As last reported.
  }
  addCounts(merged, aNow);
  rank.update = std::move(merged);
  rank.updatedAt = aNow;
}

bool
MapController::knowsExperts(const RankUpdate& aUpdate) const
{
  const auto& known = mRanks[aUpdate.rank].update;
  return !aUpdate.experts.empty() ||
         (known && known->state.inForce == aUpdate.state.inForce &&
          !known->experts.empty());
}

bool
MapController::hasFullMap(std::size_t aRank) const
{
  const auto& update = mRanks[aRank].update;
  return update && update->hasFullMap;
}

double
MapController::framesPerChange() const
{
  return 2 * std::sqrt(static_cast<double>(mRanks.size()));
}

Duration
MapController::transferTime(std::size_t aCopies) const
{
  double mapEntries = 0;
  for (const experts::ExpertMap& set : mCurrentMap) {
    for (const auto& slots : set.slots) {
      mapEntries += static_cast<double>(slots.size() + 1);
    }
  }
  // Whole maps are counted once for each rank, as repeats go to the ranks
  // directly and must leave room for the orders to arm.
  double bytes =
    static_cast<double>(aCopies) * kChangeBytes * framesPerChange();
  for (std::size_t rank = 0; rank < mRanks.size(); ++rank) {
    bytes += hasFullMap(rank) ? 0 : mapEntries * kMapEntryBytes;
  }
  return fromSeconds(bytes / mOptions.linkBytesPerSecond);
}

void
MapController::removeRank(std::size_t aRank)
{
  mRanks[aRank].update.reset();
}

void
MapController::addCounts(const RankUpdate& aUpdate, Instant aNow)
{
  const std::size_t sets = aUpdate.experts.size();
  if (aUpdate.counts.empty() || sets == 0 ||
      aUpdate.counts.size() % sets != 0) {
    return;
  }
  const std::size_t experts = aUpdate.counts.size() / sets;
  if (mLoads.size() != sets || mLoads[0].size() != experts) {
    mLoads.assign(sets, std::vector<double>(experts, 0));
    mRecentLoads = mLoads;
    mFirstCountsAt = aNow;
  }
  const double age = toSeconds(aNow - mDecayedAt);
  const double decay = std::exp(-age / toSeconds(mOptions.loadTimeConstant));
  const double recentDecay =
    std::exp(-age / toSeconds(mOptions.recentTimeConstant));
  mDecayedAt = aNow;
  for (std::size_t set = 0; set < sets; ++set) {
    for (std::size_t expert = 0; expert < experts; ++expert) {
      const double count = aUpdate.counts[set * experts + expert];
      mLoads[set][expert] = mLoads[set][expert] * decay + count;
      mRecentLoads[set][expert] =
        mRecentLoads[set][expert] * recentDecay + count;
    }
  }
}

void
MapController::updateCurrentMap()
{
  // All ranks with the same version have the same map.
  std::uint64_t lowest = mRanks[mOwnRank].update->state.inForce;
  std::uint64_t highest = lowest;
  std::uint64_t epoch = mRanks[mOwnRank].update->state.epoch;
  for (const Rank& rank : mRanks) {
    lowest = std::min(lowest, rank.update->state.inForce);
    highest = std::max(highest, rank.update->state.inForce);
  }
  const auto version = std::pair(epoch, lowest);
  if (lowest != highest || mCurrentMap.empty() || mCurrentVersion != version) {
    mCurrentMap = assembleMap();
    mCurrentVersion = lowest == highest ? std::optional(version) : std::nullopt;
  }
}

experts::GroupMap
MapController::assembleMap() const
{
  experts::GroupMap map(mRanks[mOwnRank].update->experts.size());
  for (std::size_t set = 0; set < map.size(); ++set) {
    for (const Rank& rank : mRanks) {
      map[set].slots.push_back(rank.update->experts[set]);
    }
  }
  return map;
}

std::vector<experts::RankOrder>
MapController::tick(Instant aNow, std::uint64_t aVersion)
{
  std::vector<std::optional<experts::RankState>> states;
  bool areAllKnown = true;
  bool isStable = true;
  const auto& own = mRanks[mOwnRank].update;
  for (const Rank& rank : mRanks) {
    const bool isKnown = rank.update &&
                         aNow - rank.updatedAt < mOptions.maxStateAge && own &&
                         !own->experts.empty() &&
                         rank.update->experts.size() == own->experts.size();
    areAllKnown = areAllKnown && isKnown;
    states.push_back(isKnown ? std::optional(rank.update->state)
                             : std::nullopt);
    isStable = isStable && isKnown && own && rank.update->isOpen &&
               rank.update->state.epoch == own->state.epoch &&
               rank.update->state.inForce == own->state.inForce &&
               rank.update->experts.size() == own->experts.size() &&
               !rank.update->state.armed && !rank.update->state.held;
  }
  if (!areAllKnown) {
    // A change in progress continues as far as it needs no missing state.
    return mSwitch.isIdle() || mCurrentMap.empty()
             ? std::vector<experts::RankOrder>{}
             : mSwitch.tick(aNow, states, mPassTime, aVersion, mCurrentMap);
  }
  updateCurrentMap();
  // Without a step to hold, ranks would copy experts for nothing.
  if (mSwitch.canBegin() && isStable &&
      mHoldSteps.hasSteps(own->state.epoch, own->state.step)) {
    plan(aNow, aVersion);
  }
  return mSwitch.tick(aNow, states, mPassTime, aVersion, mCurrentMap);
}

std::vector<double>
MapController::slowdowns() const
{
  std::vector<double> slowdowns;
  for (const Rank& rank : mRanks) {
    slowdowns.push_back(rank.update ? rank.update->slowdown : 1);
  }
  return slowdowns;
}

bool
MapController::adoptShiftedLoads()
{
  const double longTermSkew = experts::skewOf(mCurrentMap, mLoads, slowdowns());
  const double recentSkew =
    experts::skewOf(mCurrentMap, mRecentLoads, slowdowns());
  const bool hasShifted = recentSkew > longTermSkew * mOptions.shiftRatio;
  if (hasShifted) {
    mLoads = mRecentLoads;
  }
  return hasShifted;
}

experts::CopyPlanOptions
MapController::copyOptions() const
{
  const auto copiesPerRank =
    mOptions.copyTime > Duration(0)
      ? static_cast<std::size_t>(mOptions.maxCopyTime / mOptions.copyTime)
      : mOptions.standbySlotsPerRank * mCurrentMap.size();
  return { .slotsPerRank = mOptions.slotsPerRank,
           .maxCopiesPerRank = mOptions.standbySlotsPerRank,
           .maxTotalCopiesPerRank = std::max<std::size_t>(1, copiesPerRank),
           .maxCopies = mRanks.size() * 2,
           .maxTotalCopies = static_cast<std::size_t>(
             toSeconds(mOptions.maxTransferTime) * mOptions.linkBytesPerSecond /
             (kChangeBytes * framesPerChange())),
           .paces = slowdowns(),
           .minGain =
             mOptions.minGainPerCopySecond * toSeconds(mOptions.copyTime) };
}

double
MapController::relativePassTime(double aSkewSum) const
{
  const double sets = static_cast<double>(mCurrentMap.size());
  return 1 - mOptions.expertRatio + mOptions.expertRatio * aSkewSum / sets;
}

void
MapController::plan(Instant aNow, std::uint64_t aVersion)
{
  const Duration period = std::max<Duration>(
    kPlanPeriod, kPlanPeriodPerRank * static_cast<std::int64_t>(mRanks.size()));
  if (aNow - mPlannedAt < period || mLoads.empty() ||
      aNow - mFirstCountsAt < mOptions.warmup ||
      mCurrentMap.size() != mLoads.size()) {
    return;
  }
  mPlannedAt = aNow;
  const bool isReplacement = !mSwitch.isIdle();
  if (!adoptShiftedLoads() && isReplacement) {
    return;
  }
  experts::GroupPlan next =
    experts::planCopies(mCurrentMap, mLoads, copyOptions());
  mSkew = next.skewBefore / static_cast<double>(mCurrentMap.size());
  const double skewWithout =
    isReplacement ? experts::skewOf(mSwitch.targetMap(), mLoads, slowdowns())
                  : next.skewBefore;
  const double gain =
    1 - relativePassTime(next.skewAfter) / relativePassTime(skewWithout);
  if (gain < (isReplacement ? mOptions.minReplacementGain : mOptions.minGain)) {
    return;
  }
  mPlannedCopies = next.copies;
  const Duration copyDuration =
    mOptions.copyTime * static_cast<std::int64_t>(next.maxCopiesOnRank);
  mSwitch.begin(aVersion,
                std::move(next.map),
                aNow,
                copyDuration + transferTime(next.copies));
}

} // namespace laburnum::steward
