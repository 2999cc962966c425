#include "laburnum/steward/steward.hpp"

#include "constants.hpp"
#include "frames.hpp"

#include "laburnum/kernel/log.hpp"

#include <algorithm>
#include <utility>

namespace laburnum::steward {
namespace {

/// Interval of reads of the engine while it copies experts. The end of the last
/// copy is noticed within about one pass, which takes at least 18 ms.
constexpr Duration kPreparePollPeriod = milliseconds(20);
/// Time after which reads at `kPreparePollPeriod` end. A copy takes less than
/// half a second, and the regular reads notice a later end.
constexpr Duration kPrepareTimeout = milliseconds(700);
/// Interval of ticks of the map controller while the map changes.
constexpr Duration kSwitchTickPeriod = milliseconds(15);
/// Interval of ticks of the map controller at other times.
constexpr Duration kIdleTickPeriod = milliseconds(50);
/// Delay until a keeper that has just started sends orders: five reads, which
/// is longer than the age of any state that it acts on. A step that the
/// keeper held before a restart stalls the group during this time.
constexpr Duration kStartupDelay = milliseconds(500);
/// Time for which an engine reports no group until it counts as having left.
constexpr Duration kLeaveTimeout = seconds(2);

/// Share of the keeper's link for the counts of all ranks.
constexpr double kCountsShareOfLink = 0.25;
constexpr double kBytesPerMegabit = 125000;

} // namespace

Steward::Steward(Loop& aLoop,
                 const contract::Settings& aSettings,
                 Engine& aEngine,
                 EngineFactory aEngineFactory)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mEngine(aEngine)
  , mEngineFactory(std::move(aEngineFactory))
  , mIdentity{ .instance = aSettings.instance,
               .incarnation = entropySeed(),
               .role = aSettings.role,
               .domain = aSettings.failureDomain,
               .controlKey = aSettings.controlKey }
  , mKeeperSelection(aSettings.server.address)
  , mCountReporter(
      { .maxBytesPerSecond =
          kCountsShareOfLink * aSettings.steward.linkMbps * kBytesPerMegabit,
        .minPeriod = kReadPeriod })
  , mVersions(mIdentity.incarnation)
{
}

void
Steward::start()
{
  mListener.emplace(
    mLoop,
    mSettings.control,
    mIdentity,
    wire::LinkEvents{
      .ready = [this](const LinkPtr& aLink) { onReady(aLink); },
      .message =
        [this](const LinkPtr& aLink, wire::AnyMessage&& aMessage) {
          onMessage(aLink, std::move(aMessage));
        },
      .closed = [this](const LinkPtr& aLink,
                       const Failure&) { onClosed(aLink); } });
  log(LogLevel::Info,
      "started",
      { { "control", mSettings.control.text() },
        { "engine", mSettings.server.address.text() } });
  mLoop.keepRunning("engine", [this] { return pollEngine(); });
  mLoop.keepRunning("map", [this] { return controlMap(); });
  mLoop.keepRunning("status", [this] { return publishStatus(); });
}

void
Steward::stop()
{
  log(LogLevel::Info, "stopped");
  mLoop.stop();
}

std::uint64_t
Steward::nextVersion()
{
  return mVersions.next(std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch()));
}

void
Steward::observeVersions(const experts::RankState& aState)
{
  mVersions.observe(aState.inForce);
  mVersions.observe(aState.prepared.value_or(0));
}

asio::awaitable<void>
Steward::pollEngine()
{
  for (;;) {
    connectToKeeper();
    announceKeeper();
    const bool isRead = co_await readEngine(true);
    if (isRead) {
      processReport();
      reportToKeeper();
    }
    co_await mLoop.sleep(kReadPeriod);
  }
}

void
Steward::processReport()
{
  const auto& state = mReport.state;
  const double former = mSlowdownFilter.slowdown();
  mSlowdownFilter.observe(mReport.slowdown, mLoop.now());
  if (mSlowdownFilter.slowdown() != former) {
    log(LogLevel::Info,
        "engine_pace",
        { { "pace", mSlowdownFilter.slowdown() }, { "former", former } });
  }
  if (mReport.isOpen != mWasOpen) {
    mWasOpen = mReport.isOpen;
    log(LogLevel::Info,
        mWasOpen ? "group_open" : "group_broken",
        { { "group", mReport.group },
          { "rank", mReport.rank },
          { "epoch", state.epoch } });
  }
  const bool isStalled =
    mStallDetector.update(state.epoch,
                          state.step,
                          mReport.isOpen && mReport.requests > 0,
                          mReport.rank,
                          mLoop.now());
  if (isStalled && mEngineFactory && !mIsRecovering) {
    mIsRecovering = true;
    mLoop.spawn(recoverHold());
  }
}

