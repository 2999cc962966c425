#include "laburnum/gateway/forwarding.hpp"

#include "end_to_end.hpp"

#include "laburnum/kernel/log.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

namespace bhttp = http::beast::http;
namespace json = boost::json;

/// Opening a connection within the region takes a few ms; a lost opening
/// packet comes again only after a second.
constexpr Duration kConnectTimeout = milliseconds(300);
/// An idempotent request is sent elsewhere after this many objectives.
constexpr double kObjectivesOfAttempt = 2.5;

/// A stream with less time left ends before it is read again elsewhere and has
/// caught up: a prompt of usual size takes a few passes.
constexpr Duration kLeastToMove = milliseconds(1000);

/// Statuses that promise that the request did not run.
bool
promisesNotRun(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

Duration
Forwarding::left() const
{
  return mDeadline - mContext.loop.now();
}

void
Forwarding::start()
{
  mId = std::string(mRequest[mContext.names.attemptId]);
  if (!admit()) {
    return;
  }
  place();
}

Duration
Forwarding::emptyPass() const
{
  const EngineRuntime& runtime = *mService->runtime;
  return fromSeconds(runtime.stepMs * runtime.stride / 1000);
}

void
Forwarding::startTimer(Duration aTime, bool aIsAttempt)
{
  auto& timer = aIsAttempt ? mAttemptTimer : mTimer;
  timer.expires_after(aTime);
  timer.async_wait(
    [self = shared_from_this(), aIsAttempt](boost::system::error_code aError) {
      if (aError || self->mFinished) {
        return;
      }
      if (!aIsAttempt) {
        self->deadlineReached();
      } else if (self->mServer) {
        self->attemptEnded(AttemptEnd::Lost, "no answer in time");
      }
    });
}

void
Forwarding::place()
{
  const Instant now = mContext.loop.now();
  const auto servers = mContext.servers.usable(mService->name);
  const ServerRecord* server =
    mContext.placement.pick(servers, mDemand, mTried, now);
  if (server == nullptr && !mTried.empty()) {
    server = mContext.placement.pick(servers, mDemand, {}, now);
  }
  if (server == nullptr) {
    decide(mCourse->unplaced());
    return;
  }
  send(*server);
}

http::Request
Forwarding::outgoing(const ServerRecord& aServer) const
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
  request.set(names.deadlineMs,
              std::to_string(std::max<std::int64_t>(
                1, std::chrono::duration_cast<milliseconds>(left()).count())));
  if (mSequence.last()) {
    request.set(names.lastEventId, std::to_string(*mSequence.last()));
  }
  request.body() = mRequest.body();
  request.prepare_payload();
  return request;
}

void
Forwarding::send(const ServerRecord& aServer)
{
  const bool isFresh = !mRoute->mayRepeat();
  auto connection =
    mContext.pool.acquire(aServer, mService->maxConnections, isFresh);
  if (!connection) {
    mTried.insert(aServer.id);
    decide(mCourse->unplaced());
    return;
  }
  mServerId = aServer.id;
  mServer = connection;
  mTried.insert(aServer.id);
  mCourse->sending();
  mSentAt = mContext.loop.now();
  mContext.placement.begin(mServerId, mDemand, mSentAt);
  mIsEvents = false;
  mAnswer = {};
  mSplitter = {};
  if (mRoute->repeat == Repeat::Idempotent) {
    const Duration patience =
      fromSeconds(toSeconds(mRoute->latencyObjective) * kObjectivesOfAttempt);
    startTimer(std::min(patience, left()), true);
  }
  connection->send(
    outgoing(aServer),
    std::min(kConnectTimeout, std::max(left(), milliseconds(1) + Duration(0))),
    [self = shared_from_this(), raw = connection.get()](ServerEvent aEvent) {
      if (self->mServer.get() != raw) {
        return;
      }
      std::visit([&self](const auto& aOne) { self->on(aOne); }, aEvent);
    });
}

void
Forwarding::on(const AnswerHead& aEvent)
{
  mContext.placement.heard(mServerId, mContext.loop.now());
  mAnswer.result(aEvent.head.result_int());
  copyEndToEnd(aEvent.head, mAnswer);
  const bool isSuccess = aEvent.head.result_int() / 100 == 2;
  const bool isOurs =
    mAnswer[mContext.names.attemptId] == mId &&
    (!isSuccess || mAnswer.count(mContext.names.signature) > 0);
  mIsEvents =
    isSuccess && isStream() && isOurs &&
    mAnswer[bhttp::field::content_type].starts_with("text/event-stream");
  // A server that has begun to answer is no longer one that may never do.
  mAttemptTimer.cancel();
  if (!isOurs) {
    attemptEnded(AttemptEnd::Spoiled, "not the answer to this request");
  }
}

