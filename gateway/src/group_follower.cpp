#include "laburnum/gateway/group_follower.hpp"

#include "laburnum/wire/suspicion.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

namespace laburnum::gateway {
namespace {

/// A steward tells the state of its group every 200 ms.
constexpr Duration kMaxSilence = milliseconds(1500);
/// Candidates that are tried before the first one is tried again.
constexpr std::size_t kMaxCandidates = 4;

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
                             StatusHandler aHandler)
  : mSettings(aSettings)
  , mContext(aContext)
  , mFreshness(aFreshness)
  , mHandler(std::move(aHandler))
  , mIdentity{ .instance = aSettings.instance,
               .incarnation = entropySeed(),
               .role = aSettings.role,
               .domain = aSettings.failureDomain,
               .controlKey = aSettings.controlKey }
{
}

std::vector<contract::Address>
GroupFollower::candidates(const std::string& aService) const
{
  std::vector<contract::Address> own;
  std::vector<contract::Address> all;
  for (const ServerRecord* server :
       mContext.servers.availableServers(aService)) {
    all.push_back(server->address);
    if (server->failureDomain == mSettings.failureDomain) {
      own.push_back(server->address);
    }
  }
  auto& chosen = own.empty() ? all : own;
  std::sort(chosen.begin(), chosen.end(), isAddressLess);
  if (chosen.size() > kMaxCandidates) {
    chosen.resize(kMaxCandidates);
  }
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
      maintainLink(name, mFollows[name]);
    }
  }
}

void
GroupFollower::maintainLink(const std::string& aService, Follow& aFollow)
{
  if (aFollow.link && mContext.loop.now() - aFollow.heardAt > kMaxSilence) {
    ++aFollow.candidate;
    log(LogLevel::Info, "group_untold", { { "service", aService } });
    aFollow.link->close(Error::ServerLost, "the steward tells nothing");
    aFollow.link.reset();
  }
  if (aFollow.link) {
    tellNews(aFollow);
  } else if (!aFollow.isConnecting) {
    connect(aService, aFollow);
  }
}

void
GroupFollower::connect(const std::string& aService, Follow& aFollow)
{
  const auto stewards = candidates(aService);
  if (stewards.empty()) {
    return;
  }
  aFollow.isConnecting = true;
  // A steward runs beside each engine, on the same port everywhere.
  const contract::Address address{
    .host = stewards[aFollow.candidate % stewards.size()].host,
    .port = mSettings.gateway.stewardPort
  };
  wire::connectLink(
    mContext.loop,
    address,
    mIdentity,
    {},
    { .ready =
        [this, aService](const LinkPtr& aLink) {
          Follow& follow = mFollows[aService];
          follow.isConnecting = false;
          follow.link = aLink;
          follow.heardAt = mContext.loop.now();
          follow.toldNews = {};
          log(
            LogLevel::Info,
            "group_followed",
            { { "service", aService }, { "steward", aLink->peer().instance } });
          tellNews(follow);
          const auto suspicions =
            mContext.crashSuspicions.records(mContext.loop.now());
          if (!suspicions.empty()) {
            aLink->send(wire::encodeSuspicions(suspicions));
          }
        },
      .message =
        [this, aService](const LinkPtr& aLink, wire::AnyMessage&& aMessage) {
          if (const auto* status = std::get_if<wire::GroupStatusT>(&aMessage)) {
            processStatus(aService, *status);
          } else if (const auto* suspects =
                       std::get_if<wire::SuspectsT>(&aMessage)) {
            processSuspicions(aLink, *suspects);
          }
        },
      .closed =
        [this, aService](const LinkPtr& aLink, const Failure&) {
          Follow& follow = mFollows[aService];
          if (follow.isConnecting || aLink == follow.link) {
            ++follow.candidate;
            follow.link.reset();
          }
          follow.isConnecting = false;
        } });
}

void
GroupFollower::processStatus(const std::string& aService,
                             const wire::GroupStatusT& aStatus)
{
  const Instant now = mContext.loop.now();
  Follow& follow = mFollows[aService];
  follow.heardAt = now;
  mFreshness.recordTold({ .configurationVersion = aStatus.config_version,
                          .serversRevision = aStatus.servers_revision,
                          .storeEra = aStatus.store_era },
                        static_cast<int>(aStatus.gateways),
                        now);
  if (!aStatus.servers.empty()) {
    follow.servers.clear();
    std::transform(aStatus.servers.begin(),
                   aStatus.servers.end(),
                   std::back_inserter(follow.servers),
                   toAddress);
  }
  if (follow.servers.size() != aStatus.loads.size()) {
    return; // The addresses of a group that has formed anew are yet to come.
  }
  std::map<contract::Address, int> loads;
  for (std::size_t rank = 0; rank < aStatus.loads.size(); ++rank) {
    if (aStatus.loads[rank] != wire::kUnknownRankLoad) {
      loads[follow.servers[rank]] = aStatus.loads[rank];
    }
  }
  GroupStatus status{ .isOpen = aStatus.open,
                      .passTime = microseconds(aStatus.pass_us),
                      .idleTime = microseconds(aStatus.idle_us),
                      .gateways =
                        std::max(1, static_cast<int>(aStatus.gateways)) };
  for (const ServerRecord* server :
       mContext.servers.availableServers(aService)) {
    const auto load = loads.find(server->address);
    if (load != loads.end()) {
      status.loads[server->id] = load->second;
    }
  }
  mHandler(aService, status);
}

void
GroupFollower::processSuspicions(const LinkPtr& aFrom,
                                 const wire::SuspectsT& aMessage)
{
  const auto changes =
    mContext.crashSuspicions.merge(aMessage, mContext.loop.now());
  if (changes.empty()) {
    return;
  }
  const auto message = wire::encodeSuspicions(changes);
  for (const auto& [service, follow] : mFollows) {
    if (follow.link && follow.link != aFrom) {
      follow.link->send(message);
    }
  }
}

void
GroupFollower::shareSuspicions(
  const std::vector<policy::SuspicionRecord>& aChanges)
{
  const auto message = wire::encodeSuspicions(aChanges);
  for (const auto& [service, follow] : mFollows) {
    if (follow.link) {
      follow.link->send(message);
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