asio::awaitable<bool>
Steward::readEngine(bool aWithCounts)
{
  // Reads overlap; an older result must not replace a newer one.
  const std::uint64_t read = ++mReadCount;
  const Instant askedAt = mLoop.now();
  const auto report = co_await mEngine.report();
  if (!report || read < mLatestRead) {
    co_return false;
  }
  mLatestRead = read;
  if (report->group.empty()) {
    // A server that starts is of no group for a moment.
    mNoGroupSince = mNoGroupSince.value_or(mLoop.now());
    if (!mReport.group.empty() &&
        mLoop.now() - *mNoGroupSince >= kLeaveTimeout) {
      leaveGroup();
    }
    co_return false;
  }
  mNoGroupSince.reset();
  mReadAt = mLoop.now();
  mOrderScope.observe({ report->group, report->state.epoch }, askedAt);
  const bool hasEngineRestarted = report->startedMs != mReport.startedMs;
  applyMembership(std::exchange(mReport, *report));
  mHoldSteps.observe(mReport.state.epoch, mReport.state.step);
  observeVersions(mReport.state);
  if (hasEngineRestarted || mLoadedExperts.experts.empty() ||
      mLoadedExperts.version != mReport.state.inForce) {
    const auto loadedExperts = co_await mEngine.loadedExperts();
    if (loadedExperts) {
      mLoadedExperts = *loadedExperts;
    }
  }
  if (!aWithCounts) {
    co_return true;
  }
  const auto counts = co_await mEngine.expertCounts();
  if (!counts) {
    co_return true;
  }
  const bool isContinuous =
    !hasEngineRestarted && counts->counts.size() == mLastCounts.counts.size();
  std::vector<std::uint64_t> added(counts->counts.size(), 0);
  for (std::size_t i = 0; i < counts->counts.size(); ++i) {
    const std::uint64_t previous = isContinuous ? mLastCounts.counts[i] : 0;
    added[i] = counts->counts[i] - std::min(previous, counts->counts[i]);
  }
  mCountReporter.add(added, mLoop.now());
  mLastCounts = *counts;
  const std::size_t sets = mLoadedExperts.experts.size();
  if (mReport.state.inForce == 0 && sets > 0 &&
      mLastCounts.counts.size() % sets == 0 && mReport.groupSize > 0) {
    auto initial =
      initialMap(sets, mLastCounts.counts.size() / sets, mReport.groupSize);
    if (initial[0].slots[mReport.rank] == mLoadedExperts.experts[0]) {
      mMaps[0] = std::move(initial);
    }
  }
  co_return true;
}

asio::awaitable<void>
Steward::waitUntilPrepared(std::uint64_t aVersion)
{
  mAwaitedVersion = aVersion;
  const Instant deadline = mLoop.now() + kPrepareTimeout;
  while (mAwaitedVersion == aVersion && mReport.state.prepared != aVersion &&
         mLoop.now() < deadline) {
    co_await mLoop.sleep(kPreparePollPeriod);
    if (co_await readEngine(false)) {
      reportToKeeper();
    }
  }
}

asio::awaitable<void>
Steward::executeOrder(std::uint64_t aEpoch, experts::EngineOrder aOrder)
{
  const std::size_t kind = aOrder.index();
  const auto* prepare = std::get_if<experts::PrepareOrder>(&aOrder);
  const auto preparedVersion =
    prepare ? std::optional(prepare->version) : std::nullopt;
  const auto accepted = co_await mEngine.order(aEpoch, std::move(aOrder));
  if (!accepted || !*accepted) {
    log(LogLevel::Info,
        "order_not_taken",
        { { "kind", kind },
          { "epoch", aEpoch },
          { "reason",
            accepted ? "the engine refused the order"
                     : accepted.failure().detail } });
  }
  if (co_await readEngine(false)) {
    reportToKeeper();
  }
  if (preparedVersion && accepted && *accepted &&
      mAwaitedVersion != *preparedVersion) {
    co_await waitUntilPrepared(*preparedVersion);
  }
}

void
Steward::onMessage(const LinkPtr& aLink, wire::AnyMessage&& aMessage)
{
  if (const auto* report = std::get_if<wire::RankReportT>(&aMessage)) {
    processRankReport(aLink, *report);
  } else if (const auto* order = std::get_if<wire::RankOrderT>(&aMessage)) {
    if (aLink == mKeeperLink) {
      processOrder(*order);
    }
  } else if (auto* status = std::get_if<wire::GroupStatusT>(&aMessage)) {
    if (aLink == mKeeperLink) {
      forwardStatus(std::move(*status));
    }
  } else if (const auto* hint = std::get_if<wire::KeeperHintT>(&aMessage)) {
    processHint(aLink, *hint);
  } else if (const auto* news = std::get_if<wire::GatewayNewsT>(&aMessage)) {
    processGatewayNews(*news);
  } else if (const auto* suspects = std::get_if<wire::SuspectsT>(&aMessage)) {
    processSuspicions(aLink, *suspects);
  } else if (const auto* relayed =
               std::get_if<wire::RelayedOrderT>(&aMessage)) {
    processRelayedOrder(aLink, *relayed);
  }
}

