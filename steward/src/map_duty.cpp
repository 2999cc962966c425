#include "laburnum/steward/map_duty.hpp"

#include <algorithm>
#include <cmath>

namespace laburnum::steward {
namespace {

/// Least time between two looks for a better map.
constexpr Duration kPlanPeriod = milliseconds(100);
/// The slowest link that the users name for instances beside engines, 8 Mbit/s.
constexpr double kLinkBytesPerSecond = 1e6;
/// Of a copy in the frame that tells a rank of a change.
constexpr double kCopyBytes = 8;
/// Of an expert, or the end of a rank's, in the frame that tells a whole map.
constexpr double kPlaceBytes = 2;
/// Share of a new pass time in the smoothed one.
constexpr double kPassSmoothing = 0.3;

} // namespace

MapDuty::MapDuty(std::size_t aOwnRank,
                 std::size_t aRanks,
                 MapDutyOptions aOptions)
  : mOwn(aOwnRank)
  , mOptions(aOptions)
  , mSwitch(aOwnRank, aRanks)
  , mRanks(aRanks)
{
}

void
MapDuty::news(const RankNews& aNews, Instant aNow)
{
  Rank& rank = mRanks[aNews.rank];
  if (aNews.rank == mOwn) {
    if (aNews.state.step > mStepAt && mStepAt > 0) {
      const Duration pass = (aNow - mStepSeen) / static_cast<std::int64_t>(
                                                   aNews.state.step - mStepAt);
      mPass +=
        std::chrono::duration_cast<Duration>((pass - mPass) * kPassSmoothing);
    }
    if (aNews.state.step != mStepAt) {
      mStepAt = aNews.state.step;
      mStepSeen = aNow;
    }
  }
  RankNews merged = aNews;
  if (merged.experts.empty() && rank.news &&
      rank.news->state.inForce == aNews.state.inForce) {
    merged.experts = rank.news->experts; // As last told.
  }
  addCounts(merged, aNow);
  rank.news = std::move(merged);
  rank.at = aNow;
}

bool
MapDuty::knowsExperts(const RankNews& aNews) const
{
  const auto& known = mRanks[aNews.rank].news;
  return !aNews.experts.empty() ||
         (known && known->state.inForce == aNews.state.inForce &&
          !known->experts.empty());
}

bool
MapDuty::knowsMap(std::size_t aRank) const
{
  const auto& news = mRanks[aRank].news;
  return news && news->knowsMap;
}

Duration
MapDuty::tellingTime(std::size_t aCopies) const
{
  double places = 0;
  for (const experts::ExpertMap& set : mInForce) {
    for (const auto& slots : set.slots) {
      places += static_cast<double>(slots.size() + 1);
    }
  }
  double bytes = 0;
  for (std::size_t rank = 0; rank < mRanks.size(); ++rank) {
    bytes += knowsMap(rank) ? static_cast<double>(aCopies) * kCopyBytes
                            : places * kPlaceBytes;
  }
  return fromSeconds(bytes / kLinkBytesPerSecond);
}

void
MapDuty::lost(std::size_t aRank)
{
  mRanks[aRank].news.reset();
}

void
MapDuty::addCounts(const RankNews& aNews, Instant aNow)
{
  const std::size_t sets = aNews.experts.size();
  if (aNews.counts.empty() || sets == 0 || aNews.counts.size() % sets != 0) {
    return;
  }
  const std::size_t experts = aNews.counts.size() / sets;
  if (mLoads.size() != sets || mLoads[0].size() != experts) {
    mLoads.assign(sets, std::vector<double>(experts, 0));
    mRecent = mLoads;
    mCountsSince = aNow;
  }
  const double age = toSeconds(aNow - mFadedAt);
  const double fade = std::exp(-age / toSeconds(mOptions.memory));
  const double fadeSoon = std::exp(-age / toSeconds(mOptions.shortMemory));
  mFadedAt = aNow;
  for (std::size_t set = 0; set < sets; ++set) {
    for (std::size_t expert = 0; expert < experts; ++expert) {
      const double count = aNews.counts[set * experts + expert];
      mLoads[set][expert] = mLoads[set][expert] * fade + count;
      mRecent[set][expert] = mRecent[set][expert] * fadeSoon + count;
    }
  }
}

experts::GroupMap
MapDuty::inForce() const
{
  experts::GroupMap map(mRanks[mOwn].news->experts.size());
  for (std::size_t set = 0; set < map.size(); ++set) {
    for (const Rank& rank : mRanks) {
      map[set].slots.push_back(rank.news->experts[set]);
    }
  }
  return map;
}

std::vector<experts::RankOrder>
MapDuty::tick(Instant aNow, std::uint64_t aVersion)
{
  std::vector<std::optional<experts::RankState>> states;
  bool isWhole = true;
  bool isSettled = true;
  const auto& own = mRanks[mOwn].news;
  std::uint64_t version = aVersion;
  for (const Rank& rank : mRanks) {
    if (rank.news) {
      // One whose clock is ahead may have given a rank a later version.
      version = std::max(version, rank.news->state.prepared.value_or(0) + 1);
    }
    const bool isKnown = rank.news && aNow - rank.at < mOptions.fresh && own &&
                         !own->experts.empty() &&
                         rank.news->experts.size() == own->experts.size();
    isWhole = isWhole && isKnown;
    states.push_back(isKnown ? std::optional(rank.news->state) : std::nullopt);
    isSettled = isSettled && isKnown && own && rank.news->isOpen &&
                rank.news->state.epoch == own->state.epoch &&
                rank.news->state.inForce == own->state.inForce &&
                rank.news->experts.size() == own->experts.size() &&
                !rank.news->state.armed && !rank.news->state.held;
  }
  if (!isWhole) {
    // Orders go on only as far as no rank has to be known for them.
    return mSwitch.isIdle() || mInForce.empty()
             ? std::vector<experts::RankOrder>{}
             : mSwitch.tick(aNow, states, mPass, version, mInForce);
  }
  mInForce = inForce();
  if (mSwitch.canBegin() && isSettled) {
    plan(aNow, version);
  }
  return mSwitch.tick(aNow, states, mPass, version, mInForce);
}

std::vector<double>
MapDuty::paces() const
{
  std::vector<double> paces;
  for (const Rank& rank : mRanks) {
    paces.push_back(rank.news ? rank.news->pace : 1);
  }
  return paces;
}

bool
MapDuty::followShift()
{
  const double smooth = experts::skewOf(mInForce, mLoads, paces());
  const double recent = experts::skewOf(mInForce, mRecent, paces());
  const bool isShift = recent > smooth * mOptions.shiftRatio;
  if (isShift) {
    mLoads = mRecent;
  }
  return isShift;
}

experts::CopyPlanOptions
MapDuty::copyOptions() const
{
  const auto inAll =
    mOptions.copyTime > Duration(0)
      ? static_cast<std::size_t>(mOptions.longestCopy / mOptions.copyTime)
      : mOptions.standby * mInForce.size();
  return { .slotsPerRank = mOptions.placements,
           .maxCopiesPerRank = mOptions.standby,
           .maxTotalCopiesPerRank = std::max<std::size_t>(1, inAll),
           .maxCopies = mRanks.size() * 2,
           .maxTotalCopies = static_cast<std::size_t>(
             toSeconds(mOptions.longestTelling) * kLinkBytesPerSecond /
             (kCopyBytes * static_cast<double>(mRanks.size()))),
           .paces = paces(),
           .minGain =
             mOptions.gainPerCopySecond * toSeconds(mOptions.copyTime) };
}

double
MapDuty::passOf(double aSkews) const
{
  const double sets = static_cast<double>(mInForce.size());
  return 1 - mOptions.expertRatio + mOptions.expertRatio * aSkews / sets;
}

void
MapDuty::plan(Instant aNow, std::uint64_t aVersion)
{
  if (aNow - mPlannedAt < kPlanPeriod || mLoads.empty() ||
      aNow - mCountsSince < mOptions.settle ||
      mInForce.size() != mLoads.size()) {
    return;
  }
  mPlannedAt = aNow;
  const bool isAnew = !mSwitch.isIdle();
  if (!followShift() && isAnew) {
    return;
  }
  experts::GroupPlan next =
    experts::planCopies(mInForce, mLoads, copyOptions());
  mSkew = next.skewBefore / static_cast<double>(mInForce.size());
  const double without =
    isAnew ? experts::skewOf(mSwitch.targetMap(), mLoads, paces())
           : next.skewBefore;
  const double gain = 1 - passOf(next.skewAfter) / passOf(without);
  if (gain < (isAnew ? mOptions.leastGainAnew : mOptions.leastGain)) {
    return;
  }
  mCopies = next.copies;
  const Duration copying =
    mOptions.copyTime * static_cast<std::int64_t>(next.maxCopiesOnRank);
  mSwitch.begin(
    aVersion, std::move(next.map), aNow, copying + tellingTime(next.copies));
}

} // namespace laburnum::steward
