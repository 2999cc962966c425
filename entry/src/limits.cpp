#include "laburnum/entry/limits.hpp"

#include "laburnum/kernel/hash.hpp"

#include <algorithm>

namespace laburnum::entry {
namespace {

constexpr Duration kExpirePeriod = seconds(5);

policy::RateLimit
termsOf(const contract::Contract& aContract)
{
  return { .rate = aContract.rate, .burst = aContract.burst };
}

} // namespace

AccountLimits::AccountLimits(node::Node& aNode)
  : mNode(aNode)
{
}

void
AccountLimits::refreshEntries()
{
  mEntries = { mNode.settings().instance };
  for (const auto& [name, member] : mNode.membership().members()) {
    if (member.role == contract::Role::Entry &&
        member.state == membership::MemberState::Alive) {
      mEntries.push_back(name);
    }
  }
  mEntryIds.clear();
  for (const std::string& name : mEntries) {
    mEntryIds.push_back(hash64(name));
  }
}

std::string
AccountLimits::keeperOf(const std::string& aAccount) const
{
  return mEntries[rendezvous(hash64(aAccount), mEntryIds, 1).front()];
}

Failure
AccountLimits::take(const contract::Contract& aContract)
{
  if (mEntries.empty()) {
    refreshEntries();
  }
  const Instant now = mNode.loop().now();
  const double share = 1.0 / static_cast<double>(mEntries.size());
  if (std::find(mActive.begin(), mActive.end(), aContract.account) ==
      mActive.end()) {
    mActive.push_back(aContract.account);
  }
  if (mLimiter.take(aContract.account, termsOf(aContract), share, now)) {
    return {};
  }
  // The own keeper answers at once, without waiting for the next tick.
  if (keeperOf(aContract.account) == mNode.settings().instance) {
    mLimiter.addGrant(
      aContract.account,
      mKeeper.grant(aContract.account, termsOf(aContract), 1, now));
    if (mLimiter.take(aContract.account, termsOf(aContract), share, now)) {
      return {};
    }
  }
  return { .error = Error::RateExceeded,
           .verdict = Verdict::NotRun,
           .retryAfter = mLimiter.retryAfter(aContract.account, now) };
}

void
AccountLimits::received(const std::string& aFrom, const wire::BucketAskT& aAsk)
{
  const contract::Contract* contract = mNode.store().contractOf(aAsk.account);
  if (contract == nullptr) {
    return;
  }
  wire::BucketGrantT grant;
  grant.account = aAsk.account;
  grant.granted = mKeeper.grant(
    aAsk.account, termsOf(*contract), aAsk.wanted, mNode.loop().now());
  mNode.sendTo(aFrom, grant);
}

void
AccountLimits::received(const wire::BucketGrantT& aGrant)
{
  mLimiter.addGrant(aGrant.account, aGrant.granted);
}

void
AccountLimits::tick()
{
  const Instant now = mNode.loop().now();
  refreshEntries();
  for (const std::string& account : mActive) {
    const contract::Contract* contract = mNode.store().contractOf(account);
    if (contract == nullptr) {
      continue;
    }
    const double wanted =
      mLimiter.nextGrantRequest(account, termsOf(*contract), now);
    if (wanted <= 0) {
      continue;
    }
    const std::string keeper = keeperOf(account);
    if (keeper == mNode.settings().instance) {
      mLimiter.addGrant(
        account, mKeeper.grant(account, termsOf(*contract), wanted, now));
      continue;
    }
    wire::BucketAskT ask;
    ask.account = account;
    ask.wanted = wanted;
    mNode.sendTo(keeper, ask);
  }
  mActive.clear();
  if (now - mExpiredAt > kExpirePeriod) {
    mExpiredAt = now;
    mLimiter.expire(now);
    mKeeper.expire(now);
  }
}

} // namespace laburnum::entry
