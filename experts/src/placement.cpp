#include "laburnum/experts/placement.hpp"

#include <algorithm>

namespace laburnum::experts {

PlacementPlanner::PlacementPlanner(PlacementOptions aOptions)
  : mOptions(aOptions)
{
}

void
PlacementPlanner::setStoreRate(double aGigabytesPerSecond,
                               std::size_t aParallelLoads)
{
  mOptions.storeGigabytesPerSecond = aGigabytesPerSecond;
  mOptions.parallelLoads = aParallelLoads;
}

void
PlacementPlanner::endLoad(const std::string& aServer)
{
  mLoading.erase(aServer);
}

bool
PlacementPlanner::isPresent(const PlacementServer& aServer, Instant aNow)
{
  if (aServer.live) {
    mAwaySince.erase(aServer.name);
    return true;
  }
  const Instant since =
    mAwaySince.try_emplace(aServer.name, aNow).first->second;
  return aNow - since < mOptions.lossDelay;
}

/// Returns the model that a server loads: by an order of this planner, or else
/// as the server reports.
std::string
PlacementPlanner::loadingOn(Instant aNow, const PlacementServer& aServer)
{
  const auto found = mLoading.find(aServer.name);
  if (found != mLoading.end() && (found->second.model == aServer.model ||
                                  aNow >= found->second.deadline)) {
    mLoading.erase(found);
    return aServer.loading;
  }
  return found == mLoading.end() ? aServer.loading : found->second.model;
}

Instant
PlacementPlanner::loadDeadline(Instant aNow, double aGigabytes) const
{
  const double rate = mOptions.storeGigabytesPerSecond /
                      static_cast<double>(mOptions.parallelLoads);
  return aNow + fromSeconds(aGigabytes / rate) + mOptions.loadMargin;
}

std::map<std::string, PlacementPlanner::Count>
PlacementPlanner::count(Instant aNow,
                        const std::vector<PlacementServer>& aServers,
                        const std::vector<PlacementDemand>& aDemands)
{
  std::map<std::string, Count> counts;
  for (const PlacementDemand& demand : aDemands) {
    counts[demand.model].hasDemand = true;
    counts[demand.model].wanted = demand.servers;
    counts[demand.model].gigabytes = demand.gigabytes;
  }
  for (const PlacementServer& server : aServers) {
    const bool present = isPresent(server, aNow);
    if (!present) {
      mLoading.erase(server.name);
      continue;
    }
    const std::string loading = loadingOn(aNow, server);
    if (!loading.empty()) {
      Count& count = counts[loading];
      ++count.loading;
      ++count.domains[server.domain];
    } else if (!server.model.empty()) {
      Count& count = counts[server.model];
      ++count.present;
      ++count.domains[server.domain];
    }
  }
  return counts;
}

/// Returns the server to load a model on, or null: an empty server, or one of
/// the model with the largest surplus of servers. Failure domains with the
/// fewest servers of the wanted model come first.
const PlacementServer*
PlacementPlanner::choose(const std::string& aModel,
                         const std::map<std::string, Count>& aCounts,
                         const std::vector<PlacementServer>& aServers) const
{
  const PlacementServer* best = nullptr;
  std::tuple<int, int, std::string> bestKey;
  for (const PlacementServer& server : aServers) {
    if (!server.live || server.model == aModel || !server.loading.empty() ||
        mLoading.contains(server.name)) {
      continue;
    }
    int surplus = 1'000'000; // An empty server precedes any other.
    if (!server.model.empty()) {
      const Count& other = aCounts.at(server.model);
      surplus =
        other.hasDemand ? other.present + other.loading - other.wanted : 0;
    }
    if (surplus <= 0) {
      continue;
    }
    const auto& domains = aCounts.at(aModel).domains;
    const auto found = domains.find(server.domain);
    const int inDomain = found == domains.end() ? 0 : found->second;
    const std::tuple key(inDomain, -surplus, server.name);
    if (best == nullptr || key < bestKey) {
      best = &server;
      bestKey = key;
    }
  }
  return best;
}

std::vector<LoadOrder>
PlacementPlanner::tick(Instant aNow,
                       const std::vector<PlacementServer>& aServers,
                       const std::vector<PlacementDemand>& aDemands)
{
  std::vector<LoadOrder> orders;
  auto counts = count(aNow, aServers, aDemands);
  std::size_t loads = 0;
  for (const auto& [model, count] : counts) {
    loads += static_cast<std::size_t>(count.loading);
  }
  for (; loads < mOptions.parallelLoads; ++loads) {
    const auto mostShort = std::max_element(
      counts.begin(), counts.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.shortage() < aRight.second.shortage();
      });
    if (mostShort == counts.end() || mostShort->second.shortage() <= 0) {
      break;
    }
    const PlacementServer* server = choose(mostShort->first, counts, aServers);
    if (server == nullptr) {
      break;
    }
    Count& wanted = mostShort->second;
    orders.push_back(
      { .server = server->name,
        .model = mostShort->first,
        .gigabytes = wanted.gigabytes,
        .reason = std::to_string(wanted.present + wanted.loading) + " of " +
                  std::to_string(wanted.wanted) + " servers" });
    mLoading[server->name] = { .model = mostShort->first,
                               .deadline =
                                 loadDeadline(aNow, wanted.gigabytes) };
    ++wanted.loading;
    ++wanted.domains[server->domain];
    if (!server->model.empty()) {
      --counts[server->model].present;
    }
  }
  mLastCounts = std::move(counts);
  return orders;
}

std::vector<std::string>
PlacementPlanner::explain() const
{
  std::vector<std::string> lines;
  for (const auto& [model, count] : mLastCounts) {
    lines.push_back(model + ": wanted " + std::to_string(count.wanted) +
                    ", present " + std::to_string(count.present) +
                    ", loading " + std::to_string(count.loading) +
                    (count.shortage() > 0
                       ? ", waits for the weight store or a free server"
                       : ""));
  }
  return lines;
}

} // namespace laburnum::experts
