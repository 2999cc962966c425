#include "laburnum/node/placement_duty.hpp"

#include "laburnum/kernel/log.hpp"

namespace laburnum::node {
namespace {

constexpr char kDuty[] = "placement";
constexpr std::string_view kModelPrefix = "model/";

/// Time after which an order without effect is sent again.
constexpr Duration kRepeat = seconds(1);

experts::PlacementServer
serverOf(const membership::Member& aMember)
{
  experts::PlacementServer server{
    .name = aMember.name,
    .domain = aMember.domain,
    .loading = aMember.loading,
    .live = aMember.state == membership::MemberState::Alive ||
            aMember.state == membership::MemberState::Suspect
  };
  if (!aMember.offers.empty()) {
    server.model = aMember.offers.front().substr(kModelPrefix.size());
  }
  return server;
}

std::vector<experts::PlacementServer>
serversOf(const membership::Membership& aMembership)
{
  std::vector<experts::PlacementServer> servers;
  if (aMembership.self().takesOrders) {
    servers.push_back(serverOf(aMembership.self()));
  }
  for (const auto& [name, member] : aMembership.members()) {
    if (member.takesOrders) {
      servers.push_back(serverOf(member));
    }
  }
  return servers;
}

std::vector<experts::PlacementDemand>
demandsOf(const contract::ObjectStore& aStore)
{
  std::vector<experts::PlacementDemand> demands;
  for (const auto& [name, rule] : aStore.models()) {
    if (!rule.id().empty()) {
      demands.push_back({ .model = rule.id(),
                          .servers = rule.servers,
                          .gigabytes = rule.weightGigabytes });
    }
  }
  return demands;
}

} // namespace

PlacementDuty::PlacementDuty(Loop& aLoop,
                             coordination::ObjectClient& aClient,
                             const contract::ObjectStore& aStore,
                             std::string aSelf)
  : mLoop(aLoop)
  , mStore(aStore)
  , mDuty(aLoop, aClient, kDuty, std::move(aSelf))
  , mPlanner({})
{
}

void
PlacementDuty::tick(const membership::Membership& aMembership,
                    const Send& aSend)
{
  if (mStore.models().empty()) {
    return;
  }
  mDuty.tick();
  if (!mDuty.holds()) {
    // Whoever holds the lease next sees by the servers' records what loads.
    mPending.clear();
    mPlanner = experts::PlacementPlanner({});
    return;
  }
  plan(aMembership);
  send(aSend);
}

void
PlacementDuty::plan(const membership::Membership& aMembership)
{
  const contract::PolicyRule& policy = mStore.policy();
  mPlanner.setStoreRate(policy.weightStoreGigabytesPerSecond,
                        static_cast<std::size_t>(policy.parallelLoads));
  const auto orders =
    mPlanner.tick(mLoop.now(), serversOf(aMembership), demandsOf(mStore));
  for (const experts::LoadOrder& order : orders) {
    Pending& pending = mPending[order.server];
    pending.order.duty = kDuty;
    pending.order.model = order.model;
    pending.order.gigabytes = order.gigabytes;
    pending.sentAt = Instant{};
    log(LogLevel::Info,
        "load_ordered",
        { { "server", order.server },
          { "model", order.model },
          { "reason", order.reason },
          { "fence", mDuty.fence() } });
  }
}

void
PlacementDuty::send(const Send& aSend)
{
  for (auto it = mPending.begin(); it != mPending.end();) {
    if (!mPlanner.isLoading(it->first)) {
      mEnded.push_back(it->first);
      it = mPending.erase(it);
      continue;
    }
    Pending& pending = it->second;
    if (mLoop.now() - pending.sentAt >= kRepeat) {
      pending.order.fence = mDuty.fence();
      if (aSend(it->first, pending.order)) {
        pending.sentAt = mLoop.now();
      }
    }
    ++it;
  }
}

void
PlacementDuty::replied(const std::string& aServer,
                       const wire::OrderReplyT& aReply)
{
  const auto found = mPending.find(aServer);
  const bool current = found != mPending.end() &&
                       found->second.order.model == aReply.model &&
                       found->second.order.fence == aReply.fence;
  if (!current || aReply.error == 0) {
    return;
  }
  log(LogLevel::Warn,
      "load_refused",
      { { "server", aServer },
        { "model", aReply.model },
        { "error", info(static_cast<Error>(aReply.error)).id } });
  mPlanner.endLoad(aServer);
}

std::vector<std::string>
PlacementDuty::ended()
{
  return std::exchange(mEnded, {});
}

boost::json::array
PlacementDuty::explain() const
{
  boost::json::array lines;
  if (mDuty.holds()) {
    for (const std::string& line : mPlanner.explain()) {
      lines.emplace_back(line);
    }
  }
  return lines;
}

} // namespace laburnum::node
