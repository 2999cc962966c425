#include "laburnum/gateway/retry_controller.hpp"

namespace laburnum::gateway {

RetryController::RetryController(bool aIsRetryable, int aMaxAttempts)
  : mIsRetryable(aIsRetryable)
  , mMaxAttempts(aMaxAttempts)
{
}

void
RetryController::recordOutcome(AttemptOutcome aOutcome)
{
  if (aOutcome == AttemptOutcome::NotSent) {
    ++mConnectFailures;
    --mAttemptCount;
    return;
  }
  mConnectFailures = 0;
  if (aOutcome != AttemptOutcome::Rejected) {
    mMayHaveExecuted = true;
  }
}

bool
RetryController::canRetry(AttemptOutcome aOutcome, Duration aRemaining) const
{
  if (mAttemptCount >= mMaxAttempts || aRemaining <= mOptions.minTimeToRetry) {
    return false;
  }
  if (aOutcome == AttemptOutcome::Rejected ||
      aOutcome == AttemptOutcome::NotSent) {
    return !mMayHaveExecuted || mIsRetryable;
  }
  return mIsRetryable;
}

RetryDecision
RetryController::finalDecision(AttemptOutcome aOutcome) const
{
  if (mResponseStarted) {
    return AbortResponse{};
  }
  if (aOutcome == AttemptOutcome::Failed) {
    return ForwardResponse{};
  }
  if (!mMayHaveExecuted) {
    return RejectNotExecuted{};
  }
  return FailMayHaveExecuted{ .error =
                                aOutcome == AttemptOutcome::InvalidResponse
                                  ? Error::IncompleteAnswer
                                  : Error::ServerLost };
}

RetryDecision
RetryController::timedOut(bool aInProgress) const
{
  if (mResponseStarted) {
    return AbortResponse{};
  }
  if (aInProgress || mMayHaveExecuted) {
    return FailMayHaveExecuted{ .error = Error::DeadlinePassed };
  }
  return RejectNotExecuted{ .error = Error::DeadlineUnreachable };
}

RetryDecision
RetryController::refused(Error aReason) const
{
  if (mResponseStarted) {
    return AbortResponse{};
  }
  if (mMayHaveExecuted) {
    return FailMayHaveExecuted{};
  }
  return RejectNotExecuted{ .error = aReason };
}

} // namespace laburnum::gateway
