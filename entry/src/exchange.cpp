#include "laburnum/entry/entry.hpp"

#include "laburnum/kernel/log.hpp"

#include <boost/asio/post.hpp>

namespace laburnum::entry {
namespace {

/// Parts after which the agent is told that they arrived.
constexpr std::uint64_t kAcknowledgeEvery = 32;

/// Time after the deadline for the agent to tell whether the request has run.
constexpr Duration kLateAnswer = milliseconds(300);

std::unique_ptr<wire::Attempt>
toWire(policy::AttemptId aId)
{
  return std::make_unique<wire::Attempt>(aId.entry, aId.number);
}

policy::AttemptId
idOf(const wire::Attempt& aAttempt)
{
  return { .entry = aAttempt.entry(), .number = aAttempt.number() };
}

/// The machine's event for a message of an agent, if it has one.
struct ToEvent
{
  using Event =
    std::optional<std::pair<policy::AttemptId, policy::RequestEvent>>;

  Event operator()(wire::PartT& aMessage) const
  {
    const auto id = idOf(*aMessage.attempt);
    return { { id,
               policy::PartArrived{ .attempt = id,
                                    .sequence = aMessage.sequence,
                                    .payload =
                                      std::string(aMessage.payload.begin(),
                                                  aMessage.payload.end()) } } };
  }
  Event operator()(const wire::FinishedT& aMessage) const
  {
    const auto id = idOf(*aMessage.attempt);
    return {
      { id, policy::AttemptFinished{ .attempt = id, .parts = aMessage.parts } }
    };
  }
  Event operator()(const wire::RejectedT& aMessage) const
  {
    const auto id = idOf(*aMessage.attempt);
    return { { id,
               policy::AttemptRejected{
                 .attempt = id,
                 .verdict = static_cast<Verdict>(aMessage.verdict),
                 .error = static_cast<Error>(aMessage.error),
                 .retryAfter = Duration(aMessage.retry_after_us) } } };
  }
  Event operator()(const wire::AskReplyT& aMessage) const
  {
    const auto id = idOf(*aMessage.attempt);
    const auto state =
      static_cast<policy::AttemptState>(std::min<int>(aMessage.state, 5));
    return {
      { id, policy::AttemptStateReceived{ .attempt = id, .state = state } }
    };
  }
  template<class Other>
  Event operator()(const Other&) const
  {
    return std::nullopt;
  }
};

} // namespace

ExchangePtr
Entry::begin(CallerRequest aRequest)
{
  const ExchangePtr exchange = makeExchange(std::move(aRequest));
  apply(exchange, policy::StartRequest{});
  return exchange;
}

ExchangePtr
Entry::makeExchange(CallerRequest aRequest)
{
  const policy::RequestTraits facts{ .idempotent = aRequest.idempotent,
                                     .resumable = aRequest.engine };
  const Duration deadline = aRequest.deadline;
  policy::RetryBudget& budget = mBudgets.forAccount(aRequest.account);
  auto exchange = std::make_shared<Exchange>(
    mLoop, std::move(aRequest), policy::RequestStateMachine(facts, {}, budget));
  mExchanges.insert(exchange);
  awaitDeadline(exchange, deadline);
  return exchange;
}

void
Entry::awaitDeadline(const ExchangePtr& aExchange, Duration aSpan)
{
  aExchange->deadline.expires_after(aSpan);
  aExchange->deadline.async_wait(
    [this, weak = std::weak_ptr(aExchange)](boost::system::error_code aError) {
      const auto held = weak.lock();
      if (aError || !held) {
        return;
      }
      apply(held, policy::DeadlineReached{});
      if (!held->machine.isDone()) {
        awaitDeadline(held, kLateAnswer);
      }
    });
}

void
Entry::apply(const ExchangePtr& aExchange, const policy::RequestEvent& aEvent)
{
  struct Visitor
  {
    Entry& entry;
    const ExchangePtr& exchange;

    void operator()(const policy::ChooseServer& aAction) const
    {
      entry.choose(exchange, aAction);
    }
    void operator()(const policy::SendAttempt& aAction) const
    {
      entry.dispatch(exchange, aAction);
    }
    void operator()(const policy::QueryAttempt& aAction) const
    {
      wire::AskT message;
      message.attempt = toWire(aAction.attempt);
      message.next_part = aAction.nextPart;
      // Without a connection yet, the question follows when there is one.
      entry.mLinks->send(aAction.server, message);
    }
    void operator()(const policy::CancelAttempt& aAction) const
    {
      wire::CancelT message;
      message.attempt = toWire(aAction.attempt);
      entry.mLinks->send(aAction.server, message);
    }
    void operator()(const policy::Deliver& aAction) const
    {
      if (exchange->request.engine && !exchange->head) {
        exchange->delivered += aAction.payload;
        entry.recordPart(exchange, aAction.payload.size());
      }
      entry.recordPart(exchange, aAction.payload.size());
      exchange->ready.push_back(aAction.payload);
    }
    void operator()(const policy::Complete&) const
    {
      exchange->complete = true;
    }
    void operator()(const policy::Fail& aAction) const
    {
      exchange->failure = aAction.failure;
    }
  };
  const auto attempt = aExchange->machine.current();
  const auto actions = aExchange->machine.handle(aEvent);
  const auto& next = aExchange->machine.current();
  const bool attemptOver = attempt && (aExchange->machine.isDone() || !next ||
                                       next->attempt != attempt->attempt);
  if (attemptOver) {
    mAttempts.erase(attempt->attempt);
    const bool failed =
      std::holds_alternative<policy::AgentLost>(aEvent) ||
      (std::holds_alternative<policy::AttemptRejected>(aEvent) &&
       std::get<policy::AttemptRejected>(aEvent).verdict != Verdict::NotRun);
    mRouter.recordEnd(attempt->server, failed, mLoop.now());
  }
  for (const policy::RequestAction& action : actions) {
    std::visit(Visitor{ *this, aExchange }, action);
  }
  if (aExchange->machine.isDone()) {
    settle(aExchange);
  }
  aExchange->wake.cancel();
}

void
Entry::recordPart(const ExchangePtr& aExchange, std::size_t aSize)
{
  aExchange->answerBytes += aSize;
  for (Exchange* longest = mAnswers.record(
         aExchange.get(), { .size = aExchange->answerBytes }, Instant{});
       longest != nullptr;
       longest = mAnswers.excess(Instant{})) {
    mAnswers.remove(longest);
    // The machine of the exchange may be in the middle of an event.
    asio::post(mLoop.context(), [this, held = longest->shared_from_this()] {
      giveUpAnswer(held);
    });
  }
}

void
Entry::giveUpAnswer(const ExchangePtr& aExchange)
{
  if (aExchange->complete || aExchange->failure) {
    return;
  }
  log(LogLevel::Warn,
      "answer_too_long",
      { { "target", aExchange->request.target },
        { "bytes", aExchange->answerBytes } });
  aExchange->ready.clear();
  aExchange->delivered = {};
  apply(aExchange, policy::CallerDisconnected{});
  aExchange->failure = Failure{ .error = Error::IncompleteAnswer,
                                .verdict = Verdict::MayHaveRun,
                                .detail = "the answer is too long" };
}

void
Entry::forget(const ExchangePtr& aExchange)
{
  mAnswers.remove(aExchange.get());
  mExchanges.erase(aExchange);
}

void
Entry::settle(const ExchangePtr& aExchange)
{
  aExchange->deadline.cancel();
  if (aExchange->complete && aExchange->request.engine) {
    const CallerRequest& request = aExchange->request;
    mPredictor.observe({ .account = request.account,
                         .endpoint = request.target,
                         .promptTokens = request.promptTokens,
                         .maxTokens = request.maxTokens },
                       static_cast<double>(aExchange->machine.nextPart()));
  }
  if (aExchange->failure) {
    mNode.metrics().counter("laburnum_failures_total{error=\"" +
                            std::string(info(aExchange->failure->error).id) +
                            "\"}")++;
  }
}

void
Entry::choose(const ExchangePtr& aExchange, const policy::ChooseServer& aChoose)
{
  const CallerRequest& request = aExchange->request;
  const Instant now = mLoop.now();
  if (mQuarantine.suspicion(request.fingerprint, now) ==
      policy::Suspicion::Refused) {
    apply(aExchange, policy::ServerChosen{ .error = Error::Quarantined });
    return;
  }
  if (aExchange->routed) {
    const policy::ServerChosen routed = *aExchange->routed;
    aExchange->routed.reset();
    apply(aExchange, routed);
    return;
  }
  auto server = serverFor(request, aChoose.excluded);
  if (!server && !aChoose.excluded.empty() && request.idempotent) {
    // Better the same server again than none, when there is no other.
    server = serverFor(request, {});
  }
  apply(aExchange,
        policy::ServerChosen{ .server = server,
                              .attempt = nextAttempt(),
                              .error = Error::NoServer,
                              .retryAfter = seconds(1) });
}

std::optional<policy::ServerId>
Entry::serverFor(const CallerRequest& aRequest,
                 std::span<const policy::ServerId> aExcluded)
{
  const std::string offer = aRequest.offer();
  return mRouter.choose({ .offer = offer,
                          .domain = mNode.settings().failureDomain,
                          .region = mNode.settings().region,
                          .cost = aRequest.cost,
                          .prefix = aRequest.prefix,
                          .excluded = aExcluded,
                          .now = mLoop.now() });
}

policy::AttemptId
Entry::nextAttempt()
{
  return { .entry = mNode.identity().incarnation, .number = ++mNextAttempt };
}

void
Entry::dispatch(const ExchangePtr& aExchange, const policy::SendAttempt& aSend)
{
  mAttempts[aSend.attempt] = aExchange;
  if (aExchange->claim && aExchange->claim->attempt !=
                            attemptToClaim(aSend.server, aSend.attempt)) {
    mLoop.spawn(claimThenSend(aExchange, aSend));
    return;
  }
  send(aExchange, aSend);
}

void
Entry::send(const ExchangePtr& aExchange, const policy::SendAttempt& aSend)
{
  const CallerRequest& request = aExchange->request;
  const Instant now = mLoop.now();
  wire::DispatchT order;
  order.attempt = toWire(aSend.attempt);
  order.account = request.account;
  order.weight = request.weight;
  order.priority = request.priority;
  order.target = request.target;
  order.method = request.method;
  order.path = request.path;
  for (const auto& [name, value] : request.fields) {
    auto field = std::make_unique<wire::FieldT>();
    field->name = name;
    field->value = value;
    order.fields.push_back(std::move(field));
  }
  order.body.assign(request.body.begin(), request.body.end());
  order.deadline_us = (request.deadline - (now - aExchange->begun)).count();
  order.idempotent = request.idempotent;
  order.engine = request.engine;
  order.cost =
    std::max(1.0, request.cost - static_cast<double>(aSend.firstPart));
  order.fingerprint = request.fingerprint;
  order.suspect = mQuarantine.suspicion(request.fingerprint, now) ==
                  policy::Suspicion::Suspect;
  order.first_part = aSend.firstPart;
  order.prior_text = aExchange->delivered;
  order.prompt_tokens = request.promptTokens;
  order.max_tokens = request.maxTokens;
  mRouter.recordSent(aSend.server, order.cost, request.prefix);
  ++mNode.metrics().counter("laburnum_attempts_total");
  if (!mLinks->send(aSend.server, order)) {
    apply(aExchange,
          policy::AttemptRejected{ .attempt = aSend.attempt,
                                   .verdict = Verdict::NotRun,
                                   .error = Error::ServerLost });
  }
}

void
Entry::received(policy::ServerId, wire::AnyMessage&& aMessage)
{
  if (const auto* suspects = std::get_if<wire::SuspectsT>(&aMessage)) {
    merge(*suspects);
    return;
  }
  auto event = std::visit(ToEvent{}, aMessage);
  if (!event) {
    return;
  }
  const auto found = mAttempts.find(event->first);
  if (found == mAttempts.end()) {
    return;
  }
  const ExchangePtr exchange = found->second;
  if (auto* part = std::get_if<wire::PartT>(&aMessage);
      part != nullptr && part->kind == wire::PartKind::Head) {
    exchange->head = std::move(*part);
  } else if (auto* finished = std::get_if<wire::FinishedT>(&aMessage)) {
    exchange->reason = std::move(finished->reason);
  }
  if (auto* rejected = std::get_if<policy::AttemptRejected>(&event->second)) {
    const auto& current = exchange->machine.current();
    const policy::ServerId excluded[]{ current ? current->server : 0 };
    const std::string offer = exchange->request.offer();
    rejected->freeSlotElsewhere =
      mRouter.hasFreeSlot({ .offer = offer,
                            .domain = mNode.settings().failureDomain,
                            .excluded = excluded,
                            .now = mLoop.now() });
  }
  apply(exchange, event->second);
}

void
Entry::acknowledge(const ExchangePtr& aExchange)
{
  const auto& current = aExchange->machine.current();
  const bool last = aExchange->machine.isDone();
  if (!current || (!last && aExchange->taken <
                              aExchange->acknowledged + kAcknowledgeEvery)) {
    return;
  }
  wire::AcknowledgeT message;
  message.attempt = toWire(current->attempt);
  message.next_part = aExchange->taken;
  aExchange->acknowledged = aExchange->taken;
  mLinks->send(current->server, message);
}

void
Entry::eachAt(policy::ServerId aServer, const policy::RequestEvent& aEvent)
{
  std::vector<ExchangePtr> there;
  for (const auto& [id, exchange] : mAttempts) {
    const auto& current = exchange->machine.current();
    if (current && current->server == aServer) {
      there.push_back(exchange);
    }
  }
  for (const ExchangePtr& exchange : there) {
    apply(exchange, aEvent);
  }
}

std::string
Entry::nextId()
{
  return "lb-" + mNode.settings().instance + "-" + std::to_string(++mNextId);
}

} // namespace laburnum::entry
