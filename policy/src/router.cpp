#include "laburnum/policy/router.hpp"

#include "laburnum/kernel/hash.hpp"

#include <algorithm>
#include <numeric>

namespace laburnum::policy {
namespace {

/// Consecutive failures after which a server is ejected.
constexpr int kFailuresToEject = 3;
constexpr Duration kEjectionDuration = seconds(5);

/// A server below this fraction of its peers' median throughput per slot is
/// slow, and its load share is lowered.
constexpr double kSlowThreshold = 0.7;
constexpr double kLoadShareDecrease = 0.5;
constexpr double kLoadShareIncrease = 1.25;
constexpr double kMinLoadShare = 0.05;

/// Minimum number of servers with the same offer for a meaningful median.
constexpr std::size_t kMinPeers = 3;

} // namespace

bool
offerMatches(std::string_view aOffered, std::string_view aWanted)
{
  if (aOffered == aWanted) {
    return true;
  }
  return aWanted.find('@') == std::string_view::npos &&
         aOffered.size() > aWanted.size() && aOffered.starts_with(aWanted) &&
         aOffered[aWanted.size()] == '@';
}

Router::Router(RouterOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
{
  if (!setPolicy(mOptions.policy)) {
    setPolicy("weighted_load");
  }
}

bool
Router::setPolicy(std::string_view aName)
{
  const RoutingPolicy* policy = Registry<RoutingPolicy>::find(aName);
  if (policy == nullptr) {
    return false;
  }
  mPolicy = *policy;
  return true;
}

void
Router::upsert(const ServerView& aServer)
{
  remove(aServer.id);
  auto& entry = mServers[aServer.id];
  entry = std::make_unique<ServerView>(aServer);
  for (const std::string& offer : aServer.offers) {
    mByOffer[offer].push_back(entry.get());
  }
  mSubsets.clear();
}

void
Router::remove(ServerId aServer)
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end()) {
    return;
  }
  removeFromOffers(found->second.get());
  mServers.erase(found);
}

void
Router::removeFromOffers(const ServerView* aServer)
{
  for (auto& [offer, servers] : mByOffer) {
    std::erase(servers, aServer);
  }
  std::erase_if(mByOffer,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  mSubsets.clear();
}

void
Router::setOffers(ServerId aServer, std::vector<std::string> aOffers)
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end()) {
    return;
  }
  ServerView& server = *found->second;
  removeFromOffers(&server);
  server.offers = std::move(aOffers);
  for (const std::string& offer : server.offers) {
    mByOffer[offer].push_back(&server);
  }
}

void
Router::markLive(ServerId aServer, bool aLive)
{
  const auto found = mServers.find(aServer);
  if (found != mServers.end()) {
    found->second->live = aLive;
  }
}

void
Router::markLeaving(ServerId aServer, bool aLeaving)
{
  const auto found = mServers.find(aServer);
  if (found != mServers.end()) {
    found->second->leaving = aLeaving;
  }
}

void
Router::updateLoad(ServerId aServer, const SchedulerLoad& aLoad)
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end()) {
    return;
  }
  ServerView& server = *found->second;
  server.running = aLoad.running;
  server.waiting = aLoad.waiting;
  server.pausable = aLoad.pausable;
  server.pendingCost = aLoad.cost;
  server.tokensPerSecond = std::max(1.0, aLoad.tokensPerSecond);
  server.sentCost = 0;
  server.sentCount = 0;
}

const std::vector<ServerView*>&
Router::subset(std::string_view aOffer)
{
  const auto cached = mSubsets.find(aOffer);
  if (cached != mSubsets.end()) {
    return cached->second;
  }
  std::vector<ServerView*> matching;
  for (auto& [offer, servers] : mByOffer) {
    if (offerMatches(offer, aOffer)) {
      matching.insert(matching.end(), servers.begin(), servers.end());
    }
  }
  std::sort(matching.begin(), matching.end(), [](auto* aLeft, auto* aRight) {
    return aLeft->id < aRight->id;
  });
  matching.erase(std::unique(matching.begin(), matching.end()), matching.end());
  auto& chosen = mSubsets[std::string(aOffer)];
  if (matching.size() <= mOptions.subset) {
    chosen = std::move(matching);
    return chosen;
  }
  std::vector<std::uint64_t> ids;
  for (const ServerView* server : matching) {
    ids.push_back(server->id);
  }
  for (const std::size_t index :
       rendezvous(mOptions.seed, ids, mOptions.subset)) {
    chosen.push_back(matching[index]);
  }
  return chosen;
}

