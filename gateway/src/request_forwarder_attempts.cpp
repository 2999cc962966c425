// How attempts to send a request to a server end.

#include "laburnum/gateway/request_forwarder.hpp"

#include "laburnum/gateway/fingerprint.hpp"
#include "laburnum/kernel/log.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// A stream with less time left would end before another server has processed
/// its prompt again, which takes a few passes for a typical prompt.
constexpr Duration kMinTimeToMigrate = milliseconds(1000);

} // namespace

void
RequestForwarder::endAttempt(AttemptOutcome aOutcome, bool aIsClosedByServer)
{
  mAttemptTimer.cancel();
  mContext.responseMemory.remove(this);
  if (!mConnection) {
    return;
  }
  const auto connection = std::move(mConnection);
  mConnection = nullptr;
  mExpectsEvent =
    mExpectsEvent || (mIsEventStream && mSplitter.hasPartialEvent());
  const Instant now = mContext.loop.now();
  mContext.selector.requestEnded(
    mServerId, mDemand, aOutcome, now - mSentAt, now);
  if (aOutcome == AttemptOutcome::Completed ||
      aOutcome == AttemptOutcome::Failed ||
      aOutcome == AttemptOutcome::Rejected) {
    mContext.crashSuspicions.serverResponded(
      mServerId, mServerProcess, mSentAt);
  }
  if (aOutcome == AttemptOutcome::Lost) {
    recordLoss(aIsClosedByServer);
  }
  if (aOutcome != AttemptOutcome::Completed &&
      aOutcome != AttemptOutcome::Failed &&
      aOutcome != AttemptOutcome::Rejected) {
    connection->abort();
  }
  mContext.pool.release(mServerId, connection);
}

void
RequestForwarder::recordLoss(bool aIsClosedByServer)
{
  const ServerList& servers = mContext.servers;
  const bool hasRestarted = servers.hasRestarted(mServerId, mServerStartedMs);
  const bool wasRemoved =
    !aIsClosedByServer && servers.removedProcess(mServerId) == mServerStartedMs;
  if (!hasRestarted && !wasRemoved &&
      !servers.isServing(mServerId, mServerStartedMs)) {
    return;
  }
  const Instant now = mContext.loop.now();
  mContext.crashSuspicions.requestLost(
    mServerId,
    { .process = mServerProcess,
      .address = mServerAddress,
      .request = { .content = mContent, .hasBegun = mAttemptHasEvents },
      .sentAt = mSentAt,
      .at = now,
      .needsProof = !aIsClosedByServer },
    now);
  if (hasRestarted) {
    const ServerRecord* server = servers.find(mServerId);
    mContext.crashSuspicions.serverListed(
      mServerId, mServerAddress, server->processId(), now);
  }
}

void
RequestForwarder::finishLostAttempt(std::string_view aReason)
{
  recordAttemptEnd(AttemptOutcome::Lost, aReason, true);
  mIsProbing = true;
  mContext.probe.check(
    mServerAddress,
    [self = shared_from_this(),
     server = mServerId,
     process = mServerProcess,
     started = mServerStartedMs](ProbeResult aResult) {
      Context& context = self->mContext;
      if (aResult == ProbeResult::Refused) {
        context.crashSuspicions.serverGone(
          server, CrashDetector::Evidence::Ended, context.loop.now());
        context.servers.markRestarting(server, started, context.loop.now());
      } else if (aResult == ProbeResult::Reachable) {
        context.crashSuspicions.serverReachable(server, process);
      }
      self->mIsProbing = false;
      if (!self->mFinished) {
        self->decideNext(AttemptOutcome::Lost);
      }
    });
}

void
RequestForwarder::finishAttempt(AttemptOutcome aOutcome,
                                std::string_view aReason)
{
  recordAttemptEnd(aOutcome, aReason);
  decideNext(aOutcome);
}

