#include "laburnum/gateway/store_freshness.hpp"

#include <algorithm>

namespace laburnum::gateway {

void
StoreFreshness::recordConfiguration(std::uint64_t aVersion)
{
  mOwn.configurationVersion = std::max(mOwn.configurationVersion, aVersion);
}

void
StoreFreshness::recordServers(std::uint64_t aRevision, std::uint64_t aEra)
{
  mOwn.merge({ .serversRevision = aRevision, .storeEra = aEra });
}

void
StoreFreshness::recordTold(const StoreNews& aNews, int aGateways, Instant aNow)
{
  mGateways = aGateways;
  mTold.merge(aNews);
  mToldAt = aNow;
}

bool
StoreFreshness::isTold(Instant aNow) const
{
  return mToldAt && aNow - *mToldAt <= mOptions.maxNewsAge;
}

Duration
StoreFreshness::watchWait(Instant aNow)
{
  if (!isTold(aNow)) {
    return mOptions.shortWait;
  }
  const Duration longest =
    std::min<Duration>(mOptions.longWait, mOptions.waitPerGateway * mGateways);
  // Gateways start together; their watches must not end together.
  const Duration spread =
    fromSeconds(toSeconds(longest) * (0.5 + mRandom.unit() / 2));
  mWaitsLong = mWaitsLong || spread > mOptions.shortWait;
  return std::max(mOptions.shortWait, spread);
}

bool
StoreFreshness::takeRestart(Instant aNow)
{
  if (mWaitsLong && !isTold(aNow)) {
    mWaitsLong = false;
    return true;
  }
  if (!mOwn.isBehind(mTold)) {
    mBehindSince.reset();
    return false;
  }
  if (!mBehindSince) {
    mBehindSince = aNow;
    return false;
  }
  if (aNow - *mBehindSince < mOptions.propagationTime) {
    return false;
  }
  // What remains behind after a restart is no longer in the store's history.
  mOwn.merge(mTold);
  mBehindSince.reset();
  return true;
}

} // namespace laburnum::gateway