void
Forwarding::on(const AnswerBytes& aEvent)
{
  mContext.placement.heard(mServerId, mContext.loop.now());
  if (!mIsEvents) {
    mAnswer.body().append(aEvent.bytes);
    return;
  }
  if (!passEvents(aEvent.bytes)) {
    attemptEnded(AttemptEnd::Spoiled, "event out of order");
  }
}

bool
Forwarding::passEvents(std::string_view aBytes)
{
  const Instant now = mContext.loop.now();
  std::string whole;
  for (StreamEvent& event : mSplitter.add(aBytes)) {
    if (!mSequence.accept(event)) {
      return false;
    }
    whole += event.bytes;
  }
  if (whole.empty()) {
    return true;
  }
  mContext.admissions[mService->name].progress(now);
  if (!mEventsBegun) {
    mEventsBegun = true;
    mFirstEvent = now - mBegan;
    bhttp::response<bhttp::empty_body> head;
    head.result(mAnswer.result());
    head.version(11);
    copyEndToEnd(mAnswer, head);
    mCourse->answerBegan();
    mCaller->beginEvents(std::move(head));
  } else {
    const Duration gap = now - mLastEvent;
    mLongestGap = std::max(mLongestGap, gap);
    if (mDemand.isGeneration) {
      mContext.admissions[mService->name].gapSeen(
        gap, mContext.streams[mService->name], emptyPass(), now);
    }
  }
  mLastEvent = now;
  mCaller->writeEvents(std::move(whole));
  return true;
}

AttemptEnd
Forwarding::judge() const
{
  if (mIsEvents) {
    return mSplitter.isTorn() || !mEventsBegun ? AttemptEnd::Spoiled
                                               : AttemptEnd::Answered;
  }
  const unsigned status = mAnswer.result_int();
  if (mAnswer.count(mContext.names.notExecuted) > 0 || status == 421) {
    return AttemptEnd::Rejected;
  }
  if (status / 100 == 5 || status == 429 || status == 408) {
    return AttemptEnd::Failed;
  }
  if (status / 100 == 2 && mAnswer.count(bhttp::field::content_encoding) > 0) {
    return AttemptEnd::Spoiled;
  }
  return AttemptEnd::Answered;
}

void
Forwarding::on(const AnswerEnd&)
{
  if (mAnswer.result_int() == 421) {
    if (const ServerRecord* server = mContext.servers.find(mServerId)) {
      mContext.servers.leftByItself(mServerId, server->bornMs);
    }
  }
  attemptEnded(judge(), "answer");
}

void
Forwarding::on(const ConnectionLost& aEvent)
{
  const Instant now = mContext.loop.now();
  if (!aEvent.isSent) {
    mContext.serverGone(mServerId, now);
  } else if (!mEventsBegun) {
    mContext.crashes.lost(mServerId, mFingerprint, now);
  }
  attemptEnded(aEvent.isSent ? AttemptEnd::Lost : AttemptEnd::NotSent,
               aEvent.reason);
}

void
Forwarding::leaveAttempt(AttemptEnd aEnd)
{
  mAttemptTimer.cancel();
  if (!mServer) {
    return;
  }
  const auto server = std::move(mServer);
  mServer = nullptr;
  const Instant now = mContext.loop.now();
  mContext.placement.end(mServerId, mDemand, aEnd, now - mSentAt, now);
  if (aEnd == AttemptEnd::Answered || aEnd == AttemptEnd::Failed ||
      aEnd == AttemptEnd::Rejected) {
    mContext.crashes.answered(mServerId, mSentAt);
  }
  if (aEnd != AttemptEnd::Answered && aEnd != AttemptEnd::Failed &&
      aEnd != AttemptEnd::Rejected) {
    server->abort();
  }
  mContext.pool.release(mServerId, server);
}

void
Forwarding::attemptEnded(AttemptEnd aEnd, std::string_view aReason)
{
  leaveAttempt(aEnd);
  if (aEnd != AttemptEnd::Answered) {
    log(LogLevel::Info,
        "attempt_ended",
        { { "request", mId },
          { "server", mServerId },
          { "end", nameIn(kAttemptEndNames, aEnd) },
          { "status", mAnswer.result_int() },
          { "reason", aReason },
          { "sendings", mCourse->sendings() },
          { "events", mSequence.count() },
          { "left_ms", left().count() / 1000 } });
  } else {
    mContext.quarantine.clearSuspect(mFingerprint);
  }
  decide(mCourse->ended(aEnd, left(), [this] {
    const bool may =
      mContext.allowance(mService->name).take(mContext.loop.now());
    if (!may) {
      ++mContext.metrics.counter("laburnum_gateway_repeats_denied_total");
    }
    return may;
  }));
}