void
RequestForwarder::recordAttemptEnd(AttemptOutcome aOutcome,
                                   std::string_view aReason,
                                   bool aIsClosedByServer)
{
  endAttempt(aOutcome, aIsClosedByServer);
  if (aOutcome != AttemptOutcome::Completed) {
    log(LogLevel::Info,
        "attempt_ended",
        { { "request", mRequestId },
          { "server", mServerId },
          { "end", nameIn(kAttemptOutcomeNames, aOutcome) },
          { "status", mResponse.result_int() },
          { "reason", aReason },
          { "sendings", mRetryController->attemptCount() },
          { "events", mEventSequence.deliveredCount() },
          { "last_event", lastEventText() },
          { "fingerprint", fingerprintText(mContent.fingerprint) },
          { "left_ms", remainingTime().count() / 1000 } });
  } else {
    mContext.crashSuspicions.requestEnded(mContent, mContext.loop.now());
    if (mResponse.result_int() / 100 == 2) {
      mContext.crashSuspicions.requestServed(mContent, mContext.loop.now());
    }
  }
}

void
RequestForwarder::decideNext(AttemptOutcome aOutcome)
{
  execute(mRetryController->attemptEnded(aOutcome, remainingTime(), [this] {
    if (mHasForwardedEvents && !canResumeStream()) {
      return false; // Events would be missing or come twice.
    }
    const bool isAllowed =
      mContext.retryBudget(mService->name).tryAcquire(mContext.loop.now());
    if (!isAllowed) {
      ++mContext.metrics.counter("laburnum_gateway_repeats_denied_total");
    }
    return isAllowed;
  }));
}

bool
RequestForwarder::canResumeStream() const
{
  return mEventSequence.canResume(mContext.firstEventIds[mService->name]);
}

bool
RequestForwarder::canResumeElsewhere() const
{
  return !mFinished && mConnection && mDemand.isGeneration && isStream() &&
         (!mHasForwardedEvents || canResumeStream()) &&
         remainingTime() >= kMinTimeToMigrate &&
         mRetryController->canMigrate(remainingTime());
}

void
RequestForwarder::migrateFrom(const std::string& aServerId,
                              AttemptOutcome aOutcome)
{
  const Instant now = mContext.loop.now();
  if (mServerId != aServerId || !canResumeElsewhere()) {
    return;
  }
  const ServerRecord* other = selectServer(mTriedServers, now);
  if (other == nullptr || other->slowdown >= kMinMigrationSlowdown ||
      !mContext.retryBudget(mService->name).tryAcquire(now)) {
    return;
  }
  resumeElsewhere(*other, aOutcome);
}

std::optional<StrandedStream>
RequestForwarder::stranded(const GroupKey& aGroup) const
{
  if (!canResumeElsewhere() || currentGroup() != aGroup) {
    return std::nullopt;
  }
  const Duration silence =
    mContext.loop.now() - std::max(mLastEventAt, mSentAt);
  const Duration objective = mRoute->gapObjective > Duration(0)
                               ? mRoute->gapObjective
                               : mContext.selector.options().defaultGap;
  if (silence < objective) {
    return std::nullopt;
  }
  return StrandedStream{ .urgency = mUrgency,
                         .events = mEventSequence.deliveredCount() };
}

bool
RequestForwarder::moveFrom(const GroupKey& aGroup)
{
  const Instant now = mContext.loop.now();
  const ServerRecord* other = selectServer(mTriedServers, now);
  if (other == nullptr || mDemand.group == aGroup ||
      mContext.admissions[mDemand.group].checkAdmission(
        groupDemand(mDemand.group, true), now) ||
      !mContext.retryBudget(mService->name).tryAcquire(now)) {
    return false;
  }
  resumeElsewhere(*other, AttemptOutcome::Migrated);
  return true;
}

void
RequestForwarder::resumeElsewhere(const ServerRecord& aServer,
                                  AttemptOutcome aOutcome)
{
  log(LogLevel::Info,
      "stream_moved",
      { { "request", mRequestId },
        { "from", mServerId },
        { "from_group", currentGroup().group },
        { "end", nameIn(kAttemptOutcomeNames, aOutcome) },
        { "to", aServer.id },
        { "group", mDemand.group.group },
        { "events", mEventSequence.deliveredCount() },
        { "left_ms", remainingTime().count() / 1000 } });
  ++mContext.metrics.counter("laburnum_gateway_streams_moved_total");
  endAttempt(aOutcome);
  execute(mRetryController->attemptEnded(
    aOutcome, remainingTime(), [] { return true; }));
}

} // namespace laburnum::gateway
