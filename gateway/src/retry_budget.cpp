#include "laburnum/gateway/retry_budget.hpp"

#include <algorithm>

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

void
RetryBudget::setGateways(int aGateways, Instant aNow)
{
  if (aNow - mMaxGatewaysAt >= mOptions.window) {
    mPreviousMaxGateways = mMaxGateways;
    mMaxGateways = 0;
    mMaxGatewaysAt = aNow;
  }
  mMaxGateways = std::max(mMaxGateways, aGateways);
}

double
RetryBudget::gateways() const
{
  const int told = std::max(mMaxGateways, mPreviousMaxGateways);
  // One full period shows whether the number is still growing.
  return mPreviousMaxGateways > 0 ? told * mOptions.gatewayMargin
                                  : mOptions.gateways;
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
                         (hasSlack ? mOptions.slack / gateways() : 0);
  if (static_cast<double>(mRetries.size() + 1) > allowed) {
    return false;
  }
  mRetries.push_back(aNow);
  return true;
}

} // namespace laburnum::gateway
