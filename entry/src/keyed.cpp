#include "laburnum/entry/entry.hpp"

#include "laburnum/coordination/keyed_claim.hpp"
#include "laburnum/entry/answers.hpp"
#include "laburnum/kernel/hash.hpp"

namespace laburnum::entry {
namespace {

namespace bhttp = boost::beast::http;

/// Time that a resend waits for the outcome of the request before it.
constexpr Duration kClaimPatience = seconds(10);

constexpr Duration kPollPeriod = milliseconds(200);

/// Longest answer that is kept for resends.
constexpr std::size_t kMaxRecordedBytes = 8 * 1024;

Failure
claimUnavailable(Verdict aVerdict)
{
  return { .error = Error::ClaimUnavailable,
           .verdict = aVerdict,
           .retryAfter = seconds(2) };
}

} // namespace

coordination::ClaimedAttempt
Entry::attemptToClaim(policy::ServerId aServer,
                      policy::AttemptId aAttempt) const
{
  return { .agent = mLinks->instanceOf(aServer),
           .agentIncarnation = mLinks->incarnationOf(aServer),
           .entryIncarnation = aAttempt.entry,
           .number = aAttempt.number };
}

/// True if the holder's run is not among the live entries, and its agent can
/// be asked. A wrong guess costs the holder its attempt, never a second run.
bool
Entry::isHolderGone(const coordination::Claim& aClaim) const
{
  const std::uint64_t holder = aClaim.holder;
  if (holder == 0 || holder == mNode.identity().incarnation ||
      mLinks->incarnationOf(serverIdOf(aClaim.attempt.agent)) == 0) {
    return false;
  }
  for (const auto& [name, member] : mNode.membership().members()) {
    if (member.incarnation == holder &&
        member.state != membership::MemberState::Dead) {
      return false;
    }
  }
  return true;
}

/// The answer to a request whose key another request holds.
http::Response
Entry::heldResponse(const coordination::Claim& aClaim,
                    std::uint64_t aRequestHash) const
{
  if (aClaim.requestHash != aRequestHash) {
    return failureResponse({ .error = Error::KeyReused });
  }
  if (!aClaim.outcome) {
    return failureResponse({ .error = Error::ClaimPending,
                             .verdict = Verdict::MayHaveRun,
                             .retryAfter = seconds(5) });
  }
  if (!aClaim.outcome->bodyComplete) {
    return failureResponse(
      { .error = Error::IncompleteAnswer,
        .verdict = aClaim.outcome->verdict,
        .detail = "The answer was too long to be kept for a resend." });
  }
  http::Response response{ bhttp::status::ok, 11 };
  response.result(aClaim.outcome->status);
  response.set(bhttp::field::content_type, aClaim.outcome->contentType);
  response.set("Laburnum-Verdict", name(aClaim.outcome->verdict));
  response.set("Laburnum-Replayed", "true");
  response.body() = aClaim.outcome->body;
  return response;
}

asio::awaitable<http::Response>
Entry::runKeyed(CallerRequest aRequest)
{
  HeldClaim held{ .key = aRequest.account + "\n" + aRequest.idempotencyKey,
                  .nonce = mix(mNode.identity().incarnation, ++mNextId),
                  .requestHash =
                    mix(aRequest.fingerprint, hash64(aRequest.method)) };
  const Instant end = mLoop.now() + std::min(kClaimPatience, aRequest.deadline);
  for (;;) {
    // The claim names the attempt, so the server is chosen first.
    const auto server = serverFor(aRequest, {});
    const policy::ServerChosen routed{ .server = server,
                                       .attempt = nextAttempt() };
    if (server) {
      held.attempt = attemptToClaim(*server, routed.attempt);
    }
    coordination::AcquireClaim take{ .key = held.key,
                                     .nonce = held.nonce,
                                     .requestHash = held.requestHash,
                                     .holder = mNode.identity().incarnation,
                                     .attempt = held.attempt };
    const auto answer = co_await mClaims.submit(std::move(take));
    const bool gone = isHolderGone(answer.claim);
    const auto step =
      coordination::nextIdempotencyStep(answer, held.requestHash, gone);
    if (step == coordination::IdempotencyStep::Reject) {
      // The claim may have taken effect all the same.
      mLoop.spawn(mClaims.release(held.key, held.nonce));
      co_return failureResponse(claimUnavailable(Verdict::NotRun));
    }
    if (step == coordination::IdempotencyStep::Run) {
      co_return co_await runClaimed(
        std::move(aRequest), std::move(held), routed);
    }
    if (step == coordination::IdempotencyStep::TakeOver) {
      coordination::TakeOverClaim over{ .key = held.key,
                                        .nonce = held.nonce,
                                        .previousNonce = answer.claim.nonce,
                                        .holder = mNode.identity().incarnation,
                                        .attempt = answer.claim.attempt };
      const auto taken = co_await mClaims.submit(std::move(over));
      if (taken.status == coordination::ClaimStatus::Unavailable) {
        co_return failureResponse(claimUnavailable(Verdict::MayHaveRun));
      }
      if (taken.status == coordination::ClaimStatus::Granted) {
        held.attempt = answer.claim.attempt;
        const policy::AdoptAttempt adopt{
          .server = serverIdOf(held.attempt.agent),
          .attempt = { .entry = held.attempt.entryIncarnation,
                       .number = held.attempt.number }
        };
        co_return co_await runClaimed(
          std::move(aRequest), std::move(held), adopt);
      }
    }
    if (step == coordination::IdempotencyStep::Answer || mLoop.now() >= end) {
      co_return heldResponse(answer.claim, held.requestHash);
    }
    co_await mLoop.sleep(kPollPeriod);
    mClaims.refresh(held.key);
  }
}

asio::awaitable<http::Response>
Entry::runClaimed(CallerRequest aRequest,
                  HeldClaim aClaim,
                  policy::RequestEvent aFirst)
{
  const ExchangePtr exchange = makeExchange(std::move(aRequest));
  exchange->claim = aClaim;
  if (const auto* adopt = std::get_if<policy::AdoptAttempt>(&aFirst)) {
    log(LogLevel::Info,
        "attempt_adopted",
        { { "agent", aClaim.attempt.agent },
          { "entry_run", aClaim.attempt.entryIncarnation },
          { "attempt", aClaim.attempt.number } });
    mAttempts[adopt->attempt] = exchange;
    mRouter.recordSent(adopt->server, exchange->request.cost);
    apply(exchange, *adopt);
    if (mLinks->incarnationOf(adopt->server) !=
        aClaim.attempt.agentIncarnation) {
      apply(exchange, policy::AgentLost{ adopt->server });
    }
  } else {
    exchange->routed = std::get<policy::ServerChosen>(aFirst);
    apply(exchange, policy::StartRequest{});
  }
  std::string body = co_await wholeAnswer(exchange);
  http::Response response = responseOf(*exchange, std::move(body));
  const bool fits = response.body().size() <= kMaxRecordedBytes;
  coordination::RecordedOutcome outcome{
    .status = response.result_int(),
    .contentType = std::string(response[bhttp::field::content_type]),
    .body = fits ? response.body() : "",
    .verdict = exchange->failure ? exchange->failure->verdict : Verdict::Ran,
    .bodyComplete = fits
  };
  if (outcome.verdict == Verdict::NotRun) {
    co_await mClaims.release(aClaim.key, aClaim.nonce);
  } else {
    co_await mClaims.record(aClaim.key, aClaim.nonce, std::move(outcome));
  }
  forget(exchange);
  co_return response;
}

/// A further attempt is dispatched only once the claim names it, so that
/// whoever takes the claim over asks after the right one.
asio::awaitable<void>
Entry::claimThenSend(ExchangePtr aExchange, policy::SendAttempt aSend)
{
  HeldClaim& held = *aExchange->claim;
  const coordination::ClaimedAttempt next =
    attemptToClaim(aSend.server, aSend.attempt);
  coordination::SetClaimAttempt move{ .key = held.key,
                                      .nonce = held.nonce,
                                      .attempt = next };
  const auto answer = co_await mClaims.submit(std::move(move));
  const auto& current = aExchange->machine.current();
  if (!current || current->attempt != aSend.attempt) {
    co_return;
  }
  const bool sameRun = attemptToClaim(aSend.server, aSend.attempt) == next;
  if (answer.status == coordination::ClaimStatus::Granted && sameRun &&
      next.agentIncarnation != 0) {
    held.attempt = next;
    send(aExchange, aSend);
    co_return;
  }
  apply(aExchange,
        policy::AttemptRejected{ .attempt = aSend.attempt,
                                 .verdict = Verdict::NotRun,
                                 .error = answer.status ==
                                              coordination::ClaimStatus::Granted
                                            ? Error::ServerLost
                                            : Error::ClaimUnavailable });
}

} // namespace laburnum::entry
