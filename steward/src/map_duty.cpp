#include "laburnum/steward/map_duty.hpp"

#include <algorithm>
#include <cmath>

namespace laburnum::steward {
namespace {

/// Least time between two looks for a better map.
constexpr Duration kPlanPeriod = milliseconds(100);
/// Experts that one change brings to a rank in a set of layers. A rank copies
/// them one after another, and until the last is there the old map holds.
constexpr std::size_t kNewPerRank = 1;
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
  for (const Rank& rank : mRanks) {
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
             : mSwitch.tick(aNow, states, mPass, aVersion, mInForce);
  }
  mInForce = inForce();
  if (mSwitch.isIdle() && isSettled) {
    plan(aNow, aVersion);
  }
  return mSwitch.tick(aNow, states, mPass, aVersion, mInForce);
}

void
MapDuty::followShift()
{
  double smooth = 0;
  double recent = 0;
  for (std::size_t set = 0; set < mInForce.size(); ++set) {
    smooth += experts::skewOf(mInForce[set], mLoads[set]);
    recent += experts::skewOf(mInForce[set], mRecent[set]);
  }
  if (recent > smooth * mOptions.shiftRatio) {
    mLoads = mRecent;
  }
}

bool
MapDuty::plan(Instant aNow, std::uint64_t aVersion)
{
  if (aNow - mPlannedAt < kPlanPeriod || mLoads.empty() ||
      aNow - mCountsSince < mOptions.settle) {
    return false;
  }
  mPlannedAt = aNow;
  const experts::GroupMap& present = mInForce;
  if (present.size() != mLoads.size()) {
    return false;
  }
  followShift();
  experts::GroupMap next;
  const experts::CopyPlanOptions options{ .placements = mOptions.placements,
                                          .newPerRank = std::min(
                                            kNewPerRank, mOptions.standby),
                                          .maxCopies = mOptions.maxCopies };
  double before = 0;
  double after = 0;
  std::size_t copies = 0;
  for (std::size_t set = 0; set < present.size(); ++set) {
    experts::MapPlan plan =
      experts::planCopies(present[set], mLoads[set], options);
    before += experts::skewOf(present[set], mLoads[set]);
    after += plan.skew;
    copies += plan.moves;
    next.push_back(std::move(plan.map));
  }
  const double sets = static_cast<double>(present.size());
  const double own = 1 - mOptions.expertRatio;
  const double gain = 1 - (own + mOptions.expertRatio * after / sets) /
                            (own + mOptions.expertRatio * before / sets);
  mSkew = before / sets;
  if (gain < mOptions.leastGain) {
    return false;
  }
  mCopies = copies;
  mSwitch.begin(aVersion, std::move(next), aNow);
  return true;
}

} // namespace laburnum::steward