bool
Router::isEligible(const ServerView& aServer, const RouteQuery& aQuery) const
{
  if (!aServer.live || aServer.leaving || aServer.ejectedUntil > aQuery.now) {
    return false;
  }
  return std::find(aQuery.excluded.begin(),
                   aQuery.excluded.end(),
                   aServer.id) == aQuery.excluded.end();
}

std::optional<ServerId>
Router::choose(const RouteQuery& aQuery)
{
  mCandidates.clear();
  const std::uint64_t prefixKey =
    aQuery.prefix.empty() ? 0 : aQuery.prefix.front();
  for (const ServerView* server : subset(aQuery.offer)) {
    if (!isEligible(*server, aQuery)) {
      continue;
    }
    mCandidates.push_back(
      { .server = server,
        .prefixBlocks =
          mPrefixIndex.countLeadingBlocks(server->id, aQuery.prefix),
        .affinity = prefixKey == 0 ? 0 : mix(prefixKey, server->id),
        .sameDomain = server->domain == aQuery.domain,
        .sameRegion = server->region == aQuery.region });
  }
  if (mCandidates.empty()) {
    return std::nullopt;
  }
  return mCandidates[mPolicy(aQuery, mCandidates, mRandom)].server->id;
}

bool
Router::hasFreeSlot(const RouteQuery& aQuery)
{
  const auto& servers = subset(aQuery.offer);
  return std::any_of(
    servers.begin(), servers.end(), [&](const ServerView* aServer) {
      const int blocking = aServer->running + aServer->waiting +
                           aServer->sentCount - aServer->pausable;
      return isEligible(*aServer, aQuery) && blocking < aServer->slots;
    });
}

void
Router::recordSent(ServerId aServer,
                   double aCost,
                   std::span<const std::uint64_t> aPrefix)
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end()) {
    return;
  }
  found->second->sentCost += aCost;
  ++found->second->sentCount;
  ++found->second->outstanding;
  mPrefixIndex.addBlocks(aServer, aPrefix);
}

std::size_t
Router::countEjected(const std::string& aOffer, Instant aNow) const
{
  const auto found = mByOffer.find(aOffer);
  if (found == mByOffer.end()) {
    return 0;
  }
  return static_cast<std::size_t>(std::count_if(
    found->second.begin(), found->second.end(), [&](const ServerView* aServer) {
      return aServer->ejectedUntil > aNow;
    }));
}

void
Router::recordEnd(ServerId aServer, bool aFailed, Instant aNow)
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end()) {
    return;
  }
  ServerView& server = *found->second;
  server.outstanding = std::max(0, server.outstanding - 1);
  server.failures = aFailed ? server.failures + 1 : 0;
  if (server.failures < kFailuresToEject) {
    return;
  }
  for (const std::string& offer : server.offers) {
    const double peers = static_cast<double>(mByOffer[offer].size());
    if (static_cast<double>(countEjected(offer, aNow) + 1) >
        peers * mOptions.maxEjectedShare) {
      return;
    }
  }
  server.failures = 0;
  server.ejectedUntil = aNow + kEjectionDuration;
}

void
Router::updateLoadShares()
{
  for (auto& [offer, servers] : mByOffer) {
    if (servers.size() < kMinPeers) {
      continue;
    }
    std::vector<double> throughputs;
    for (const ServerView* server : servers) {
      throughputs.push_back(server->tokensPerSecond / server->slots);
    }
    std::nth_element(throughputs.begin(),
                     throughputs.begin() + throughputs.size() / 2,
                     throughputs.end());
    const double median = throughputs[throughputs.size() / 2];
    for (ServerView* server : servers) {
      const double throughput = server->tokensPerSecond / server->slots;
      server->loadShare =
        throughput < kSlowThreshold * median
          ? std::max(kMinLoadShare, server->loadShare * kLoadShareDecrease)
          : std::min(1.0, server->loadShare * kLoadShareIncrease);
    }
  }
}

const ServerView*
Router::find(ServerId aServer) const
{
  const auto found = mServers.find(aServer);
  return found == mServers.end() ? nullptr : found->second.get();
}

} // namespace laburnum::policy
