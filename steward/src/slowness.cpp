#include "laburnum/steward/slowness.hpp"

#include <algorithm>
#include <cmath>

namespace laburnum::steward {

double
SlowdownFilter::applyThreshold(double aSlowdown) const
{
  return aSlowdown < mOptions.slowThreshold ? 1 : aSlowdown;
}

bool
SlowdownFilter::isClose(double aLeft, double aRight) const
{
  return std::abs(aLeft - aRight) <=
         mOptions.relativeTolerance * std::min(aLeft, aRight);
}

void
SlowdownFilter::observe(double aSlowdown, Instant aNow)
{
  const double slowdown = applyThreshold(aSlowdown);
  if (!isClose(slowdown, mCandidate)) {
    mCandidate = slowdown;
    mCandidateAt = aNow;
  }
  if (aNow - mCandidateAt >= mOptions.confirmationTime &&
      !isClose(mSlowdown, mCandidate)) {
    mSlowdown = mCandidate;
  }
}

std::optional<double>
SlowdownFilter::takeValueToStore(Instant aNow)
{
  if (isClose(mSlowdown, mStored) ||
      (mWrittenAt && aNow - *mWrittenAt < mOptions.minWriteInterval)) {
    return std::nullopt;
  }
  mWrittenAt = aNow;
  return mSlowdown;
}

} // namespace laburnum::steward
