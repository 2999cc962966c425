#include "laburnum/experts/map_switch.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace laburnum::experts;

namespace {

/// A message that was sent but not delivered.
struct MessageInFlight
{
  Endpoint from;
  Endpoint to;
  SwitchMessage message;

  auto operator<=>(const MessageInFlight&) const = default;
};

/// State of a whole group. Comparable, so that each state is visited once.
struct GroupState
{
  std::vector<RankVote> ranks;
  SwitchCoordinator coordinator;
  std::multiset<MessageInFlight> inFlight;
  std::vector<StepNumber> steps;
  std::map<StepNumber, Epoch> epochs; ///< Of the first rank in each step.
  int losses = 0;
  bool hasGivenUp = false;
  bool isReplaced = false;
  bool isMixed = false;

  auto operator<=>(const GroupState&) const = default;
};

/// Visits every state of a group that is reachable, within the bounds, by any
/// order of message deliveries, message losses, steps, a coordinator that gives
/// up, and a coordinator that is replaced.
class StateExplorer
{
public:
  StateExplorer(std::size_t aRanks,
                SwitchRules aRules,
                int aMaxLosses,
                bool aReplacesCoordinator)
    : mRules(aRules)
    , mReplacesCoordinator(aReplacesCoordinator)
    , mMaxLosses(aMaxLosses)
  {
    GroupState start{ .ranks = {},
                      .coordinator = SwitchCoordinator(aRanks, aRules) };
    for (Rank rank = 0; rank < aRanks; ++rank) {
      start.ranks.emplace_back(rank, aRanks, aRules);
    }
    start.steps.assign(aRanks, 0);
    send(start,
         CoordinatorEndpoint{},
         start.coordinator.begin({ .epoch = 1, .firstStep = 1, .fence = 1 }));
    visit(start);
    while (!mOpen.empty() && mSeen.size() < kMaxStates) {
      const GroupState state = mOpen.back();
      mOpen.pop_back();
      expand(state);
    }
  }

  std::size_t stateCount() const { return mSeen.size(); }
  /// Number of states in which a step ran with two maps.
  std::size_t mixedCount() const { return mMixedCount; }
  /// Number of states in which a rank can no longer continue.
  std::size_t blockedCount() const { return mBlockedCount; }
  /// True if all reachable states were visited.
  bool isComplete() const { return mOpen.empty(); }

private:
  static constexpr std::size_t kMaxStates = 400'000;
  static constexpr StepNumber kSteps = 2;

  static void send(GroupState& aState,
                   const Endpoint& aFrom,
                   const std::vector<OutgoingMessage>& aOut)
  {
    for (const OutgoingMessage& out : aOut) {
      aState.inFlight.insert(
        { .from = aFrom, .to = out.to, .message = out.message });
    }
  }

  static void deliver(GroupState& aState, const MessageInFlight& aMessage)
  {
    if (const Rank* rank = std::get_if<Rank>(&aMessage.to)) {
      send(aState,
           *rank,
           aState.ranks[*rank].handle(aMessage.from, aMessage.message));
    } else if (const Rank* from = std::get_if<Rank>(&aMessage.from)) {
      send(aState,
           CoordinatorEndpoint{},
           aState.coordinator.handle(*from, aMessage.message));
    }
  }

  /// Lets a rank begin its next step if all ranks have finished the previous
  /// one and it knows the map to use. Returns false if it has to wait.
  static bool step(GroupState& aState, Rank aRank)
  {
    const StepNumber next = aState.steps[aRank];
    for (const StepNumber other : aState.steps) {
      if (other < next) {
        return false;
      }
    }
    const auto epoch = aState.ranks[aRank].epochFor(next);
    if (!epoch) {
      return false;
    }
    const auto [found, isFirst] = aState.epochs.emplace(next, *epoch);
    aState.isMixed = aState.isMixed || found->second != *epoch;
    ++aState.steps[aRank];
    return true;
  }

