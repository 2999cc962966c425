#include "laburnum/http/sse.hpp"
#include "laburnum/kernel/hash.hpp"
#include "laburnum/policy/prefix_index.hpp"
#include "laburnum/standins/servers.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>

namespace laburnum::standins {
namespace {

namespace json = boost::json;
namespace bhttp = boost::beast::http;

constexpr int kDefaultTokens = 16;
constexpr std::size_t kBytesPerToken = 4;

/// The same prompt always gives the same words, so that an answer that goes
/// on elsewhere can be compared with one that did not have to.
std::string
word(std::uint64_t aPrompt, int aIndex)
{
  return "w" +
         std::to_string(mix(aPrompt, static_cast<std::uint64_t>(aIndex)) %
                        1000) +
         " ";
}

int
lengthOf(const std::string& aPrompt, int aMaxTokens)
{
  const std::size_t at = aPrompt.find("[len=");
  if (at == std::string::npos) {
    return aMaxTokens;
  }
  return std::min(aMaxTokens, std::atoi(aPrompt.c_str() + at + 5));
}

std::string
chunk(const std::string& aText, bool aLast)
{
  json::object choice{ { "index", 0 }, { "text", aText } };
  choice["finish_reason"] = aLast ? json::value("stop") : json::value(nullptr);
  return json::serialize(
    json::object{ { "object", "text_completion" },
                  { "choices", json::array{ std::move(choice) } } });
}

} // namespace

struct EngineServer::Waiter
{
  explicit Waiter(Loop& aLoop)
    : timer(aLoop.context(), asio::steady_timer::time_point::max())
  {
  }

