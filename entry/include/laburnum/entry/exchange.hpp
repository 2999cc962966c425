#pragma once

#include "laburnum/coordination/claim_shard.hpp"
#include "laburnum/kernel/loop.hpp"
#include "laburnum/policy/request_machine.hpp"
#include "laburnum/policy/router.hpp"
#include "laburnum/wire/message.hpp"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnum::entry {

/// What a caller asked for, checked and ready to be routed.
struct CallerRequest
{
  std::string account;
  std::string target; ///< "model@version", "model", or the service.
  bool engine = false;
  bool chat = false;
  bool streaming = false;
  bool idempotent = false;
  double weight = 1;
  int priority = 5;
  std::string method;
  std::string path; ///< At the backend server.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  std::string idempotencyKey;
  std::uint64_t fingerprint = 0; ///< Of account, target and body.
  std::uint32_t promptTokens = 0;
  std::uint32_t maxTokens = 0;
  double cost = 1; ///< Predicted, in output tokens.
  std::vector<std::uint64_t> prefix;
  Duration deadline{ 0 };

  /// What a server must offer to take it. Pre: none.
  std::string offer() const
  {
    return (engine ? "model/" : "service/") + target;
  }
};

/// The claim that a request holds, and the attempt that the claim names: no
/// other may be dispatched, and only to the run of the agent that it names.
struct HeldClaim
{
  std::string key; ///< Of the account and its Idempotency-Key.
  std::uint64_t nonce = 0;
  std::uint64_t requestHash = 0;
  coordination::ClaimedAttempt attempt;
};

/// One request between its caller's session and the agents: the machine that
/// decides, and what it has for the caller. Thread safety: loop thread.
struct Exchange : std::enable_shared_from_this<Exchange>
{
  Exchange(Loop& aLoop,
           CallerRequest aRequest,
           policy::RequestStateMachine aMachine)
    : request(std::move(aRequest))
    , machine(std::move(aMachine))
    , wake(aLoop.context(), asio::steady_timer::time_point::max())
    , deadline(aLoop.context())
    , begun(aLoop.now())
  {
  }

  CallerRequest request;
  policy::RequestStateMachine machine;

  // For the caller.

  std::size_t answerBytes = 0;   ///< Kept of the answer, also `delivered`.
  std::deque<std::string> ready; ///< Parts in order, not yet written.
  std::optional<Failure> failure;
  bool complete = false;
  std::string reason = "stop";     ///< Why generation ended.
  std::optional<wire::PartT> head; ///< Of a plain service's answer.
  asio::steady_timer wake;

  // For the agents.

  std::optional<HeldClaim> claim;             ///< Of a request with a key.
  std::optional<policy::ServerChosen> routed; ///< Chosen before the claim.
  asio::steady_timer deadline;
  std::string delivered;   ///< Text so far, to go on from.
  std::uint64_t taken = 0; ///< Parts that the session took.
  std::uint64_t acknowledged = 0;
  Instant begun;
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace laburnum::entry
