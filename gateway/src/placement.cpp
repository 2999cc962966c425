#include "laburnum/gateway/placement.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// Share of a new value in the smoothed time of a server.
constexpr double kSmoothing = 0.2;
/// A time that no plain service beats; keeps one fast answer from drawing all.
constexpr double kLeastMs = 10;
/// Added for a server that is left alone: used only if all are.
constexpr double kPausedScore = 1e9;

} // namespace

Placement::Placement(PlacementOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

double
Placement::score(const ServerRecord& aServer,
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
                          : mOptions.foreignFactor;
  double score = 0;
  if (aDemand.isGeneration) {
    // The domain only breaks ties: a fuller rank slows its whole group, and a
    // slow one does with little.
    score = (requests + 1 + state.promptTokens / mOptions.tokensOfRequest) *
              aServer.pace +
            (factor - 1);
  } else {
    score = (requests + 1) * std::max(state.tookMs, kLeastMs) * factor;
  }
  return score + (state.pausedUntil > aNow ? kPausedScore : 0);
}

const ServerRecord*
Placement::pick(const std::vector<const ServerRecord*>& aServers,
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
Placement::begin(const std::string& aId, const Demand& aDemand, Instant aNow)
{
  State& state = mServers[aId];
  state.group = aDemand.group;
  if (state.inFlight++ == 0) {
    state.heardAt = aNow;
    state.hasSpoken = false;
  }
  state.promptTokens += aDemand.promptTokens;
  ++mInFlight;
}

void
Placement::end(const std::string& aId,
               const Demand& aDemand,
               AttemptEnd aEnd,
               Duration aTook,
               Instant aNow)
{
  --mInFlight;
  const auto found = mServers.find(aId);
  if (found == mServers.end()) {
    return;
  }
  State& state = found->second;
  --state.inFlight;
  state.promptTokens -= aDemand.promptTokens;
  if (aEnd == AttemptEnd::Answered || aEnd == AttemptEnd::Failed) {
    state.losses = 0;
    state.pausedUntil = Instant{};
    const double took = toSeconds(aTook) * 1000;
    state.tookMs = state.tookMs == 0
                     ? took
                     : state.tookMs + kSmoothing * (took - state.tookMs);
    return;
  }
  if (aEnd == AttemptEnd::Moved) {
    return; // Its pace says enough of the server.
  }
  ++state.losses;
  if (aEnd == AttemptEnd::NotSent || state.losses >= mOptions.tolerated) {
    const int doublings = std::min(std::max(state.losses - 1, 0), 6);
    state.pausedUntil = aNow + std::min(mOptions.firstPause * (1 << doublings),
                                        mOptions.longestPause);
  }
}

void
Placement::heard(const std::string& aId, Instant aNow)
{
  const auto found = mServers.find(aId);
  if (found != mServers.end()) {
    found->second.heardAt = aNow;
    found->second.hasSpoken = true;
  }
}

std::vector<std::string>
Placement::silent(Instant aNow) const
{
  std::set<std::string_view> heard;
  for (const auto& [id, state] : mServers) {
    if (state.inFlight > 0 && state.hasSpoken &&
        aNow - state.heardAt < mOptions.groupHeard) {
      heard.insert(state.group);
    }
  }
  std::vector<std::string> ids;
  for (const auto& [id, state] : mServers) {
    if (!state.group.empty() && state.inFlight > 0 &&
        aNow - state.heardAt >= mOptions.silence &&
        heard.contains(state.group)) {
      ids.push_back(id);
    }
  }
  return ids;
}

int
Placement::inFlight(const std::string& aId) const
{
  const auto found = mServers.find(aId);
  return found == mServers.end() ? 0 : found->second.inFlight;
}

std::map<std::string, int>
Placement::loads() const
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
Placement::peerLoads(const std::string& aPeer,
                     std::map<std::string, int> aLoads)
{
  mPeers[aPeer] = std::move(aLoads);
}

void
Placement::forgetServer(const std::string& aId)
{
  // Requests that are still there end later and must find their counts.
  const auto found = mServers.find(aId);
  if (found != mServers.end() && found->second.inFlight == 0) {
    mServers.erase(found);
  }
}

} // namespace laburnum::gateway
