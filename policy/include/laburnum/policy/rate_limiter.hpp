#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace laburnum::policy {

/// A token bucket (Turner, 1986), where one token admits one request. It
/// starts full. Not thread-safe; timestamps must not decrease between calls.
class TokenBucket
{
public:
  TokenBucket() = default;

  /// @param aRate Tokens added per second.
  /// @param aBurst Maximum number of tokens.
  TokenBucket(double aRate, double aBurst, Instant aNow)
    : mRate(aRate)
    , mBurst(aBurst)
    , mTokens(aBurst)
    , mRefilledAt(aNow)
  {
  }

  /// Takes up to aWanted tokens and returns how many were taken.
  double take(double aWanted, Instant aNow);

  /// Takes one token if a whole one is available.
  bool tryTakeOne(Instant aNow);

  /// Changes rate and burst; the tokens stay, capped at the new burst.
  void setLimit(double aRate, double aBurst, Instant aNow);

  /// Returns the time until a whole token is available.
  /// @pre The rate is above zero.
  Duration timeUntilOne(Instant aNow);

  /// Returns true if the bucket is full; it can then be discarded and later
  /// recreated without affecting the limit.
  bool isFull(Instant aNow);

private:
  void refill(Instant aNow);

  double mRate = 0;
  double mBurst = 0;
  double mTokens = 0;
  Instant mRefilledAt{};
};

/// The rate limit of a client account, as its contract sets it.
struct RateLimit
{
  double rate = 1;  ///< Requests per second.
  double burst = 1; ///< Requests that may arrive at once.
};

/// Holds the token bucket of client accounts for all entries and grants parts
/// of it to the entries that receive requests of the account. Rendezvous
/// hashing assigns each account to one daemon. An idle account uses no memory.
/// Not thread-safe; timestamps must not decrease between calls.
class GlobalRateLimiter
{
public:
  /// Grants up to aWanted requests and returns how many; a whole number.
  double grant(std::string_view aAccount,
               const RateLimit& aLimit,
               double aWanted,
               Instant aNow);

  /// Discards full buckets.
  void expire(Instant aNow);

  /// Returns the number of buckets held.
  std::size_t size() const { return mBuckets.size(); }

private:
  std::unordered_map<std::string, TokenBucket> mBuckets;
};

/// Enforces account rate limits at one entry without a round trip to the
/// global limiter per request. It spends granted requests and requests another
/// grant before they run out. If the last grant was made in full, the entry may
/// overdraw up to its equal share of the burst, and the next grant repays that.
/// If the global limiter does not answer, the entry enforces its equal share of
/// the limit by itself.
///
/// The caller transports the grants: it sends what `nextGrantRequest` returns
/// to the global limiter and passes the reply to `addGrant`.
///
/// Not thread-safe; timestamps must not decrease between calls.
class EntryRateLimiter
{
public:
  /// Admits one request of an account; returns false if its limit is reached.
  /// @param aShare This entry's equal share of the limit: one divided by the
  /// number of live entries.
  /// @pre 0 < aShare <= 1
  bool take(std::string_view aAccount,
            const RateLimit& aLimit,
            double aShare,
            Instant aNow);

  /// Returns the size of the grant to request from the global limiter now, or 0
  /// for none. A size above 0 is recorded as requested.
  double nextGrantRequest(std::string_view aAccount,
                          const RateLimit& aLimit,
                          Instant aNow);

  /// Adds requests that the global limiter granted.
  void addGrant(std::string_view aAccount, double aRequests);

  /// Returns how long a refused account should wait before it retries.
  Duration retryAfter(std::string_view aAccount, Instant aNow);

  /// Discards accounts that have been idle.
  void expire(Instant aNow);

  /// Returns the number of accounts held.
  std::size_t size() const { return mAccounts.size(); }

private:
  struct AccountState
  {
    TokenBucket fallback; ///< Used while the global limiter does not answer.
    RateLimit limit;
    double credit = 0; ///< Granted requests left; negative if overdrawn.
    double requestedGrant = 0; ///< Size of the last requested grant.
    double demand = 0;         ///< Requests per second, exponentially decayed.
    Instant lastTake{};
    Instant grantRequestedAt{};
    bool globalLimiterSeen = false; ///< It has answered at least once.
    bool grantPending = false;
    bool lastGrantPartial = false; ///< Less was granted than requested.
  };

  bool globalLimiterAnswers(const AccountState& aState, Instant aNow) const;

  std::unordered_map<std::string, AccountState> mAccounts;
};

} // namespace laburnum::policy
