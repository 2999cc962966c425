#include "laburnum/gateway/server_selector.hpp"

#include "laburnum/gateway/load_levelling.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// Smoothing factor of the latency of a server.
constexpr double kSmoothing = 0.2;
/// Lower bound of the latency used for scoring, below that of any regular
/// service. Prevents one fast response from attracting all requests.
constexpr double kMinLatencyMs = 10;
/// Smoothing factor of the rate at which requests start, for each status.
constexpr double kRateSmoothing = 0.3;

} // namespace

ServerSelector::ServerSelector(ServerSelectorOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
{
}

ServerSelector::Servers
ServerSelector::eligible(const Servers& aServers,
                         const std::set<std::string>& aExcluded,
                         Instant aNow) const
{
  Servers candidates;
  Servers avoided;
  for (const ServerRecord* server : aServers) {
    if (aExcluded.contains(server->id)) {
      continue;
    }
    const auto found = mServers.find(server->id);
    const bool isAvoided =
      found != mServers.end() && found->second.backoffUntil > aNow;
    (isAvoided ? avoided : candidates).push_back(server);
  }
  return candidates.empty() ? avoided : candidates;
}

const ServerSelector::Group*
ServerSelector::freshGroup(const GroupKey& aKey, Instant aNow) const
{
  const auto found = mGroups.find(aKey);
  return found != mGroups.end() &&
             aNow - found->second.updatedAt <= mOptions.maxStatusAge
           ? &found->second
           : nullptr;
}

double
ServerSelector::rankLoad(const ServerRecord& aServer, const Group* aGroup) const
{
  const auto found = mServers.find(aServer.id);
  const State state = found == mServers.end() ? State{} : found->second;
  double requests = state.inFlight;
  if (aGroup != nullptr) {
    const auto told = aGroup->status.loads.find(aServer.id);
    if (told != aGroup->status.loads.end()) {
      requests = std::max(0, told->second + state.startedSinceStatus);
    }
  }
  // The failure domain only breaks ties, because a more loaded rank delays its
  // whole group, and a slow rank does so even under low load.
  const double remotePenalty = aServer.failureDomain == mOptions.failureDomain
                                 ? 0
                                 : mOptions.remoteDomainFactor - 1;
  return (requests + 1 + state.promptTokens / mOptions.tokensPerRequest) *
           aServer.slowdown +
         remotePenalty;
}

const ServerRecord*
ServerSelector::selectRank(const Servers& aServers,
                           const Demand& aDemand,
                           Instant aNow)
{
  const Group* group = freshGroup(aDemand.group, aNow);
  std::vector<double> loads;
  for (const ServerRecord* server : aServers) {
    loads.push_back(rankLoad(*server, group));
  }
  const double arrivals = 1 + expectedArrivals(aDemand.group, aNow);
  return aServers[drawLevelled(loads, arrivals, mRandom.unit())];
}

double
ServerSelector::expectedArrivals(const GroupKey& aGroup, Instant aNow) const
{
  const Group* group = freshGroup(aGroup, aNow);
  if (group == nullptr) {
    return 0;
  }
  const double age = toSeconds(aNow - group->updatedAt + mOptions.statusDelay);
  return group->startsPerSecond * age * std::max(0, group->status.gateways - 1);
}

double
ServerSelector::latencyScore(const ServerRecord& aServer) const
{
  const auto found = mServers.find(aServer.id);
  const State state = found == mServers.end() ? State{} : found->second;
  const double factor = aServer.failureDomain == mOptions.failureDomain
                          ? 1
                          : mOptions.remoteDomainFactor;
  return (state.inFlight + 1) * std::max(state.latencyMs, kMinLatencyMs) *
         factor;
}

const ServerRecord*
ServerSelector::selectPlain(const Servers& aServers)
{
  // At random among equals: gateways that have just started know no latency
  // and would all begin with the same server.
  const ServerRecord* best = nullptr;
  double bestScore = 0;
  std::uint64_t equals = 0;
  for (const ServerRecord* server : aServers) {
    const double score = latencyScore(*server);
    if (best == nullptr || score < bestScore) {
      best = server;
      bestScore = score;
      equals = 1;
    } else if (score == bestScore && mRandom.below(++equals) == 0) {
      best = server;
    }
  }
  return best;
}

const ServerRecord*
ServerSelector::select(const std::vector<const ServerRecord*>& aServers,
                       const Demand& aDemand,
                       const std::set<std::string>& aExcluded,
                       Instant aNow)
{
  const Servers candidates = eligible(aServers, aExcluded, aNow);
  if (candidates.empty()) {
    return nullptr;
  }
  return aDemand.isGeneration ? selectRank(candidates, aDemand, aNow)
                              : selectPlain(candidates);
}

void
ServerSelector::setGroupLoads(const GroupKey& aGroup,
                              const GroupStatus& aStatus,
                              Instant aNow)
{
  Group& group = mGroups[aGroup];
  const double elapsed = toSeconds(aNow - group.updatedAt);
  if (elapsed > 0 && aNow - group.updatedAt <= mOptions.maxStatusAge) {
    group.startsPerSecond +=
      kRateSmoothing * (group.started / elapsed - group.startsPerSecond);
  }
  group.status = aStatus;
  group.updatedAt = aNow;
  group.started = 0;
  for (const std::string& id : aStatus.servers) {
    const auto found = mServers.find(id);
    if (found != mServers.end()) {
      found->second.group = aGroup;
    }
  }
  for (auto& [id, state] : mServers) {
    if (state.group == aGroup) {
      state.startedSinceStatus = 0;
    }
  }
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
    state.gapObjective = Duration(0);
    state.firstEventObjective = Duration(0);
  }
  state.gapObjective = std::max(state.gapObjective, aDemand.gapObjective);
  state.firstEventObjective =
    std::max(state.firstEventObjective, aDemand.firstEventObjective);
  ++state.startedSinceStatus;
  ++mGroups[aDemand.group].started;
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
  --state.startedSinceStatus;
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

Duration
ServerSelector::gapOf(const State& aState) const
{
  return aState.gapObjective > Duration(0) ? aState.gapObjective
                                           : mOptions.defaultGap;
}

std::vector<std::string>
ServerSelector::silentServers(Instant aNow) const
{
  std::set<GroupKey> activeGroups;
  for (const auto& [id, state] : mServers) {
    if (state.inFlight > 0 && state.hasResponded &&
        aNow - state.lastActivityAt < mOptions.activeGaps * gapOf(state)) {
      activeGroups.insert(state.group);
    }
  }
  std::vector<std::string> ids;
  for (const auto& [id, state] : mServers) {
    Duration timeout = mOptions.silentGaps * gapOf(state);
    if (!state.hasResponded) {
      const Group* group = freshGroup(state.group, aNow);
      const int objectives =
        group != nullptr && group->status.loads.contains(id)
          ? mOptions.silentObjectivesIfReported
          : mOptions.silentObjectives;
      timeout =
        std::max<Duration>(timeout, objectives * state.firstEventObjective);
    }
    if (!state.group.service.empty() && state.inFlight > 0 &&
        aNow - state.lastActivityAt >= timeout &&
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
