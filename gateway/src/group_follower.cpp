#include "laburnum/gateway/group_follower.hpp"

#include "laburnum/kernel/log.hpp"
#include "laburnum/wire/suspicion.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <set>

namespace laburnum::gateway {
namespace {

/// A steward tells the state of its group every 200 ms.
constexpr Duration kMaxSilence = milliseconds(1500);
/// Candidates that are tried before the first one is tried again.
constexpr std::size_t kMaxCandidates = 4;
/// Links at once to stewards that have not reported a group yet.
constexpr std::size_t kMaxExploring = 4;
/// Delay before a steward that reported nothing new is asked again; doubled
/// each time up to the factor.
constexpr Duration kAskAgain = milliseconds(3000);
constexpr int kMaxAskAgainFactor = 8;
/// A group of which no status was received for this long is forgotten.
constexpr Duration kForgetGroup = milliseconds(30000);

/// Orders addresses by numeric value of the IP address, then by port.
bool
isAddressLess(const contract::Address& aLeft, const contract::Address& aRight)
{
  boost::system::error_code ignored; // Addresses were validated when parsed.
  const auto left = asio::ip::make_address(aLeft.host, ignored);
  const auto right = asio::ip::make_address(aRight.host, ignored);
  return std::tie(left, aLeft.port) < std::tie(right, aRight.port);
}

contract::Address
toAddress(const wire::ServerAddress& aAddress)
{
  return { .host = asio::ip::address_v4(aAddress.ip()).to_string(),
           .port = aAddress.port() };
}

} // namespace

GroupFollower::GroupFollower(const contract::Settings& aSettings,
                             Context& aContext,
                             StoreFreshness& aFreshness,
                             Handlers aHandlers)
  : mSettings(aSettings)
  , mContext(aContext)
  , mFreshness(aFreshness)
  , mHandlers(std::move(aHandlers))
  , mIdentity{ .instance = aSettings.instance,
               .incarnation = entropySeed(),
               .role = aSettings.role,
               .domain = aSettings.failureDomain,
               .controlKey = aSettings.controlKey }
{
}

std::vector<contract::Address>
GroupFollower::candidates(
  const std::string& aService,
  const std::function<bool(const contract::Address&)>& aFilter) const
{
  std::vector<contract::Address> own;
  std::vector<contract::Address> all;
  for (const ServerRecord* server :
       mContext.servers.availableServers(aService)) {
    if (aFilter && !aFilter(server->address)) {
      continue;
    }
    all.push_back(server->address);
    if (server->failureDomain == mSettings.failureDomain) {
      own.push_back(server->address);
    }
  }
  auto& chosen = own.empty() ? all : own;
  std::sort(chosen.begin(), chosen.end(), isAddressLess);
  return chosen;
}

void
GroupFollower::maintain()
{
  if (!mContext.configuration || mSettings.gateway.stewardPort == 0) {
    return;
  }
  for (const auto& [name, service] : mContext.configuration->services) {
    if (service.runtime) {
      maintainService(name, mServices[name]);
    }
  }
}

void
GroupFollower::maintainService(const std::string& aService,
                               ServiceState& aState)
{
  closeSilent(aState);
  std::erase_if(aState.asked, [now = mContext.loop.now()](const auto& aEntry) {
    return now - aEntry.second.nextAt > kForgetGroup;
  });
  forgetGroups(aService, aState);
  followGroups(aService, aState);
  explore(aService, aState);
  for (const FollowPtr& follow : aState.follows) {
    if (follow->link) {
      tellNews(*follow);
    }
  }
}

void
GroupFollower::closeSilent(ServiceState& aState)
{
  const auto follows = aState.follows;
  for (const FollowPtr& follow : follows) {
    if (follow->link && mContext.loop.now() - follow->heardAt > kMaxSilence) {
      log(LogLevel::Info,
          "group_untold",
          { { "service", follow->service }, { "group", follow->group } });
      follow->link->close(Error::ServerLost, "the steward tells nothing");
      lose(follow);
    }
  }
}

void
GroupFollower::forgetGroups(const std::string& aService, ServiceState& aState)
{
  const auto alive = mContext.directory.groups(aService);
  std::erase_if(aState.groups, [&](const auto& aEntry) {
    const GroupKey key{ .service = aService, .group = aEntry.first };
    const bool isFollowed = std::any_of(
      aState.follows.begin(), aState.follows.end(), [&](const auto& aFollow) {
        return aFollow->hasTold && aFollow->group == aEntry.first;
      });
    const bool isReplaced =
      !alive.empty() && !aEntry.first.empty() &&
      std::find(alive.begin(), alive.end(), key) == alive.end();
    const bool isSilent =
      mContext.loop.now() - aEntry.second.toldAt > kForgetGroup;
    if (isFollowed || !(isReplaced || isSilent)) {
      return false;
    }
    mHandlers.gone(key);
    return true;
  });
}

void
GroupFollower::followGroups(const std::string& aService, ServiceState& aState)
{
  for (auto& [name, group] : aState.groups) {
    const auto isOfGroup = [&members = group.servers](const auto& aAddress) {
      return members.contains(aAddress);
    };
    const bool isFollowed =
      std::any_of(aState.follows.begin(),
                  aState.follows.end(),
                  [&isOfGroup, &sought = name](const auto& aFollow) {
                    return aFollow->hasTold ? aFollow->group == sought
                                            : isOfGroup(aFollow->server);
                  });
    if (isFollowed) {
      continue;
    }
    auto stewards = candidates(aService, isOfGroup);
    if (!stewards.empty()) {
      stewards.resize(std::min(stewards.size(), kMaxCandidates));
      connect(aService, aState, stewards[group.candidate % stewards.size()]);
    }
  }
}

void
GroupFollower::explore(const std::string& aService, ServiceState& aState)
{
  const Instant now = mContext.loop.now();
  const auto exploring = static_cast<std::size_t>(std::count_if(
    aState.follows.begin(), aState.follows.end(), [](const auto& aFollow) {
      return !aFollow->hasTold;
    }));
  if (aState.groups.empty() && aState.candidate < kMaxCandidates) {
    auto stewards = candidates(aService);
    if (exploring == 0 && !stewards.empty()) {
      stewards.resize(std::min(stewards.size(), kMaxCandidates));
      connect(aService, aState, stewards[aState.candidate % stewards.size()]);
    }
    return;
  }
  std::set<contract::Address> covered;
  for (const auto& [name, group] : aState.groups) {
    for (const auto& [address, id] : group.servers) {
      covered.insert(address);
    }
  }
  for (const FollowPtr& follow : aState.follows) {
    covered.insert(follow->server);
  }
  const auto open = candidates(aService, [&](const auto& aAddress) {
    const auto asked = aState.asked.find(aAddress);
    return !covered.contains(aAddress) &&
           (asked == aState.asked.end() || asked->second.nextAt <= now);
  });
  const std::size_t free = kMaxExploring - std::min(kMaxExploring, exploring);
  const std::size_t count = std::min(free, open.size());
  // Spread over the servers, as neighbours are mostly of the same group.
  for (std::size_t i = 0; i < count; ++i) {
    connect(aService, aState, open[i * open.size() / count]);
  }
}

void
GroupFollower::connect(const std::string& aService,
                       ServiceState& aState,
                       const contract::Address& aServer)
{
  auto follow = std::make_shared<Follow>();
  follow->service = aService;
  follow->server = aServer;
  aState.follows.push_back(follow);
  // A steward runs beside each engine, on the same port everywhere.
  const contract::Address address{ .host = aServer.host,
                                   .port = mSettings.gateway.stewardPort };
  const std::weak_ptr<Follow> weak = follow;
  wire::connectLink(
    mContext.loop,
    address,
    mIdentity,
    {},
    { .ready =
        [this, weak](const LinkPtr& aLink) {
          if (const auto opened = weak.lock()) {
            linkReady(opened, aLink);
          } else {
            aLink->close(Error::ServerLost, "no longer needed");
          }
        },
      .message =
        [this, weak](const LinkPtr&, wire::AnyMessage&& aMessage) {
          const auto told = weak.lock();
          if (!told) {
            return;
          }
          if (const auto* status = std::get_if<wire::GroupStatusT>(&aMessage)) {
            processStatus(told, *status);
          } else if (const auto* suspects =
                       std::get_if<wire::SuspectsT>(&aMessage)) {
            processSuspicions(told->service, *suspects);
          }
        },
      .closed =
        [this, weak](const LinkPtr&, const Failure&) {
          if (const auto closed = weak.lock()) {
            lose(closed);
          }
        } });
}

void
GroupFollower::linkReady(const FollowPtr& aFollow, const LinkPtr& aLink)
{
  aFollow->link = aLink;
  aFollow->heardAt = mContext.loop.now();
  log(
    LogLevel::Info,
    "group_followed",
    { { "service", aFollow->service }, { "steward", aLink->peer().instance } });
  tellNews(*aFollow);
  const auto suspicions = mContext.crashSuspicions.records(mContext.loop.now());
  if (!suspicions.empty()) {
    aLink->send(wire::encodeSuspicions(suspicions));
  }
}

void
GroupFollower::remove(const FollowPtr& aFollow)
{
  std::erase(mServices[aFollow->service].follows, aFollow);
}

void
GroupFollower::lose(const FollowPtr& aFollow)
{
  ServiceState& state = mServices[aFollow->service];
  const auto found =
    std::find(state.follows.begin(), state.follows.end(), aFollow);
  if (found == state.follows.end()) {
    return;
  }
  remove(aFollow);
  if (state.groups.empty()) {
    ++state.candidate;
  }
  for (auto& [name, group] : state.groups) {
    const bool isOfGroup = aFollow->hasTold
                             ? aFollow->group == name
                             : group.servers.contains(aFollow->server);
    group.candidate += isOfGroup ? 1 : 0;
  }
  if (!aFollow->hasTold) {
    Asked& asked = state.asked[aFollow->server];
    asked.nextAt = mContext.loop.now() +
                   kAskAgain * std::min(kMaxAskAgainFactor, 1 << asked.count);
    asked.count = std::min(asked.count + 1, kMaxAskAgainFactor);
  }
}

bool
GroupFollower::isOfOwnDomain(const Follow& aFollow) const
{
  return aFollow.link && aFollow.link->peer().domain == mSettings.failureDomain;
}

bool
GroupFollower::identify(const FollowPtr& aFollow, const std::string& aGroup)
{
  if (aFollow->hasTold && aFollow->group == aGroup) {
    return true;
  }
  ServiceState& state = mServices[aFollow->service];
  const auto other = std::find_if(
    state.follows.begin(), state.follows.end(), [&](const auto& aEntry) {
      return aEntry != aFollow && aEntry->hasTold && aEntry->group == aGroup;
    });
  if (other != state.follows.end()) {
    const bool isBetter = isOfOwnDomain(*aFollow) && !isOfOwnDomain(**other);
    const FollowPtr closed = isBetter ? *other : aFollow;
    if (closed->link) {
      closed->link->close(Error::ServerLost, "the group is told by another");
    }
    lose(closed);
    if (!isBetter) {
      return false;
    }
  }
  log(LogLevel::Info,
      "group_told",
      { { "service", aFollow->service },
        { "group", aGroup },
        { "steward", aFollow->link ? aFollow->link->peer().instance : "" } });
  aFollow->hasTold = true;
  aFollow->group = aGroup;
  // Until its addresses come: those reported before were of another group.
  aFollow->servers.clear();
  const auto [group, isNew] = state.groups.try_emplace(aGroup);
  if (isNew) {
    group->second.candidate = state.candidate;
  }
  return true;
}

void
GroupFollower::learnServers(const Follow& aFollow, KnownGroup& aGroup)
{
  const auto former = std::exchange(aGroup.servers, {});
  for (const contract::Address& address : aFollow.servers) {
    // A server that leaves is still a rank.
    const auto known = former.find(address);
    const bool isListed =
      known != former.end() && mContext.servers.find(known->second) != nullptr;
    aGroup.servers[address] = isListed ? known->second : "";
  }
  const auto isMember = [&former](const auto& aEntry) {
    return former.contains(aEntry.first);
  };
  if (former.size() != aGroup.servers.size() ||
      !std::all_of(aGroup.servers.begin(), aGroup.servers.end(), isMember)) {
    mServices[aFollow.service].asked.clear();
  }
  for (const ServerRecord* server :
       mContext.servers.availableServers(aFollow.service)) {
    const auto rank = aGroup.servers.find(server->address);
    if (rank != aGroup.servers.end()) {
      rank->second = server->id;
    }
  }
}

void
GroupFollower::processStatus(const FollowPtr& aFollow,
                             const wire::GroupStatusT& aStatus)
{
  const Instant now = mContext.loop.now();
  aFollow->heardAt = now;
  mFreshness.recordTold({ .configurationVersion = aStatus.config_version,
                          .serversRevision = aStatus.servers_revision,
                          .storeEra = aStatus.store_era },
                        static_cast<int>(aStatus.gateways),
                        now);
  if (!identify(aFollow, aStatus.group)) {
    return;
  }
  if (!aStatus.servers.empty()) {
    aFollow->servers.clear();
    std::transform(aStatus.servers.begin(),
                   aStatus.servers.end(),
                   std::back_inserter(aFollow->servers),
                   toAddress);
  }
  if (aFollow->servers.size() != aStatus.loads.size()) {
    return; // The addresses of a group that has formed anew are yet to come.
  }
  ServiceState& state = mServices[aFollow->service];
  KnownGroup& group = state.groups[aStatus.group];
  group.toldAt = now;
  learnServers(*aFollow, group);
  GroupStatus status{ .group = aStatus.group,
                      .epoch = aStatus.epoch,
                      .isOpen = aStatus.open,
                      .passTime = microseconds(aStatus.pass_us),
                      .idleTime = microseconds(aStatus.idle_us),
                      .gateways =
                        std::max(1, static_cast<int>(aStatus.gateways)) };
  for (std::size_t rank = 0; rank < aStatus.loads.size(); ++rank) {
    const std::string& id = group.servers[aFollow->servers[rank]];
    if (id.empty()) {
      continue;
    }
    status.servers.insert(id);
    if (aStatus.loads[rank] != wire::kUnknownRankLoad) {
      status.loads[id] = aStatus.loads[rank];
    }
  }
  mHandlers.status({ .service = aFollow->service, .group = aStatus.group },
                   status);
  explore(aFollow->service, state);
}

void
GroupFollower::processSuspicions(const std::string& aService,
                                 const wire::SuspectsT& aMessage)
{
  const auto changes =
    mContext.crashSuspicions.merge(aMessage, mContext.loop.now());
  if (!changes.empty()) {
    // Each gateway sends what it has seen to all groups of a service by itself.
    // Passed on between them, the same suspicions would return again and again
    // while a quarantine is full.
    sendSuspicions(changes, aService);
  }
}

bool
GroupFollower::hasLink() const
{
  return std::ranges::any_of(mServices, [](const auto& aService) {
    return std::ranges::any_of(
      aService.second.follows,
      [](const FollowPtr& aFollow) { return aFollow->link != nullptr; });
  });
}

void
GroupFollower::shareSuspicions(
  const std::vector<policy::SuspicionRecord>& aChanges)
{
  sendSuspicions(aChanges, "");
}

void
GroupFollower::sendSuspicions(
  const std::vector<policy::SuspicionRecord>& aChanges,
  const std::string& aExceptService)
{
  const wire::AnyMessage message = wire::encodeSuspicions(aChanges);
  for (const auto& [name, state] : mServices) {
    for (const FollowPtr& follow : state.follows) {
      if (follow->link && name != aExceptService) {
        follow->link->send(message);
      }
    }
  }
}

void
GroupFollower::tellNews(Follow& aFollow)
{
  if (aFollow.toldNews == mFreshness.own()) {
    return;
  }
  aFollow.toldNews = mFreshness.own();
  wire::GatewayNewsT news;
  news.config_version = aFollow.toldNews.configurationVersion;
  news.servers_revision = aFollow.toldNews.serversRevision;
  news.store_era = aFollow.toldNews.storeEra;
  aFollow.link->send(news);
}

} // namespace laburnum::gateway
