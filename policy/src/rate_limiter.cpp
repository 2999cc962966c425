#include "laburnum/policy/rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace laburnum::policy {
namespace {

/// Minimum time between an entry's requests for grants for one account.
constexpr Duration kMinGrantInterval = milliseconds(100);

/// Duration of demand that a request for a grant covers.
constexpr double kGrantCoverSeconds = 0.25;

/// The global limiter is taken to be unreachable after this time without a
/// reply.
constexpr Duration kGrantTimeout = milliseconds(500);

constexpr Duration kIdleAccountExpiry = seconds(30);

constexpr double kDemandDecaySeconds = 0.5;

} // namespace

void
TokenBucket::refill(Instant aNow)
{
  mTokens = std::min(mBurst, mTokens + mRate * toSeconds(aNow - mRefilledAt));
  mRefilledAt = aNow;
}

double
TokenBucket::take(double aWanted, Instant aNow)
{
  refill(aNow);
  const double taken = std::clamp(aWanted, 0.0, std::max(0.0, mTokens));
  mTokens -= taken;
  return taken;
}

bool
TokenBucket::tryTakeOne(Instant aNow)
{
  refill(aNow);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

void
TokenBucket::setLimit(double aRate, double aBurst, Instant aNow)
{
  refill(aNow);
  mRate = aRate;
  mBurst = aBurst;
  mTokens = std::min(mTokens, mBurst);
}

Duration
TokenBucket::timeUntilOne(Instant aNow)
{
  refill(aNow);
  return mTokens >= 1 ? Duration(0) : fromSeconds((1 - mTokens) / mRate);
}

bool
TokenBucket::isFull(Instant aNow)
{
  refill(aNow);
  return mTokens >= mBurst;
}

double
GlobalRateLimiter::grant(std::string_view aAccount,
                         const RateLimit& aLimit,
                         double aWanted,
                         Instant aNow)
{
  const auto [found, isNew] = mBuckets.try_emplace(
    std::string(aAccount), TokenBucket(aLimit.rate, aLimit.burst, aNow));
  if (!isNew) {
    found->second.setLimit(aLimit.rate, aLimit.burst, aNow);
  }
  return std::floor(found->second.take(std::ceil(aWanted), aNow));
}

void
GlobalRateLimiter::expire(Instant aNow)
{
  for (auto it = mBuckets.begin(); it != mBuckets.end();) {
    it = it->second.isFull(aNow) ? mBuckets.erase(it) : std::next(it);
  }
}

bool
EntryRateLimiter::globalLimiterAnswers(const AccountState& aState,
                                       Instant aNow) const
{
  if (!aState.globalLimiterSeen) {
    return false;
  }
  return !aState.grantPending || aNow - aState.grantRequestedAt < kGrantTimeout;
}

bool
EntryRateLimiter::take(std::string_view aAccount,
                       const RateLimit& aLimit,
                       double aShare,
                       Instant aNow)
{
  const double rate = aLimit.rate * aShare;
  const double burst = std::max(1.0, aLimit.burst * aShare);
  const auto [found, isNew] = mAccounts.try_emplace(std::string(aAccount));
  AccountState& state = found->second;
  if (isNew) {
    state.fallback = TokenBucket(rate, burst, aNow);
    state.lastTake = aNow;
  } else {
    state.fallback.setLimit(rate, burst, aNow);
  }
  state.limit = aLimit;
  const double elapsed = toSeconds(aNow - state.lastTake);
  state.demand = state.demand * std::exp(-elapsed / kDemandDecaySeconds) +
                 1 / kDemandDecaySeconds;
  state.lastTake = aNow;
  if (state.credit >= 1) {
    state.credit -= 1;
    return true;
  }
  if (!globalLimiterAnswers(state, aNow)) {
    return state.fallback.tryTakeOne(aNow);
  }
  // Callers that have just moved to this entry are within the account's limit,
  // although no grant covers them yet. The next grant repays the overdraft.
  if (!state.lastGrantPartial && state.credit - 1 >= -burst) {
    state.credit -= 1;
    return true;
  }
  return false;
}

double
EntryRateLimiter::nextGrantRequest(std::string_view aAccount,
                                   const RateLimit& aLimit,
                                   Instant aNow)
{
  const auto found = mAccounts.find(std::string(aAccount));
  if (found == mAccounts.end()) {
    return 0;
  }
  AccountState& state = found->second;
  if (aNow - state.grantRequestedAt < kMinGrantInterval) {
    return 0;
  }
  const double target =
    std::min(aLimit.burst, state.demand * kGrantCoverSeconds + 1);
  const double missing = target - state.credit;
  if (missing < 1 || state.credit > target / 2) {
    return 0;
  }
  state.grantRequestedAt = aNow;
  state.grantPending = true;
  state.requestedGrant = std::ceil(missing);
  return state.requestedGrant;
}

void
EntryRateLimiter::addGrant(std::string_view aAccount, double aRequests)
{
  const auto found = mAccounts.find(std::string(aAccount));
  if (found == mAccounts.end()) {
    return;
  }
  AccountState& state = found->second;
  state.lastGrantPartial =
    state.grantPending && aRequests < state.requestedGrant;
  state.grantPending = false;
  state.globalLimiterSeen = true;
  state.credit =
    std::min(state.credit + aRequests, std::max(1.0, state.limit.burst));
}

Duration
EntryRateLimiter::retryAfter(std::string_view aAccount, Instant aNow)
{
  const auto found = mAccounts.find(std::string(aAccount));
  if (found == mAccounts.end()) {
    return seconds(1);
  }
  return std::max<Duration>(milliseconds(100),
                            found->second.fallback.timeUntilOne(aNow));
}

void
EntryRateLimiter::expire(Instant aNow)
{
  std::erase_if(mAccounts, [&](const auto& aEntry) {
    return aNow - aEntry.second.lastTake > kIdleAccountExpiry;
  });
}

} // namespace laburnum::policy