  asio::steady_timer timer;
  int ready = 0;
  bool ended = false;
  bool gone = false;
};

EngineServer::EngineServer(Loop& aLoop,
                           contract::Address aAddress,
                           EngineOptions aOptions,
                           EngineModels aModels,
                           EnginePart aPart)
  : mLoop(aLoop)
  , mCore(aOptions)
  , mModels(std::move(aModels))
  , mTakesOrders(!mModels.held.empty())
  , mPart(std::move(aPart))
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
EngineServer::handle(http::Session& aSession, http::Request aRequest)
{
  const std::string target(aRequest.target());
  if (target == "/v1/completions" && aRequest.method() == bhttp::verb::post) {
    co_await complete(aSession, aRequest);
    co_return;
  }
  http::Response response{ bhttp::status::ok, 11 };
  if (target == "/v1/models" && mTakesOrders) {
    response = models();
  } else if (target == "/orders/load" && mTakesOrders) {
    response = order(aRequest);
  } else if (target.starts_with("/group") && mPart.group) {
    response = groupCall(aRequest);
  } else if (target == "/standin/counts") {
    response.body() =
      json::serialize(json::object{ { "runs", mRuns },
                                    { "loads", mLoads },
                                    { "old_orders", mOldOrders },
                                    { "cancels", mCancels },
                                    { "running", mCore.running() },
                                    { "waiting", mCore.waiting() } });
  } else if (target.starts_with("/standin/slowdown/")) {
    mCore.changeSlowdown(std::stod(target.substr(18)));
  } else if (target != "/health") {
    response.result(bhttp::status::not_found);
  }
  co_await aSession.write(std::move(response));
}

http::Response
EngineServer::models() const
{
  json::array data;
  for (const std::string& model : mModels.held) {
    data.push_back(json::object{ { "id", model }, { "object", "model" } });
  }
  http::Response response{ bhttp::status::ok, 11 };
  response.body() = json::serialize(
    json::object{ { "object", "list" }, { "data", std::move(data) } });
  return response;
}

http::Response
EngineServer::order(const http::Request& aRequest)
{
  http::Response response{ bhttp::status::accepted, 11 };
  json::error_code error;
  const json::value body = json::parse(aRequest.body(), error);
  contract::FieldReader reader(error ? json::value(nullptr) : body, "");
  const std::string model = reader.requiredText("model");
  const std::string duty = reader.text("duty", "");
  const auto fence = static_cast<std::uint64_t>(
    reader.integer("fence", 0, 0, std::numeric_limits<std::int64_t>::max()));
  if (!reader.faults().empty()) {
    response.result(bhttp::status::bad_request);
    return response;
  }
  std::uint64_t& highest = mFences[duty];
  if (mModels.fencing && fence < highest) {
    ++mOldOrders;
    response.result(bhttp::status::conflict);
    return response;
  }
  highest = std::max(highest, fence);
  mLoop.spawn(load(model));
  return response;
}

asio::awaitable<void>
EngineServer::load(std::string aModel)
{
  ++mLoads;
  mModels.held.clear();
  co_await mLoop.sleep(mModels.loadTime);
  mModels.held = { aModel };
}

asio::awaitable<void>
EngineServer::complete(http::Session& aSession, const http::Request& aRequest)
{
  json::error_code error;
  const json::value body = json::parse(aRequest.body(), error);
  const json::object* fields =
    error || !body.is_object() ? nullptr : &body.as_object();
  if (fields == nullptr || !fields->contains("prompt") ||
      !fields->at("prompt").is_string()) {
    http::Response response{ bhttp::status::bad_request, 11 };
    response.body() =
      R"({"error":{"message":"prompt: missing, expected a string"}})";
    co_await aSession.write(std::move(response));
    co_return;
  }
  const std::string prompt(fields->at("prompt").as_string());
  if (prompt.find("[crash]") != std::string::npos) {
    std::_Exit(3);
  }
  const json::value* limit = fields->if_contains("max_tokens");
  const int maxTokens = limit != nullptr
                          ? static_cast<int>(limit->to_number<int>())
                          : kDefaultTokens;
  int prior = 0;
  if (const json::value* continuation = fields->if_contains("continuation")) {
    prior = continuation->as_object().at("tokens").to_number<int>();
  }
  if (prior > 0 && prompt.find("[no continuation]") != std::string::npos) {
    http::Response response{ bhttp::status::internal_server_error, 11 };
    response.body() = "the engine's failure";
    co_await aSession.write(std::move(response));
    co_return;
  }
  const int total = lengthOf(prompt, maxTokens);
  const std::uint64_t seed = hash64(prompt);
  const std::uint64_t id = ++mNext;
  ++mRuns;
  auto waiter = std::make_shared<Waiter>(mLoop);
  mWaiters[id] = waiter;
  const double promptTokens =
    1 + static_cast<double>(prompt.size() / kBytesPerToken) + prior;
  mCore.submit({ .id = id,
                 .promptTokens = promptTokens,
                 .outputTokens = std::max(1, total - prior),
                 .prefix = policy::hashPrefixBlocks(prompt) });
  if (!mStepping) {
    mStepping = true;
    mLoop.spawn(runSteps());
  }
  aSession.watch([waiter] {
    waiter->gone = true;
    waiter->timer.cancel();
  });
  const json::value* stream = fields->if_contains("stream");
  const bool streaming =
    stream != nullptr && stream->is_bool() && stream->as_bool();
  bool alive =
    !streaming || co_await aSession.beginChunks(200, "text/event-stream");
  std::string text;
  for (int index = prior; alive && !waiter->gone;) {
    std::string batch;
    for (; waiter->ready > 0; --waiter->ready, ++index) {
      const bool last = waiter->ended && waiter->ready == 1;
      const std::string next = word(seed, index);
      text += next;
      batch += streaming ? http::sseEvent(chunk(next, last)) : "";
    }
    if (!batch.empty()) {
      alive = co_await aSession.writeChunk(std::move(batch));
    }
    if (waiter->ended && waiter->ready == 0) {
      break;
    }
    if (waiter->ready == 0 && !waiter->gone) {
      boost::system::error_code ignored;
      co_await waiter->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
  }
  aSession.unwatch();
  mWaiters.erase(id);
  if (mCore.cancel(id)) {
    ++mCancels;
  }
  if (!alive || waiter->gone) {
    aSession.abort();
    co_return;
  }
  if (streaming) {
    co_await aSession.writeChunk(http::sseEvent("[DONE]"));
    co_await aSession.endChunks();
    co_return;
  }
  http::Response response{ bhttp::status::ok, 11 };
  response.set(bhttp::field::content_type, "application/json");
  response.body() = chunk(text, true);
  co_await aSession.write(std::move(response));
}

asio::awaitable<void>
EngineServer::runSteps()
{
  Instant due = mLoop.now();
  while (!mCore.idle()) {
    const StepResult result = mCore.step();
    // Steps keep their own pace, so that a late timer does not slow the engine.
    due = std::max(due + result.took, mLoop.now() - milliseconds(50));
    if (due > mLoop.now()) {
      co_await mLoop.sleep(due - mLoop.now());
    } else {
      co_await asio::post(mLoop.context(), asio::use_awaitable);
    }
    for (const std::uint64_t id : result.tokens) {
      if (const auto found = mWaiters.find(id); found != mWaiters.end()) {
        ++found->second->ready;
      }
    }
    for (const std::uint64_t id : result.ended) {
      if (const auto found = mWaiters.find(id); found != mWaiters.end()) {
        found->second->ended = true;
      }
    }
    for (const std::uint64_t id : result.tokens) {
      if (const auto found = mWaiters.find(id); found != mWaiters.end()) {
        found->second->timer.cancel();
      }
    }
  }
  mStepping = false;
}

} // namespace laburnum::standins
