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

/// Logs an order of the keeper that blocks the group at a step or lets it go
/// on. A release that takes effect without such a line was executed late.
void
logStepOrder(std::uint64_t aEpoch, const experts::EngineOrder& aOrder)
{
  const auto write = [aEpoch](std::string_view aKind, std::uint64_t aStep) {
    log(LogLevel::Info,
        "step_order",
        { { "kind", aKind }, { "step", aStep }, { "epoch", aEpoch } });
  };
  if (const auto* hold = std::get_if<experts::HoldOrder>(&aOrder)) {
    write("hold", hold->step);
  } else if (const auto* release =
               std::get_if<experts::ReleaseOrder>(&aOrder)) {
    write("release", release->step);
  }
}

} // namespace

const std::vector<wire::RankChange>&
Steward::changesForPrepare(const experts::PrepareOrder& aPrepare)
{
  const auto versions = std::pair(mReport.state.inForce, aPrepare.version);
  if (mCachedChangeVersions != versions) {
    mCachedChangeVersions = versions;
    mCachedChanges = diffMaps(mMapController->currentMap(), *aPrepare.map);
  }
  return mCachedChanges;
}

void
Steward::sendOrder(const experts::RankOrder& aOrder)
{
  if (aOrder.rank == mReport.rank) {
    logStepOrder(aOrder.epoch, aOrder.order);
    mLoop.spawn(executeOwnOrder(mControlledGroup, aOrder.epoch, aOrder.order));
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
  if (prepare != nullptr && canSendChanges(aOrder.rank, *prepare)) {
    found->second->send(buildChanges(aOrder.epoch, *prepare));
    return;
  }
  wire::RankOrderT frame;
  frame.group = mControlledGroup;
  frame.epoch = aOrder.epoch;
  encodeOrder(frame, aOrder.order);
  found->second->send(std::move(frame));
}

asio::awaitable<void>
Steward::executeOwnOrder(std::string aGroup,
                         std::uint64_t aEpoch,
                         experts::EngineOrder aOrder)
{
  if (mOrderScope.isOld(mLoop.now())) {
    co_await readEngine(false);
  }
  if (mReport.group == aGroup) {
    co_await executeOrder(aEpoch, std::move(aOrder));
  }
}

bool
Steward::canSendChanges(std::size_t aRank,
                        const experts::PrepareOrder& aPrepare) const
{
  return mMapController->hasFullMap(aRank) &&
         mMapController->currentMap().size() == aPrepare.map->size();
}

wire::RankOrderT
Steward::buildChanges(std::uint64_t aEpoch,
                      const experts::PrepareOrder& aPrepare)
{
  wire::RankOrderT frame;
  frame.group = mControlledGroup;
  frame.epoch = aEpoch;
  frame.kind = wire::RankOrderKind::Prepare;
  frame.version = aPrepare.version;
  frame.base = mReport.state.inForce;
  frame.changes = changesForPrepare(aPrepare);
  return frame;
}

std::vector<std::size_t>
Steward::relayedRanks(const std::vector<experts::RankOrder>& aOrders,
                      bool aAsChanges) const
{
  std::vector<std::size_t> ranks;
  const auto servers = mSummary->servers();
  for (const experts::RankOrder& order : aOrders) {
    const auto* prepare = std::get_if<experts::PrepareOrder>(&order.order);
    if (prepare != nullptr && prepare->version > mRelayedVersion &&
        order.rank != mReport.rank && mRankLinks.contains(order.rank) &&
        servers[order.rank].port != 0 &&
        canSendChanges(order.rank, *prepare) == aAsChanges) {
      ranks.push_back(order.rank);
    }
  }
  return ranks;
}

void
Steward::sendThroughRelays(const wire::RankOrderT& aOrder,
                           const std::vector<std::size_t>& aRanks)
{
  std::vector<std::string> domains;
  for (std::size_t rank = 0; rank < mReport.groupSize; ++rank) {
    domains.push_back(mSummary->failureDomain(rank));
  }
  const auto servers = mSummary->servers();
  for (const RelayChunk& chunk : relayChunks(aRanks, domains)) {
    wire::RelayedOrderT frame;
    frame.sender = mIdentity.incarnation;
    std::vector<contract::Address> targets;
    for (const std::size_t target : chunk.targets) {
      targets.push_back(servers[target]);
    }
    frame.targets = encodeAddresses(targets);
    frame.order = std::make_unique<wire::RankOrderT>(aOrder);
    mRankLinks[chunk.relay]->send(std::move(frame));
  }
}

std::set<std::size_t>
Steward::relayOrders(const std::vector<experts::RankOrder>& aOrders)
{
  std::set<std::size_t> relayed;
  if (!mSummary || aOrders.size() < kMinRelayedOrders) {
    return relayed;
  }
  std::uint64_t version = mRelayedVersion;
  for (const bool asChanges : { true, false }) {
    const std::vector<std::size_t> ranks = relayedRanks(aOrders, asChanges);
    if (ranks.size() < kMinRelayedOrders) {
      continue;
    }
    const auto first = std::find_if(
      aOrders.begin(), aOrders.end(), [&ranks](const auto& aOrder) {
        return aOrder.rank == ranks.front();
      });
    const auto& prepare = std::get<experts::PrepareOrder>(first->order);
    wire::RankOrderT frame;
    if (asChanges) {
      frame = buildChanges(first->epoch, prepare);
    } else {
      frame.group = mControlledGroup;
      frame.epoch = first->epoch;
      encodeOrder(frame, prepare);
    }
    sendThroughRelays(frame, ranks);
    relayed.insert(ranks.begin(), ranks.end());
    version = prepare.version;
  }
  mRelayedVersion = version;
  return relayed;
}

void
Steward::sendOrders(const std::vector<experts::RankOrder>& aOrders)
{
  const std::set<std::size_t> relayed = relayOrders(aOrders);
  for (const experts::RankOrder& order : aOrders) {
    if (!relayed.contains(order.rank)) {
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
  if (!mOrderScope.isOld(mLoop.now()) &&
      mOrderScope.covers({ aOrder.group, aOrder.epoch })) {
    takeOrder(aOrder);
  } else {
    mLoop.spawn(readAndProcessOrder(aOrder));
  }
}

asio::awaitable<void>
Steward::readAndProcessOrder(wire::RankOrderT aOrder)
{
  const bool isRead = co_await readEngine(false);
  if (isRead && mOrderScope.covers({ aOrder.group, aOrder.epoch })) {
    takeOrder(aOrder);
    co_return;
  }
  log(LogLevel::Info,
      "order_of_other_group",
      { { "group", mReport.group },
        { "epoch", mReport.state.epoch },
        { "ordered_group", aOrder.group },
        { "ordered_epoch", aOrder.epoch } });
}

void
Steward::takeOrder(const wire::RankOrderT& aOrder)
{
  if (aOrder.kind != wire::RankOrderKind::Prepare) {
    mLoop.spawn(executeOrder(aOrder.epoch, decodeOrder(aOrder)));
  } else if (auto map = resolveMap(aOrder)) {
    const auto shared =
      std::make_shared<const experts::GroupMap>(std::move(*map));
    mMaps[aOrder.version] = *shared;
    while (mMaps.size() > kMaxStoredMaps) {
      mMaps.erase(mMaps.begin());
    }
    mLoop.spawn(executeOrder(aOrder.epoch,
                             experts::PrepareOrder{ aOrder.version, shared }));
  } else {
    log(LogLevel::Warn,
        "order_unreadable",
        { { "version", aOrder.version }, { "base", aOrder.base } });
  }
}

} // namespace laburnum::steward
