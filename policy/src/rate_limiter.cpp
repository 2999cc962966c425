#include "laburnum/policy/rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace laburnum::policy {
namespace {

/// Least time between two asks of an entry for one account.
constexpr Duration kMinAskInterval = milliseconds(100);

/// Demand that an ask covers.
constexpr double kAskCoverSeconds = 0.25;

/// An ask without an answer for this long means that the keeper is away.
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
  return !aState.askPending || aNow - aState.lastAsk < kGrantTimeout;
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
  // Demand that has just moved here is not over the limit; the next ask pays.
  if (!state.lastGrantPartial && state.credit - 1 >= -burst) {
    state.credit -= 1;
    return true;
  }
  return false;
}

double
EntryRateLimiter::requestsToAsk(std::string_view aAccount,
                                const RateLimit& aLimit,
                                Instant aNow)
{
  const auto found = mAccounts.find(std::string(aAccount));
  if (found == mAccounts.end()) {
    return 0;
  }
  AccountState& state = found->second;
  if (aNow - state.lastAsk < kMinAskInterval) {
    return 0;
  }
  const double target =
    std::min(aLimit.burst, state.demand * kAskCoverSeconds + 1);
  const double missing = target - state.credit;
  if (missing < 1 || state.credit > target / 2) {
    return 0;
  }
  state.lastAsk = aNow;
  state.askPending = true;
  state.asked = std::ceil(missing);
  return state.asked;
}

void
EntryRateLimiter::addGrant(std::string_view aAccount, double aRequests)
{
  const auto found = mAccounts.find(std::string(aAccount));
  if (found == mAccounts.end()) {
    return;
  }
  AccountState& state = found->second;
  state.lastGrantPartial = state.askPending && aRequests < state.asked;
  state.askPending = false;
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
