#include "laburnum/steward/group_summary.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace laburnum::steward {

void
GroupSummary::update(const RankPresence& aPresence, Instant aNow)
{
  Rank& rank = mRanks[aPresence.rank];
  rank.updatedAt = aNow;
  rank.load = aPresence.load;
  rank.gateways = aPresence.gateways;
  rank.failureDomain = aPresence.failureDomain;
  if (aPresence.server) {
    rank.server = *aPresence.server;
  }
  mNews.merge(aPresence.news);
}

std::vector<std::optional<std::uint32_t>>
GroupSummary::loads(Instant aNow) const
{
  std::vector<std::optional<std::uint32_t>> loads;
  for (const Rank& rank : mRanks) {
    const bool isKnown =
      rank.updatedAt && aNow - *rank.updatedAt <= kMaxReportAge;
    loads.push_back(isKnown ? std::optional(rank.load) : std::nullopt);
  }
  return loads;
}

std::uint32_t
GroupSummary::gateways() const
{
  std::uint32_t total = 0;
  for (const Rank& rank : mRanks) {
    total += rank.gateways;
  }
  return total;
}

std::vector<contract::Address>
GroupSummary::servers() const
{
  std::vector<contract::Address> servers;
  for (const Rank& rank : mRanks) {
    servers.push_back(rank.server);
  }
  return servers;
}

std::vector<RelayChunk>
relayChunks(const std::vector<std::size_t>& aRanks,
            const std::vector<std::string>& aFailureDomains)
{
  std::map<std::string_view, std::vector<std::size_t>> byDomain;
  for (const std::size_t rank : aRanks) {
    byDomain[aFailureDomains[rank]].push_back(rank);
  }
  const auto size = static_cast<std::size_t>(
    std::ceil(std::sqrt(static_cast<double>(aRanks.size()))));
  std::vector<RelayChunk> chunks;
  for (const auto& [domain, ranks] : byDomain) {
    for (std::size_t first = 0; first < ranks.size(); first += size) {
      const std::size_t last = std::min(first + size, ranks.size());
      RelayChunk chunk{ .relay = ranks[first] };
      for (std::size_t i = first + 1; i < last; ++i) {
        chunk.targets.push_back(ranks[i]);
      }
      chunks.push_back(std::move(chunk));
    }
  }
  return chunks;
}

} // namespace laburnum::steward
