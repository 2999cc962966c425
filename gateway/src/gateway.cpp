#include "laburnum/gateway/gateway.hpp"

#include "laburnum/kernel/log.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnum::gateway {
namespace {

namespace bhttp = http::beast::http;
using asio::ip::tcp;

/// Part of the grace after a stop that is kept for the end itself.
constexpr Duration kStopMargin = milliseconds(400);
/// Between two looks at what is still in progress while stopping.
constexpr Duration kDrainLook = milliseconds(50);
/// Between two looks for silent servers: with the silence before it, half of
/// the two seconds after which callers leave a stream (PROTOCOL.md, Requests).
constexpr Duration kSilenceLook = milliseconds(250);
/// After a failed accept; callers allow a new connection a second
/// (PROTOCOL.md, Answers).
constexpr Duration kAcceptPause = milliseconds(20);
/// Connections that wait to be accepted: a crest of the planned size that
/// comes within 40 ms at one entry. The system bounds it further.
constexpr int kBacklog = 1024;

PlacementOptions
placementOf(const contract::Settings& aSettings)
{
  return { .failureDomain = aSettings.failureDomain };
}

RetryAllowanceOptions
retriesOf(const contract::Settings& aSettings)
{
  return { .window = aSettings.gateway.retryWindow,
           .ratio = aSettings.gateway.retryRatio,
           .slack = aSettings.gateway.retrySlack,
           .entries = static_cast<double>(aSettings.gateway.entries) };
}

tcp::endpoint
endpointOf(const contract::Address& aAddress)
{
  return { asio::ip::make_address(aAddress.host), aAddress.port };
}

} // namespace

Gateway::Gateway(Loop& aLoop,
                 const contract::Settings& aSettings,
                 HeaderNames aNames)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mContext(aLoop, aNames, placementOf(aSettings), retriesOf(aSettings))
  , mAcceptor(aLoop.context())
{
}

void
Gateway::start()
{
  const tcp::endpoint endpoint = endpointOf(mSettings.callers);
  mAcceptor.open(endpoint.protocol());
  mAcceptor.set_option(tcp::acceptor::reuse_address(true));
  mAcceptor.bind(endpoint);
  mAcceptor.listen(kBacklog);
  mOperators.emplace(mLoop,
                     mSettings.operators,
                     mOperatorLimits,
                     nullptr,
                     [this](http::Session& aSession, http::Request aRequest) {
                       return answerOperator(aSession, std::move(aRequest));
                     });
  log(LogLevel::Info,
      "started",
      { { "callers", callers().text() },
        { "operators", mOperators->address().text() },
        { "failure_domain", mSettings.failureDomain } });
  accept();
  mLoop.spawn(leaveSilent());
}

contract::Address
Gateway::callers() const
{
  const auto bound = mAcceptor.local_endpoint();
  return { .host = bound.address().to_string(), .port = bound.port() };
}

void
Gateway::accept()
{
  mAcceptor.async_accept([this](boost::system::error_code aError,
                                CallerConnection::Socket aSocket) {
    if (aError) {
      // Out of descriptors: the queue of the listener holds the callers.
      log(LogLevel::Warn, "accept_failed", { { "reason", aError.message() } });
      mLoop.spawn([](Gateway* aSelf) -> asio::awaitable<void> {
        co_await aSelf->mLoop.sleep(kAcceptPause);
        aSelf->accept();
      }(this));
      return;
    }
    auto caller =
      std::make_shared<CallerConnection>(mContext, std::move(aSocket));
    mCallers.push_back(caller);
    forgetClosed();
    caller->start();
    accept();
  });
}

void
Gateway::forgetClosed()
{
  // A few of the oldest each time; the list stays as long as what is open.
  for (int looked = 0; looked < 2 && !mCallers.empty(); ++looked) {
    if (!mCallers.front().expired()) {
      mCallers.splice(mCallers.end(), mCallers, mCallers.begin());
    } else {
      mCallers.pop_front();
    }
  }
}

bool
Gateway::isReady() const
{
  return !mContext.draining && mContext.configuration && mHasServers;
}

asio::awaitable<void>
Gateway::answerOperator(http::Session& aSession, http::Request aRequest)
{
  http::Response response{ bhttp::status::ok, 11 };
  if (aRequest.target() == "/readyz") {
    response.result(isReady() ? bhttp::status::ok
                              : bhttp::status::service_unavailable);
  } else if (aRequest.target() == "/metrics") {
    response.set(bhttp::field::content_type, "text/plain; version=0.0.4");
    response.body() = mContext.metrics.print();
  } else {
    response.result(bhttp::status::not_found);
  }
  co_await aSession.write(std::move(response));
}

