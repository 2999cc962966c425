#include "laburnum/gateway/gateway.hpp"

#include "laburnum/http/descriptors.hpp"
#include "laburnum/kernel/log.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>

namespace laburnum::gateway {
namespace {

namespace bhttp = http::beast::http;
using asio::ip::tcp;

/// Part of the grace period reserved for the exit of the process, at most half
/// of it.
constexpr Duration kStopMargin = milliseconds(400);
/// Time before the exit of the process during which no connection is accepted,
/// so that requests that arrived last are answered.
constexpr Duration kLastRequestsTime = milliseconds(400);
/// Time for the last answers to be sent before the process exits.
constexpr Duration kLastAnswersTime = milliseconds(100);
/// Interval of the checks for requests in progress while shutting down.
constexpr Duration kDrainPollInterval = milliseconds(50);
/// Interval of the checks for silent servers and stewards. Together with the
/// time after which a rank counts as silent, about half of the time after which
/// clients abandon a stream (PROTOCOL.md, Requests).
constexpr Duration kMaintenanceInterval = milliseconds(250);
/// Intervals of maintenance between two lines with the load of the gateway.
constexpr int kIntervalsPerLoadLine = 8;
/// Delay after a failed accept; clients wait one second for a new connection
/// (PROTOCOL.md, Answers).
constexpr Duration kAcceptRetryDelay = milliseconds(20);
/// Connections waiting to be accepted: the arrivals of 40 ms at one gateway at
/// peak load. The operating system may limit it further.
constexpr int kBacklog = 1024;

/// Part of the descriptors for clients; servers and the store need some, too.
constexpr double kClientDescriptors = 0.65;
/// Connections of clients that are closed at once when descriptors run out.
constexpr std::size_t kClientsToClose = 16;

ServerSelectorOptions
selectorOptions(const contract::Settings& aSettings)
{
  return { .failureDomain = aSettings.failureDomain, .seed = entropySeed() };
}

RetryBudgetOptions
retryBudgetOptions(const contract::Settings& aSettings)
{
  return { .window = aSettings.gateway.retryWindow,
           .ratio = aSettings.gateway.retryRatio,
           .slack = aSettings.gateway.retrySlack,
           .gateways = static_cast<double>(aSettings.gateway.entries) };
}

tcp::endpoint
toEndpoint(const contract::Address& aAddress)
{
  return { asio::ip::make_address(aAddress.host), aAddress.port };
}

} // namespace

Gateway::Gateway(Loop& aLoop,
                 const contract::Settings& aSettings,
                 HeaderNames aNames)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mContext(aLoop,
             mSettings,
             aNames,
             selectorOptions(aSettings),
             retryBudgetOptions(aSettings))
  , mAcceptor(aLoop.context())
  , mMaxClients(
      static_cast<std::size_t>(kClientDescriptors * http::descriptorLimit()))
  , mSuspicionExchange(aLoop, mContext.permits, mContext.crashSuspicions)
  , mFreshness({ .seed = entropySeed() })
  , mFollower(
      mSettings,
      mContext,
      mFreshness,
      { .status =
          [this](const GroupKey& aGroup, const GroupStatus& aStatus) {
            applyGroupStatus(aGroup, aStatus);
          },
        .gone = [this](const GroupKey& aGroup) { removeGroup(aGroup); } })
{
}

Gateway::~Gateway()
{
  for (const auto& client : openClients()) {
    client->release();
  }
}

void
Gateway::start()
{
  if (mSettings.gateway.evacuationBound > Duration(0)) {
    mContext.servers.setEvacuatedDomains(std::nullopt);
    mContext.metrics.gauge("laburnum_gateway_evacuated_domains", [this] {
      return static_cast<double>(mEvacuations.domains().size());
    });
  }
  mSuspicionExchange.start();
  mContext.crashSuspicions.setShare([this](const auto& aChanges) {
    if (mFollower.hasLink()) {
      mFollower.shareSuspicions(aChanges);
    } else {
      mSuspicionExchange.share(aChanges);
    }
  });
  const tcp::endpoint endpoint = toEndpoint(mSettings.callers);
  mAcceptor.open(endpoint.protocol());
  mAcceptor.set_option(tcp::acceptor::reuse_address(true));
  mAcceptor.bind(endpoint);
  mAcceptor.listen(kBacklog);
  mOperators.emplace(
    mLoop,
    mSettings.operators,
    mOperatorLimits,
    nullptr,
    [this](http::Session& aSession, http::Request aRequest) {
      return handleOperatorRequest(aSession, std::move(aRequest));
    },
    http::ServerBounds{ .memory = mContext.clientMemory,
                        .maxSessions = http::operatorSessions() });
  mContext.permits.onPeersChanged([this](std::size_t aGateways) {
    mContext.pool.setGateways(aGateways);
    if (!mFollower.hasLink()) {
      mSuspicionExchange.peersRead();
    }
  });
  mContext.permits.start();
  log(LogLevel::Info,
      "started",
      { { "callers", clientAddress().text() },
        { "operators", mOperators->address().text() },
        { "failure_domain", mSettings.failureDomain } });
  accept();
  mLoop.keepRunning("maintenance", [this] { return maintain(); });
}

contract::Address
Gateway::clientAddress() const
{
  const auto bound = mAcceptor.local_endpoint();
  return { .host = bound.address().to_string(), .port = bound.port() };
}

void
Gateway::accept()
{
  mAcceptor.async_accept([this](boost::system::error_code aError,
                                ClientConnection::Socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return; // Closed while shutting down.
    }
    if (aError) {
      // Usually out of file descriptors; the backlog holds the clients.
      log(LogLevel::Warn, "accept_failed", { { "reason", aError.message() } });
      if (aError == asio::error::no_descriptors) {
        makeRoom(kClientsToClose);
      }
      mLoop.spawn([](Gateway* aSelf) -> asio::awaitable<void> {
        co_await aSelf->mLoop.sleep(kAcceptRetryDelay);
        aSelf->accept();
      }(this));
      return;
    }
    startClient(std::move(aSocket));
    accept();
  });
}

