#pragma once

#include "laburnum/gateway/configuration.hpp"
#include "laburnum/kernel/error.hpp"

#include <string_view>
#include <variant>

namespace laburnum::gateway {

/// Outcome of sending a request to one backend server.
enum class AttemptOutcome : std::uint8_t
{
  NotSent,         ///< No byte was sent; the connection could not be opened.
  Rejected,        ///< The server states that it did not execute the request.
  Failed,          ///< The server executed the request and reports an error.
  Lost,            ///< No complete response; it may have been executed.
  InvalidResponse, ///< The response is invalid or belongs to another request.
  Migrated,        ///< Cancelled in favour of a faster server; was executed.
  Completed        ///< Complete response, to be forwarded.
};

inline constexpr EnumNames<AttemptOutcome, 7> kAttemptOutcomeNames{
  { { AttemptOutcome::NotSent, "not_sent" },
    { AttemptOutcome::Rejected, "rejected" },
    { AttemptOutcome::Failed, "failed" },
    { AttemptOutcome::Lost, "lost" },
    { AttemptOutcome::InvalidResponse, "spoiled" },
    { AttemptOutcome::Migrated, "moved" },
    { AttemptOutcome::Completed, "answered" } }
};

/// Send the request to another server.
struct RetryRequest
{};
/// Forward the response of the server.
struct ForwardResponse
{};
/// Tell the client that the request was not and will not be executed.
struct RejectNotExecuted
{
  Error error = Error::NoServer;
};
/// Tell the client that the request may have been executed.
struct FailMayHaveExecuted
{
  Error error = Error::ServerLost;
};
/// The response has started: abort it so that it does not appear complete.
struct AbortResponse
{};

using RetryDecision = std::variant<RetryRequest,
                                   ForwardResponse,
                                   RejectNotExecuted,
                                   FailMayHaveExecuted,
                                   AbortResponse>;

/// Limits of a `RetryController`.
struct RetryOptions
{
  int maxConnectFailures = 3; ///< Consecutive failures to connect.
  /// Less time than this does not suffice for a round trip to another server.
  Duration minTimeToRetry = milliseconds(20);
};

/// Decides, after each attempt to send one client request to a server, whether
/// to retry, forward the response or fail. Guarantees that a request reported
/// as not executed was not: once a byte was sent, only an explicit statement of
/// the server proves that.
///
/// Performs no I/O. Thread safety: one thread per object.
class RetryController
{
public:
  /// `aIsRetryable`: the request may be executed more than once.
  /// `aMaxAttempts`: servers that it may be sent to.
  RetryController(bool aIsRetryable, int aMaxAttempts);

  /// Records the start of an attempt.
  /// @pre No attempt is in progress.
  void attemptStarted() { ++mAttemptCount; }

  /// Records that events of the response were sent to the client.
  void responseStarted() { mResponseStarted = true; }

  /// Returns what to do after an attempt with `aRemaining` time left.
  /// `aTryAcquireRetry` is called only if a retry is otherwise possible, and
  /// returns whether the retry budget allows it.
  /// @pre An attempt is in progress.
  template<class TryAcquireRetry>
  RetryDecision attemptEnded(AttemptOutcome aOutcome,
                             Duration aRemaining,
                             TryAcquireRetry aTryAcquireRetry)
  {
    recordOutcome(aOutcome);
    if (aOutcome == AttemptOutcome::Completed) {
      return ForwardResponse{};
    }
    if (aOutcome == AttemptOutcome::NotSent &&
        mConnectFailures < mOptions.maxConnectFailures &&
        aRemaining > mOptions.minTimeToRetry) {
      return RetryRequest{};
    }
    if (canRetry(aOutcome, aRemaining) && aTryAcquireRetry()) {
      return RetryRequest{};
    }
    return finalDecision(aOutcome);
  }

  /// Returns what to do when the deadline has passed. `aInProgress`: an attempt
  /// is in progress.
  RetryDecision timedOut(bool aInProgress) const;

  /// Returns what to do if the request is not sent to any server (any more) for
  /// the given reason.
  /// @pre No attempt is in progress.
  RetryDecision refused(Error aReason) const;

  /// True if the attempt in progress may be cancelled and sent to another
  /// server.
  /// @pre An attempt is in progress.
  bool canMigrate(Duration aRemaining) const
  {
    return canRetry(AttemptOutcome::Migrated, aRemaining);
  }

  /// True if no attempt can have executed the request.
  bool isNotExecuted() const { return !mMayHaveExecuted; }

  /// Attempts so far, without those that failed to connect.
  int attemptCount() const { return mAttemptCount; }

private:
  void recordOutcome(AttemptOutcome aOutcome);
  bool canRetry(AttemptOutcome aOutcome, Duration aRemaining) const;
  RetryDecision finalDecision(AttemptOutcome aOutcome) const;

  RetryOptions mOptions;
  bool mIsRetryable;
  int mMaxAttempts;
  int mAttemptCount = 0;
  int mConnectFailures = 0;
  bool mMayHaveExecuted = false;
  bool mResponseStarted = false;
};

} // namespace laburnum::gateway