void
Forwarding::leaveServer(const std::string& aId, AttemptEnd aEnd)
{
  const Instant now = mContext.loop.now();
  if (mFinished || !mServer || mServerId != aId || !mDemand.isGeneration ||
      !isStream() || left() < kLeastToMove || !mCourse->mayMove(left())) {
    return;
  }
  const ServerRecord* other = mContext.placement.pick(
    mContext.servers.usable(mService->name), mDemand, mTried, now);
  if (other == nullptr || other->pace >= kPaceToLeave ||
      !mContext.allowance(mService->name).take(now)) {
    return;
  }
  log(LogLevel::Info,
      "stream_moved",
      { { "request", mId },
        { "from", mServerId },
        { "end", nameIn(kAttemptEndNames, aEnd) },
        { "to", other->id },
        { "events", mSequence.count() },
        { "left_ms", left().count() / 1000 } });
  ++mContext.metrics.counter("laburnum_gateway_streams_moved_total");
  leaveAttempt(aEnd);
  decide(mCourse->ended(aEnd, left(), [] { return true; }));
}

void
Forwarding::decide(const CourseDecision& aDecision)
{
  std::visit([this](const auto& aOne) { apply(aOne); }, aDecision);
}

void
Forwarding::apply(const SendAgain&)
{
  ++mContext.metrics.counter("laburnum_gateway_sent_again_total");
  place();
}

void
Forwarding::apply(const PassAnswer&)
{
  if (mEventsBegun) {
    finish("answered", mAnswer.result_int());
    mCaller->endEvents();
    return;
  }
  if (promisesNotRun(mAnswer.result_int())) {
    // The server ran it, whatever its status seems to promise.
    apply(FailMayHaveRun{ .error = Error::ServerFailed });
    return;
  }
  finish("answered", mAnswer.result_int());
  mAnswer.version(11);
  mCaller->respond(std::move(mAnswer));
}

void
Forwarding::apply(const RefuseNotRun& aDecision)
{
  refuse(503, { .error = aDecision.error, .retryAfter = kNoServerWait });
}

void
Forwarding::apply(const FailMayHaveRun& aDecision)
{
  refuse(aDecision.error == Error::DeadlinePassed ? 504 : 502,
         { .error = aDecision.error, .verdict = Verdict::MayHaveRun });
}

void
Forwarding::apply(const BreakOff&)
{
  finish("broken_off", 0);
  mCaller->breakOff();
}

void
Forwarding::refuse(unsigned aStatus, Failure aFailure)
{
  finish(info(aFailure.error).id, aStatus);
  mCaller->respond(failureAnswer(aStatus, aFailure));
}

void
Forwarding::deadlineReached()
{
  const bool inProgress = mServer != nullptr;
  leaveAttempt(AttemptEnd::Lost);
  decide(mCourse->timedOut(inProgress));
}

void
Forwarding::callerGone()
{
  if (mFinished) {
    return;
  }
  leaveAttempt(AttemptEnd::Lost);
  finish("caller_gone", 0);
}

void
Forwarding::finish(std::string_view aOutcome, unsigned aStatus)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  mTimer.cancel();
  mAttemptTimer.cancel();
  if (mCountsStream) {
    --mContext.streams[mService->name];
  }
  Metrics& metrics = mContext.metrics;
  const std::string kind(mRoute ? nameIn(kRepeatNames, mRoute->repeat)
                                : "unrouted");
  ++metrics.counter("laburnum_gateway_requests_total{kind=\"" + kind +
                    "\",outcome=\"" + std::string(aOutcome) + "\"}");
  if (aOutcome == "answered") {
    metrics.summary("laburnum_gateway_answer_seconds_" + kind)
      .add(mContext.loop.now() - mBegan);
  }
  log(
    LogLevel::Info,
    "request_ended",
    { { "request", mId },
      { "route", mRoute ? mRoute->name : "" },
      { "account", mAccount },
      { "outcome", aOutcome },
      { "status", aStatus },
      { "server", mServerId },
      { "refused_for", mRefusedFor },
      { "streams", mService ? mContext.streams[mService->name] : 0 },
      { "sendings", mCourse ? mCourse->sendings() : 0 },
      { "events", mSequence.count() },
      { "config", mConfiguration ? mConfiguration->version : 0 },
      { "time_ms_given",
        std::chrono::duration_cast<milliseconds>(mDeadline - mBegan).count() },
      { "first_ms", mFirstEvent.count() / 1000 },
      { "gap_ms", mLongestGap.count() / 1000 },
      { "ms", (mContext.loop.now() - mBegan).count() / 1000 } });
}

} // namespace laburnum::gateway
