#pragma once

#include "laburnum/contract/contract.hpp"
#include "laburnum/node/node.hpp"
#include "laburnum/policy/rate_limiter.hpp"

#include <string>
#include <vector>

namespace laburnum::entry {

/// Holds client accounts to their rate and burst over all entries: one entry,
/// chosen by rendezvous hash, keeps an account's bucket and grants parts of it
/// to the entries where the demand comes in. Thread safety: loop thread.
class AccountLimits
{
public:
  explicit AccountLimits(node::Node& aNode);

  /// Takes one request of an account, or fails with RateExceeded. Pre: none.
  Failure take(const contract::Contract& aContract);

  /// Takes in a keeper's or an entry's message. Pre: none.
  void received(const std::string& aFrom, const wire::BucketAskT& aAsk);
  void received(const wire::BucketGrantT& aGrant);

  /// Asks keepers for what will be needed, and forgets idle accounts.
  /// Call several times a second. Pre: none.
  void tick();

private:
  std::string keeperOf(const std::string& aAccount) const;
  void refreshEntries();

  node::Node& mNode;
  policy::EntryRateLimiter mLimiter;
  policy::GlobalRateLimiter mKeeper;
  std::vector<std::string> mEntries; ///< Live ones, this one included.
  std::vector<std::uint64_t> mEntryIds;
  std::vector<std::string>
    mActive; ///< Accounts with demand since the last tick.
  Instant mExpiredAt{};
};

} // namespace laburnum::entry
