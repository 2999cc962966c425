#include "laburnum/gateway/server_selector.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// Smoothing factor of the latency of a server.
constexpr double kSmoothing = 0.2;
/// Lower bound of the latency used for scoring, below that of any regular
/// service. Prevents one fast response from attracting all requests.
constexpr double kMinLatencyMs = 10;
/// Added to the score of a server that is avoided; it is selected only if all
/// servers are.
constexpr double kBackoffPenalty = 1e9;

} // namespace

ServerSelector::ServerSelector(ServerSelectorOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

double
ServerSelector::score(const ServerRecord& aServer,
                      const Demand& aDemand,
                      Instant aNow) const
{
  const auto found = mServers.find(aServer.id);
  const State state = found == mServers.end() ? State{} : found->second;
  double requests = state.inFlight;
  for (const auto& [peer, loads] : mPeers) {
    const auto load = loads.find(aServer.id);
    requests += load == loads.end() ? 0 : load->second;
  }
  const double factor = aServer.failureDomain == mOptions.failureDomain
                          ? 1
                          : mOptions.remoteDomainFactor;
  double score = 0;
  if (aDemand.isGeneration) {
    // The failure domain only breaks ties, because a more loaded rank delays
    // its whole group, and a slow rank does so even under low load.
    score = (requests + 1 + state.promptTokens / mOptions.tokensPerRequest) *
              aServer.slowdown +
            (factor - 1);
  } else {
    score = (requests + 1) * std::max(state.latencyMs, kMinLatencyMs) * factor;
  }
  return score + (state.backoffUntil > aNow ? kBackoffPenalty : 0);
}

const ServerRecord*
ServerSelector::select(const std::vector<const ServerRecord*>& aServers,
                       const Demand& aDemand,
                       const std::set<std::string>& aExcluded,
                       Instant aNow) const
{
  const ServerRecord* best = nullptr;
  double bestScore = 0;
  for (const ServerRecord* server : aServers) {
    if (aExcluded.contains(server->id)) {
      continue;
    }
    const double value = score(*server, aDemand, aNow);
    if (best == nullptr || value < bestScore) {
      best = server;
      bestScore = value;
    }
  }
  return best;
}

void
ServerSelector::requestStarted(const std::string& aServerId,
                               const Demand& aDemand,
                               Instant aNow)
{
  State& state = mServers[aServerId];
  state.group = aDemand.group;
  if (state.inFlight++ == 0) {
    state.lastActivityAt = aNow;
    state.hasResponded = false;
  }
  state.promptTokens += aDemand.promptTokens;
  ++mInFlight;
}

void
ServerSelector::requestEnded(const std::string& aServerId,
                             const Demand& aDemand,
                             AttemptOutcome aOutcome,
                             Duration aLatency,
                             Instant aNow)
{
  --mInFlight;
  const auto found = mServers.find(aServerId);
  if (found == mServers.end()) {
    return;
  }
  State& state = found->second;
  --state.inFlight;
  state.promptTokens -= aDemand.promptTokens;
  if (aOutcome == AttemptOutcome::Completed ||
      aOutcome == AttemptOutcome::Failed) {
    state.consecutiveLosses = 0;
    state.backoffUntil = Instant{};
    const double measuredMs = toSeconds(aLatency) * 1000;
    state.latencyMs =
      state.latencyMs == 0
        ? measuredMs
        : state.latencyMs + kSmoothing * (measuredMs - state.latencyMs);
    return;
  }
  if (aOutcome == AttemptOutcome::Migrated) {
    return; // The slowdown of the server already covers it.
  }
  ++state.consecutiveLosses;
  if (aOutcome == AttemptOutcome::NotSent ||
      state.consecutiveLosses >= mOptions.maxConsecutiveLosses) {
    const int doublings = std::min(std::max(state.consecutiveLosses - 1, 0), 6);
    state.backoffUntil =
      aNow +
      std::min(mOptions.initialBackoff * (1 << doublings), mOptions.maxBackoff);
  }
}

void
ServerSelector::recordActivity(const std::string& aServerId, Instant aNow)
{
  const auto found = mServers.find(aServerId);
  if (found != mServers.end()) {
    found->second.lastActivityAt = aNow;
    found->second.hasResponded = true;
  }
}

std::vector<std::string>
ServerSelector::silentServers(Instant aNow) const
{
  std::set<std::string_view> activeGroups;
  for (const auto& [id, state] : mServers) {
    if (state.inFlight > 0 && state.hasResponded &&
        aNow - state.lastActivityAt < mOptions.groupActivityWindow) {
      activeGroups.insert(state.group);
    }
  }
  std::vector<std::string> ids;
  for (const auto& [id, state] : mServers) {
    if (!state.group.empty() && state.inFlight > 0 &&
        aNow - state.lastActivityAt >= mOptions.silenceTimeout &&
        activeGroups.contains(state.group)) {
      ids.push_back(id);
    }
  }
  return ids;
}

int
ServerSelector::inFlight(const std::string& aServerId) const
{
  const auto found = mServers.find(aServerId);
  return found == mServers.end() ? 0 : found->second.inFlight;
}

std::map<std::string, int>
ServerSelector::loads() const
{
  std::map<std::string, int> all;
  for (const auto& [id, state] : mServers) {
    if (state.inFlight > 0) {
      all.emplace(id, state.inFlight);
    }
  }
  return all;
}

void
ServerSelector::setPeerLoads(const std::string& aPeer,
                             std::map<std::string, int> aLoads)
{
  mPeers[aPeer] = std::move(aLoads);
}

void
ServerSelector::removeServer(const std::string& aServerId)
{
  // The end of requests in progress must still find their counts.
  const auto found = mServers.find(aServerId);
  if (found != mServers.end() && found->second.inFlight == 0) {
    mServers.erase(found);
  }
}

} // namespace laburnum::gateway
