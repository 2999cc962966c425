#pragma once

#include "laburnum/kernel/error.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace laburnum::policy {

/// Identifies one attempt to run a request on a backend server. A retried
/// request has a new attempt each time. Unique across entries and restarts.
struct AttemptId
{
  std::uint64_t entry = 0;  ///< Incarnation of the entry that created it.
  std::uint64_t number = 0; ///< Increases within that incarnation.

  auto operator<=>(const AttemptId&) const = default;
};

/// State of an attempt at the agent in front of its backend server.
enum class AttemptState : std::uint8_t
{
  Unknown,  ///< The agent has no record of it.
  Queued,   ///< Waiting for a slot; can still be cancelled before it runs.
  Started,  ///< Sent to the backend server.
  Finished, ///< The backend server completed its response.
  Failed,   ///< Started, then failed or ended with an unknown outcome.
  Revoked   ///< Will never start; a delayed dispatch of it is refused.
};

inline constexpr EnumNames<AttemptState, 6> kAttemptStateNames{
  { { AttemptState::Unknown, "unknown" },
    { AttemptState::Queued, "queued" },
    { AttemptState::Started, "started" },
    { AttemptState::Finished, "finished" },
    { AttemptState::Failed, "failed" },
    { AttemptState::Revoked, "revoked" } }
};

/// Returns whether a request with an attempt in this state may have run, which
/// decides whether it can be retried. Thread-safe.
constexpr Verdict
verdictOf(AttemptState aState)
{
  switch (aState) {
    case AttemptState::Revoked:
      return Verdict::NotRun;
    case AttemptState::Finished:
      return Verdict::Ran;
    default:
      return Verdict::MayHaveRun;
  }
}

} // namespace laburnum::policy

template<>
struct std::hash<laburnum::policy::AttemptId>
{
  std::size_t operator()(const laburnum::policy::AttemptId& aId) const noexcept
  {
    return aId.entry * 0x9e3779b97f4a7c15ULL ^ aId.number;
  }
};
