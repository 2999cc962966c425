#include "laburnum/agent/agent.hpp"
#include "laburnum/http/sse.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace laburnum::agent {
namespace {

namespace json = boost::json;
namespace bhttp = boost::beast::http;

constexpr Duration kConnectTimeout = seconds(2);

/// Time without a byte after which a backend server counts as stuck.
constexpr Duration kServerSilence = seconds(60);

/// Limit of the text of an answer, which is kept to be continued elsewhere;
/// above the longest that callers may ask for.
constexpr std::size_t kMaxAnswerBytes = 8UL * 1024 * 1024;

/// Headers that belong to one connection and are not passed on.
constexpr std::string_view kHopHeaders[] = {
  "connection", "keep-alive", "transfer-encoding", "te",
  "trailer",    "upgrade",    "proxy-connection",  "content-length"
};

bool
isHopHeader(std::string_view aName)
{
  for (const std::string_view each : kHopHeaders) {
    if (boost::beast::iequals(each, aName)) {
      return true;
    }
  }
  return false;
}

wire::PartT
dataPart(std::string_view aData)
{
  wire::PartT part;
  part.payload.assign(aData.begin(), aData.end());
  return part;
}

/// The text of one event of a completion, or nothing if it holds none.
std::string
tokenText(const std::string& aEvent, std::string& aReason)
{
  json::error_code error;
  const json::value value = json::parse(aEvent, error);
  if (error || !value.is_object()) {
    return "";
  }
  const json::value* choices = value.as_object().if_contains("choices");
  if (choices == nullptr || !choices->is_array() ||
      choices->as_array().empty()) {
    return "";
  }
  const json::object& choice = choices->as_array().front().as_object();
  if (const json::value* reason = choice.if_contains("finish_reason");
      reason != nullptr && reason->is_string()) {
    aReason = std::string(reason->as_string());
  }
  if (const json::value* text = choice.if_contains("text");
      text != nullptr && text->is_string()) {
    return std::string(text->as_string());
  }
  if (const json::value* delta = choice.if_contains("delta");
      delta != nullptr && delta->is_object() &&
      delta->as_object().contains("content")) {
    return std::string(delta->as_object().at("content").as_string());
  }
  return "";
}

} // namespace

void
Agent::pump()
{
  for (;;) {
    if (const auto work = mScheduler.next(mLoop.now())) {
      begin(*work);
    } else if (const auto paused = mScheduler.pause(mLoop.now())) {
      suspend(*paused);
    } else {
      return;
    }
  }
}

bool
Agent::isOver(const Attempt& aAttempt, std::uint64_t aRun)
{
  return aAttempt.run != aRun;
}

void
Agent::suspend(policy::AttemptId aId)
{
  const auto found = mAttempts.find(aId);
  if (found == mAttempts.end()) {
    return;
  }
  Attempt& attempt = *found->second;
  attempt.running = false;
  ++attempt.run;
  if (attempt.exchange) {
    attempt.exchange->abort();
    attempt.exchange.reset();
  }
  ++mNode.metrics().counter("laburnum_pauses_total");
}

void
Agent::begin(const policy::WorkItem& aWork)
{
  const auto found = mAttempts.find(aWork.id);
  const bool resumes = found != mAttempts.end() && found->second->started;
  if (found == mAttempts.end() || (!resumes && !mTable.start(aWork.id))) {
    mScheduler.recordEnd(aWork.id, mLoop.now());
    return;
  }
  const AttemptPtr attempt = found->second;
  attempt->started = true;
  attempt->running = true;
  ++attempt->run;
  attempt->startedAt = mLoop.now();
  if (!resumes) {
    mNode.metrics()
      .summary("laburnum_queue_seconds")
      .add(mLoop.now() - aWork.arrived);
  }
  mLoop.spawn(run(attempt, attempt->run));
}

asio::awaitable<void>
Agent::run(AttemptPtr aAttempt, std::uint64_t aRun)
{
  const auto outcome = co_await forward(aAttempt, aRun);
  if (isOver(*aAttempt, aRun)) {
    co_return; // Paused; a later run goes on.
  }
  if (outcome) {
    ended(aAttempt, policy::AttemptState::Finished);
    co_return;
  }
  const Failure& failure = outcome.failure();
  const bool lost = failure.error == Error::ServerLost && !aAttempt->cancelled;
  // All that ran at a crash fails one after the other; only the first counts.
  const bool isNewCrash = aAttempt->startedAt > mCrashedAt;
  if (lost && failure.verdict != Verdict::NotRun && aAttempt->order.engine &&
      isNewCrash) {
    crashed();
  }
  aAttempt->stream->fail(failure.verdict, failure.error);
  ended(aAttempt,
        failure.verdict == Verdict::NotRun ? policy::AttemptState::Revoked
                                           : policy::AttemptState::Failed);
}

void
Agent::ended(const AttemptPtr& aAttempt, policy::AttemptState aState)
{
  const Instant now = mLoop.now();
  aAttempt->running = false;
  aAttempt->exchange.reset();
  mScheduler.recordEnd(aAttempt->id, now);
  mTable.end(aAttempt->id, aState, now);
  if (aState == policy::AttemptState::Finished) {
    mQuarantine.clearSuspect(aAttempt->order.fingerprint, now);
  }
  ++mNode.metrics().counter("laburnum_attempts_ended_total");
  flush(*aAttempt);
  if (aAttempt->cancelled || aAttempt->stream->isSettled()) {
    mAttempts.erase(aAttempt->id);
  }
  pump();
}

