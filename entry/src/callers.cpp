#include "laburnum/entry/answers.hpp"
#include "laburnum/entry/entry.hpp"

#include "laburnum/kernel/hash.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <charconv>

namespace laburnum::entry {
namespace {

namespace json = boost::json;
namespace bhttp = boost::beast::http;

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::int64_t kMaxOutputTokens = 1'000'000;
constexpr std::size_t kKeptLabels = 10000;

/// What a token of prompt costs against a token of output.
constexpr double kPrefillShare = 0.1;

Failure
malformed(std::string aDetail)
{
  return { .error = Error::MalformedRequest,
           .verdict = Verdict::NotRun,
           .detail = std::move(aDetail) };
}

std::string_view
bearerKey(const http::Request& aRequest)
{
  std::string_view value = aRequest[bhttp::field::authorization];
  constexpr std::string_view kScheme = "Bearer ";
  if (!value.starts_with(kScheme)) {
    return {};
  }
  return value.substr(kScheme.size());
}

/// Reads a header that holds a number; absent gives the fall-back.
Result<std::int64_t>
numberHeader(const http::Request& aRequest,
             std::string_view aName,
             std::int64_t aDefault,
             std::int64_t aLow,
             std::int64_t aHigh)
{
  const std::string_view text = aRequest[aName];
  if (text.empty()) {
    return aDefault;
  }
  std::int64_t value = 0;
  const auto [end, status] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (status != std::errc() || end != text.data() + text.size() ||
      value < aLow || value > aHigh) {
    return malformed(std::string(aName) + ": found \"" + std::string(text) +
                     "\", expected an integer from " + std::to_string(aLow) +
                     " to " + std::to_string(aHigh) + ".");
  }
  return value;
}

/// All text of a prompt or of chat messages, for length and prefix.
Result<std::string>
promptOf(const json::object& aBody, bool aChat)
{
  if (!aChat) {
    const json::value* prompt = aBody.if_contains("prompt");
    if (prompt == nullptr || !prompt->is_string()) {
      return malformed("prompt: missing, expected a string.");
    }
    return std::string(prompt->as_string());
  }
  const json::value* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->as_array().empty()) {
    return malformed(
      "messages: missing or empty, expected an array of objects.");
  }
  std::string text;
  for (const json::value& message : messages->as_array()) {
    const json::value* content = message.is_object()
                                   ? message.as_object().if_contains("content")
                                   : nullptr;
    if (content == nullptr || !content->is_string()) {
      return malformed("messages: each needs content, a string.");
    }
    text.append(content->as_string()).append("\n");
  }
  return text;
}

} // namespace

asio::awaitable<void>
Entry::serve(http::Session& aSession, http::Request aRequest)
{
  if (aRequest.target() == "/livez" || aRequest.target() == "/readyz") {
    const bool good = aRequest.target() == "/livez" || mNode.isReady();
    http::Response response{ good ? bhttp::status::ok
                                  : bhttp::status::service_unavailable,
                             11 };
    co_await aSession.write(std::move(response));
    co_return;
  }
  auto request = parse(aRequest);
  if (!request) {
    http::Response refusal = failureResponse(request.failure());
    co_await aSession.write(std::move(refusal));
    co_return;
  }
  if (const Failure refused = admit(*request); refused.error != Error::None) {
    ++mNode.metrics().counter("laburnum_refused_total");
    http::Response refusal = failureResponse(refused);
    co_await aSession.write(std::move(refusal));
    co_return;
  }
  ++mNode.metrics().counter("laburnum_requests_total");
  if (!request->idempotencyKey.empty() && !request->idempotent) {
    http::Response response = co_await runKeyed(std::move(*request));
    co_await aSession.write(std::move(response));
    co_return;
  }
  const bool engine = request->engine;
  const bool streaming = request->streaming;
  const ExchangePtr exchange = begin(std::move(*request));
  aSession.watch([this, weak = std::weak_ptr(exchange)] {
    if (const auto held = weak.lock()) {
      apply(held, policy::CallerDisconnected{});
    }
  });
  if (engine && streaming) {
    co_await streamCompletion(aSession, exchange);
  } else if (engine) {
    co_await answerCompletion(aSession, exchange);
  } else {
    co_await answerService(aSession, exchange);
  }
  aSession.unwatch();
  apply(exchange, policy::CallerDisconnected{});
  forget(exchange);
  mNode.metrics()
    .summary("laburnum_request_seconds")
    .add(mLoop.now() - exchange->begun);
}

Failure
Entry::admit(const CallerRequest& aRequest)
{
  if (!mNode.drain().takesWork()) {
    return { .error = Error::NotReady,
             .verdict = Verdict::NotRun,
             .retryAfter = seconds(1) };
  }
  if (mQuarantine.suspicion(aRequest.fingerprint, mLoop.now()) ==
      policy::Suspicion::Refused) {
    return { .error = Error::Quarantined, .verdict = Verdict::NotRun };
  }
  return mLimits.take(*mNode.store().contractOf(aRequest.account));
}

