#include "laburnum/gateway/request_course.hpp"

namespace laburnum::gateway {

RequestCourse::RequestCourse(bool aMayRepeat, int aMaxAttempts)
  : mMayRepeat(aMayRepeat)
  , mMaxAttempts(aMaxAttempts)
{
}

void
RequestCourse::note(AttemptEnd aEnd)
{
  if (aEnd == AttemptEnd::NotSent) {
    ++mUnsent;
    --mSendings;
    return;
  }
  mUnsent = 0;
  if (aEnd != AttemptEnd::Rejected) {
    mMayHaveRun = true;
  }
}

bool
RequestCourse::maySendAgain(AttemptEnd aEnd, Duration aLeft) const
{
  if (mSendings >= mMaxAttempts || aLeft <= mOptions.leastTime) {
    return false;
  }
  if (aEnd == AttemptEnd::Rejected || aEnd == AttemptEnd::NotSent) {
    return !mMayHaveRun || mMayRepeat;
  }
  return mMayRepeat;
}

CourseDecision
RequestCourse::final(AttemptEnd aEnd) const
{
  if (mAnswerBegan) {
    return BreakOff{};
  }
  if (aEnd == AttemptEnd::Failed) {
    return PassAnswer{};
  }
  if (!mMayHaveRun) {
    return RefuseNotRun{};
  }
  return FailMayHaveRun{ .error = aEnd == AttemptEnd::Spoiled
                                    ? Error::IncompleteAnswer
                                    : Error::ServerLost };
}

CourseDecision
RequestCourse::timedOut(bool aInProgress) const
{
  if (mAnswerBegan) {
    return BreakOff{};
  }
  if (aInProgress || mMayHaveRun) {
    return FailMayHaveRun{ .error = Error::DeadlinePassed };
  }
  return RefuseNotRun{ .error = Error::DeadlineUnreachable };
}

CourseDecision
RequestCourse::unplaced() const
{
  if (mAnswerBegan) {
    return BreakOff{};
  }
  if (mMayHaveRun) {
    return FailMayHaveRun{};
  }
  return RefuseNotRun{};
}

} // namespace laburnum::gateway
