#include "laburnum/standins/servers.hpp"

#include <boost/json/serialize.hpp>

namespace laburnum::standins {
namespace {

namespace json = boost::json;
namespace bhttp = boost::beast::http;

} // namespace

ServiceServer::ServiceServer(Loop& aLoop, contract::Address aAddress)
  : mLoop(aLoop)
  , mServer(aLoop,
            aAddress,
            mLimits,
            nullptr,
            [this](http::Session& aSession, http::Request aRequest) {
              return handle(aSession, std::move(aRequest));
            })
{
}

asio::awaitable<void>
ServiceServer::handle(http::Session& aSession, http::Request aRequest)
{
  const std::string target(aRequest.target());
  http::Response response{ bhttp::status::ok, 11 };
  response.set(bhttp::field::content_type, "application/json");
  if (target == "/standin/counts") {
    json::object byBody;
    for (const auto& [body, runs] : mRunsByBody) {
      byBody[body] = runs;
    }
    response.body() = json::serialize(
      json::object{ { "runs", mRuns }, { "by_body", std::move(byBody) } });
    co_await aSession.write(std::move(response));
    co_return;
  }
  ++mRuns;
  if (aRequest.method() == bhttp::verb::post) {
    ++mRunsByBody[aRequest.body()];
  }
  const std::size_t delay = target.find("delay_ms=");
  if (delay != std::string::npos) {
    co_await mLoop.sleep(milliseconds(std::stol(target.substr(delay + 9))));
  }
  if (target.find("crash=1") != std::string::npos) {
    aSession.abort();
    co_return;
  }
  if (aRequest.method() == bhttp::verb::post) {
    response.result(bhttp::status::created);
  }
  response.body() =
    json::serialize(json::object{ { "run", mRuns }, { "path", target } });
  co_await aSession.write(std::move(response));
}

} // namespace laburnum::standins
