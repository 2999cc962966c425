#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace laburnum::experts {

// Two-phase commit of a new expert map by the ranks of a group. Every rank
// votes with `Armed` (yes) or `Pledged` (no); the change is committed if and
// only if all ranks are armed. Ranks can learn the outcome from each other, so
// that the loss of the coordinator does not block them.

using Rank = std::uint32_t;
using Epoch = std::uint64_t;
using StepNumber = std::uint64_t;

/// A change of the group's map: epoch `epoch` is used from step `firstStep` on.
/// A rank refuses a proposal with a lower fencing token than it has seen.
struct Proposal
{
  Epoch epoch = 0;
  StepNumber firstStep = 0;
  std::uint64_t fence = 0;

  auto operator<=>(const Proposal&) const = default;
};

// Messages between coordinator and ranks, and among ranks.

/// Requests a rank's vote on a proposal.
struct Arm
{
  Proposal proposal;

  auto operator<=>(const Arm&) const = default;
};
/// Vote for the epoch: the rank waits for the outcome before the first step.
struct Armed
{
  Epoch epoch = 0;

  auto operator<=>(const Armed&) const = default;
};
/// Vote against the epoch: the rank will never arm it.
struct Pledged
{
  Epoch epoch = 0;

  auto operator<=>(const Pledged&) const = default;
};
struct Commit
{
  Epoch epoch = 0;

  auto operator<=>(const Commit&) const = default;
};
struct Abort
{
  Epoch epoch = 0;

  auto operator<=>(const Abort&) const = default;
};
/// Asks a rank for the outcome. A rank that is not armed answers `Pledged`,
/// which decides the outcome.
struct AskOutcome
{
  Epoch epoch = 0;

  auto operator<=>(const AskOutcome&) const = default;
};

using SwitchMessage =
  std::variant<Arm, Armed, Pledged, Commit, Abort, AskOutcome>;

/// The coordinator as sender or receiver of a message.
struct CoordinatorEndpoint
{
  auto operator<=>(const CoordinatorEndpoint&) const = default;
};
/// Sender or receiver of a message: a rank or the coordinator.
using Endpoint = std::variant<Rank, CoordinatorEndpoint>;

struct OutgoingMessage
{
  Endpoint to;
  SwitchMessage message;
};

/// Safety rules of the protocol. Tests and experiments turn single rules off to
/// show that each is necessary.
struct SwitchRules
{
  /// An armed rank waits for the outcome; off: it continues with the old map.
  bool armedRankWaits = true;
  /// Only a rank's pledge allows an abort; off: the coordinator may abort.
  bool abortNeedsPledge = true;

  auto operator<=>(const SwitchRules&) const = default;
};

/// Participant of the two-phase commit: the vote of one rank, and the map epoch
/// that each of its steps uses. An armed rank does not start the first step of
/// the new epoch before it knows the outcome. Input and output are messages; it
/// does no I/O, so that an engine can embed it. Not thread-safe: all calls come
/// from the loop thread.
class RankVote
{
public:
  RankVote(Rank aOwnRank, std::size_t aRankCount, SwitchRules aRules = {});

  /// Handles a message of another rank or the coordinator; returns the answers.
  std::vector<OutgoingMessage> handle(const Endpoint& aFrom,
                                      const SwitchMessage& aMessage);

  /// Returns the epoch to use for a step, or nothing while the rank has to wait
  /// for an outcome.
  /// @pre aStep never decreases.
  std::optional<Epoch> epochFor(StepNumber aStep);

  /// Returns messages that ask all other ranks for the outcome; none if the
  /// rank is not armed.
  std::vector<OutgoingMessage> requestOutcome() const;

  Epoch committed() const { return mCommitted; }
  bool isArmed() const { return mArmed.has_value(); }

  auto operator<=>(const RankVote&) const = default;

private:
  using Messages = std::vector<OutgoingMessage>;

  Messages on(const Endpoint& aFrom, const Arm& aMessage);
  Messages on(const Endpoint& aFrom, const Armed& aMessage);
  Messages on(const Endpoint& aFrom, const Pledged& aMessage);
  Messages on(const Endpoint& aFrom, const Commit& aMessage);
  Messages on(const Endpoint& aFrom, const Abort& aMessage);
  Messages on(const Endpoint& aFrom, const AskOutcome& aMessage);
  void commit(Epoch aEpoch);
  void abort(Epoch aEpoch);

  Rank mOwnRank;
  std::size_t mRankCount;
  SwitchRules mRules;
  Epoch mCommitted = 0;
  std::map<StepNumber, Epoch> mEpochByStep; ///< Committed, by first step.
  std::optional<Proposal> mArmed;
  std::set<Rank> mKnownArmed; ///< Ranks known to be armed for `mArmed`.
  std::set<Epoch> mPledged;
  std::uint64_t mFencingToken = 0; ///< Highest one seen.
  StepNumber mNextStep = 0;
};

/// Coordinator of the two-phase commit: collects the votes of a group's ranks
/// and announces the outcome. The outcome depends on the votes alone, so a lost
/// coordinator can be replaced without its state. Input and output are
/// messages; it does no I/O. Not thread-safe: all calls come from the loop
/// thread.
class SwitchCoordinator
{
public:
  SwitchCoordinator(std::size_t aRankCount, SwitchRules aRules = {});

  /// Begins a change.
  /// @pre `isDone()`
  std::vector<OutgoingMessage> begin(const Proposal& aProposal);

  /// Handles a rank's answer.
  std::vector<OutgoingMessage> handle(Rank aFrom,
                                      const SwitchMessage& aMessage);

  /// Repeats the proposal to ranks that are not known to be armed.
  std::vector<OutgoingMessage> repeat() const;

  /// Tries to end a change that some ranks have not answered: asks all ranks
  /// for the outcome. The change is aborted only if a rank pledges.
  std::vector<OutgoingMessage> giveUp();

  bool isDone() const { return !mProposal; }

  auto operator<=>(const SwitchCoordinator&) const = default;

private:
  std::vector<OutgoingMessage> toAll(const SwitchMessage& aMessage) const;

  std::size_t mRankCount;
  SwitchRules mRules;
  std::optional<Proposal> mProposal;
  std::set<Rank> mArmed;
};

} // namespace laburnum::experts