void
Steward::onClosed(const LinkPtr& aLink)
{
  mGatewayLinks.erase(aLink);
  forgetPeer(aLink);
  for (auto it = mRankLinks.begin(); it != mRankLinks.end();) {
    if (it->second == aLink) {
      if (mMapController) {
        mMapController->removeRank(it->first);
      }
      if (mSummary) {
        mSummary->removeRank(it->first);
      }
      mRelaysToGateways.erase(it->first);
      it = mRankLinks.erase(it);
    } else {
      ++it;
    }
  }
}

void
Steward::linkRank(std::size_t aRank, const LinkPtr& aLink)
{
  if (mRankLinks[aRank] == aLink) {
    return;
  }
  for (auto it = mRankLinks.begin(); it != mRankLinks.end();) {
    // The rank was another one before the group formed anew.
    if (it->second == aLink) {
      mMapController->removeRank(it->first);
      mSummary->removeRank(it->first);
      mRelaysToGateways.erase(it->first);
      it = mRankLinks.erase(it);
    } else {
      ++it;
    }
  }
  mRankLinks[aRank] = aLink;
}

void
Steward::requestFullReport(const LinkPtr& aLink, std::string_view aReason)
{
  log(LogLevel::Info, "rank_asked_again", { { "reason", aReason } });
  if (aLink) {
    aLink->close(Error::ServerLost, std::string(aReason));
  } else {
    mHasReportedExperts = false; // The own rank has no link.
  }
}

void
Steward::processRankReport(const LinkPtr& aLink,
                           const wire::RankReportT& aReport)
{
  if (aLink && !keepsGroup(aReport.group, aReport.epoch)) {
    answer(aLink, aReport.group, aReport.epoch);
    return;
  }
  if (aReport.rank >= aReport.size || aReport.size != mReport.groupSize) {
    return;
  }
  if (!mMapController || mControlledGroup != mReport.group) {
    mMapController.emplace(
      mReport.rank, mReport.groupSize, mHoldSteps, mMapOptions);
    mControlledGroup = mReport.group;
    mSummary.emplace(mReport.groupSize);
  }
  const RankUpdate update = decodeReport(aReport);
  if (!mMapController->knowsExperts(update)) {
    requestFullReport(aLink, "the experts of the rank are unknown");
    return;
  }
  ++mKeeperLoad.reports;
  RankPresence presence = decodePresence(aReport);
  presence.failureDomain =
    aLink ? aLink->peer().domain : mSettings.failureDomain;
  if (aLink) {
    mAskers.erase(aLink);
    linkRank(aReport.rank, aLink);
    if (presence.gateways > 0) {
      if (mRelaysToGateways.insert(aReport.rank).second) {
        sendSuspicions(aLink);
      }
    } else {
      mRelaysToGateways.erase(aReport.rank);
    }
  }
  observeVersions(update.state);
  mSummary->update(presence, mLoop.now());
  mMapController->update(update, mLoop.now());
}

void
Steward::tickMapController()
{
  const Instant start = mLoop.now();
  sendOrders(mMapController->tick(start, nextVersion()));
  const Duration time = mLoop.now() - start;
  mKeeperLoad.tickTime += time;
  mKeeperLoad.longestTick = std::max(mKeeperLoad.longestTick, time);
  if (mMapController->phase() != mLoggedPhase) {
    mLoggedPhase = mMapController->phase();
    log(LogLevel::Info,
        "map_change",
        { { "group", mControlledGroup },
          { "phase", nameIn(experts::kSwitchPhaseNames, mLoggedPhase) },
          { "skew", mMapController->skew() },
          { "copies", mMapController->plannedCopies() },
          { "in_force", mReport.state.inForce },
          { "version", mMapController->changeVersion() },
          { "step", mReport.state.step } });
  }
}

asio::awaitable<void>
Steward::controlMap()
{
  co_await mLoop.sleep(kStartupDelay);
  for (;;) {
    if (mMapController && isKeeper()) {
      tickMapController();
    }
    const bool isSwitching = mMapController && mMapController->isSwitching();
    co_await mLoop.sleep(isSwitching ? kSwitchTickPeriod : kIdleTickPeriod);
  }
}

} // namespace laburnum::steward
