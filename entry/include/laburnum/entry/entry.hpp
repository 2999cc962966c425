#pragma once

#include "laburnum/entry/agent_links.hpp"
#include "laburnum/entry/claims.hpp"
#include "laburnum/entry/exchange.hpp"
#include "laburnum/entry/limits.hpp"
#include "laburnum/http/memory_account.hpp"
#include "laburnum/http/server.hpp"
#include "laburnum/http/tls.hpp"
#include "laburnum/node/node.hpp"
#include "laburnum/policy/length_predictor.hpp"
#include "laburnum/policy/quarantine.hpp"

#include <memory>
#include <set>
#include <unordered_map>

namespace laburnum::entry {

/// The daemon behind the platform's balancer that meets callers.
/// Thread safety: loop thread.
class Entry
{
public:
  explicit Entry(node::Node& aNode);

  /// Begins to serve callers. Fails if the certificate can't be read.
  /// Pre: called once.
  Result<bool> start();

  /// Reads the certificate anew, for later connections. Pre: none.
  void reload();

private:
  // Callers (callers.cpp).

  asio::awaitable<void> serve(http::Session& aSession, http::Request aRequest);
  Result<CallerRequest> parse(const http::Request& aRequest);
  Result<CallerRequest> parseCompletion(const http::Request& aRequest,
                                        const contract::Contract& aContract);
  Result<CallerRequest> parseService(const http::Request& aRequest,
                                     const contract::Contract& aContract);
  Failure admit(const CallerRequest& aRequest);
  asio::awaitable<void> answerCompletion(http::Session& aSession,
                                         ExchangePtr aExchange);
  asio::awaitable<void> streamCompletion(http::Session& aSession,
                                         ExchangePtr aExchange);
  asio::awaitable<void> answerService(http::Session& aSession,
                                      ExchangePtr aExchange);
  asio::awaitable<std::string> wholeAnswer(ExchangePtr aExchange);
  asio::awaitable<void> waitForMore(ExchangePtr aExchange);
  http::Response responseOf(const Exchange& aExchange, std::string aBody) const;

  // Requests with an Idempotency-Key (keyed.cpp).

  asio::awaitable<http::Response> runKeyed(CallerRequest aRequest);
  asio::awaitable<http::Response> runClaimed(CallerRequest aRequest,
                                             HeldClaim aClaim,
                                             policy::RequestEvent aFirst);
  asio::awaitable<void> claimThenSend(ExchangePtr aExchange,
                                      policy::SendAttempt aSend);
  coordination::ClaimedAttempt attemptToClaim(policy::ServerId aServer,
                                              policy::AttemptId aAttempt) const;
  bool isHolderGone(const coordination::Claim& aClaim) const;
  http::Response heldResponse(const coordination::Claim& aClaim,
                              std::uint64_t aRequestHash) const;

  // Requests between callers and agents (exchange.cpp).

  ExchangePtr begin(CallerRequest aRequest);
  ExchangePtr makeExchange(CallerRequest aRequest);
  std::optional<policy::ServerId> serverFor(
    const CallerRequest& aRequest,
    std::span<const policy::ServerId> aExcluded);
  policy::AttemptId nextAttempt();
  void awaitDeadline(const ExchangePtr& aExchange, Duration aSpan);
  void send(const ExchangePtr& aExchange, const policy::SendAttempt& aSend);
  void apply(const ExchangePtr& aExchange, const policy::RequestEvent& aEvent);
  void dispatch(const ExchangePtr& aExchange, const policy::SendAttempt& aSend);
  void choose(const ExchangePtr& aExchange,
              const policy::ChooseServer& aChoose);
  void acknowledge(const ExchangePtr& aExchange);
  void received(policy::ServerId aServer, wire::AnyMessage&& aMessage);
  void eachAt(policy::ServerId aServer, const policy::RequestEvent& aEvent);
  void settle(const ExchangePtr& aExchange);
  /// Records a part of an answer that is not complete. The longest answers are
  /// given up if all together are too long.
  void recordPart(const ExchangePtr& aExchange, std::size_t aSize);
  void giveUpAnswer(const ExchangePtr& aExchange);
  void forget(const ExchangePtr& aExchange);
  std::string nextId();

  // Configuration and neighbours.

  void configured(const contract::Object& aObject);
  void merge(const wire::SuspectsT& aNews);
  void tick();

  node::Node& mNode;
  Loop& mLoop;
  http::CertificateHolder mCertificate;
  policy::Router mRouter;
  policy::RetryBudgets mBudgets;
  policy::LengthPredictor mPredictor;
  policy::Quarantine mQuarantine;
  Claims mClaims;
  AccountLimits mLimits;
  http::MemoryAccount<Exchange> mAnswers; ///< That are not complete.
  std::unique_ptr<AgentLinks> mLinks;
  std::unique_ptr<http::Server> mServer;
  std::unordered_map<policy::AttemptId, ExchangePtr> mAttempts;
  std::set<ExchangePtr> mExchanges;
  std::unordered_map<std::string, std::string>
    mKeyLabels; ///< Of recent bearer keys.
  std::uint64_t mNextAttempt = 0;
  std::uint64_t mNextId = 0;
};

} // namespace laburnum::entry
