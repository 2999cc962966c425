#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <vector>

namespace laburnum::steward {

/// Parameters of a `CountReporter`.
struct CountReporterOptions
{
  /// Rate at which the keeper receives counts from all ranks together.
  double maxBytesPerSecond = 187500;
  Duration minPeriod = milliseconds(100); ///< Between two reports of a rank.
  /// Counts that were not reported lose their weight within this time, so that
  /// a report describes the present load and not that of the whole period.
  Duration memory = milliseconds(250);
};

/// Decides when a rank reports how often its requests chose each expert, and
/// keeps the counts until then. In larger groups each rank reports less often,
/// so that all ranks together stay within the rate that the keeper's link can
/// take; as the requests of all ranks are similar, the counts of some represent
/// all. The ranks take turns: reports of all ranks at once would fill the link
/// and show a shift of the load only once per period.
///
/// Performs no I/O. Thread safety: loop thread.
/// @pre Times passed to the methods never decrease.
class CountReporter
{
public:
  explicit CountReporter(CountReporterOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Adds new counts, one for each expert of each set.
  void add(const std::vector<std::uint64_t>& aCounts, Instant aNow);

  /// True if it is the turn of the rank.
  /// @pre aRank < aRanks
  bool isDue(std::size_t aRank, std::size_t aRanks, Instant aNow) const;

  /// Returns the counts to report, and forgets them. Empty if there are none.
  std::vector<double> take(std::size_t aRank, std::size_t aRanks, Instant aNow);

private:
  Duration period(std::size_t aRanks) const;
  /// Number of the period in which a rank is now; periods of ranks with
  /// successive numbers begin one after the other.
  std::int64_t turn(std::size_t aRank, std::size_t aRanks, Instant aNow) const;

  CountReporterOptions mOptions;
  std::vector<double> mCounts;
  Instant mAddedAt{};
  std::int64_t mLastTurn = -1;
};

} // namespace laburnum::steward
