// The reports of a steward to the keeper.

#include "laburnum/steward/steward.hpp"

#include "constants.hpp"
#include "frames.hpp"

#include <algorithm>

namespace laburnum::steward {
namespace {

/// Maximum time between two reports, which show that the rank is alive when its
/// state does not change.
constexpr Duration kMaxReportPeriod = milliseconds(500);
/// Minimum time between two reports of which only the load is new, and for each
/// rank of the group, as the keeper receives them all.
constexpr Duration kLoadReportPeriod = milliseconds(200);
constexpr Duration kLoadReportPeriodPerRank = milliseconds(2);

} // namespace

bool
Steward::hasStateChanged() const
{
  const auto& state = mReport.state;
  return !mHasReportedExperts || state.epoch != mReportedState.epoch ||
         state.inForce != mReportedState.inForce ||
         state.prepared != mReportedState.prepared ||
         state.armed != mReportedState.armed ||
         state.held != mReportedState.held ||
         mSlowdownFilter.slowdown() != mReportedSlowdown ||
         mNews != mReportedNews || mGatewayLinks.size() != mReportedGateways;
}

bool
Steward::hasCurrentMap() const
{
  return mMaps.contains(mReport.state.inForce);
}

void
Steward::appendCounts(wire::RankReportT& aFrame)
{
  const std::size_t sets = mLoadedExperts.experts.size();
  const std::vector<double> counts =
    mCountReporter.take(mReport.rank, mReport.groupSize, mLoop.now());
  if (sets == 0 || counts.empty() || counts.size() % sets != 0) {
    return;
  }
  const std::size_t experts = counts.size() / sets;
  for (std::size_t set = 0; set < sets; ++set) {
    const auto begin =
      counts.begin() + static_cast<std::ptrdiff_t>(set * experts);
    const auto maximum =
      *std::max_element(begin, begin + static_cast<std::ptrdiff_t>(experts));
    const double scale = std::max(1.0, maximum / 255.0);
    aFrame.scales.push_back(static_cast<float>(scale));
    for (std::size_t expert = 0; expert < experts; ++expert) {
      aFrame.counts.push_back(
        static_cast<std::uint8_t>(counts[set * experts + expert] / scale));
    }
  }
}

void
Steward::reportToKeeper()
{
  if (mKeeperSelection.isAsking() && !mReport.group.empty()) {
    askForKeeper();
    return;
  }
  if (mReport.group.empty() ||
      mLoadedExperts.version != mReport.state.inForce ||
      !(isKeeper() || mKeeperLink)) {
    return;
  }
  const bool includeCounts =
    mCountReporter.isDue(mReport.rank, mReport.groupSize, mLoop.now());
  const Duration loadPeriod = std::clamp<Duration>(
    kLoadReportPeriodPerRank * static_cast<std::int64_t>(mReport.groupSize),
    kLoadReportPeriod,
    kMaxReportPeriod);
  const Duration maxAge =
    mReport.requests == mReportedLoad ? kMaxReportPeriod : loadPeriod;
  if (!includeCounts && !hasStateChanged() &&
      mLoop.now() - mReportedAt < maxAge) {
    return;
  }
  const auto& state = mReport.state;
  wire::RankReportT frame;
  frame.group = mReport.group;
  frame.epoch = state.epoch;
  frame.rank = static_cast<std::uint32_t>(mReport.rank);
  frame.size = static_cast<std::uint32_t>(mReport.groupSize);
  frame.open = mReport.isOpen;
  frame.step = state.step;
  frame.in_force = state.inForce;
  frame.prepared = optionalToSigned(state.prepared);
  if (state.armed) {
    frame.armed_version = static_cast<std::int64_t>(state.armed->version);
    frame.armed_step = static_cast<std::int64_t>(state.armed->step);
  }
  frame.held = optionalToSigned(state.held);
  frame.knows_map = hasCurrentMap();
  frame.pace = static_cast<float>(mSlowdownFilter.slowdown());
  frame.load = static_cast<std::uint32_t>(mReport.requests);
  frame.gateways = static_cast<std::uint32_t>(mGatewayLinks.size());
  frame.config_version = mNews.configurationVersion;
  frame.servers_revision = mNews.serversRevision;
  frame.store_era = mNews.storeEra;
  if (!mHasReportedExperts) {
    frame.server = mSettings.server.address.text();
  }
  if (!mHasReportedExperts || state.inForce != mReportedState.inForce ||
      state.epoch != mReportedState.epoch) {
    frame.experts = std::make_unique<wire::LayerMapT>();
    for (const auto& set : mLoadedExperts.experts) {
      auto experts = std::make_unique<wire::RankExpertsT>();
      experts->experts = set;
      frame.experts->ranks.push_back(std::move(experts));
    }
  }
  if (includeCounts) {
    appendCounts(frame);
  }
  mHasReportedExperts = true;
  mReportedState = state;
  mReportedSlowdown = mSlowdownFilter.slowdown();
  mReportedLoad = mReport.requests;
  mReportedGateways = mGatewayLinks.size();
  mReportedNews = mNews;
  mReportedAt = mLoop.now();
  if (isKeeper()) {
    processRankReport(nullptr, frame);
  } else {
    mKeeperLink->send(std::move(frame));
  }
}

} // namespace laburnum::steward
