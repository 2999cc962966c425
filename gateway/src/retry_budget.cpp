#include "laburnum/gateway/retry_budget.hpp"

namespace laburnum::gateway {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : mOptions(aOptions)
{
}

void
RetryBudget::dropExpired(Instant aNow)
{
  if (!mStarted) {
    mStarted = true;
    mStartedAt = aNow;
  }
  const Instant windowStart = aNow - mOptions.window;
  while (!mRequests.empty() && mRequests.front() < windowStart) {
    mRequests.pop_front();
  }
  while (!mRetries.empty() && mRetries.front() < windowStart) {
    mRetries.pop_front();
  }
}

void
RetryBudget::recordRequest(Instant aNow)
{
  dropExpired(aNow);
  mRequests.push_back(aNow);
}

bool
RetryBudget::tryAcquire(Instant aNow)
{
  dropExpired(aNow);
  // The previous process of a gateway that just started may have used up the
  // slack of the same window.
  const bool hasSlack = aNow - mStartedAt >= mOptions.window;
  const double allowed = mOptions.ratio * mOptions.ratioShare *
                           static_cast<double>(mRequests.size()) +
                         (hasSlack ? mOptions.slack / mOptions.gateways : 0);
  if (static_cast<double>(mRetries.size() + 1) > allowed) {
    return false;
  }
  mRetries.push_back(aNow);
  return true;
}

} // namespace laburnum::gateway
