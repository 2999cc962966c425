#include "laburnum/gateway/request_forwarder.hpp"

#include "end_to_end.hpp"

#include "laburnum/kernel/hash.hpp"
#include "laburnum/kernel/log.hpp"
#include "leading_number.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

namespace bhttp = http::beast::http;
namespace json = boost::json;

/// Connecting within the region takes a few ms; a lost SYN packet is
/// retransmitted only after a second.
constexpr Duration kConnectTimeout = milliseconds(300);
/// An attempt of an idempotent request times out after this multiple of the
/// latency objective, and is then retried on another server.
constexpr double kAttemptTimeoutFactor = 2.5;

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
RequestForwarder::dispatch()
{
  const Instant now = mContext.loop.now();
  if (isQuarantined()) {
    execute(mRetryController->refused(Error::Quarantined));
    return;
  }
  const auto servers = mContext.servers.readyServers(mService->name, now);
  const ServerRecord* server =
    mContext.selector.select(servers, mDemand, mTriedServers, now);
  if (server == nullptr && !mTriedServers.empty()) {
    server = mContext.selector.select(servers, mDemand, {}, now);
  }
  if (server == nullptr) {
    execute(mRetryController->refused(Error::NoServer));
    return;
  }
  sendTo(*server);
}

http::Request
RequestForwarder::buildRequest(const ServerRecord& aServer) const
{
  const HeaderNames& names = mContext.names;
  http::Request request;
  request.version(11);
  request.method_string(mRequest.method_string());
  request.target(mRequest.target());
  copyEndToEnd(mRequest, request);
  request.erase(bhttp::field::authorization);
  request.erase(bhttp::field::expect);
  request.erase(names.account);
  if (!mAccount.empty()) {
    request.set(names.account, mAccount);
  }
  request.set(names.expectInstance, aServer.id);
  request.set(
    names.deadlineMs,
    std::to_string(std::max<std::int64_t>(
      1, std::chrono::duration_cast<milliseconds>(remainingTime()).count())));
  if (mEventSequence.lastId()) {
    request.set(names.lastEventId, std::to_string(*mEventSequence.lastId()));
  }
  request.body() = mRequest.body();
  request.prepare_payload();
  return request;
}

void
RequestForwarder::sendTo(const ServerRecord& aServer)
{
  // On a connection that has carried an attempt of this request, a repeated
  // response to that attempt would pass for the response to this one.
  const bool requireNew =
    !mRoute->isRetryable() || mTriedServers.contains(aServer.id);
  auto connection =
    mContext.pool.acquire(aServer, mService->maxConnections, requireNew);
  if (!connection) {
    mTriedServers.insert(aServer.id);
    execute(mRetryController->refused(Error::NoServer));
    return;
  }
  mServerId = aServer.id;
  mServerProcess =
    mix(hash64(aServer.id), static_cast<std::uint64_t>(aServer.startedMs));
  mServerAddress = aServer.address;
  mServerStartedMs = aServer.startedMs;
  mConnection = connection;
  mTriedServers.insert(aServer.id);
  mRetryController->attemptStarted();
  mSentAt = mContext.loop.now();
  mContext.selector.requestStarted(mServerId, mDemand, mSentAt);
  mIsEventStream = false;
  mAttemptHasEvents = false;
  mResponse = {};
  mSplitter = {};
  if (mRoute->type == RouteType::Idempotent) {
    const Duration attemptTimeout =
      fromSeconds(toSeconds(mRoute->latencyObjective) * kAttemptTimeoutFactor);
    startTimer(std::min(attemptTimeout, remainingTime()), true);
  }
  connection->send(
    buildRequest(aServer),
    std::min(kConnectTimeout,
             std::max(remainingTime(), milliseconds(1) + Duration(0))),
    [self = shared_from_this(),
     expected = connection.get()](ServerEvent aEvent) {
      if (self->mConnection.get() != expected) {
        return;
      }
      std::visit([&self](const auto& aTyped) { self->handle(aTyped); }, aEvent);
    });
}

