#include "laburnum/steward/group_summary.hpp"

#include "frames.hpp"

#include <catch2/catch.hpp>

#include <numeric>

using namespace laburnum;
using namespace laburnum::steward;

namespace {

constexpr Instant kStartTime{ seconds(100) };

/// Ranks in five failure domains, as many in each as in the next or one more.
std::vector<std::string>
domainsOf(std::size_t aRanks)
{
  std::vector<std::string> domains;
  for (std::size_t rank = 0; rank < aRanks; ++rank) {
    domains.push_back("domain-" + std::to_string(rank % 5));
  }
  return domains;
}

std::vector<std::size_t>
allRanks(std::size_t aRanks)
{
  std::vector<std::size_t> ranks(aRanks);
  std::iota(ranks.begin(), ranks.end(), 0);
  return ranks;
}

} // namespace

TEST_CASE("group_summary_rankSilent_loadBecomesUnknown")
{
  GroupSummary summary(3);
  summary.update({ .rank = 0, .load = 4, .gateways = 7 }, kStartTime);
  summary.update({ .rank = 1, .load = 2, .gateways = 5 },
                 kStartTime + milliseconds(800));
  auto loads = summary.loads(kStartTime + milliseconds(900));
  CHECK(loads[0] == 4U);
  CHECK(loads[1] == 2U);
  CHECK_FALSE(loads[2]);
  loads = summary.loads(kStartTime + milliseconds(1100));
  CHECK_FALSE(loads[0]);
  CHECK(loads[1] == 2U);
  CHECK(summary.gateways() == 12);
  summary.removeRank(0);
  CHECK(summary.gateways() == 5);
}

TEST_CASE("group_summary_addressReportedOnce_isKept")
{
  GroupSummary summary(1);
  const contract::Address address{ .host = "10.1.0.4", .port = 8300 };
  summary.update({ .rank = 0, .server = address }, kStartTime);
  summary.update({ .rank = 0, .load = 1 }, kStartTime);
  CHECK(summary.servers() == std::vector{ address });
}

TEST_CASE("group_summary_olderNews_neverReplaceNewer")
{
  // A gateway that has just started has seen less than the others.
  GroupSummary summary(2);
  summary.update({ .rank = 0, .news = { 9, 400 } }, kStartTime);
  summary.update({ .rank = 1, .news = { 7, 500 } }, kStartTime);
  summary.update({ .rank = 0, .news = { 0, 0 } }, kStartTime);
  CHECK(summary.news() == StoreNews{ 9, 500 });
}

TEST_CASE("relay_chunks_anyGroupSize_coverEachRankOnceWithinADomain")
{
  const std::size_t ranks = GENERATE(1U, 16U, 72U, 192U, 790U);
  const auto domains = domainsOf(ranks);
  std::vector<int> seen(ranks, 0);
  for (const RelayChunk& chunk : relayChunks(allRanks(ranks), domains)) {
    ++seen[chunk.relay];
    for (const std::size_t target : chunk.targets) {
      ++seen[target];
      CHECK(domains[target] == domains[chunk.relay]);
    }
  }
  CHECK(std::all_of(
    seen.begin(), seen.end(), [](int aCount) { return aCount == 1; }));
}

TEST_CASE("relay_chunks_changeOfHundredsOfCopies_crossesNoLinkForLong")
{
  // Links of 6 Mbit/s. One by one, 300 copies would cross the keeper's link
  // 192 times, which takes 0.6 s, and 790 times, which takes 2.5 s.
  constexpr double kBytesPerSecond = 750000;
  constexpr std::size_t kCopies = 300;
  const auto [ranks, maxSeconds] = GENERATE(
    table<std::size_t, double>({ { 72, 0.1 }, { 192, 0.12 }, { 790, 0.25 } }));
  wire::RelayedOrderT frame;
  frame.order = std::make_unique<wire::RankOrderT>();
  frame.order->changes.resize(kCopies, wire::RankChange(1, 2, 3, 4));
  std::size_t largest = 0;
  const auto chunks = relayChunks(allRanks(ranks), domainsOf(ranks));
  for (const RelayChunk& chunk : chunks) {
    largest = std::max(largest, chunk.targets.size());
  }
  std::string fromRelay;
  wire::encode(frame, fromRelay);
  frame.targets.resize(largest);
  std::string fromKeeper;
  wire::encode(frame, fromKeeper);
  const double bytes = static_cast<double>(chunks.size() * fromKeeper.size()) +
                       static_cast<double>(largest * fromRelay.size());
  CAPTURE(ranks, chunks.size(), largest, bytes);
  CHECK(bytes / kBytesPerSecond <= maxSeconds);
}

TEST_CASE("frames_loadsAndAddresses_surviveEncoding")
{
  const auto loads = encodeLoads({ 0U, 6U, std::nullopt, 900U });
  CHECK(loads == std::vector<std::uint8_t>{
                   0, 6, wire::kUnknownRankLoad, wire::kMaxRankLoad });
  const std::vector<contract::Address> addresses{
    { .host = "10.1.0.40", .port = 8503 }, { .host = "127.0.0.1", .port = 1 }
  };
  CHECK(decodeAddresses(encodeAddresses(addresses)) == addresses);
  CHECK(encodeAddresses({ { .host = "::1", .port = 9 } })[0].port() == 0);
}