Result<CallerRequest>
Entry::parse(const http::Request& aRequest)
{
  const std::string key(bearerKey(aRequest));
  if (mKeyLabels.size() > kKeptLabels) {
    mKeyLabels.clear();
  }
  const contract::Contract* contract = nullptr;
  if (!key.empty()) {
    auto found = mKeyLabels.find(key);
    if (found == mKeyLabels.end()) {
      found = mKeyLabels.emplace(key, sha256Label(key)).first;
    }
    contract = mNode.store().contractOfKey(found->second);
  }
  if (contract == nullptr) {
    const bool configured = mNode.isReady() || mNode.store().size() > 0;
    return Failure{ .error = configured ? Error::UnknownKey : Error::NotReady,
                    .verdict = Verdict::NotRun };
  }
  const std::string_view target = aRequest.target();
  Result<CallerRequest> request =
    Failure{ .error = Error::UnknownPath, .verdict = Verdict::NotRun };
  if (target == "/v1/completions" || target == "/v1/chat/completions") {
    request = parseCompletion(aRequest, *contract);
  } else if (target.starts_with("/services/")) {
    request = parseService(aRequest, *contract);
  }
  if (!request) {
    return request;
  }
  const auto timeout = numberHeader(aRequest,
                                    "Laburnum-Timeout-Ms",
                                    std::chrono::duration_cast<milliseconds>(
                                      mNode.settings().limits.defaultDeadline)
                                      .count(),
                                    1,
                                    24 * 3600 * 1000);
  const auto priority = numberHeader(
    aRequest, "Laburnum-Priority", contract->defaultPriority, 0, 9);
  if (!timeout || !priority) {
    return !timeout ? timeout.failure() : priority.failure();
  }
  request->account = contract->account;
  request->weight = contract->share;
  request->priority =
    std::min(static_cast<int>(*priority), contract->maxPriority);
  request->deadline = milliseconds(*timeout);
  request->method = aRequest.method_string();
  request->body = aRequest.body();
  request->idempotencyKey = aRequest["Idempotency-Key"];
  if (request->idempotencyKey.size() > kMaxKeyBytes) {
    return malformed("Idempotency-Key: longer than " +
                     std::to_string(kMaxKeyBytes) + " bytes.");
  }
  request->fingerprint = mix(
    hash64(request->account + "\n" + request->target + "\n" + request->path),
    hash64(request->body));
  return request;
}

Result<CallerRequest>
Entry::parseCompletion(const http::Request& aRequest,
                       const contract::Contract& aContract)
{
  if (aRequest.method() != bhttp::verb::post) {
    return Failure{ .error = Error::UnknownPath, .verdict = Verdict::NotRun };
  }
  json::error_code error;
  const json::value body = json::parse(aRequest.body(), error);
  if (error || !body.is_object()) {
    return malformed("The body is no JSON object.");
  }
  const json::object& fields = body.as_object();
  CallerRequest request;
  request.engine = true;
  request.idempotent = true;
  request.chat = aRequest.target() == "/v1/chat/completions";
  request.path = aRequest.target();
  const auto prompt = promptOf(fields, request.chat);
  if (!prompt) {
    return prompt.failure();
  }
  const json::value* model = fields.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return malformed("model: missing, expected a string.");
  }
  request.target = std::string(model->as_string());
  if (const json::value* limit = fields.if_contains("max_tokens")) {
    const auto number = limit->is_int64() ? limit->as_int64() : -1;
    if (number < 1 || number > kMaxOutputTokens) {
      return malformed("max_tokens: expected an integer from 1 to 1000000.");
    }
    request.maxTokens = static_cast<std::uint32_t>(number);
  }
  if (const json::value* stream = fields.if_contains("stream")) {
    if (!stream->is_bool()) {
      return malformed("stream: expected true or false.");
    }
    request.streaming = stream->as_bool();
  }
  const std::size_t at = request.target.find('@');
  const std::string_view target(request.target);
  if (!aContract.allowsModel(target.substr(0, at),
                             at == std::string::npos ? ""
                                                     : target.substr(at + 1))) {
    return Failure{ .error = Error::ModelNotAllowed,
                    .verdict = Verdict::NotRun,
                    .detail = "Model \"" + request.target + "\"." };
  }
  request.fields.emplace_back("Content-Type", "application/json");
  request.promptTokens =
    static_cast<std::uint32_t>(1 + prompt->size() / kBytesPerToken);
  request.prefix = policy::hashPrefixBlocks(*prompt);
  request.cost = kPrefillShare * request.promptTokens +
                 mPredictor.predict({ .account = aContract.account,
                                      .endpoint = request.target,
                                      .promptTokens = request.promptTokens,
                                      .maxTokens = request.maxTokens });
  return request;
}

