#include "laburnum/policy/router.hpp"

#include <algorithm>
#include <array>

namespace laburnum::policy {
namespace {

/// Penalties for a server in another failure domain or region, expressed as
/// additional wait.
constexpr double kOtherDomainPenaltySeconds = 0.002;
constexpr double kOtherRegionPenaltySeconds = 0.2;

/// Penalty for a fully loaded server compared to an idle one, proportional to
/// its load. It balances load before requests have to wait.
constexpr double kLoadPenaltySeconds = 0.2;

/// Bonus for a server that has the whole prompt cached, proportional to the
/// cached part.
constexpr double kCachedPromptBonusSeconds = 0.2;

/// Number of servers that rendezvous hashing prefers for a prefix, and the
/// decrease of their bonus from each to the next.
constexpr std::size_t kPreferredCount = 3;
constexpr double kPreferenceStepSeconds = 0.02;

std::size_t
roundRobin(const RouteQuery&, std::span<const Candidate> aCandidates, Random&)
{
  static std::size_t next = 0;
  return next++ % aCandidates.size();
}

std::size_t
leastOutstanding(const RouteQuery&,
                 std::span<const Candidate> aCandidates,
                 Random&)
{
  std::size_t best = 0;
  for (std::size_t i = 1; i < aCandidates.size(); ++i) {
    if (aCandidates[i].server->outstanding <
        aCandidates[best].server->outstanding) {
      best = i;
    }
  }
  return best;
}

double
requestCount(const ServerView& aServer)
{
  return aServer.running + aServer.waiting + aServer.sentCount;
}

std::size_t
powerOfTwo(const RouteQuery&,
           std::span<const Candidate> aCandidates,
           Random& aRandom)
{
  const std::size_t first = aRandom.below(aCandidates.size());
  const std::size_t second = aRandom.below(aCandidates.size());
  return requestCount(*aCandidates[first].server) <=
             requestCount(*aCandidates[second].server)
           ? first
           : second;
}

/// Returns the expected wait at a server in seconds, with the penalties for its
/// load and distance.
double
expectedSeconds(const Candidate& aCandidate)
{
  const ServerView& server = *aCandidate.server;
  const double slots = std::max(0.1, server.slots * server.loadShare);
  const double count = requestCount(server);
  const double blocking = count - server.pausable;
  const double excess = std::max(0.0, blocking + 1 - slots);
  const double meanCost =
    (server.pendingCost + server.sentCost) / std::max(1.0, count);
  const double wait =
    excess * meanCost / (server.tokensPerSecond * server.loadShare);
  const double distanceSeconds =
    aCandidate.sameRegion
      ? (aCandidate.sameDomain ? 0 : kOtherDomainPenaltySeconds)
      : kOtherRegionPenaltySeconds;
  return wait + kLoadPenaltySeconds * count / slots + distanceSeconds;
}

/// Returns the candidates with the highest rendezvous weights for the prefix,
/// best first. All entries arrive at the same ones without communicating. With
/// fewer candidates than kPreferredCount the best one is repeated.
std::array<std::size_t, kPreferredCount>
preferredServers(std::span<const Candidate> aCandidates)
{
  std::array<std::size_t, kPreferredCount> preferred{};
  std::size_t known = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    std::size_t place = std::min(known, kPreferredCount);
    while (place > 0 && aCandidates[i].affinity >
                          aCandidates[preferred[place - 1]].affinity) {
      if (place < kPreferredCount) {
        preferred[place] = preferred[place - 1];
      }
      --place;
    }
    if (place < kPreferredCount) {
      preferred[place] = i;
      known = std::min(known + 1, kPreferredCount);
    }
  }
  for (std::size_t i = known; i < kPreferredCount; ++i) {
    preferred[i] = preferred[0];
  }
  return preferred;
}

/// Chooses the candidate with the lowest expected wait among a random sample,
/// the servers that have the prefix cached, and those preferred for it.
/// Sampling, instead of comparing all candidates, keeps entries that act on the
/// same stale load report from all choosing the same server (Mitzenmacher,
/// 2001).
std::size_t
weightedLoad(const RouteQuery& aQuery,
             std::span<const Candidate> aCandidates,
             Random& aRandom)
{
  constexpr std::size_t kSamples = 4;
  std::size_t best = aRandom.below(aCandidates.size());
  double bestSeconds = expectedSeconds(aCandidates[best]);
  const auto consider = [&](std::size_t aIndex, double aBonus) {
    const double value = expectedSeconds(aCandidates[aIndex]) - aBonus;
    if (value < bestSeconds) {
      bestSeconds = value;
      best = aIndex;
    }
  };
  for (std::size_t i = 1; i < kSamples; ++i) {
    consider(aRandom.below(aCandidates.size()), 0);
  }
  if (aQuery.prefix.empty()) {
    return best;
  }
  const double blocks = static_cast<double>(aQuery.prefix.size());
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aCandidates[i].prefixBlocks > 0) {
      consider(i,
               kCachedPromptBonusSeconds *
                 static_cast<double>(aCandidates[i].prefixBlocks) / blocks);
    }
  }
  double bonus = kCachedPromptBonusSeconds;
  for (const std::size_t index : preferredServers(aCandidates)) {
    consider(index, bonus);
    bonus -= kPreferenceStepSeconds;
  }
  return best;
}

const Registry<RoutingPolicy>::Registrar kRoundRobin("round_robin", roundRobin);
const Registry<RoutingPolicy>::Registrar kLeastOutstanding("least_outstanding",
                                                           leastOutstanding);
const Registry<RoutingPolicy>::Registrar kPowerOfTwo("power_of_two",
                                                     powerOfTwo);
const Registry<RoutingPolicy>::Registrar kWeightedLoad("weighted_load",
                                                       weightedLoad);

} // namespace
} // namespace laburnum::policy
