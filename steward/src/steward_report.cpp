// What a steward tells the keeper of the map.

#include "laburnum/steward/steward.hpp"

#include "constants.hpp"
#include "frames.hpp"

#include <algorithm>

namespace laburnum::steward {
namespace {

/// Without news, the keeper is told this often that the rank is there.
constexpr Duration kTellPeriod = milliseconds(500);
/// Counts of all ranks together, at the keeper: a quarter of the slowest link
/// that the users name for these instances, 8 Mbit/s.
constexpr double kCountBytesPerSecond = 250000;

} // namespace

bool
Steward::isCountsDue() const
{
  // So many ranks tell their counts that all of them together keep to the
  // bound; the ranks' requests are alike, so a part tells of all.
  const double bytes = static_cast<double>(mLast.counts.size()) *
                       static_cast<double>(mReport.size);
  const Duration period =
    std::max<Duration>(kReadPeriod, fromSeconds(bytes / kCountBytesPerSecond));
  return mLoop.now() - mCountsToldAt >= period;
}

bool
Steward::isNews() const
{
  const auto& state = mReport.state;
  return !mHasToldExperts || state.epoch != mTold.epoch ||
         state.inForce != mTold.inForce || state.prepared != mTold.prepared ||
         state.armed != mTold.armed || state.held != mTold.held ||
         mSlowness.pace() != mPaceTold;
}

bool
Steward::knowsMap() const
{
  return mMaps.contains(mReport.state.inForce);
}

void
Steward::addCounts(wire::RankReportT& aFrame)
{
  const std::size_t sets = mHolding.experts.size();
  if (sets == 0 || mFresh.empty() || mFresh.size() % sets != 0) {
    return;
  }
  const std::size_t experts = mFresh.size() / sets;
  for (std::size_t set = 0; set < sets; ++set) {
    const auto begin =
      mFresh.begin() + static_cast<std::ptrdiff_t>(set * experts);
    const auto most =
      *std::max_element(begin, begin + static_cast<std::ptrdiff_t>(experts));
    const double scale = std::max(1.0, most / 255.0);
    aFrame.scales.push_back(static_cast<float>(scale));
    for (std::size_t expert = 0; expert < experts; ++expert) {
      aFrame.counts.push_back(
        static_cast<std::uint8_t>(mFresh[set * experts + expert] / scale));
    }
  }
  mFresh.clear();
  mCountsToldAt = mLoop.now();
}

void
Steward::report()
{
  if (mReport.group.empty() || mHolding.version != mReport.state.inForce ||
      !(isKeeper() || mToKeeper)) {
    return;
  }
  const bool isDue = isCountsDue();
  if (!isDue && !isNews() && mLoop.now() - mToldAt < kTellPeriod) {
    return;
  }
  const auto& state = mReport.state;
  wire::RankReportT frame;
  frame.group = mReport.group;
  frame.epoch = state.epoch;
  frame.rank = static_cast<std::uint32_t>(mReport.rank);
  frame.size = static_cast<std::uint32_t>(mReport.size);
  frame.open = mReport.isOpen;
  frame.step = state.step;
  frame.in_force = state.inForce;
  frame.prepared = orNone(state.prepared);
  if (state.armed) {
    frame.armed_version = static_cast<std::int64_t>(state.armed->version);
    frame.armed_step = static_cast<std::int64_t>(state.armed->step);
  }
  frame.held = orNone(state.held);
  frame.knows_map = knowsMap();
  frame.pace = static_cast<float>(mSlowness.pace());
  if (!mHasToldExperts || state.inForce != mTold.inForce ||
      state.epoch != mTold.epoch) {
    frame.experts = std::make_unique<wire::LayerMapT>();
    for (const auto& set : mHolding.experts) {
      auto experts = std::make_unique<wire::RankExpertsT>();
      experts->experts = set;
      frame.experts->ranks.push_back(std::move(experts));
    }
  }
  if (isDue) {
    addCounts(frame);
  }
  mHasToldExperts = true;
  mTold = state;
  mPaceTold = mSlowness.pace();
  mToldAt = mLoop.now();
  if (isKeeper()) {
    takeNews(nullptr, frame);
  } else {
    mToKeeper->send(std::move(frame));
  }
}

} // namespace laburnum::steward
