#include "laburnum/experts/map_switch.hpp"

#include <algorithm>

namespace laburnum::experts {

RankVote::RankVote(Rank aOwnRank, std::size_t aRankCount, SwitchRules aRules)
  : mOwnRank(aOwnRank)
  , mRankCount(aRankCount)
  , mRules(aRules)
{
  mEpochByStep[0] = 0;
}

std::vector<OutgoingMessage>
RankVote::handle(const Endpoint& aFrom, const SwitchMessage& aMessage)
{
  return std::visit(
    [&](const auto& aAlternative) { return on(aFrom, aAlternative); },
    aMessage);
}

std::optional<Epoch>
RankVote::epochFor(StepNumber aStep)
{
  if (mArmed && aStep >= mArmed->firstStep && mRules.armedRankWaits) {
    return std::nullopt;
  }
  mNextStep = std::max(mNextStep, aStep + 1);
  return std::prev(mEpochByStep.upper_bound(aStep))->second;
}

std::vector<OutgoingMessage>
RankVote::requestOutcome() const
{
  Messages messages;
  if (!mArmed) {
    return messages;
  }
  for (Rank rank = 0; rank < mRankCount; ++rank) {
    if (rank != mOwnRank) {
      messages.push_back(
        { .to = rank, .message = AskOutcome{ mArmed->epoch } });
    }
  }
  return messages;
}

void
RankVote::commit(Epoch aEpoch)
{
  if (!mArmed || mArmed->epoch != aEpoch) {
    return;
  }
  mCommitted = aEpoch;
  mEpochByStep[mArmed->firstStep] = aEpoch;
  mArmed.reset();
  mKnownArmed.clear();
}

void
RankVote::abort(Epoch aEpoch)
{
  mPledged.insert(aEpoch);
  if (mArmed && mArmed->epoch == aEpoch) {
    mArmed.reset();
    mKnownArmed.clear();
  }
}

RankVote::Messages
RankVote::on(const Endpoint& aFrom, const Arm& aMessage)
{
  const Proposal& proposal = aMessage.proposal;
  if (proposal.epoch == mCommitted ||
      (mArmed && mArmed->epoch == proposal.epoch)) {
    return { { .to = aFrom, .message = Armed{ proposal.epoch } } };
  }
  const bool isStale =
    proposal.epoch < mCommitted || proposal.fence < mFencingToken;
  const bool isLate = proposal.firstStep < mNextStep;
  if (isStale || isLate || mArmed || mPledged.contains(proposal.epoch)) {
    // A refusal is final: the epoch cannot be committed without this rank.
    mPledged.insert(proposal.epoch);
    return { { .to = aFrom, .message = Pledged{ proposal.epoch } } };
  }
  mFencingToken = proposal.fence;
  mArmed = proposal;
  mKnownArmed = { mOwnRank };
  return { { .to = aFrom, .message = Armed{ proposal.epoch } } };
}

RankVote::Messages
RankVote::on(const Endpoint& aFrom, const Armed& aMessage)
{
  const Rank* rank = std::get_if<Rank>(&aFrom);
  if (rank == nullptr || !mArmed || mArmed->epoch != aMessage.epoch) {
    return {};
  }
  mKnownArmed.insert(*rank);
  if (mKnownArmed.size() == mRankCount) {
    commit(aMessage.epoch);
  }
  return {};
}

RankVote::Messages
RankVote::on(const Endpoint&, const Pledged& aMessage)
{
  abort(aMessage.epoch);
  return {};
}

RankVote::Messages
RankVote::on(const Endpoint&, const Commit& aMessage)
{
  commit(aMessage.epoch);
  return {};
}

RankVote::Messages
RankVote::on(const Endpoint&, const Abort& aMessage)
{
  abort(aMessage.epoch);
  return {};
}

RankVote::Messages
RankVote::on(const Endpoint& aFrom, const AskOutcome& aMessage)
{
  if (mCommitted >= aMessage.epoch) {
    return { { .to = aFrom, .message = Commit{ aMessage.epoch } } };
  }
  if (mArmed && mArmed->epoch == aMessage.epoch) {
    return { { .to = aFrom, .message = Armed{ aMessage.epoch } } };
  }
  mPledged.insert(aMessage.epoch);
  return { { .to = aFrom, .message = Pledged{ aMessage.epoch } } };
}

SwitchCoordinator::SwitchCoordinator(std::size_t aRankCount, SwitchRules aRules)
  : mRankCount(aRankCount)
  , mRules(aRules)
{
}

std::vector<OutgoingMessage>
SwitchCoordinator::toAll(const SwitchMessage& aMessage) const
{
  std::vector<OutgoingMessage> messages;
  for (Rank rank = 0; rank < mRankCount; ++rank) {
    messages.push_back({ .to = rank, .message = aMessage });
  }
  return messages;
}

std::vector<OutgoingMessage>
SwitchCoordinator::begin(const Proposal& aProposal)
{
  mProposal = aProposal;
  mArmed.clear();
  return toAll(Arm{ aProposal });
}

std::vector<OutgoingMessage>
SwitchCoordinator::handle(Rank aFrom, const SwitchMessage& aMessage)
{
  if (!mProposal) {
    return {};
  }
  const Epoch epoch = mProposal->epoch;
  if (const auto* armed = std::get_if<Armed>(&aMessage);
      armed && armed->epoch == epoch) {
    mArmed.insert(aFrom);
    if (mArmed.size() < mRankCount) {
      return {};
    }
    mProposal.reset();
    return toAll(Commit{ epoch });
  }
  if (const auto* pledged = std::get_if<Pledged>(&aMessage);
      pledged && pledged->epoch == epoch) {
    mProposal.reset();
    return toAll(Abort{ epoch });
  }
  if (const auto* commit = std::get_if<Commit>(&aMessage);
      commit && commit->epoch == epoch) {
    mProposal.reset();
    return toAll(Commit{ epoch });
  }
  return {};
}

std::vector<OutgoingMessage>
SwitchCoordinator::repeat() const
{
  std::vector<OutgoingMessage> messages;
  for (Rank rank = 0; mProposal && rank < mRankCount; ++rank) {
    if (!mArmed.contains(rank)) {
      messages.push_back({ .to = rank, .message = Arm{ *mProposal } });
    }
  }
  return messages;
}

std::vector<OutgoingMessage>
SwitchCoordinator::giveUp()
{
  if (!mProposal) {
    return {};
  }
  const Epoch epoch = mProposal->epoch;
  if (!mRules.abortNeedsPledge) {
    mProposal.reset();
    return toAll(Abort{ epoch });
  }
  // A rank that is not armed answers with a pledge, which aborts the change. If
  // all ranks are armed, it is committed.
  return toAll(AskOutcome{ epoch });
}

} // namespace laburnum::experts
