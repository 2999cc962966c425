#include "laburnum/gateway/permit_exchange.hpp"

#include "laburnum/contract/field_reader.hpp"
#include "laburnum/kernel/hash.hpp"
#include "laburnum/kernel/log.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace laburnum::gateway {
namespace {

namespace bhttp = http::beast::http;
namespace json = boost::json;

constexpr std::string_view kPermitPath = "/permits";
/// Limit of a request for a permit; a round trip takes a few ms.
constexpr Duration kPermitTimeout = milliseconds(150);
/// Interval between two reads of the peers while permits are needed.
constexpr Duration kPeersPeriod = seconds(2);
/// Limit of the wait that a peer may ask for.
constexpr std::int64_t kMaxWaitUs = 10'000'000;
constexpr double kMaxRate = 1e9;
/// Time whose unused permits for a cold server may be issued later.
constexpr Duration kColdCredit = milliseconds(50);
/// Longest wait of a permit for a cold server.
constexpr Duration kMaxColdWait = milliseconds(100);
/// Fraction of a cold server's rate that is issued without the first gateway.
constexpr double kStandInShare = 0.2;
constexpr std::int64_t kMaxUnixMs = 1'000'000'000'000'000;

/// Proves that the sender of a request knows the key of all daemons.
std::string
proofOf(const std::string& aControlKey, std::string_view aBody)
{
  return aControlKey.empty() ? "" : hmacSha256(aControlKey, aBody);
}

std::int64_t
unixMilliseconds()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

PermitExchange::Issuers::Issuers()
  : cold({ .maxCredit = kColdCredit })
{
}

PermitExchange::PermitExchange(Loop& aLoop, const contract::Settings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mRegisteredMs(unixMilliseconds())
  , mPeers(aSettings.instance)
{
}

void
PermitExchange::start()
{
  mServer.emplace(mLoop,
                  mSettings.control,
                  mLimits,
                  nullptr,
                  [this](http::Session& aSession, http::Request aRequest) {
                    return answer(aSession, std::move(aRequest));
                  });
}

Peer
PermitExchange::self() const
{
  return { .instance = mSettings.instance,
           .address = mServer->address(),
           .registeredMs = mRegisteredMs };
}

void
PermitExchange::setPeers(std::vector<Peer> aPeers)
{
  mPeersReadAt = mLoop.now();
  mPeers.replace(std::move(aPeers));
  if (mPeersChanged) {
    mPeersChanged(mPeers.size());
  }
}

void
PermitExchange::readPeersIfOld()
{
  if (mReadPeers && mLoop.now() - mPeersReadAt >= kPeersPeriod) {
    mPeersReadAt = mLoop.now();
    mReadPeers();
  }
}

asio::awaitable<void>
PermitExchange::answer(http::Session& aSession, http::Request aRequest)
{
  http::Response response{ bhttp::status::ok, 11 };
  const auto handler = mMessageHandlers.find(std::string(aRequest.target()));
  if (handler != mMessageHandlers.end()) {
    if (aRequest[bhttp::field::authorization] ==
        proofOf(mSettings.controlKey, aRequest.body())) {
      response.body() = handler->second(aRequest.body());
    } else {
      response.result(bhttp::status::not_found);
    }
    co_await aSession.write(std::move(response));
    co_return;
  }
  json::error_code error;
  const json::value body = json::parse(aRequest.body(), error);
  contract::FieldReader reader(error ? json::value() : body, "permit");
  const std::string server = reader.requiredText("server");
  const std::int64_t startedMs = reader.integer("started_ms", 0, 0, kMaxUnixMs);
  const double rate = reader.number("rate", 0, 0, kMaxRate);
  const bool isCold = reader.boolean("cold", false);
  const Duration maxWait(reader.integer("max_wait_us", 0, 0, kMaxWaitUs));
  const std::int64_t issuerMs = reader.integer("issuer_ms", 0, 0, kMaxUnixMs);
  const std::string faults = reader.faultsOfKnown();
  if (aRequest.target() != kPermitPath ||
      aRequest[bhttp::field::authorization] !=
        proofOf(mSettings.controlKey, aRequest.body())) {
    response.result(bhttp::status::not_found);
  } else if (!faults.empty()) {
    response.result(bhttp::status::bad_request);
    response.body() = faults;
  } else if (mIsStopping || issuerMs != mRegisteredMs) {
    // Stopping, or meant for a former process, whose schedule is lost.
    response.result(bhttp::status::conflict);
  } else {
    const Reply reply = mIssuers.of(isCold).request(
      server, startedMs, rate, maxWait, mLoop.now());
    response.body() = json::serialize(json::object{
      { "granted", reply.isGranted }, { "wait_us", reply.wait.count() } });
  }
  co_await aSession.write(std::move(response));
}

asio::awaitable<Result<http::Response>>
PermitExchange::send(Peer aPeer, std::string aPath, std::string aBody)
{
  auto& pool = mPools[aPeer.address];
  if (!pool) {
    pool = std::make_unique<http::ClientPool>(mLoop, aPeer.address);
  }
  http::Request request{ bhttp::verb::post, aPath, 11 };
  request.set(bhttp::field::host, aPeer.address.text());
  request.set(bhttp::field::authorization,
              proofOf(mSettings.controlKey, aBody));
  request.body() = std::move(aBody);
  co_return co_await pool->request(std::move(request), kPermitTimeout);
}

asio::awaitable<std::optional<std::string>>
PermitExchange::message(Peer aPeer, std::string aPath, std::string aBody)
{
  auto response =
    co_await send(std::move(aPeer), std::move(aPath), std::move(aBody));
  if (!response || response->result_int() != 200) {
    co_return std::nullopt;
  }
  co_return std::move(response->body());
}

asio::awaitable<std::optional<PermitExchange::Reply>>
PermitExchange::ask(Peer aPeer, std::string aBody)
{
  const auto response =
    co_await send(aPeer, std::string(kPermitPath), std::move(aBody));
  json::error_code error;
  const json::value body = response && response->result_int() == 200
                             ? json::parse(response->body(), error)
                             : json::value();
  contract::FieldReader reader(error ? json::value() : body, "permit");
  const Reply reply{ .isGranted = reader.boolean("granted", false),
                     .wait =
                       Duration(reader.integer("wait_us", 0, 0, kMaxWaitUs)) };
  if (!body.is_object() || !reader.faultsOfKnown().empty()) {
    log(LogLevel::Info,
        "permit_issuer_lost",
        { { "issuer", aPeer.instance },
          { "reason",
            response ? "status " + std::to_string(response->result_int())
                     : response.failure().detail } });
    mPeers.recordUnreachable(aPeer, mLoop.now());
    mPeersReadAt = Instant{}; // It may have been replaced.
    co_return std::nullopt;
  }
  mPeers.recordReached(aPeer);
  co_return reply;
}

asio::awaitable<PermitExchange::Reply>
PermitExchange::request(std::string aServerId,
                        std::int64_t aStartedMs,
                        ServerRate aRate,
                        Duration aMaxWait)
{
  readPeersIfOld();
  const bool isCold = aRate.coldUntil.has_value();
  const Duration maxWait = isCold ? std::min(aMaxWait, kMaxColdWait) : aMaxWait;
  const double standInRate = aRate.perSecond * (isCold ? kStandInShare : 1);
  if (const Peer* issuer = mPeers.issuer(mLoop.now())) {
    const double rate = mPeers.isFirst(*issuer) ? aRate.perSecond : standInRate;
    if (issuer->instance == mSettings.instance) {
      co_return mIssuers.of(isCold).request(
        aServerId, aStartedMs, rate, maxWait, mLoop.now());
    }
    const json::object body{ { "server", aServerId },
                             { "started_ms", aStartedMs },
                             { "rate", rate },
                             { "cold", isCold },
                             { "max_wait_us", maxWait.count() },
                             { "issuer_ms", issuer->registeredMs } };
    if (const auto reply = co_await ask(*issuer, json::serialize(body))) {
      co_return *reply;
    }
  }
  const double gateways = mPeers.size() > 0
                            ? static_cast<double>(mPeers.size())
                            : static_cast<double>(mSettings.gateway.entries);
  co_return mOwnShare.of(isCold).request(
    aServerId, aStartedMs, standInRate / gateways, maxWait, mLoop.now());
}

} // namespace laburnum::gateway
