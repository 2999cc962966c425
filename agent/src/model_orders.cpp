#include "laburnum/agent/model_orders.hpp"

#include "laburnum/policy/router.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace laburnum::agent {
namespace {

namespace json = boost::json;
namespace bhttp = boost::beast::http;

constexpr Duration kFollowPeriod = seconds(2);
constexpr Duration kPollPeriod = milliseconds(100);
constexpr Duration kCallTimeout = seconds(5);

/// Time that a load may take beyond 20 seconds for each gigabyte.
constexpr Duration kLoadPatience = seconds(60);
constexpr double kSecondsPerGigabyte = 20;

std::optional<std::vector<std::string>>
parseHeld(const std::string& aBody)
{
  json::error_code error;
  const json::value body = json::parse(aBody, error);
  if (error || !body.is_object()) {
    return std::nullopt;
  }
  const json::value* data = body.as_object().if_contains("data");
  if (data == nullptr || !data->is_array()) {
    return std::nullopt;
  }
  std::vector<std::string> held;
  for (const json::value& model : data->as_array()) {
    const json::value* id =
      model.is_object() ? model.as_object().if_contains("id") : nullptr;
    if (id != nullptr && id->is_string()) {
      held.emplace_back(id->as_string());
    }
  }
  return held;
}

} // namespace

ModelOrders::ModelOrders(node::Node& aNode,
                         http::ClientPool& aServer,
                         std::function<std::size_t()> aInProgress)
  : mNode(aNode)
  , mLoop(aNode.loop())
  , mServer(aServer)
  , mInProgress(std::move(aInProgress))
  , mHeld(aNode.settings().server.offers)
{
}

void
ModelOrders::start()
{
  if (mNode.settings().server.kind == contract::ServerKind::Engine) {
    mLoop.spawn(follow());
  }
}

bool
ModelOrders::offers(std::string_view aTarget) const
{
  return mLoading.empty() &&
         std::any_of(mHeld.begin(), mHeld.end(), [&](const std::string& aHeld) {
           return policy::offerMatches(aHeld, aTarget);
         });
}

bool
ModelOrders::holds(const std::string& aModel) const
{
  return std::find(mHeld.begin(), mHeld.end(), aModel) != mHeld.end();
}

void
ModelOrders::change(std::vector<std::string> aHeld, const std::string& aLoading)
{
  mHeld = std::move(aHeld);
  mLoading = aLoading;
  std::vector<std::string> offers;
  for (const std::string& model : mHeld) {
    offers.push_back("model/" + model);
  }
  log(LogLevel::Info,
      "models_changed",
      { { "held", mHeld.size() }, { "loading", mLoading } });
  membership::Member self = mNode.membership().self();
  self.offers = std::move(offers);
  self.loading = mLoading;
  self.takesOrders = mTakesOrders;
  mNode.announce(self);
}

asio::awaitable<ModelOrders::Held>
ModelOrders::readHeld()
{
  http::Request request{ bhttp::verb::get, "/v1/models", 11 };
  const auto response =
    co_await mServer.request(std::move(request), kCallTimeout);
  if (!response || response->result() != bhttp::status::ok) {
    co_return std::nullopt;
  }
  co_return parseHeld(response->body());
}

/// A server that does not tell what it holds has what the settings say and
/// gets no orders.
asio::awaitable<void>
ModelOrders::follow()
{
  for (;;) {
    if (mLoading.empty()) {
      Held held = co_await readHeld();
      const bool news = held && (!mTakesOrders || *held != mHeld);
      if (news && mLoading.empty()) {
        mTakesOrders = true;
        change(std::move(*held), "");
      }
    }
    co_await mLoop.sleep(kFollowPeriod);
  }
}

void
ModelOrders::received(const std::string& aFrom, const wire::OrderT& aOrder)
{
  // The order is repeated until its effect is seen.
  if (aOrder.model == mDeciding || aOrder.model == mLoading) {
    return;
  }
  if (!mDeciding.empty() || !mLoading.empty() || !mTakesOrders) {
    reply(aFrom, aOrder, Error::OrderRefused);
    return;
  }
  mDeciding = aOrder.model;
  mLoop.spawn(decide(aFrom, aOrder));
}

asio::awaitable<void>
ModelOrders::decide(std::string aFrom, wire::OrderT aOrder)
{
  Error error = co_await node::admitOrder(
    mGate, mNode.platform(), aOrder.duty, aOrder.fence);
  if (error == Error::None && !holds(aOrder.model)) {
    error = co_await load(aOrder);
  }
  mDeciding.clear();
  reply(aFrom, aOrder, error);
}

asio::awaitable<Error>
ModelOrders::load(const wire::OrderT& aOrder)
{
  std::vector<std::string> before = mHeld;
  change({}, aOrder.model);
  while (mInProgress() > 0) {
    co_await mLoop.sleep(kPollPeriod);
  }
  http::Request request{ bhttp::verb::post, "/orders/load", 11 };
  request.body() = json::serialize(json::object{ { "model", aOrder.model },
                                                 { "duty", aOrder.duty },
                                                 { "fence", aOrder.fence } });
  request.prepare_payload();
  const auto response =
    co_await mServer.request(std::move(request), kCallTimeout);
  const bool accepted =
    response && response->result() == bhttp::status::accepted;
  bool loaded = false;
  if (accepted) {
    loaded = co_await awaitLoaded(aOrder);
  }
  Held held = co_await readHeld();
  change(held ? std::move(*held) : std::move(before), "");
  co_return loaded ? Error::None : Error::OrderRefused;
}

asio::awaitable<bool>
ModelOrders::awaitLoaded(const wire::OrderT& aOrder)
{
  const Instant end = mLoop.now() + kLoadPatience +
                      fromSeconds(aOrder.gigabytes * kSecondsPerGigabyte);
  while (mLoop.now() < end) {
    const Held held = co_await readHeld();
    if (held &&
        std::find(held->begin(), held->end(), aOrder.model) != held->end()) {
      co_return true;
    }
    co_await mLoop.sleep(kPollPeriod);
  }
  co_return false;
}

void
ModelOrders::reply(const std::string& aTo,
                   const wire::OrderT& aOrder,
                   Error aError)
{
  log(aError == Error::None ? LogLevel::Info : LogLevel::Warn,
      "order_ended",
      { { "model", aOrder.model },
        { "fence", aOrder.fence },
        { "error", info(aError).id } });
  wire::OrderReplyT message;
  message.duty = aOrder.duty;
  message.fence = aOrder.fence;
  message.model = aOrder.model;
  message.error = static_cast<std::uint16_t>(aError);
  mNode.sendTo(aTo, message);
}

} // namespace laburnum::agent