bool
Gateway::applyConfiguration(Configuration aConfiguration)
{
  const auto& present = mContext.configuration;
  if (present && aConfiguration.version <= present->version) {
    return false;
  }
  log(LogLevel::Info,
      "configuration_in_force",
      { { "version", aConfiguration.version },
        { "former", present ? present->version : 0 },
        { "routes", aConfiguration.routes.size() },
        { "keys", aConfiguration.accountsByKey.size() } });
  mContext.configuration =
    std::make_shared<const Configuration>(std::move(aConfiguration));
  return true;
}

void
Gateway::serversEnded(const std::vector<std::string>& aIds,
                      std::string_view aReason)
{
  for (const std::string& id : aIds) {
    log(LogLevel::Info,
        "server_leaves",
        { { "server", id }, { "reason", aReason } });
    mContext.pool.drop(id);
    mContext.placement.forgetServer(id);
    mContext.serverGone(id, mLoop.now());
  }
}

void
Gateway::replaceServers(const std::vector<ServerRecord>& aAll)
{
  serversEnded(mContext.servers.replace(aAll, mLoop.now()), "not in the list");
  mHasServers = mHasServers || mContext.servers.size() > 0;
  for (const ServerRecord& server : aAll) {
    leaveIfSlow(server);
  }
}

void
Gateway::changeServers(const std::vector<ServerChange>& aChanges)
{
  serversEnded(mContext.servers.apply(aChanges, mLoop.now()), "entry changed");
  mHasServers = mHasServers || mContext.servers.size() > 0;
  for (const ServerChange& change : aChanges) {
    if (change.record) {
      leaveIfSlow(*change.record);
    }
  }
}

void
Gateway::leaveIfSlow(const ServerRecord& aServer)
{
  if (aServer.pace < kPaceToLeave) {
    return;
  }
  log(LogLevel::Info,
      "server_slow",
      { { "server", aServer.id },
        { "pace", aServer.pace },
        { "in_progress", mContext.placement.inFlight(aServer.id) } });
  leaveServer(aServer.id, AttemptEnd::Moved);
}

void
Gateway::leaveServer(const std::string& aId, AttemptEnd aEnd)
{
  const auto callers = mCallers; // A caller that is answered may go.
  for (const auto& each : callers) {
    if (const auto caller = each.lock()) {
      caller->leaveServer(aId, aEnd);
    }
  }
}

asio::awaitable<void>
Gateway::leaveSilent()
{
  for (;;) {
    co_await mLoop.sleep(kSilenceLook);
    for (const std::string& id : mContext.placement.silent(mLoop.now())) {
      log(LogLevel::Info,
          "server_silent",
          { { "server", id },
            { "in_progress", mContext.placement.inFlight(id) } });
      leaveServer(id, AttemptEnd::Lost);
    }
  }
}

void
Gateway::serversLost()
{
  mContext.servers.lost(mLoop.now());
}

void
Gateway::serversRegained()
{
  mContext.servers.regained(mLoop.now());
  mLoop.spawn(expireLater());
}

asio::awaitable<void>
Gateway::expireLater()
{
  co_await mLoop.sleep(ServerListOptions{}.lapseGrace + milliseconds(5));
  serversEnded(mContext.servers.expire(mLoop.now()), "lapsed");
}

void
Gateway::stopGracefully()
{
  if (mContext.draining) {
    mLoop.stop();
    return;
  }
  mContext.draining =
    DrainRule{ .begun = mLoop.now(),
               .end = mLoop.now() + mSettings.gateway.stopGrace - kStopMargin };
  log(LogLevel::Info, "draining");
  mLoop.spawn(drain());
}

asio::awaitable<void>
Gateway::drain()
{
  const Instant end = mContext.draining->end;
  co_await mLoop.sleep(kSeenNotReady);
  for (;;) {
    bool isBusy = false;
    for (const auto& each : mCallers) {
      if (const auto caller = each.lock()) {
        caller->closeIfIdle();
        isBusy = isBusy || caller->isBusy();
      }
    }
    if (!isBusy || mLoop.now() >= end) {
      log(LogLevel::Info, "stopped", { { "cut", isBusy } });
      mLoop.stop();
      co_return;
    }
    co_await mLoop.sleep(kDrainLook);
  }
}

} // namespace laburnum::gateway