Result<CallerRequest>
Entry::parseService(const http::Request& aRequest,
                    const contract::Contract& aContract)
{
  std::string_view rest = aRequest.target();
  rest.remove_prefix(std::string_view("/services/").size());
  const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  CallerRequest request;
  request.target = rest.substr(0, end);
  request.path = end < rest.size() ? std::string(rest.substr(end)) : "/";
  if (request.path.front() == '?') {
    request.path.insert(0, "/");
  }
  if (!aContract.allowsService(request.target)) {
    return Failure{ .error = Error::ServiceNotAllowed,
                    .verdict = Verdict::NotRun,
                    .detail = "Service \"" + request.target + "\"." };
  }
  request.idempotent = mNode.store()
                         .serviceRule(request.target)
                         .idempotent(aRequest.method_string());
  for (const auto& field : aRequest) {
    if (field.name() != bhttp::field::authorization &&
        field.name() != bhttp::field::host) {
      request.fields.emplace_back(field.name_string(), field.value());
    }
  }
  return request;
}

asio::awaitable<void>
Entry::waitForMore(ExchangePtr aExchange)
{
  while (aExchange->ready.empty() && !aExchange->machine.isDone()) {
    boost::system::error_code ignored;
    co_await aExchange->wake.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<std::string>
Entry::wholeAnswer(ExchangePtr aExchange)
{
  std::string text;
  for (;;) {
    co_await waitForMore(aExchange);
    if (aExchange->ready.empty()) {
      co_return text;
    }
    for (; !aExchange->ready.empty(); aExchange->ready.pop_front()) {
      text += aExchange->ready.front();
      ++aExchange->taken;
    }
    acknowledge(aExchange);
  }
}

asio::awaitable<void>
Entry::streamCompletion(http::Session& aSession, ExchangePtr aExchange)
{
  const CompletionWriter writer(
    nextId(), aExchange->request.target, aExchange->request.chat);
  co_await waitForMore(aExchange);
  if (aExchange->ready.empty() && aExchange->failure) {
    http::Response refusal = failureResponse(*aExchange->failure);
    co_await aSession.write(std::move(refusal));
    co_return;
  }
  if (aExchange->head) {
    co_await answerService(aSession, aExchange);
    co_return;
  }
  if (!co_await aSession.beginChunks(200, "text/event-stream")) {
    co_return;
  }
  for (;;) {
    std::string batch;
    for (; !aExchange->ready.empty(); aExchange->ready.pop_front()) {
      batch += writer.chunk(aExchange->ready.front());
      ++aExchange->taken;
    }
    if (!batch.empty() && !co_await aSession.writeChunk(std::move(batch))) {
      co_return;
    }
    acknowledge(aExchange);
    if (aExchange->ready.empty() && aExchange->machine.isDone()) {
      break;
    }
    co_await waitForMore(aExchange);
  }
  if (!aExchange->complete && !aExchange->failure) {
    co_return;
  }
  std::string last = aExchange->complete ? writer.lastChunk(aExchange->reason)
                                         : failureEvent(*aExchange->failure);
  co_await aSession.writeChunk(std::move(last));
  co_await aSession.endChunks();
}

asio::awaitable<void>
Entry::answerCompletion(http::Session& aSession, ExchangePtr aExchange)
{
  const CompletionWriter writer(
    nextId(), aExchange->request.target, aExchange->request.chat);
  std::string text = co_await wholeAnswer(aExchange);
  http::Response response = responseOf(*aExchange, std::move(text));
  if (!aExchange->failure && !aExchange->head) {
    response.set(bhttp::field::content_type, "application/json");
    response.body() = writer.whole(
      response.body(), aExchange->reason, aExchange->machine.nextPart());
  }
  co_await aSession.write(std::move(response));
}

http::Response
Entry::responseOf(const Exchange& aExchange, std::string aBody) const
{
  if (aExchange.failure) {
    return failureResponse(*aExchange.failure);
  }
  http::Response response{ bhttp::status::ok, 11 };
  if (aExchange.head) {
    response.result(aExchange.head->status);
    for (const auto& field : aExchange.head->fields) {
      response.insert(field->name, field->value);
    }
  }
  response.set("Laburnum-Verdict", name(Verdict::Ran));
  response.body() = std::move(aBody);
  return response;
}

asio::awaitable<void>
Entry::answerService(http::Session& aSession, ExchangePtr aExchange)
{
  std::string body = co_await wholeAnswer(aExchange);
  http::Response response = responseOf(*aExchange, std::move(body));
  co_await aSession.write(std::move(response));
}

} // namespace laburnum::entry
