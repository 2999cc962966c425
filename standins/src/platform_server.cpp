#include "laburnum/coordination/object_client.hpp"
#include "laburnum/standins/servers.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace laburnum::standins {
namespace {

namespace json = boost::json;
namespace bhttp = boost::beast::http;

constexpr std::size_t kMaxValueBytes = 1024 * 1024;

http::Response
reply(unsigned aStatus, const json::value& aBody)
{
  http::Response response{ bhttp::status(aStatus), 11 };
  response.set(bhttp::field::content_type, "application/json");
  response.body() = json::serialize(aBody);
  return response;
}

json::object
listOf(const std::vector<contract::Object>& aObjects, std::uint64_t aVersion)
{
  json::array items;
  for (const contract::Object& object : aObjects) {
    items.push_back(coordination::toJson(object));
  }
  return { { "items", std::move(items) }, { "version", aVersion } };
}

std::uint64_t
number(const RequestTarget& aTarget, const std::string& aName)
{
  const std::string text = aTarget.parameter(aName);
  return text.empty() ? 0 : std::stoull(text);
}

} // namespace

PlatformServer::PlatformServer(Loop& aLoop, contract::Address aAddress)
  : mLoop(aLoop)
  , mLimits{ .bodyBytes = 2 * kMaxValueBytes }
  , mChanged(aLoop.context())
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
PlatformServer::handle(http::Session& aSession, http::Request aRequest)
{
  bool lose = false;
  http::Response response = co_await answer(std::move(aRequest), lose);
  if (lose) {
    aSession.abort();
    co_return;
  }
  co_await aSession.write(std::move(response));
}

asio::awaitable<http::Response>
PlatformServer::answer(http::Request aRequest, bool& aLose)
{
  const std::string target(aRequest.target());
  if (target.starts_with("/standin/")) {
    co_return control(aRequest);
  }
  if (mCore.faults.delay > Duration(0)) {
    co_await mLoop.sleep(mCore.faults.delay);
  }
  const bool isWrite = aRequest.method() != bhttp::verb::get;
  if (mCore.faults.outage) {
    co_return reply(503, json::object{ { "error", "outage" } });
  }
  if (!mCore.admit(isWrite, mLoop.now())) {
    co_return reply(429, json::object{ { "error", "rate" } });
  }
  const RequestTarget parsed = parseTarget(target);
  const auto& path = parsed.segments;
  if (path.size() == 2 && path[1] == "watch") {
    co_return co_await watch(parsed);
  }
  if (path.size() == 2 && path[1] == "instances") {
    json::array items;
    for (const auto& [name, leaving] : mInstances) {
      items.push_back(json::object{ { "name", name }, { "leaving", leaving } });
    }
    co_return reply(200, json::object{ { "items", std::move(items) } });
  }
  if (path.size() < 2 || path[1] != "objects" || path.size() > 4) {
    co_return reply(404, json::object{ { "error", "path" } });
  }
  if (path.size() == 2) {
    co_return reply(200, listOf(mCore.newerThan(0), mCore.version()));
  }
  if (path.size() == 3) {
    co_return reply(200, listOf(mCore.ofKind(path[2]), mCore.version()));
  }
  if (isWrite) {
    co_return write(aRequest, path[2], path[3], aLose);
  }
  const contract::Object* object = mCore.read(path[2], path[3]);
  if (object == nullptr) {
    co_return reply(404, json::object{ { "error", "no such object" } });
  }
  co_return reply(200, coordination::toJson(*object));
}

http::Response
PlatformServer::write(const http::Request& aRequest,
                      std::string aKind,
                      std::string aName,
                      bool& aLose)
{
  contract::Object object{ .kind = std::move(aKind), .name = std::move(aName) };
  object.deleted = aRequest.method() == bhttp::verb::delete_;
  object.value = aRequest.body();
  json::error_code error;
  if (!object.deleted) {
    json::parse(object.value, error);
  }
  if (error || object.value.size() > kMaxValueBytes) {
    return reply(400, json::object{ { "error", "value" } });
  }
  std::uint64_t expected = 0;
  const auto condition = aRequest.find(bhttp::field::if_match);
  if (condition != aRequest.end()) {
    expected = std::stoull(std::string(condition->value()));
  } else if (!aRequest.count(bhttp::field::if_none_match)) {
    return reply(428, json::object{ { "error", "a condition is needed" } });
  }
  const auto result = mCore.write(std::move(object), expected);
  if (result.written) {
    mChanged.cancel();
    if (mCore.faults.loseReplies > 0) {
      --mCore.faults.loseReplies;
      aLose = true;
    }
    return reply(200, coordination::toJson(*result.object));
  }
  return reply(
    412, result.object ? coordination::toJson(*result.object) : json::object());
}

asio::awaitable<http::Response>
PlatformServer::watch(const RequestTarget& aTarget)
{
  ++mCore.counts.watches;
  const std::uint64_t after = number(aTarget, "after");
  const Instant end = mLoop.now() + milliseconds(number(aTarget, "timeout_ms"));
  auto objects = mCore.newerThan(after);
  while (objects.empty() && mLoop.now() < end) {
    boost::system::error_code ignored;
    mChanged.expires_at(std::min(end, mLoop.now() + seconds(1)));
    co_await mChanged.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    if (mCore.faults.outage) {
      co_return reply(503, json::object{ { "error", "outage" } });
    }
    objects = mCore.newerThan(after);
  }
  co_return reply(200, listOf(objects, mCore.version()));
}

http::Response
PlatformServer::control(const http::Request& aRequest)
{
  const std::string target(aRequest.target());
  if (target == "/standin/counts") {
    return reply(200,
                 json::object{ { "reads", mCore.counts.reads },
                               { "writes", mCore.counts.writes },
                               { "watches", mCore.counts.watches },
                               { "refused", mCore.counts.refused } });
  }
  json::error_code error;
  const json::value body = json::parse(aRequest.body(), error);
  contract::FieldReader reader(error ? json::value(json::object()) : body, "");
  if (target.starts_with("/standin/instances/")) {
    const std::string name =
      target.substr(std::string("/standin/instances/").size());
    if (aRequest.method() == bhttp::verb::delete_) {
      mInstances.erase(name);
    } else {
      mInstances[name] = reader.boolean("leaving", false);
    }
    return reply(200, json::object());
  }
  mCore.faults.outage = reader.boolean("outage", mCore.faults.outage);
  mCore.faults.delay = milliseconds(reader.integer("delay_ms", 0, 0, 60000));
  mCore.faults.loseReplies =
    static_cast<int>(reader.integer("lose_replies", 0, 0, 1000));
  mCore.faults.writesPerSecond =
    reader.number("writes_s", mCore.faults.writesPerSecond, 0, 1e6);
  mCore.faults.readsPerSecond =
    reader.number("reads_s", mCore.faults.readsPerSecond, 0, 1e6);
  const std::string faults = reader.faults();
  return reply(faults.empty() ? 200 : 400, json::object{ { "error", faults } });
}

} // namespace laburnum::standins
