#pragma once

#include "laburnum/kernel/time.hpp"
#include "laburnum/kernel/verdict.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace laburnum {

/// Stable error identifiers; docs/ERRORS.md gives cause and remedy of each.
enum class Error : std::uint16_t
{
  None = 0,
  MalformedRequest = 1,
  HeaderTooLarge = 2,
  BodyTooLarge = 3,
  UnknownKey = 4,
  ModelNotAllowed = 5,
  ServiceNotAllowed = 6,
  UnknownPath = 7,
  RateExceeded = 8,
  DeadlineUnreachable = 9,
  NoServer = 10,
  ServerLeaving = 11,
  ServerLost = 12,
  ServerFailed = 13,
  AttemptRevoked = 14,
  AttemptsFull = 15,
  QueueFull = 16,
  ClaimPending = 17,
  ClaimUnavailable = 18,
  KeyReused = 19,
  Quarantined = 20,
  DeadlinePassed = 21,
  CallerGone = 22,
  NotReady = 23,
  InvalidSettings = 24,
  InvalidObject = 25,
  Conflict = 26,
  PlatformUnavailable = 27,
  DamagedFrame = 28,
  VersionMismatch = 29,
  NotAuthenticated = 30,
  ObjectNotFound = 31,
  IncompleteAnswer = 32,
  RequestTimeout = 33,
  ObjectTooLarge = 34,
  OldOrder = 35,
  OrderRefused = 36,
  ServerRateLimited = 37,
  MemoryLow = 38
};

/// The fixed facts about an error identifier.
struct ErrorInfo
{
  Error error;
  std::string_view id;     ///< For example "LB-RATE-EXCEEDED".
  unsigned status;         ///< HTTP status shown to callers.
  std::string_view cause;  ///< One sentence.
  std::string_view remedy; ///< One sentence.
};

/// Every error in order of its number. Pre: none. Thread safety: any thread.
std::span<const ErrorInfo>
errorTable();

/// The facts of one error. Pre: none. Thread safety: any thread.
const ErrorInfo&
info(Error aError);

/// The category of laburnum's error codes.
/// Pre: none. Thread safety: any thread.
const std::error_category&
errorCategory() noexcept;

/// Lets `Error` convert to `std::error_code`. Thread safety: any thread.
std::error_code
make_error_code(Error aError) noexcept; // NOLINT(readability-identifier-naming)

/// Why a request or command did not succeed, and whether it may have run.
struct Failure
{
  Error error = Error::None;
  Verdict verdict = Verdict::NotRun;
  Duration retryAfter{ 0 }; ///< Zero means that no advice is given.
  std::string detail;       ///< Names field and place where that applies.
};

} // namespace laburnum

template<>
struct std::is_error_code_enum<laburnum::Error> : std::true_type
{
};
