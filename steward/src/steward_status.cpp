// The group's status for gateways.

#include "laburnum/steward/steward.hpp"

#include "frames.hpp"

#include "laburnum/kernel/log.hpp"

#include <algorithm>
#include <ctime>
#include <utility>

namespace laburnum::steward {
namespace {

/// Interval between two statuses. A stream lasts several times as long, so that
/// few requests start or end at a rank in between.
constexpr Duration kStatusPeriod = milliseconds(200);
/// Every so many statuses have the addresses of the ranks, for gateways that
/// missed them.
constexpr std::uint64_t kStatusesPerAddressList = 10;
/// A line with the load of the keeper is written every so many statuses.
constexpr std::uint64_t kStatusesPerLoadLine = 10;
/// Above this the receiver does not keep up; further statuses are skipped.
constexpr std::size_t kMaxUnsentStatusBytes = 16384;

bool
isGateway(const wire::Link& aLink)
{
  return aLink.peer().role ==
         static_cast<std::uint8_t>(contract::Role::Gateway);
}

} // namespace

void
Steward::onReady(const LinkPtr& aLink)
{
  if (isGateway(*aLink)) {
    mGatewayLinks.insert(aLink);
    mHasNewGateway = true;
    reportToKeeper();
    sendSuspicions(aLink);
  }
}

void
Steward::processGatewayNews(const wire::GatewayNewsT& aNews)
{
  mNews.merge({ .configurationVersion = aNews.config_version,
                .serversRevision = aNews.servers_revision,
                .storeEra = aNews.store_era });
  reportToKeeper();
}

void
Steward::forwardStatus(wire::GroupStatusT aStatus)
{
  if (!aStatus.group.empty() && aStatus.group != mReport.group) {
    return; // Of a keeper whose group the engine has left.
  }
  if (!aStatus.servers.empty()) {
    mStatusServers = aStatus.servers;
    mStatusEpoch = aStatus.epoch;
  } else if (mHasNewGateway) {
    aStatus.servers = mStatusServers;
  }
  mHasNewGateway = mHasNewGateway && aStatus.servers.empty();
  for (const LinkPtr& link : mGatewayLinks) {
    if (link->unsent() < kMaxUnsentStatusBytes) {
      link->send(aStatus);
    }
  }
}

wire::GroupStatusT
Steward::buildStatus()
{
  const Instant now = mLoop.now();
  wire::GroupStatusT status;
  status.group = mReport.group;
  status.epoch = mReport.state.epoch;
  status.open = mReport.isOpen;
  status.pass_us =
    static_cast<std::uint32_t>(mMapController->passTime().count());
  status.idle_us = static_cast<std::uint32_t>(
    mReport.requests > 0 ? (now - mMapController->lastStepAt()).count() : 0);
  status.gateways = mSummary->gateways();
  status.loads = encodeLoads(mSummary->loads(now));
  if (mStatusCount++ % kStatusesPerAddressList == 0) {
    status.servers = encodeAddresses(mSummary->servers());
  }
  status.config_version = mSummary->news().configurationVersion;
  status.servers_revision = mSummary->news().serversRevision;
  status.store_era = mSummary->news().storeEra;
  return status;
}

void
Steward::logKeeperLoad()
{
  const LoopDelay delay = mLoop.takeDelay();
  const KeeperLoad load = std::exchange(mKeeperLoad, {});
  log(LogLevel::Info,
      "keeper_load",
      { { "group", mControlledGroup },
        { "delay_ms", delay.longest.count() / 1000 },
        { "mean_delay_us",
          delay.total.count() /
            static_cast<std::int64_t>(std::max<std::size_t>(1, delay.timers)) },
        { "processor_ms", std::clock() * 1000 / CLOCKS_PER_SEC },
        { "reports", load.reports },
        { "tick_ms", load.tickTime.count() / 1000 },
        { "longest_tick_ms", load.longestTick.count() / 1000 },
        { "pass_us", mMapController->passTime().count() },
        { "skew", mMapController->skew() } });
}

asio::awaitable<void>
Steward::publishStatus()
{
  for (;;) {
    co_await mLoop.sleep(kStatusPeriod);
    if (!isKeeper() || !mSummary || !mMapController) {
      continue;
    }
    const wire::GroupStatusT status = buildStatus();
    forwardStatus(status);
    if (mStatusCount % kStatusesPerLoadLine == 0) {
      logKeeperLoad();
    }
    // Backups poll the engines of the group, which the list of servers does
    // not tell apart from others.
    const bool isForBackups =
      !status.servers.empty() &&
      mKeeperSelection.engines().size() > mReport.groupSize;
    for (const auto& [rank, link] : mRankLinks) {
      if ((mRelaysToGateways.contains(rank) ||
           (isForBackups && rank <= kBackupStewards)) &&
          link->unsent() < kMaxUnsentStatusBytes) {
        link->send(status);
      }
    }
  }
}

} // namespace laburnum::steward
