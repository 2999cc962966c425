#include "laburnum/policy/request_machine.hpp"

#include <algorithm>

namespace laburnum::policy {

RequestStateMachine::RequestStateMachine(RequestTraits aTraits,
                                         RequestOptions aOptions,
                                         RetryBudget& aBudget)
  : mTraits(aTraits)
  , mOptions(aOptions)
  , mBudget(aBudget)
{
}

std::vector<RequestAction>
RequestStateMachine::handle(const RequestEvent& aEvent)
{
  if (mPhase == Phase::Done) {
    return {};
  }
  return std::visit(
    [this](const auto& aAlternative) { return on(aAlternative); }, aEvent);
}

bool
RequestStateMachine::isCurrent(AttemptId aAttempt) const
{
  return mCurrent && mCurrent->attempt == aAttempt;
}

bool
RequestStateMachine::isCurrentServer(ServerId aServer) const
{
  return mCurrent && mCurrent->server == aServer;
}

RequestStateMachine::Actions
RequestStateMachine::on(const StartRequest&)
{
  mPhase = Phase::Routing;
  mBudget.recordFirstAttempt();
  return { ChooseServer{} };
}

RequestStateMachine::Actions
RequestStateMachine::on(const AdoptAttempt& aEvent)
{
  mPhase = Phase::QueryingAgent;
  mBudget.recordFirstAttempt();
  ++mAttempts;
  mCurrent = SendAttempt{ .server = aEvent.server, .attempt = aEvent.attempt };
  return { QueryAttempt{ .server = aEvent.server, .attempt = aEvent.attempt } };
}

RequestStateMachine::Actions
RequestStateMachine::on(const ServerChosen& aEvent)
{
  if (mPhase != Phase::Routing) {
    return {};
  }
  if (!aEvent.server) {
    return fail(aEvent.error, aEvent.retryAfter);
  }
  mPhase = Phase::Running;
  ++mAttempts;
  mFinishedReceived = false;
  mAssembly.restart();
  mCurrent = SendAttempt{ .server = *aEvent.server,
                          .attempt = aEvent.attempt,
                          .firstPart = mAssembly.next() };
  return { *mCurrent };
}

RequestStateMachine::Actions
RequestStateMachine::on(const PartArrived& aEvent)
{
  if (!isCurrent(aEvent.attempt)) {
    return {};
  }
  Actions actions;
  std::uint64_t sequence = mAssembly.next();
  for (std::string& payload : mAssembly.add(aEvent.sequence, aEvent.payload)) {
    actions.push_back(
      Deliver{ .sequence = sequence++, .payload = std::move(payload) });
  }
  for (RequestAction& action : completeIfAllDelivered()) {
    actions.push_back(std::move(action));
  }
  return actions;
}

RequestStateMachine::Actions
RequestStateMachine::on(const AttemptFinished& aEvent)
{
  if (!isCurrent(aEvent.attempt)) {
    return {};
  }
  mFinishedReceived = true;
  mWorstVerdict = Verdict::Ran;
  mAssembly.finish(aEvent.parts);
  return completeIfAllDelivered();
}

RequestStateMachine::Actions
RequestStateMachine::completeIfAllDelivered()
{
  const bool ended =
    mOptions.requireAllParts ? mAssembly.isComplete() : mFinishedReceived;
  if (!ended) {
    return {};
  }
  mPhase = Phase::Done;
  return { Complete{} };
}

RequestStateMachine::Actions
RequestStateMachine::on(const AttemptRejected& aEvent)
{
  if (!isCurrent(aEvent.attempt)) {
    return {};
  }
  const bool unbudgeted = aEvent.verdict == Verdict::NotRun &&
                          aEvent.freeSlotElsewhere && mAttempts == 1;
  return retryOrFail(
    aEvent.verdict, aEvent.error, aEvent.retryAfter, unbudgeted);
}

RequestStateMachine::Actions
RequestStateMachine::on(const AgentConnectionLost& aEvent)
{
  if (!isCurrentServer(aEvent.server)) {
    return {};
  }
  if (!mOptions.queryBeforeRetry) {
    return retryOrFail(Verdict::NotRun, Error::ServerLost, {});
  }
  mPhase = Phase::QueryingAgent;
  return { QueryAttempt{ .server = mCurrent->server,
                         .attempt = mCurrent->attempt,
                         .nextPart = mAssembly.next() } };
}

RequestStateMachine::Actions
RequestStateMachine::on(const AttemptStateReceived& aEvent)
{
  if (!isCurrent(aEvent.attempt) || mPhase != Phase::QueryingAgent) {
    return {};
  }
  if (mDeadlinePassed && aEvent.state != AttemptState::Finished) {
    mWorstVerdict = std::max(mWorstVerdict, verdictOf(aEvent.state));
    return fail(Error::DeadlinePassed, {});
  }
  switch (aEvent.state) {
    case AttemptState::Revoked:
      return retryOrFail(Verdict::NotRun, Error::AttemptRevoked, {});
    case AttemptState::Started:
    case AttemptState::Finished:
      mPhase = Phase::Running;
      return {};
    default:
      return retryOrFail(verdictOf(aEvent.state), Error::ServerLost, {});
  }
}

RequestStateMachine::Actions
RequestStateMachine::on(const AgentLost& aEvent)
{
  if (!isCurrentServer(aEvent.server)) {
    return {};
  }
  return retryOrFail(Verdict::MayHaveRun, Error::ServerLost, {});
}

RequestStateMachine::Actions
RequestStateMachine::on(const DeadlineReached&)
{
  const bool canQuery =
    mCurrent && !mDeadlinePassed && mOptions.queryBeforeRetry;
  mDeadlinePassed = true;
  if (!canQuery) {
    mWorstVerdict =
      mCurrent ? std::max(mWorstVerdict, Verdict::MayHaveRun) : mWorstVerdict;
    return fail(Error::DeadlinePassed, {});
  }
  // If the attempt is still queued, the agent revokes it: it has not run.
  mPhase = Phase::QueryingAgent;
  return { CancelAttempt{ .server = mCurrent->server,
                          .attempt = mCurrent->attempt },
           QueryAttempt{ .server = mCurrent->server,
                         .attempt = mCurrent->attempt,
                         .nextPart = mAssembly.next() } };
}

RequestStateMachine::Actions
RequestStateMachine::on(const CallerDisconnected&)
{
  mPhase = Phase::Done;
  if (!mCurrent) {
    return {};
  }
  return { CancelAttempt{ .server = mCurrent->server,
                          .attempt = mCurrent->attempt } };
}

RequestStateMachine::Actions
RequestStateMachine::retryOrFail(Verdict aVerdict,
                                 Error aError,
                                 Duration aRetryAfter,
                                 bool aUnbudgeted)
{
  mWorstVerdict = std::max(mWorstVerdict, aVerdict);
  if (mDeadlinePassed) {
    return fail(Error::DeadlinePassed, {});
  }
  mExcluded.push_back(mCurrent->server);
  mCurrent.reset();
  const bool hasDelivered = mAssembly.next() > 0;
  const bool mayRepeat = aVerdict == Verdict::NotRun || mTraits.idempotent;
  const bool mayContinue = !hasDelivered || mTraits.resumable;
  const bool isFinal =
    aError == Error::Quarantined || aError == Error::DeadlinePassed;
  if (!mayRepeat || !mayContinue || isFinal ||
      mAttempts >= mOptions.maxAttempts ||
      !(aUnbudgeted || mBudget.tryTakeRetry())) {
    return fail(aError, aRetryAfter);
  }
  mPhase = Phase::Routing;
  return { ChooseServer{ .excluded = mExcluded } };
}

RequestStateMachine::Actions
RequestStateMachine::fail(Error aError, Duration aRetryAfter)
{
  mPhase = Phase::Done;
  mCurrent.reset();
  return { Fail{ { .error = aError,
                   .verdict = mWorstVerdict,
                   .retryAfter = aRetryAfter } } };
}

} // namespace laburnum::policy