void
Gateway::startClient(ClientConnection::Socket aSocket)
{
  auto client =
    std::make_shared<ClientConnection>(mContext, std::move(aSocket));
  if (mClients.size() >= mMaxClients) {
    mClients.remove_if([](const auto& aOther) {
      const auto other = aOther.lock();
      return !other || other->use() == ClientConnection::Use::Closed;
    });
  }
  if (mClients.size() >= mMaxClients) {
    makeRoom(1);
  }
  mClients.push_back(client);
  removeClosedConnections();
  client->start();
}

void
Gateway::makeRoom(std::size_t aCount)
{
  std::vector<std::shared_ptr<ClientConnection>> clients = openClients();
  std::erase_if(clients, [](const auto& aClient) {
    return aClient->use() > ClientConnection::Use::Unfinished;
  });
  const auto end = clients.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(aCount, clients.size()));
  std::partial_sort(clients.begin(),
                    end,
                    clients.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return std::pair(aLeft->use(), aLeft->progressAt()) <
                             std::pair(aRight->use(), aRight->progressAt());
                    });
  std::for_each(
    clients.begin(), end, [](const auto& aClient) { aClient->makeRoom(); });
}

void
Gateway::removeClosedConnections()
{
  // Checking two entries per new connection bounds the list by the number of
  // open connections.
  for (int checked = 0; checked < 2 && !mClients.empty(); ++checked) {
    if (!mClients.front().expired()) {
      mClients.splice(mClients.end(), mClients, mClients.begin());
    } else {
      mClients.pop_front();
    }
  }
}

bool
Gateway::isReady() const
{
  return !mContext.drainPolicy && mContext.configuration && mHasServers &&
         (mSettings.gateway.evacuationBound == Duration(0) ||
          mEvacuations.isKnown());
}

asio::awaitable<void>
Gateway::handleOperatorRequest(http::Session& aSession, http::Request aRequest)
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
  const auto& current = mContext.configuration;
  if (current && aConfiguration.version <= current->version) {
    return false;
  }
  log(LogLevel::Info,
      "configuration_in_force",
      { { "version", aConfiguration.version },
        { "former", current ? current->version : 0 },
        { "routes", aConfiguration.routes.size() },
        { "keys", aConfiguration.accountsByKey.size() } });
  mContext.configuration =
    std::make_shared<const Configuration>(std::move(aConfiguration));
  std::map<std::string, ColdLimit> coldLimits;
  for (const auto& [name, service] : mContext.configuration->services) {
    if (service.coldRate > 0) {
      coldLimits[name] = { .rate = service.coldRate, .time = service.coldTime };
    }
  }
  mContext.servers.setColdLimits(std::move(coldLimits));
  findStrictestGaps();
  return true;
}