  void visit(const GroupState& aState)
  {
    if (!mSeen.insert(aState).second) {
      return;
    }
    mMixedCount += aState.isMixed ? 1 : 0;
    mBlockedCount += aState.inFlight.empty() && !canProgress(aState) ? 1 : 0;
    mOpen.push_back(aState);
  }

  /// Returns true if all ranks can continue once no more messages are lost.
  static bool canProgress(GroupState aState)
  {
    for (int round = 0; round < 4; ++round) {
      for (Rank rank = 0; rank < aState.ranks.size(); ++rank) {
        send(aState, rank, aState.ranks[rank].requestOutcome());
      }
      while (!aState.inFlight.empty()) {
        const MessageInFlight message = *aState.inFlight.begin();
        aState.inFlight.erase(aState.inFlight.begin());
        deliver(aState, message);
      }
    }
    for (RankVote& rank : aState.ranks) {
      if (!rank.epochFor(kSteps + 1)) {
        return false;
      }
    }
    return true;
  }

  void expand(const GroupState& aState)
  {
    const MessageInFlight* last = nullptr;
    for (const MessageInFlight& message : aState.inFlight) {
      if (last != nullptr && *last == message) {
        continue;
      }
      last = &message;
      GroupState next = aState;
      next.inFlight.erase(next.inFlight.find(message));
      if (aState.losses < mMaxLosses) {
        GroupState lost = next;
        ++lost.losses;
        visit(lost);
      }
      deliver(next, message);
      visit(next);
    }
    for (Rank rank = 0; rank < aState.ranks.size(); ++rank) {
      GroupState next = aState;
      if (aState.steps[rank] < kSteps && step(next, rank)) {
        visit(next);
      }
      GroupState asking = aState;
      if (aState.inFlight.empty()) {
        send(asking, rank, asking.ranks[rank].requestOutcome());
        visit(asking);
      }
    }
    if (!aState.hasGivenUp && !aState.coordinator.isDone()) {
      GroupState next = aState;
      next.hasGivenUp = true;
      send(next, CoordinatorEndpoint{}, next.coordinator.giveUp());
      visit(next);
    }
    if (mReplacesCoordinator && !aState.isReplaced) {
      // The coordinator is lost; a new one proposes an epoch of its own.
      GroupState next = aState;
      next.isReplaced = true;
      next.coordinator = SwitchCoordinator(next.ranks.size(), mRules);
      send(next,
           CoordinatorEndpoint{},
           next.coordinator.begin({ .epoch = 2, .firstStep = 2, .fence = 2 }));
      visit(next);
    }
  }

  SwitchRules mRules;
  bool mReplacesCoordinator;
  int mMaxLosses;
  std::set<GroupState> mSeen;
  std::vector<GroupState> mOpen;
  std::size_t mMixedCount = 0;
  std::size_t mBlockedCount = 0;
};

} // namespace

TEST_CASE("MapSwitch, every interleaving, mixes no step and makes progress")
{
  struct Row
  {
    std::size_t ranks;
    int losses;
    bool replacesCoordinator;
  };
  for (const Row& row :
       { Row{ 2, 2, false }, Row{ 2, 0, true }, Row{ 3, 0, false } }) {
    const StateExplorer explorer(
      row.ranks, {}, row.losses, row.replacesCoordinator);
    WARN(row.ranks << " ranks, " << row.losses
                   << " losses: " << explorer.stateCount() << " states");
    CHECK(explorer.isComplete());
    CHECK(explorer.mixedCount() == 0);
    CHECK(explorer.blockedCount() == 0);
  }
}

TEST_CASE("MapSwitch, a rule turned off, mixes steps")
{
  CHECK(StateExplorer(2, { .armedRankWaits = false }, 1, false).mixedCount() >
        0);
  CHECK(StateExplorer(2, { .abortNeedsPledge = false }, 1, false).mixedCount() >
        0);
}
