#pragma once

#include "laburnum/coordination/claim_shard.hpp"

namespace laburnum::coordination {

/// What an entry does next with a request that has an Idempotency-Key.
enum class KeyedStep : std::uint8_t
{
  Run,    ///< The claim is ours: run the attempt that it names.
  Adopt,  ///< Its holder is gone: take it over, then ask after its attempt.
  Wait,   ///< Its holder is at work; ask the platform again later.
  Answer, ///< Answer from the claim: its outcome, or that the key was reused.
  Refuse  ///< The platform does not answer: nothing may run.
};

/// Decides from the answer to a claim. aHolderGone may be wrong: a holder that
/// is only cut off can't run its attempt any more once the agent was asked.
/// Pre: none. Thread safety: any thread.
inline KeyedStep
keyedStep(const AnswerClaim& aAnswer,
          std::uint64_t aRequestHash,
          bool aHolderGone)
{
  switch (aAnswer.status) {
    case ClaimStatus::Granted:
      return KeyedStep::Run;
    case ClaimStatus::Unavailable:
      return KeyedStep::Refuse;
    case ClaimStatus::Held:
      break;
  }
  if (aAnswer.claim.requestHash != aRequestHash || aAnswer.claim.outcome) {
    return KeyedStep::Answer;
  }
  return aHolderGone ? KeyedStep::Adopt : KeyedStep::Wait;
}

} // namespace laburnum::coordination
