#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/contract/store_news.hpp"
#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnum::steward {

using contract::StoreNews;

/// What the steward of a rank reports for the summary of its group.
struct RankPresence
{
  std::size_t rank = 0;
  std::uint32_t load = 0;     ///< Requests that run or wait at the rank.
  std::uint32_t gateways = 0; ///< Gateways linked to the rank's steward.
  std::string failureDomain;
  /// Address of the rank's engine; unset if it is unchanged.
  std::optional<contract::Address> server;
  StoreNews news;
};

/// Summary of a group for gateways: how loaded each rank is and how many
/// gateways share the group. Kept by the keeper, to which all ranks report.
///
/// Performs no I/O. Thread safety: loop thread.
/// @pre Ranks passed to the methods are below aRanks; times never decrease.
class GroupSummary
{
public:
  explicit GroupSummary(std::size_t aRanks)
    : mRanks(aRanks)
  {
  }

  void update(const RankPresence& aPresence, Instant aNow);

  /// Forgets a rank whose steward is no longer connected.
  void removeRank(std::size_t aRank) { mRanks[aRank] = Rank{}; }

  /// The requests of each rank; nothing for ranks that have not reported for
  /// longer than `kMaxReportAge`.
  std::vector<std::optional<std::uint32_t>> loads(Instant aNow) const;

  /// Gateways linked to all stewards together.
  std::uint32_t gateways() const;

  /// The address of each rank's engine; port 0 if it is not known.
  std::vector<contract::Address> servers() const;

  const std::string& failureDomain(std::size_t aRank) const
  {
    return mRanks[aRank].failureDomain;
  }

  StoreNews news() const { return mNews; }

  /// Twice the longest interval between two reports of a steward.
  static constexpr Duration kMaxReportAge = milliseconds(1000);

private:
  struct Rank
  {
    std::optional<Instant> updatedAt;
    std::uint32_t load = 0;
    std::uint32_t gateways = 0;
    std::string failureDomain;
    contract::Address server;
  };
  std::vector<Rank> mRanks;
  StoreNews mNews;
};

/// Ranks to which one steward passes an order on.
struct RelayChunk
{
  std::size_t relay = 0;
  std::vector<std::size_t> targets;
};

/// Divides ranks into chunks of one failure domain each, so that an order
/// crosses the links of the sender and of each relay about as often. A chunk
/// has about as many ranks as there are chunks.
/// @pre aFailureDomains has the failure domain of each of aRanks.
std::vector<RelayChunk>
relayChunks(const std::vector<std::size_t>& aRanks,
            const std::vector<std::string>& aFailureDomains);

} // namespace laburnum::steward
