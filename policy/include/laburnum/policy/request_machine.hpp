#pragma once

#include "laburnum/kernel/time.hpp"
#include "laburnum/policy/attempt.hpp"
#include "laburnum/policy/retry_budget.hpp"
#include "laburnum/policy/stream_assembly.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace laburnum::policy {

/// Identifies a backend server by the agent in front of it.
using ServerId = std::uint64_t;

/// Properties of a request that determine how it can be retried.
struct RequestTraits
{
  bool idempotent = false; ///< Can be run again safely.
  bool resumable = false;  ///< A new attempt can continue a partial response.
};

/// Limits of request handling. The switches disable one safety mechanism each,
/// so that experiments can show which failure it prevents.
struct RequestOptions
{
  int maxAttempts = 4;
  /// Off: a lost connection is taken to mean that the attempt has not run.
  bool queryBeforeRetry = true;
  /// Off: a response counts as complete when its end arrives, even if parts
  /// are missing.
  bool requireAllParts = true;
};

// Events.

/// Starts a new request.
struct StartRequest
{};
/// Starts by taking over the attempt of an entry that is gone, in place of
/// `StartRequest`.
struct AdoptAttempt
{
  ServerId server = 0;
  AttemptId attempt;
};
/// The router's reply to `ChooseServer`; without a server the request fails
/// with `error`.
struct ServerChosen
{
  std::optional<ServerId> server;
  AttemptId attempt;
  Error error = Error::NoServer;
  Duration retryAfter{ 0 };
};
/// A part of the response.
struct PartArrived
{
  AttemptId attempt;
  std::uint64_t sequence = 0; ///< Counts from 0 across all attempts.
  std::string payload;
};
/// The end of the response.
struct AttemptFinished
{
  AttemptId attempt;
  std::uint64_t parts = 0; ///< Of the whole response, earlier attempts too.
};
/// The agent refused the attempt, or it failed there.
struct AttemptRejected
{
  AttemptId attempt;
  Verdict verdict = Verdict::MayHaveRun;
  Error error = Error::ServerFailed;
  Duration retryAfter{ 0 };
  /// Another server appears to have a free slot. The first retry of a request
  /// that has not run then adds no load and is not charged to the budget.
  bool freeSlotElsewhere = false;
};
/// The connection to the agent timed out or was closed.
struct AgentConnectionLost
{
  ServerId server = 0;
};
/// The agent's reply to `QueryAttempt`.
struct AttemptStateReceived
{
  AttemptId attempt;
  AttemptState state = AttemptState::Unknown;
};
/// The agent has restarted or is unreachable, so the state of the attempt can
/// no longer be queried.
struct AgentLost
{
  ServerId server = 0;
};
/// The deadline has passed. The first event cancels the attempt and queries
/// whether it has run; a second one fails the request without the reply.
struct DeadlineReached
{};
/// The caller has disconnected.
struct CallerDisconnected
{};

using RequestEvent = std::variant<StartRequest,
                                  AdoptAttempt,
                                  ServerChosen,
                                  PartArrived,
                                  AttemptFinished,
                                  AttemptRejected,
                                  AgentConnectionLost,
                                  AttemptStateReceived,
                                  AgentLost,
                                  DeadlineReached,
                                  CallerDisconnected>;

// Actions.

/// Choose a server that is not excluded, and report `ServerChosen`.
struct ChooseServer
{
  std::vector<ServerId> excluded;
};
/// Dispatch the attempt to the server's agent.
struct SendAttempt
{
  ServerId server = 0;
  AttemptId attempt;
  std::uint64_t firstPart = 0; ///< First part that the caller still needs.
};
/// Query the state of the attempt over a new connection to the agent.
struct QueryAttempt
{
  ServerId server = 0;
  AttemptId attempt;
  std::uint64_t nextPart = 0; ///< First part that the caller still needs.
};
/// Tell the agent to cancel the attempt.
struct CancelAttempt
{
  ServerId server = 0;
  AttemptId attempt;
};
/// Deliver a part of the response to the caller.
struct Deliver
{
  std::uint64_t sequence = 0;
  std::string payload;
};
/// The response is complete.
struct Complete
{};
/// Report the failure to the caller.
struct Fail
{
  Failure failure;
};

using RequestAction = std::variant<ChooseServer,
                                   SendAttempt,
                                   QueryAttempt,
                                   CancelAttempt,
                                   Deliver,
                                   Complete,
                                   Fail>;

/// State machine of one request in an entry: attempts, retries, resumption of
/// partial responses, and the verdict that a failure reports. It retries only
/// if the request is idempotent or certainly has not run, so that no request
/// runs twice unintentionally. Takes events, returns the actions to perform,
/// and does no I/O itself. Not thread-safe.
class RequestStateMachine
{
public:
  /// @param aBudget Charged for retries; must outlive this object.
  RequestStateMachine(RequestTraits aTraits,
                      RequestOptions aOptions,
                      RetryBudget& aBudget);

  /// Processes an event and returns the actions to perform, in order. Events
  /// of attempts that have ended are ignored.
  /// @pre The first event is `StartRequest` or `AdoptAttempt`.
  std::vector<RequestAction> handle(const RequestEvent& aEvent);

  /// Returns true once `Complete` or `Fail` was returned or the caller has
  /// disconnected.
  bool isDone() const { return mPhase == Phase::Done; }

  /// Returns the attempt in progress, if any.
  const std::optional<SendAttempt>& current() const { return mCurrent; }

  /// Returns the number of the next part that the caller needs.
  std::uint64_t nextPart() const { return mAssembly.next(); }

  /// Returns the number of attempts so far.
  int attempts() const { return mAttempts; }

private:
  enum class Phase : std::uint8_t
  {
    Idle,
    Routing,
    Running,
    QueryingAgent,
    Done
  };
  using Actions = std::vector<RequestAction>;

  Actions on(const StartRequest&);
  Actions on(const AdoptAttempt& aEvent);
  Actions on(const ServerChosen& aEvent);
  Actions on(const PartArrived& aEvent);
  Actions on(const AttemptFinished& aEvent);
  Actions on(const AttemptRejected& aEvent);
  Actions on(const AgentConnectionLost& aEvent);
  Actions on(const AttemptStateReceived& aEvent);
  Actions on(const AgentLost& aEvent);
  Actions on(const DeadlineReached&);
  Actions on(const CallerDisconnected&);

  bool isCurrent(AttemptId aAttempt) const;
  bool isCurrentServer(ServerId aServer) const;
  Actions retryOrFail(Verdict aVerdict,
                      Error aError,
                      Duration aRetryAfter,
                      bool aUnbudgeted = false);
  Actions fail(Error aError, Duration aRetryAfter);
  Actions completeIfAllDelivered();

  RequestTraits mTraits;
  RequestOptions mOptions;
  RetryBudget& mBudget;
  StreamAssembly mAssembly;
  Phase mPhase = Phase::Idle;
  std::optional<SendAttempt> mCurrent;
  std::vector<ServerId> mExcluded;
  Verdict mWorstVerdict = Verdict::NotRun;
  int mAttempts = 0;
  bool mFinishedReceived = false;
  bool mDeadlinePassed = false;
};

} // namespace laburnum::policy
