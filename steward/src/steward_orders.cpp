// Orders of the keeper to ranks: sent, passed on by relays, and received.

#include "laburnum/steward/steward.hpp"

#include "frames.hpp"

#include "laburnum/kernel/log.hpp"

#include <algorithm>

namespace laburnum::steward {
namespace {

/// Number of maps kept as a base for differences: the map in force, the
/// prepared one and two abandoned ones.
constexpr std::size_t kMaxStoredMaps = 4;

} // namespace

const std::vector<wire::RankChange>&
Steward::changesForPrepare(const experts::PrepareOrder& aPrepare)
{
  const auto versions = std::pair(mReport.state.inForce, aPrepare.version);
  if (mCachedChangeVersions != versions) {
    mCachedChangeVersions = versions;
    mCachedChanges = diffMaps(mMapController->currentMap(), aPrepare.map);
  }
  return mCachedChanges;
}

void
Steward::sendOrder(const experts::RankOrder& aOrder)
{
  if (aOrder.rank == mReport.rank) {
    mLoop.spawn(executeOrder(mReport.state.epoch, aOrder.order));
    return;
  }
  const auto found = mRankLinks.find(aOrder.rank);
  if (found == mRankLinks.end()) {
    return; // The state of the rank is unknown too; the change waits for it.
  }
  const auto* prepare = std::get_if<experts::PrepareOrder>(&aOrder.order);
  if (prepare != nullptr && found->second->unsent() > 0) {
    return; // A second map in the queue would only delay the orders to arm.
  }
  if (prepare != nullptr && mMapController->hasFullMap(aOrder.rank) &&
      mMapController->currentMap().size() == prepare->map.size()) {
    found->second->send(buildPrepare(*prepare));
    return;
  }
  wire::RankOrderT frame;
  frame.epoch = mReport.state.epoch;
  encodeOrder(frame, aOrder.order);
  found->second->send(std::move(frame));
}

wire::RankOrderT
Steward::buildPrepare(const experts::PrepareOrder& aPrepare)
{
  wire::RankOrderT frame;
  frame.epoch = mReport.state.epoch;
  frame.kind = wire::RankOrderKind::Prepare;
  frame.version = aPrepare.version;
  frame.base = mReport.state.inForce;
  frame.changes = changesForPrepare(aPrepare);
  return frame;
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

std::optional<experts::GroupMap>
Steward::resolveMap(const wire::RankOrderT& aFrame)
{
  if (!aFrame.places.empty()) {
    return decodeMap(aFrame);
  }
  const auto base = mMaps.find(aFrame.base);
  if (base == mMaps.end()) {
    return std::nullopt;
  }
  experts::GroupMap map = base->second;
  return applyChanges(aFrame.changes, map) ? std::optional(std::move(map))
                                           : std::nullopt;
}

void
Steward::processOrder(const wire::RankOrderT& aOrder)
{
  if (aOrder.kind != wire::RankOrderKind::Prepare) {
    mLoop.spawn(executeOrder(aOrder.epoch, decodeOrder(aOrder)));
  } else if (auto map = resolveMap(aOrder)) {
    mMaps[aOrder.version] = *map;
    while (mMaps.size() > kMaxStoredMaps) {
      mMaps.erase(mMaps.begin());
    }
    mLoop.spawn(executeOrder(
      aOrder.epoch, experts::PrepareOrder{ aOrder.version, std::move(*map) }));
  } else {
    log(LogLevel::Warn,
        "order_unreadable",
        { { "version", aOrder.version }, { "base", aOrder.base } });
  }
}

} // namespace laburnum::steward
