#include "laburnum/policy/permit_issuer.hpp"

#include <algorithm>

namespace laburnum::policy {

PermitIssuer::Reply
PermitIssuer::request(const std::string& aServerId,
                      std::int64_t aStartedMs,
                      double aRate,
                      Duration aMaxWait,
                      Instant aNow)
{
  removeExpired(aNow);
  const Duration interval = fromSeconds(1 / aRate);
  const auto [found, isNew] = mSchedules.try_emplace(aServerId);
  Schedule& schedule = found->second;
  if (isNew || schedule.startedMs != aStartedMs) {
    // Another issuer may have issued a permit just now.
    schedule = { .startedMs = aStartedMs,
                 .interval = interval,
                 .nextAt = aNow + interval };
  }
  if (interval < schedule.interval) {
    schedule.nextAt = std::min(schedule.nextAt, aNow + interval);
  }
  schedule.interval = interval;
  schedule.nextAt = std::max(schedule.nextAt, aNow - mOptions.maxCredit);
  const Duration wait = std::max<Duration>(Duration(0), schedule.nextAt - aNow);
  if (wait > aMaxWait) {
    return { .isGranted = false, .wait = wait };
  }
  schedule.nextAt += interval;
  return { .isGranted = true, .wait = wait };
}

void
PermitIssuer::removeExpired(Instant aNow)
{
  if (aNow - mExpiredAt < mOptions.expiry) {
    return;
  }
  mExpiredAt = aNow;
  std::erase_if(mSchedules, [&](const auto& aEntry) {
    return aNow - aEntry.second.nextAt > mOptions.expiry;
  });
}

} // namespace laburnum::policy