Result<http::Request>
Agent::requestFor(const Attempt& aAttempt) const
{
  const wire::DispatchT& order = aAttempt.order;
  http::Request request;
  request.version(11);
  request.method_string(order.method);
  request.target(order.path);
  for (const auto& field : order.fields) {
    if (!isHopHeader(field->name)) {
      request.insert(field->name, field->value);
    }
  }
  request.set(bhttp::field::host, mSettings.server.address.text());
  request.body().assign(order.body.begin(), order.body.end());
  if (order.engine) {
    json::error_code error;
    json::value body = json::parse(request.body(), error);
    if (error || !body.is_object()) {
      return Failure{ .error = Error::MalformedRequest,
                      .verdict = Verdict::NotRun };
    }
    json::object& fields = body.as_object();
    fields["stream"] = true;
    if (aAttempt.stream->parts() > 0) {
      fields["continuation"] =
        json::object{ { "tokens", aAttempt.stream->parts() },
                      { "text", aAttempt.text } };
    }
    request.body() = json::serialize(body);
  }
  request.prepare_payload();
  return request;
}

asio::awaitable<Result<bool>>
Agent::forward(AttemptPtr aAttempt, std::uint64_t aRun)
{
  auto request = requestFor(*aAttempt);
  if (!request) {
    co_return request.failure();
  }
  // Work that must not run twice gets a connection of its own: on a kept one
  // a close by the server could not be told from a run.
  auto opened =
    co_await mServer.open(kConnectTimeout, !aAttempt->order.idempotent);
  if (!opened) {
    co_return opened.failure();
  }
  if (aAttempt->cancelled || isOver(*aAttempt, aRun)) {
    co_return Failure{ .error = Error::CallerGone, .verdict = Verdict::NotRun };
  }
  const std::shared_ptr<http::Exchange> exchange = std::move(*opened);
  aAttempt->exchange = exchange;
  const auto sent =
    co_await exchange->send(std::move(*request), kServerSilence);
  if (!sent || isOver(*aAttempt, aRun)) {
    co_return sent ? Failure{ .error = Error::ServerLost } : sent.failure();
  }
  const auto& head = exchange->head();
  if (aAttempt->order.engine && head.result() == bhttp::status::ok) {
    co_return co_await relayTokens(aAttempt, aRun);
  }
  if (aAttempt->stream->parts() > 0) {
    // The client has the beginning of a stream; an error is not its rest.
    co_return Failure{ .error = Error::ServerFailed,
                       .verdict = Verdict::MayHaveRun };
  }
  wire::PartT part;
  part.kind = wire::PartKind::Head;
  part.status = head.result_int();
  for (const auto& field : head) {
    if (!isHopHeader(field.name_string())) {
      auto copy = std::make_unique<wire::FieldT>();
      copy->name = field.name_string();
      copy->value = field.value();
      part.fields.push_back(std::move(copy));
    }
  }
  aAttempt->stream->add(std::move(part));
  co_return co_await relayBody(aAttempt);
}

asio::awaitable<void>
Agent::waitForWindow(AttemptPtr aAttempt)
{
  while (aAttempt->stream->isFull() && !aAttempt->cancelled) {
    boost::system::error_code ignored;
    co_await aAttempt->window->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<Result<bool>>
Agent::relayTokens(AttemptPtr aAttempt, std::uint64_t aRun)
{
  const std::shared_ptr<http::Exchange> exchange = aAttempt->exchange;
  http::SseReader reader;
  std::string reason;
  bool done = false;
  while (!done) {
    co_await waitForWindow(aAttempt);
    const auto data = co_await exchange->readSome(kServerSilence);
    if (!data) {
      co_return data.failure();
    }
    if (isOver(*aAttempt, aRun)) {
      co_return Failure{ .error = Error::ServerLost };
    }
    if (data->empty()) {
      break;
    }
    std::size_t count = 0;
    for (const std::string& event : reader.add(*data)) {
      if (event == "[DONE]") {
        done = true;
        continue;
      }
      const std::string text = tokenText(event, reason);
      if (!text.empty()) {
        aAttempt->stream->add(dataPart(text));
        aAttempt->text += text;
        ++count;
      }
    }
    if (reader.isEndless() || aAttempt->text.size() > kMaxAnswerBytes) {
      exchange->abort();
      co_return Failure{ .error = Error::IncompleteAnswer,
                         .verdict = Verdict::MayHaveRun };
    }
    mScheduler.recordTokens(
      aAttempt->id, static_cast<double>(count), mLoop.now());
    flush(*aAttempt);
  }
  if (!done) {
    // The server closed without saying that the answer is whole.
    co_return Failure{ .error = Error::ServerLost,
                       .verdict = Verdict::MayHaveRun };
  }
  while (true) {
    const auto rest = co_await exchange->readSome(kServerSilence);
    if (!rest || rest->empty()) {
      break;
    }
  }
  aAttempt->stream->finish(reason.empty() ? "stop" : reason);
  co_return true;
}

asio::awaitable<Result<bool>>
Agent::relayBody(AttemptPtr aAttempt)
{
  for (;;) {
    co_await waitForWindow(aAttempt);
    const auto data = co_await aAttempt->exchange->readSome(kServerSilence);
    if (!data) {
      co_return data.failure();
    }
    if (data->empty()) {
      break;
    }
    aAttempt->stream->add(dataPart(*data));
  }
  mScheduler.recordTokens(aAttempt->id, aAttempt->order.cost, mLoop.now());
  aAttempt->stream->finish("stop");
  co_return true;
}

} // namespace laburnum::agent
