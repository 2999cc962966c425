// The group's status for gateways, and orders that stewards pass on.

#include "laburnum/steward/steward.hpp"

#include "frames.hpp"

#include "laburnum/kernel/log.hpp"

#include <algorithm>

namespace laburnum::steward {
namespace {

/// Interval between two statuses. A stream lasts several times as long, so that
/// few requests start or end at a rank in between.
constexpr Duration kStatusPeriod = milliseconds(200);
/// Every so many statuses have the addresses of the ranks, for gateways that
/// missed them.
constexpr std::uint64_t kStatusesPerAddressList = 10;
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
  }
}

void
Steward::processGatewayNews(const wire::GatewayNewsT& aNews)
{
  mNews.merge({ aNews.config_version, aNews.servers_revision });
  reportToKeeper();
}

void
Steward::forwardStatus(wire::GroupStatusT aStatus)
{
  if (!aStatus.servers.empty()) {
    mStatusServers = aStatus.servers;
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
  return status;
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
    for (const auto& [rank, link] : mRankLinks) {
      if (mRelaysToGateways.contains(rank) &&
          link->unsent() < kMaxUnsentStatusBytes) {
        link->send(status);
      }
    }
  }
}

std::vector<std::size_t>
Steward::relayedRanks(const std::vector<experts::RankOrder>& aOrders)
{
  std::vector<std::size_t> ranks;
  if (!mSummary || aOrders.size() < kMinRelayedOrders) {
    return ranks;
  }
  const auto servers = mSummary->servers();
  for (const experts::RankOrder& order : aOrders) {
    const auto* prepare = std::get_if<experts::PrepareOrder>(&order.order);
    if (prepare != nullptr && prepare->version > mRelayedVersion &&
        order.rank != mReport.rank && mRankLinks.contains(order.rank) &&
        servers[order.rank].port != 0 &&
        mMapController->hasFullMap(order.rank)) {
      ranks.push_back(order.rank);
    }
  }
  return ranks;
}

void
Steward::sendThroughRelays(const experts::PrepareOrder& aPrepare,
                           const std::vector<std::size_t>& aRanks)
{
  std::vector<std::string> domains;
  for (std::size_t rank = 0; rank < mReport.groupSize; ++rank) {
    domains.push_back(mSummary->failureDomain(rank));
  }
  mRelayedVersion = aPrepare.version;
  const auto servers = mSummary->servers();
  for (const RelayChunk& chunk : relayChunks(aRanks, domains)) {
    wire::RelayedOrderT frame;
    frame.sender = mIdentity.incarnation;
    std::vector<contract::Address> targets;
    for (const std::size_t target : chunk.targets) {
      targets.push_back(servers[target]);
    }
    frame.targets = encodeAddresses(targets);
    frame.order = std::make_unique<wire::RankOrderT>();
    *frame.order = buildPrepare(aPrepare);
    mRankLinks[chunk.relay]->send(std::move(frame));
  }
}

void
Steward::sendOrders(const std::vector<experts::RankOrder>& aOrders)
{
  const std::vector<std::size_t> relayed = relayedRanks(aOrders);
  if (relayed.size() >= kMinRelayedOrders) {
    for (const experts::RankOrder& order : aOrders) {
      if (order.rank == relayed.front()) {
        sendThroughRelays(std::get<experts::PrepareOrder>(order.order),
                          relayed);
      }
    }
  }
  for (const experts::RankOrder& order : aOrders) {
    if (relayed.size() < kMinRelayedOrders ||
        !std::binary_search(relayed.begin(), relayed.end(), order.rank)) {
      sendOrder(order);
    }
  }
}

void
Steward::processRelayedOrder(const LinkPtr& aLink,
                             const wire::RelayedOrderT& aOrder)
{
  // Only the present keeper's orders count, whichever way they come. A relay
  // that was frozen may deliver those of an earlier one.
  if (!mKeeperLink || mKeeperLink->peer().incarnation != aOrder.sender) {
    return;
  }
  if (aLink == mKeeperLink) {
    wire::RelayedOrderT passedOn;
    passedOn.sender = aOrder.sender;
    passedOn.order = std::make_unique<wire::RankOrderT>(*aOrder.order);
    for (const contract::Address& engine : decodeAddresses(aOrder.targets)) {
      sendToSteward({ engine.host, mSettings.control.port }, passedOn);
    }
  }
  processOrder(*aOrder.order);
}

void
Steward::sendToSteward(const contract::Address& aSteward,
                       const wire::RelayedOrderT& aOrder)
{
  const auto found = mRelayLinks.find(aSteward);
  if (found != mRelayLinks.end()) {
    found->second->send(aOrder);
    return;
  }
  wire::connectLink(mLoop,
                    aSteward,
                    mIdentity,
                    {},
                    { .ready =
                        [this, aSteward, order = aOrder](const LinkPtr& aLink) {
                          mRelayLinks[aSteward] = aLink;
                          aLink->send(order);
                        },
                      .message = [](const LinkPtr&, wire::AnyMessage&&) {},
                      .closed =
                        [this, aSteward](const LinkPtr& aLink, const Failure&) {
                          const auto link = mRelayLinks.find(aSteward);
                          if (link != mRelayLinks.end() &&
                              link->second == aLink) {
                            mRelayLinks.erase(link);
                          }
                        } });
}

} // namespace laburnum::steward
