#include "laburnum/experts/map_versions.hpp"

#include <algorithm>

namespace laburnum::experts {
namespace {

/// Low bits of a version, which identify the process. With the time of day in
/// ms above them, versions stay below 2^53 until the year 2109, so that they
/// are exact in engines that read numbers as doubles.
constexpr int kProcessBits = 11;
constexpr std::uint64_t kProcessMask = (1U << kProcessBits) - 1;

} // namespace

MapVersions::MapVersions(std::uint64_t aProcessId)
  : mProcessBits(aProcessId & kProcessMask)
{
}

void
MapVersions::observe(std::uint64_t aVersion)
{
  mHighest = std::max(mHighest, aVersion);
}

std::uint64_t
MapVersions::next(milliseconds aTimeOfDay)
{
  const auto time = static_cast<std::uint64_t>(aTimeOfDay.count());
  const std::uint64_t prefix = std::max(time, (mHighest >> kProcessBits) + 1)
                               << kProcessBits;
  mHighest = prefix | mProcessBits;
  return mHighest;
}

} // namespace laburnum::experts
