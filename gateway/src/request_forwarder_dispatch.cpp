// How the server of an attempt is chosen and the request sent to it.

#include "laburnum/gateway/request_forwarder.hpp"

#include "end_to_end.hpp"
#include "laburnum/kernel/log.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

namespace bhttp = http::beast::http;

/// Connecting within the region takes a few ms; a lost SYN packet is
/// retransmitted only after a second.
constexpr Duration kConnectTimeout = milliseconds(300);
/// An attempt of an idempotent request times out after this multiple of the
/// latency objective, and is then retried on another server.
constexpr double kAttemptTimeoutFactor = 2.5;
/// Fraction of the latency objective that a request may wait for a permit.
constexpr double kPermitWaitFraction = 0.25;
/// Least urgent priority of an engine; 0 is the most urgent.
constexpr int kMaxEnginePriority = 9;
/// Servers that may deny a permit before the request is refused.
constexpr int kMaxPermitDenials = 4;
/// Age, from when it was asked for, at which a permit for a cold server is not
/// used any more: the longest wait and twice the usual round trips.
constexpr Duration kMaxColdPermitAge = milliseconds(300);

} // namespace

void
RequestForwarder::dispatch()
{
  const Instant now = mContext.loop.now();
  if (isQuarantined()) {
    execute(mRetryController->refused(Error::Quarantined));
    return;
  }
  const ServerRecord* server = selectServer(mTriedServers, now);
  if (server == nullptr && !mTriedServers.empty()) {
    server = selectServer({}, now);
  }
  if (server == nullptr && mPermitDenials > 0) {
    refuseOrAwaitPermit();
    return;
  }
  if (server == nullptr) {
    execute(mRetryController->refused(Error::NoServer));
    return;
  }
  if (const auto rate = mContext.servers.rateLimit(*server, now)) {
    mContext.loop.spawn(sendWithPermit(*server, *rate));
  } else {
    sendTo(*server);
  }
}

void
RequestForwarder::excludeColdServers(std::vector<const ServerRecord*>& aServers,
                                     Instant aNow) const
{
  std::vector<const ServerRecord*> warm;
  for (const ServerRecord* server : aServers) {
    if (!mContext.servers.isCold(*server, aNow)) {
      warm.push_back(server);
    }
  }
  if (!warm.empty()) {
    aServers = std::move(warm);
  }
}

asio::awaitable<void>
RequestForwarder::sendWithPermit(ServerRecord aServer, ServerRate aRate)
{
  const auto self = shared_from_this();
  const Instant askedAt = mContext.loop.now();
  const auto reply = co_await mContext.permits.request(
    aServer.id,
    aServer.startedMs,
    aRate,
    fromSeconds(toSeconds(mRoute->latencyObjective) * kPermitWaitFraction));
  if (reply.isGranted && reply.wait > Duration(0)) {
    co_await mContext.loop.sleep(reply.wait);
  }
  if (mFinished) {
    co_return;
  }
  const Instant now = mContext.loop.now();
  if (!reply.isGranted) {
    const Instant until = now + reply.wait;
    mContext.servers.pause(aServer.id,
                           aServer.startedMs,
                           std::min(until, aRate.coldUntil.value_or(until)));
    if (aRate.coldUntil) {
      ++mContext.metrics.counter("laburnum_gateway_cold_denied_total");
      mIsColdDenied = true;
    }
    if (++mPermitDenials >= kMaxPermitDenials) {
      refuseOrAwaitPermit();
      co_return;
    }
  } else if (aRate.coldUntil && now - askedAt > kMaxColdPermitAge) {
    // A process that was frozen would send all that it holds at once.
    ++mPermitDenials;
  } else if (mContext.servers.isReady(aServer, now) && !isQuarantined()) {
    mPermitDenials = 0;
    sendTo(aServer);
    co_return;
  }
  dispatch();
}

void
RequestForwarder::refuseOrAwaitPermit()
{
  const auto next =
    mContext.servers.firstResumption(mService->name, mContext.loop.now());
  if (mRetryController->isNotExecuted() || !next) {
    execute(mRetryController->refused(Error::ServerRateLimited));
    return;
  }
  // The client cannot be told that the request was not executed, and a stream
  // that has begun would break off.
  mContext.loop.spawn(dispatchAt(*next));
}

asio::awaitable<void>
RequestForwarder::dispatchAt(Instant aTime)
{
  const auto self = shared_from_this();
  co_await mContext.loop.sleep(
    std::max<Duration>(Duration(0), aTime - mContext.loop.now()));
  if (!mFinished) {
    dispatch();
  }
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
  const auto shares = mContext.urgencyShares.find(mService->name);
  if (shares != mContext.urgencyShares.end() &&
      shares->second.hasSeveralPriorities(mStartedAt)) {
    request.set(
      names.priority,
      std::to_string(std::min(
        kMaxEnginePriority, shares->second.moreUrgent(mUrgency, mStartedAt))));
  }
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
  mServerProcess = aServer.processId();
  mServerAddress = aServer.address;
  mServerStartedMs = aServer.startedMs;
  mConnection = connection;
  mTriedServers.insert(aServer.id);
  mRetryController->attemptStarted();
  mSentAt = mContext.loop.now();
  if (mDemand.isGeneration) {
    mDemand.group = currentGroup();
  }
  mContext.selector.requestStarted(mServerId, mDemand, mSentAt);
  placeStream(mSentAt);
  mIsEventStream = false;
  mAttemptHasEvents = false;
  mResponse = {};
  mSplitter = {};
  mEventSequence.startAttempt();
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

} // namespace laburnum::gateway