void
RequestForwarder::handle(const ResponseHead& aEvent)
{
  mContext.selector.recordActivity(mServerId, mContext.loop.now());
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
  if (mResponse[mContext.names.serverLeaving] == "1") {
    mContext.servers.markLeaving(mServerId, mServerStartedMs);
    mContext.pool.closeIdle(mServerId);
  }
  if (aEvent.head.result_int() == 503) {
    pauseServer();
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
    mContext.selector.recordActivity(mServerId, mContext.loop.now());
    mResponse.body().append(aEvent.bytes);
    if (mResponse.body().size() > kMaxBufferedBytes) {
      mResponse.body().clear();
      finishAttempt(AttemptOutcome::InvalidResponse, "response too long");
    }
    return;
  }
  if (!forwardEvents(aEvent.bytes)) {
    finishAttempt(AttemptOutcome::InvalidResponse, "event ID not consecutive");
  } else if (mSplitter.isEndless()) {
    finishAttempt(AttemptOutcome::InvalidResponse, "event too long");
  }
}

bool
RequestForwarder::forwardEvents(std::string_view aBytes)
{
  const Instant now = mContext.loop.now();
  std::string completeEvents;
  bool hasProgress = false;
  for (StreamEvent& event : mSplitter.add(aBytes)) {
    if (!mEventSequence.accept(event)) {
      return false;
    }
    hasProgress = hasProgress || event.hasData();
    completeEvents += event.bytes;
  }
  if (completeEvents.empty()) {
    return true;
  }
  mAttemptHasEvents = true;
  // A stalled server may go on sending comments, or a byte now and then.
  if (hasProgress) {
    mContext.selector.recordActivity(mServerId, now);
    mContext.admissions[mService->name].recordProgress(now);
  }
  if (!mHasForwardedEvents) {
    mHasForwardedEvents = true;
    mContext.crashSuspicions.requestServed(mContent, now);
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
      mContext.admissions[mService->name].recordGap(
        gap,
        mContext.activeStreams[mService->name],
        mService->runtime->emptyPassTime(),
        now);
    }
  }
  mLastEventAt = now;
  mClient->writeEvents(std::move(completeEvents));
  return true;
}

AttemptOutcome
RequestForwarder::classifyResponse() const
{
  if (mIsEventStream) {
    return mSplitter.hasPartialEvent() || !mAttemptHasEvents
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
RequestForwarder::handle(const ResponseEnd&)
{
  if (mResponse.result_int() == 421) {
    mContext.servers.markLeaving(mServerId, mServerStartedMs);
  }
  finishAttempt(classifyResponse(), "answer");
}

void
RequestForwarder::handle(const ConnectionLost& aEvent)
{
  const Instant now = mContext.loop.now();
  if (!aEvent.isRequestSent) {
    mContext.crashSuspicions.serverGone(mServerId, now);
    finishAttempt(AttemptOutcome::NotSent, aEvent.reason);
  } else if (aEvent.isClosedByServer && !mHasForwardedEvents) {
    mContext.crashSuspicions.requestLost(
      mServerId, mServerProcess, mContent, now);
    finishLostAttempt(aEvent.reason);
  } else {
    finishAttempt(AttemptOutcome::Lost, aEvent.reason);
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
                           : noServerRetryAfter() });
}

Duration
RequestForwarder::noServerRetryAfter() const
{
  const Instant now = mContext.loop.now();
  const auto resumption =
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
  if (mIsCountedStream) {
    --mContext.activeStreams[mService->name];
  }
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
        { "outcome", aOutcome },
        { "status", aStatus },
        { "server", mServerId },
        { "refused_for", mRefusalCause },
        { "streams", mService ? mContext.activeStreams[mService->name] : 0 },
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
