#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>

namespace laburnum::policy {

/// Limits retries to a fraction of first attempts, so that retries cannot
/// amplify an overload. Starts with the maximum number of retries available.
/// Not thread-safe.
class RetryBudget
{
public:
  /// @param aRetryShare Retries earned per first attempt, 0 to 1.
  /// @param aMaxRetries Maximum number of unused retries.
  explicit RetryBudget(double aRetryShare = 0.1, double aMaxRetries = 10)
    : mRetryShare(aRetryShare)
    , mMaxRetries(aMaxRetries)
    , mAvailable(aMaxRetries)
  {
  }

  /// Adds the retry share of one first attempt to the budget.
  void recordFirstAttempt()
  {
    mAvailable = std::min(mAvailable + mRetryShare, mMaxRetries);
  }

  /// Takes one retry from the budget; returns false if none is available.
  bool tryTakeRetry()
  {
    if (mAvailable < 1) {
      return false;
    }
    mAvailable -= 1;
    return true;
  }

  /// Sets the retry share, which comes from the configured policy.
  /// @pre 0 <= aRetryShare <= 1
  void setRetryShare(double aRetryShare) { mRetryShare = aRetryShare; }

private:
  double mRetryShare;
  double mMaxRetries;
  double mAvailable;
};

/// Retry budgets per client account, so that a burst of failures of one
/// account does not exhaust the budget of another. Not thread-safe.
class RetryBudgets
{
public:
  /// Sets the parameters of each account's budget, as in `RetryBudget`.
  explicit RetryBudgets(double aRetryShare = 0.05, double aMaxRetries = 2)
    : mRetryShare(aRetryShare)
    , mMaxRetries(aMaxRetries)
  {
  }

  /// Returns the account's budget, creating it on first use. The reference
  /// stays valid for the lifetime of this object.
  RetryBudget& forAccount(const std::string& aAccount)
  {
    return mBudgets.try_emplace(aAccount, mRetryShare, mMaxRetries)
      .first->second;
  }

  /// Sets the retry share of all present and future accounts.
  /// @pre 0 <= aRetryShare <= 1
  void setRetryShare(double aRetryShare)
  {
    mRetryShare = aRetryShare;
    for (auto& [account, budget] : mBudgets) {
      budget.setRetryShare(aRetryShare);
    }
  }

private:
  double mRetryShare;
  double mMaxRetries;
  std::unordered_map<std::string, RetryBudget> mBudgets;
};

} // namespace laburnum::policy
