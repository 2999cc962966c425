#pragma once

#include "laburnum/coordination/claim_shard.hpp"

namespace laburnum::coordination {

/// What an entry does next with a request that has an Idempotency-Key.
enum class IdempotencyStep : std::uint8_t
{
  Run,      ///< This request holds the claim: execute the claimed attempt.
  TakeOver, ///< The holder is gone: take its claim over, then ask the agent
            ///< about the claimed attempt.
  Wait,     ///< The holder is still at work; query the platform again later.
  Answer,   ///< Answer from the claim: with its outcome, or with an error if
            ///< the key was used for a different request.
  Reject    ///< The platform does not answer: the request must not be executed.
};

/// Decides the next step from the result of an attempt to acquire the claim.
/// aHolderGone may be wrong: a holder that is merely partitioned cannot execute
/// its attempt any more once the agent has been asked about it.
/// Thread safety: any thread.
inline IdempotencyStep
nextIdempotencyStep(const ClaimResult& aResult,
                    std::uint64_t aRequestHash,
                    bool aHolderGone)
{
  switch (aResult.status) {
    case ClaimStatus::Granted:
      return IdempotencyStep::Run;
    case ClaimStatus::Unavailable:
      return IdempotencyStep::Reject;
    case ClaimStatus::Held:
      break;
  }
  if (aResult.claim.requestHash != aRequestHash || aResult.claim.outcome) {
    return IdempotencyStep::Answer;
  }
  return aHolderGone ? IdempotencyStep::TakeOver : IdempotencyStep::Wait;
}

} // namespace laburnum::coordination
