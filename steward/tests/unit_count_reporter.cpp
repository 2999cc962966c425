#include "laburnum/steward/count_reporter.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace laburnum;
using namespace laburnum::steward;

namespace {

constexpr Instant kStartTime{ seconds(100) };
constexpr std::size_t kCounts = 3840; ///< Ten sets of 384 experts.
constexpr std::size_t kRanks = 192;

} // namespace

TEST_CASE("count_reporter_smallGroup_reportsWithEachRead")
{
  CountReporter reporter;
  for (int i = 0; i < 5; ++i) {
    const Instant now = kStartTime + i * milliseconds(100);
    reporter.add({ 1, 2 }, now);
    CHECK(reporter.isDue(3, 16, now));
    CHECK(reporter.take(3, 16, now) == std::vector<double>{ 1, 2 });
  }
}

TEST_CASE("count_reporter_ranksStartedTogether_takeTurns")
{
  // All stewards of a large group start within 0.3 s. If their reports of 4 KB
  // coincide, the keeper's link is full for a second, and it learns nothing for
  // the rest of the period.
  std::vector<CountReporter> reporters(kRanks);
  std::vector<int> reportsPerTenth(60, 0);
  std::vector<int> reportsOfRank(kRanks, 0);
  for (int tenth = 0; tenth < 60; ++tenth) {
    const Instant now = kStartTime + tenth * milliseconds(100);
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      reporters[rank].add(std::vector<std::uint64_t>(kCounts, 1), now);
      if (reporters[rank].isDue(rank, kRanks, now)) {
        reporters[rank].take(rank, kRanks, now);
        // The first report of a process does not wait for its turn.
        reportsPerTenth[static_cast<std::size_t>(tenth)] += tenth > 0 ? 1 : 0;
        ++reportsOfRank[rank];
      }
    }
  }
  const double bytesPerTenth = CountReporterOptions{}.maxBytesPerSecond / 10;
  const int most =
    *std::max_element(reportsPerTenth.begin(), reportsPerTenth.end());
  CHECK(most * static_cast<double>(kCounts) <= bytesPerTenth * 1.3);
  CHECK(*std::min_element(reportsPerTenth.begin() + 1, reportsPerTenth.end()) >
        0);
  CHECK(*std::min_element(reportsOfRank.begin(), reportsOfRank.end()) >= 2);
}

TEST_CASE("count_reporter_loadShiftsBetweenReports_reportsTheNewLoad")
{
  // A rank of a large group reports every 4 s. Half a second before, other
  // experts become popular.
  CountReporter reporter;
  std::vector<std::uint64_t> before(kCounts, 0);
  std::vector<std::uint64_t> after(kCounts, 0);
  before[0] = 10;
  after[1] = 10;
  Instant now = kStartTime;
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(100);
    reporter.add(i < 35 ? before : after, now);
  }
  const auto counts = reporter.take(0, kRanks, now);
  CHECK(counts[0] < counts[1] / 4);
}
