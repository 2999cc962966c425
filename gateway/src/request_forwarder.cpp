#include "laburnum/gateway/request_forwarder.hpp"

#include "end_to_end.hpp"

#include "laburnum/kernel/log.hpp"
#include "leading_number.hpp"

#include <algorithm>
#include <utility>

namespace laburnum::gateway {
namespace {

namespace bhttp = http::beast::http;

/// A server that states a lower rate limit still gets this many requests per
/// second: it can state a new limit only in a response.
constexpr double kMinServerRate = 0.1;
constexpr double kMaxServerRate = 1e6;
/// Limit of the time for which a server may ask for no requests.
constexpr Duration kMaxServerPause = seconds(3600);
/// Limit of a response that is buffered until it is complete; a larger one is
/// treated as invalid. A faulty server may send without end.
constexpr std::size_t kMaxBufferedBytes = 8UL * 1024 * 1024;

/// True for status codes that tell clients that the request was not executed.
bool
impliesNotExecuted(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

Duration
RequestForwarder::remainingTime() const
{
  return mDeadline - mContext.loop.now();
}

void
RequestForwarder::start()
{
  mRequestId = std::string(mRequest[mContext.names.attemptId]);
  if (!admit()) {
    return;
  }
  dispatch();
}

void
RequestForwarder::startTimer(Duration aTime, bool aIsAttempt)
{
  auto& timer = aIsAttempt ? mAttemptTimer : mTimer;
  timer.expires_after(aTime);
  timer.async_wait(
    [self = shared_from_this(), aIsAttempt](boost::system::error_code aError) {
      if (aError || self->mFinished) {
        return;
      }
      if (!aIsAttempt) {
        self->onDeadline();
      } else if (self->mConnection) {
        self->finishAttempt(AttemptOutcome::Lost, "attempt timed out");
      }
    });
}

void
RequestForwarder::recordActivity()
{
  const Instant now = mContext.loop.now();
  mContext.selector.recordActivity(mServerId, now);
  mContext.crashSuspicions.serverActive(mServerProcess, now);
}

void
RequestForwarder::handle(const ResponseHead& aEvent)
{
  recordActivity();
  mResponse.result(aEvent.head.result_int());
  copyEndToEnd(aEvent.head, mResponse);
  const bool isSuccess = aEvent.head.result_int() / 100 == 2;
  const bool isMatching =
    mResponse[mContext.names.attemptId] == mRequestId &&
    (!isSuccess || mResponse.count(mContext.names.signature) > 0);
  mIsEventStream =
    isSuccess && isStream() && isMatching &&
    mResponse[bhttp::field::content_type].starts_with("text/event-stream");
  // The attempt timeout only covers servers that do not respond at all.
  mAttemptTimer.cancel();
  if (!isMatching) {
    finishAttempt(AttemptOutcome::InvalidResponse,
                  "response does not match the request");
    return;
  }
  if (mIsEventStream && mResponse.count(bhttp::field::content_encoding) > 0) {
    // Clients ask for no encoding: these are not the server's events.
    finishAttempt(AttemptOutcome::InvalidResponse, "stream is encoded");
    return;
  }
  if (mResponse[mContext.names.serverLeaving] == "1") {
    mContext.servers.markLeaving(mServerId, mServerStartedMs);
    mContext.pool.closeIdle(mServerId);
  }
  if (aEvent.head.result_int() == 503) {
    pauseServer();
  }
  updateRateLimit();
}

void
RequestForwarder::updateRateLimit()
{
  auto rate = leadingNumber<double>(mResponse[mContext.names.serverRateLimit]);
  if (rate) {
    // Not a number also counts as the lowest rate.
    rate =
      *rate > kMinServerRate ? std::min(*rate, kMaxServerRate) : kMinServerRate;
  }
  if (mContext.servers.setRateLimit(mServerId, mServerStartedMs, rate)) {
    log(LogLevel::Info,
        "server_rate_limit",
        { { "server", mServerId },
          { "stated", mResponse[mContext.names.serverRateLimit] },
          { "in_progress", mContext.selector.inFlight(mServerId) } });
  }
}

void
RequestForwarder::pauseServer()
{
  const auto pause =
    leadingNumber<double>(mResponse[bhttp::field::retry_after]);
  if (pause && *pause > 0) {
    mContext.servers.pause(
      mServerId,
      mServerStartedMs,
      mContext.loop.now() +
        fromSeconds(std::min(*pause, toSeconds(kMaxServerPause))));
  }
}

void
RequestForwarder::handle(const ResponseBytes& aEvent)
{
  if (!mIsEventStream) {
    recordActivity();
    mResponse.body().append(aEvent.bytes);
    if (mResponse.body().size() > kMaxBufferedBytes) {
      giveUpResponse();
    } else if (auto* longest = mContext.responseMemory.record(
                 this, mResponse.body().capacity())) {
      longest->giveUpResponse();
    }
    return;
  }
  const bool isConsecutive = forwardEvents(aEvent.bytes);
  if (mFinished) {
    return; // The client does not take in its response.
  }
  if (!isConsecutive) {
    finishAttempt(AttemptOutcome::InvalidResponse, "event ID not consecutive");
  } else if (mSplitter.isEndless()) {
    finishAttempt(AttemptOutcome::InvalidResponse, "event too long");
  }
}

void
RequestForwarder::giveUpResponse()
{
  const auto self = shared_from_this();
  mResponse.body() = {};
  finishAttempt(AttemptOutcome::InvalidResponse, "response too long");
}

bool
RequestForwarder::forwardEvents(std::string_view aBytes)
{
  std::string accepted;
  bool hasProgress = false;
  bool isConsecutive = true;
  for (StreamEvent& event : mSplitter.add(aBytes)) {
    isConsecutive = mEventSequence.accept(event);
    if (!isConsecutive) {
      break;
    }
    hasProgress = hasProgress || event.hasData();
    accepted += event.bytes;
  }
  if (const auto firstId = mEventSequence.confirmedFirstId()) {
    mContext.firstEventIds[mService->name].record(*firstId);
  }
  // Accepted events are delivered even if an invalid one follows them: the
  // stream is resumed after the last one accepted.
  if (!accepted.empty()) {
    deliverEvents(std::move(accepted), hasProgress);
  }
  mExpectsEvent = mExpectsEvent || !isConsecutive;
  return isConsecutive;
}

void
RequestForwarder::deliverEvents(std::string aEvents, bool aHasProgress)
{
  const Instant now = mContext.loop.now();
  // A stalled server may go on sending comments, or a byte now and then.
  if (aHasProgress) {
    mAttemptHasEvents = true;
    mExpectsEvent = false;
    recordActivity();
    mContext.admissions[currentGroup()].recordProgress(now);
    promptRead();
  }
  if (!mHasForwardedEvents) {
    mHasForwardedEvents = true;
    mFirstEventDelay = now - mStartedAt;
    bhttp::response<bhttp::empty_body> head;
    head.result(mResponse.result());
    head.version(11);
    copyEndToEnd(mResponse, head);
    mRetryController->responseStarted();
    mClient->beginEventStream(std::move(head));
  } else {
    const Duration gap = now - mLastEventAt;
    mMaxGap = std::max(mMaxGap, gap);
    if (mDemand.isGeneration) {
      const GroupKey group = currentGroup();
      mContext.admissions[group].recordGap(
        gap,
        mContext.directory.load(group).streams,
        mService->runtime->emptyPassTime(),
        now);
    }
  }
  mLastEventAt = now;
  mClient->writeEvents(std::move(aEvents));
}

AttemptOutcome
RequestForwarder::classifyResponse() const
{
  if (mIsEventStream) {
    const bool isNothingLeft = canResumeStream() && !mExpectsEvent;
    return mSplitter.hasPartialEvent() || (!mAttemptHasEvents && !isNothingLeft)
             ? AttemptOutcome::InvalidResponse
             : AttemptOutcome::Completed;
  }
  const unsigned status = mResponse.result_int();
  if (mResponse.count(mContext.names.notExecuted) > 0 || status == 421) {
    return AttemptOutcome::Rejected;
  }
  if (mHasForwardedEvents) {
    // Not the rest of the stream that another server has begun.
    return AttemptOutcome::Failed;
  }
  if (status / 100 == 5 || status == 429 || status == 408) {
    return AttemptOutcome::Failed;
  }
  if (status / 100 == 2 &&
      mResponse.count(bhttp::field::content_encoding) > 0) {
    return AttemptOutcome::InvalidResponse;
  }
  return AttemptOutcome::Completed;
}

void
RequestForwarder::handle(const ResponseEnd& aEvent)
{
  if (mIsEventStream && aEvent.hasEventInTrailer) {
    mExpectsEvent = true;
    finishAttempt(AttemptOutcome::InvalidResponse, "event in the trailer");
    return;
  }
  if (mResponse.result_int() == 421) {
    mContext.servers.markLeaving(mServerId, mServerStartedMs);
  }
  finishAttempt(classifyResponse(), "answer");
}

void
RequestForwarder::handle(const ConnectionLost& aEvent)
{
  if (!aEvent.isRequestSent) {
    mContext.crashSuspicions.serverGone(
      mServerId,
      aEvent.isRefused ? CrashDetector::Evidence::Ended
                       : CrashDetector::Evidence::Unreachable,
      mContext.loop.now());
    finishAttempt(AttemptOutcome::NotSent, aEvent.reason);
  } else if (aEvent.isClosedByServer &&
             mContext.servers.isServing(mServerId, mServerStartedMs)) {
    finishLostAttempt(aEvent.reason);
  } else {
    recordAttemptEnd(
      AttemptOutcome::Lost, aEvent.reason, aEvent.isClosedByServer);
    decideNext(AttemptOutcome::Lost);
  }
}

void
RequestForwarder::execute(const RetryDecision& aDecision)
{
  std::visit([this](const auto& aTyped) { apply(aTyped); }, aDecision);
}

void
RequestForwarder::apply(const RetryRequest&)
{
  ++mContext.metrics.counter("laburnum_gateway_sent_again_total");
  dispatch();
}

void
RequestForwarder::apply(const ForwardResponse&)
{
  if (mHasForwardedEvents) {
    finish("answered", mResponse.result_int());
    mClient->endEventStream();
    return;
  }
  if (impliesNotExecuted(mResponse.result_int())) {
    // The server executed the request even though the status implies otherwise.
    apply(FailMayHaveExecuted{ .error = Error::ServerFailed });
    return;
  }
  finish("answered", mResponse.result_int());
  mResponse.version(11);
  mClient->respond(std::move(mResponse));
}

void
RequestForwarder::apply(const RejectNotExecuted& aDecision)
{
  refuse(503,
         { .error = aDecision.error,
           .retryAfter = aDecision.error == Error::Quarantined
                           ? mContext.crashSuspicions.remainingRefusal(
                               mContent, mContext.loop.now())
                           : noServerRetryAfter(aDecision.error) });
}

Duration
RequestForwarder::noServerRetryAfter(Error aReason) const
{
  const Instant now = mContext.loop.now();
  const auto resumption =
    aReason == Error::ServerRateLimited ||
        mContext.servers.readyServers(mService->name, now).empty()
      ? mContext.servers.firstResumption(mService->name, now)
      : std::nullopt;
  return resumption ? *resumption - now : kNoServerRetryAfter;
}

void
RequestForwarder::apply(const FailMayHaveExecuted& aDecision)
{
  refuse(aDecision.error == Error::DeadlinePassed ? 504 : 502,
         { .error = aDecision.error, .verdict = Verdict::MayHaveRun });
}

void
RequestForwarder::apply(const AbortResponse&)
{
  finish("broken_off", 0);
  mClient->abort();
}

void
RequestForwarder::refuse(unsigned aStatus, Failure aFailure)
{
  finish(info(aFailure.error).id, aStatus);
  mClient->respond(failureResponse(aStatus, aFailure));
}

void
RequestForwarder::onDeadline()
{
  const bool inProgress = mConnection != nullptr || mIsProbing;
  endAttempt(AttemptOutcome::Lost);
  execute(mRetryController->timedOut(inProgress));
}

void
RequestForwarder::expire()
{
  if (!mFinished) {
    onDeadline();
  }
}

void
RequestForwarder::release()
{
  mFinished = true;
  mTimer.cancel();
  mAttemptTimer.cancel();
  if (const auto connection = std::exchange(mConnection, nullptr)) {
    connection->abort();
  }
}

void
RequestForwarder::clientDisconnected()
{
  if (mFinished) {
    return;
  }
  endAttempt(AttemptOutcome::Lost);
  finish("caller_gone", 0);
}

void
RequestForwarder::finish(std::string_view aOutcome, unsigned aStatus)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  mTimer.cancel();
  mAttemptTimer.cancel();
  if (mHasForwardedEvents && mDemand.isGeneration && aOutcome == "answered") {
    mContext.arrivalEstimate.recordStream(mContext.loop.now() - mSentAt);
  }
  const GroupKey group = mService ? currentGroup() : GroupKey{};
  unplaceStream();
  Metrics& metrics = mContext.metrics;
  const std::string kind(mRoute ? nameIn(kRouteTypeNames, mRoute->type)
                                : "unrouted");
  ++metrics.counter("laburnum_gateway_requests_total{kind=\"" + kind +
                    "\",outcome=\"" + std::string(aOutcome) + "\"}");
  if (aOutcome == "answered") {
    metrics.summary("laburnum_gateway_answer_seconds_" + kind)
      .add(mContext.loop.now() - mStartedAt);
  }
  log(LogLevel::Info,
      "request_ended",
      { { "request", mRequestId },
        { "route", mRoute ? mRoute->name : "" },
        { "account", mAccount },
        { "priority", priorityText() },
        { "outcome", aOutcome },
        { "status", aStatus },
        { "server", mServerId },
        { "group", group.group },
        { "refused_for", mRefusalCause },
        { "streams", mContext.directory.load(group).streams },
        { "sendings", mRetryController ? mRetryController->attemptCount() : 0 },
        { "events", mEventSequence.deliveredCount() },
        { "config", mConfiguration ? mConfiguration->version : 0 },
        { "time_ms_given",
          std::chrono::duration_cast<milliseconds>(mDeadline - mStartedAt)
            .count() },
        { "first_ms", mFirstEventDelay.count() / 1000 },
        { "gap_ms", mMaxGap.count() / 1000 },
        { "ms", (mContext.loop.now() - mStartedAt).count() / 1000 } });
}

} // namespace laburnum::gateway