std::vector<std::shared_ptr<ClientConnection>>
Gateway::openClients() const
{
  std::vector<std::shared_ptr<ClientConnection>> clients;
  for (const auto& weakClient : mClients) {
    if (auto client = weakClient.lock()) {
      clients.push_back(std::move(client));
    }
  }
  return clients;
}

void
Gateway::migrateFrom(const std::string& aServerId, AttemptOutcome aOutcome)
{
  for (const auto& client : openClients()) {
    client->migrateFrom(aServerId, aOutcome);
  }
}

void
Gateway::logLoad()
{
  const LoopDelay delay = mLoop.takeDelay();
  log(LogLevel::Info,
      "gateway_load",
      { { "delay_ms", delay.longest.count() / 1000 },
        { "mean_delay_us",
          delay.total.count() /
            static_cast<std::int64_t>(std::max<std::size_t>(1, delay.timers)) },
        { "processor_ms", std::clock() * 1000 / CLOCKS_PER_SEC },
        { "status_gap_ms", mLongestStatusGap.count() / 1000 },
        { "in_progress", mContext.selector.inFlight() } });
  mLongestStatusGap = Duration(0);
}

asio::awaitable<void>
Gateway::maintain()
{
  for (int interval = 1;; ++interval) {
    co_await mLoop.sleep(kMaintenanceInterval);
    if (interval % kIntervalsPerLoadLine == 0) {
      logLoad();
      logGroups();
      for (const auto& client : openClients()) {
        client->closeIfUnread();
      }
    }
    mFollower.maintain();
    mContext.servers.acceptLasting(mLoop.now());
    if (mRestartWatches && mFreshness.takeRestart(mLoop.now())) {
      ++mContext.metrics.counter("laburnum_gateway_watches_restarted_total");
      mRestartWatches();
    }
    for (const std::string& id : mContext.selector.silentServers(mLoop.now())) {
      log(LogLevel::Info,
          "server_silent",
          { { "server", id },
            { "in_progress", mContext.selector.inFlight(id) } });
      migrateFrom(id, AttemptOutcome::Lost);
    }
    moveStrandedStreams();
  }
}

void
Gateway::stopGracefully()
{
  if (mContext.drainPolicy) {
    mLoop.stop();
    return;
  }
  const Duration grace = mSettings.gateway.stopGrace;
  mContext.drainPolicy =
    DrainPolicy{ .startedAt = mLoop.now(),
                 .endsAt = mLoop.now() + grace -
                           std::min<Duration>(kStopMargin, grace / 2) };
  log(LogLevel::Info, "draining");
  mContext.permits.stopIssuing();
  mLoop.spawn(drain());
}

void
Gateway::closeAcceptor()
{
  // Closing resets the connections that wait in the backlog, although their
  // clients count them as open.
  boost::system::error_code error;
  mAcceptor.non_blocking(true, error);
  while (!error) {
    ClientConnection::Socket socket(mLoop.context());
    mAcceptor.accept(socket, error);
    if (!error) {
      startClient(std::move(socket));
    }
  }
  mAcceptor.close(error);
}

void
Gateway::expireRequests()
{
  for (const auto& client : openClients()) {
    client->expireRequest();
  }
}

asio::awaitable<void>
Gateway::drain()
{
  const Instant end = mContext.drainPolicy->endsAt;
  const Instant lastAccept = end - kLastRequestsTime;
  co_await mLoop.sleep(
    std::min<Duration>(kReadinessPropagationDelay, end - mLoop.now()));
  for (;;) {
    bool isBusy = false;
    for (const auto& weakClient : mClients) {
      if (const auto client = weakClient.lock()) {
        client->closeIfIdle();
        isBusy = isBusy || client->isBusy() || client->expectsRequest();
      }
    }
    if (mAcceptor.is_open() && (!isBusy || mLoop.now() >= lastAccept)) {
      closeAcceptor();
      co_await mLoop.sleep(kDrainPollInterval);
      continue;
    }
    if (isBusy && mLoop.now() >= end) {
      expireRequests();
      co_await mLoop.sleep(kLastAnswersTime);
    }
    if (!isBusy || mLoop.now() >= end) {
      log(LogLevel::Info, "stopped", { { "cut", isBusy } });
      mLoop.stop();
      co_return;
    }
    co_await mLoop.sleep(kDrainPollInterval);
  }
}

} // namespace laburnum::gateway
