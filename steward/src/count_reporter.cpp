#include "laburnum/steward/count_reporter.hpp"

#include <algorithm>
#include <cmath>

namespace laburnum::steward {

Duration
CountReporter::period(std::size_t aRanks) const
{
  const double bytes =
    static_cast<double>(mCounts.size()) * static_cast<double>(aRanks);
  return std::max(mOptions.minPeriod,
                  fromSeconds(bytes / mOptions.maxBytesPerSecond));
}

std::int64_t
CountReporter::turn(std::size_t aRank, std::size_t aRanks, Instant aNow) const
{
  const double length = toSeconds(period(aRanks));
  const double offset =
    static_cast<double>(aRank) / static_cast<double>(aRanks);
  return static_cast<std::int64_t>(
    std::floor(toSeconds(aNow.time_since_epoch()) / length + offset));
}

void
CountReporter::add(const std::vector<std::uint64_t>& aCounts, Instant aNow)
{
  if (mCounts.size() != aCounts.size()) {
    mCounts.assign(aCounts.size(), 0);
  }
  const double kept =
    std::exp(-toSeconds(aNow - mAddedAt) / toSeconds(mOptions.memory));
  mAddedAt = aNow;
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    mCounts[i] = mCounts[i] * kept + static_cast<double>(aCounts[i]);
  }
}

bool
CountReporter::isDue(std::size_t aRank, std::size_t aRanks, Instant aNow) const
{
  return !mCounts.empty() && (period(aRanks) <= mOptions.minPeriod ||
                              turn(aRank, aRanks, aNow) != mLastTurn);
}

std::vector<double>
CountReporter::take(std::size_t aRank, std::size_t aRanks, Instant aNow)
{
  mLastTurn = turn(aRank, aRanks, aNow);
  std::vector<double> counts = mCounts;
  std::fill(mCounts.begin(), mCounts.end(), 0);
  return counts;
}

} // namespace laburnum::steward
