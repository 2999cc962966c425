#include "laburnum/gateway/surge_detector.hpp"

#include <cmath>

namespace laburnum::gateway {

void
SurgeDetector::decay(Counts& aCounts, Instant aNow) const
{
  const double age = toSeconds(aNow - aCounts.updatedAt);
  aCounts.recent *= std::exp(-age / toSeconds(mOptions.recentTime));
  aCounts.usual *= std::exp(-age / toSeconds(mOptions.usualTime));
  aCounts.updatedAt = aNow;
}

bool
SurgeDetector::isSurging(const Counts& aCounts, Instant aNow) const
{
  if (aCounts.recent < mOptions.minRecentRequests ||
      mTotal.usual < mOptions.minUsualRequests ||
      aNow - aCounts.calmAt > mOptions.maxSurge) {
    return false;
  }
  return aCounts.recent / mTotal.recent >
         mOptions.surgeRatio * aCounts.usual / mTotal.usual;
}

bool
SurgeDetector::record(const std::string& aAccount, Instant aNow)
{
  Counts& counts = mAccounts[aAccount];
  decay(counts, aNow);
  decay(mTotal, aNow);
  ++counts.recent;
  ++mTotal.recent;
  if (isSurging(counts, aNow)) {
    return true; // A surge must not become usual while it lasts.
  }
  ++counts.usual;
  ++mTotal.usual;
  counts.calmAt = aNow;
  return false;
}

} // namespace laburnum::gateway
