#include "laburnum/gateway/retry_allowance.hpp"

namespace laburnum::gateway {

RetryAllowance::RetryAllowance(RetryAllowanceOptions aOptions)
  : mOptions(aOptions)
{
}

void
RetryAllowance::forget(Instant aNow)
{
  if (!mStarted) {
    mStarted = true;
    mStartedAt = aNow;
  }
  const Instant begin = aNow - mOptions.window;
  while (!mRequests.empty() && mRequests.front() < begin) {
    mRequests.pop_front();
  }
  while (!mRepeats.empty() && mRepeats.front() < begin) {
    mRepeats.pop_front();
  }
}

void
RetryAllowance::request(Instant aNow)
{
  forget(aNow);
  mRequests.push_back(aNow);
}

bool
RetryAllowance::take(Instant aNow)
{
  forget(aNow);
  // A process that just started may follow one that used up its slack in the
  // same window.
  const bool hasSlack = aNow - mStartedAt >= mOptions.window;
  const double allowed = mOptions.ratio * mOptions.ratioShare *
                           static_cast<double>(mRequests.size()) +
                         (hasSlack ? mOptions.slack / mOptions.entries : 0);
  if (static_cast<double>(mRepeats.size() + 1) > allowed) {
    return false;
  }
  mRepeats.push_back(aNow);
  return true;
}

} // namespace laburnum::gateway
