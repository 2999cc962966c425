#include "laburnum/steward/slowness.hpp"

#include <algorithm>
#include <cmath>

namespace laburnum::steward {

double
Slowness::counted(double aPace) const
{
  return aPace < mOptions.slow ? 1 : aPace;
}

bool
Slowness::isSame(double aLeft, double aRight) const
{
  return std::abs(aLeft - aRight) <= mOptions.change * std::min(aLeft, aRight);
}

void
Slowness::seen(double aPace, Instant aNow)
{
  const double pace = counted(aPace);
  if (!isSame(pace, mCandidate)) {
    mCandidate = pace;
    mCandidateAt = aNow;
  }
  if (aNow - mCandidateAt >= mOptions.lasting && !isSame(mPace, mCandidate)) {
    mPace = mCandidate;
  }
}

std::optional<double>
Slowness::due(Instant aNow)
{
  if (isSame(mPace, mStored) ||
      (mWrittenAt && aNow - *mWrittenAt < mOptions.pause)) {
    return std::nullopt;
  }
  mWrittenAt = aNow;
  return mPace;
}

} // namespace laburnum::steward
