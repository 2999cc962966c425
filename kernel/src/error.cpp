#include "laburnum/kernel/error.hpp"

#include <array>

namespace laburnum {
namespace {

using enum Error;

constexpr std::array<ErrorInfo, 39> kErrors{ {
  { None, "LB-NONE", 200, "No error.", "None needed." },
  { MalformedRequest,
    "LB-MALFORMED-REQUEST",
    400,
    "The request is not valid HTTP or JSON, or a field is missing or of the "
    "wrong type.",
    "Correct the field that the message names." },
  { HeaderTooLarge,
    "LB-HEADER-TOO-LARGE",
    431,
    "The request's headers exceed the limit.",
    "Send fewer or shorter headers, or raise limits.header_bytes." },
  { BodyTooLarge,
    "LB-BODY-TOO-LARGE",
    413,
    "The request's body exceeds the limit.",
    "Send a shorter body, or raise limits.body_bytes." },
  { UnknownKey,
    "LB-UNKNOWN-KEY",
    401,
    "No contract holds a hash of the presented bearer key.",
    "Check the key, or add its hash to the client account's contract." },
  { ModelNotAllowed,
    "LB-MODEL-NOT-ALLOWED",
    403,
    "The client account's contract does not list the model or version.",
    "Ask for a listed model, or change the contract." },
  { ServiceNotAllowed,
    "LB-SERVICE-NOT-ALLOWED",
    403,
    "The client account's contract does not list the service.",
    "Call a listed service, or change the contract." },
  { UnknownPath,
    "LB-UNKNOWN-PATH",
    404,
    "No interface has this path or method.",
    "See docs/INTERFACES.md for the paths." },
  { RateExceeded,
    "LB-RATE-EXCEEDED",
    429,
    "The client account has used its rate and burst.",
    "Wait for Retry-After, or raise the contract's rate or burst." },
  { DeadlineUnreachable,
    "LB-DEADLINE-UNREACHABLE",
    503,
    "The work ahead can't let the request finish in its deadline.",
    "Wait for Retry-After; add backend servers if this lasts." },
  { NoServer,
    "LB-NO-SERVER",
    503,
    "No live backend server offers what the request needs.",
    "Check `laburnumctl status`; start a backend server for the model or "
    "service." },
  { ServerLeaving,
    "LB-SERVER-LEAVING",
    503,
    "The backend server takes no new work.",
    "Repeat the request; another backend server takes it." },
  { ServerLost,
    "LB-SERVER-LOST",
    502,
    "The way to the backend server was lost while the request was there.",
    "Repeat only if the verdict or the request's kind allows it." },
  { ServerFailed,
    "LB-SERVER-FAILED",
    502,
    "The backend server ended the request with a failure.",
    "Look at the backend server's own log." },
  { AttemptRevoked,
    "LB-ATTEMPT-REVOKED",
    503,
    "The attempt was revoked before it started.",
    "Repeat the request." },
  { AttemptsFull,
    "LB-ATTEMPTS-FULL",
    503,
    "The agent's attempt table is full.",
    "Wait for Retry-After, or raise limits.attempts." },
  { QueueFull,
    "LB-QUEUE-FULL",
    503,
    "The backend server's queue is full for this client account.",
    "Wait for Retry-After." },
  { ClaimPending,
    "LB-CLAIM-PENDING",
    409,
    "A request with the same Idempotency-Key is in progress or its outcome is "
    "unknown.",
    "Ask again later with the same key." },
  { ClaimUnavailable,
    "LB-CLAIM-UNAVAILABLE",
    503,
    "The platform can't record the Idempotency-Key now.",
    "Wait for Retry-After and send the same key again." },
  { KeyReused,
    "LB-KEY-REUSED",
    422,
    "The Idempotency-Key was used with another request.",
    "Use a new key for a new request." },
  { Quarantined,
    "LB-QUARANTINED",
    422,
    "The request is in quarantine, since backend servers crashed while they "
    "ran it.",
    "Change the request; the quarantine ends by itself." },
  { DeadlinePassed,
    "LB-DEADLINE-PASSED",
    504,
    "The request's deadline passed.",
    "Allow more time, or look for overload in /metrics." },
  { CallerGone,
    "LB-CALLER-GONE",
    499,
    "The caller closed the connection.",
    "None needed." },
  { NotReady,
    "LB-NOT-READY",
    503,
    "The daemon has no configuration yet or is stopping.",
    "Wait; check the platform and the peers if this lasts." },
  { InvalidSettings,
    "LB-INVALID-SETTINGS",
    400,
    "A settings file has an unknown, missing or wrong field.",
    "Correct the field that the message names." },
  { InvalidObject,
    "LB-INVALID-OBJECT",
    400,
    "A configuration object has an unknown, missing or wrong field.",
    "Correct the field that the message names." },
  { Conflict,
    "LB-CONFLICT",
    412,
    "The object was changed by another operator since it was read.",
    "Read the present version, merge and apply again." },
  { PlatformUnavailable,
    "LB-PLATFORM-UNAVAILABLE",
    503,
    "The platform's object API does not answer in time.",
    "Check the platform; the daemons go on with their last configuration." },
  { DamagedFrame,
    "LB-DAMAGED-FRAME",
    400,
    "A frame is too long, fails verification or is of an unknown kind.",
    "Check that both daemons run compatible versions." },
  { VersionMismatch,
    "LB-VERSION-MISMATCH",
    400,
    "The peer speaks an incompatible protocol version.",
    "Upgrade the older daemon." },
  { NotAuthenticated,
    "LB-NOT-AUTHENTICATED",
    401,
    "The peer did not prove that it knows the cluster key.",
    "Set the same control.key on all daemons." },
  { ObjectNotFound,
    "LB-OBJECT-NOT-FOUND",
    404,
    "The platform holds no such object.",
    "Check kind and name with `laburnumctl list`." },
  { IncompleteAnswer,
    "LB-INCOMPLETE-ANSWER",
    502,
    "The answer could not be completed; what was delivered is only a part.",
    "Repeat the request." },
  { RequestTimeout,
    "LB-REQUEST-TIMEOUT",
    408,
    "The caller sent its request too slowly.",
    "Send the request faster, or raise limits.read_timeout_ms." },
  { ObjectTooLarge,
    "LB-OBJECT-TOO-LARGE",
    413,
    "The value exceeds the platform's limit of a megabyte.",
    "Split the object." },
  { OldOrder,
    "LB-OLD-ORDER",
    409,
    "A holder of the duty with a higher fencing number has given an order.",
    "None needed; the present holder orders what is missing." },
  { OrderRefused,
    "LB-ORDER-REFUSED",
    409,
    "The backend server can't load the model now, or failed to.",
    "Look at the agent's and the backend server's logs; the order is given "
    "again while the model is wanted." },
  { ServerRateLimited,
    "LB-SERVER-RATE-LIMITED",
    503,
    "The backend servers accept no more requests per second.",
    "Wait for Retry-After; look for server_rate_limit in the log of the "
    "gateways, and at the backend servers that it names." },
  { MemoryLow,
    "LB-MEMORY-LOW",
    503,
    "The daemon holds as much for its clients as its memory allows.",
    "Wait for Retry-After; look for clients that send or read too slowly." },
} };

class Category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "laburnum"; }

  std::string message(int aValue) const override
  {
    const ErrorInfo& facts = info(static_cast<Error>(aValue));
    return std::string(facts.id) + ": " + std::string(facts.cause);
  }
};

} // namespace

std::span<const ErrorInfo>
errorTable()
{
  return kErrors;
}

const ErrorInfo&
info(Error aError)
{
  const auto index = static_cast<std::size_t>(aError);
  return index < kErrors.size() ? kErrors[index] : kErrors[0];
}

const std::error_category&
errorCategory() noexcept
{
  static const Category category;
  return category;
}

std::error_code
make_error_code(Error aError) noexcept
{
  return { static_cast<int>(aError), errorCategory() };
}

} // namespace laburnum
