#pragma once

#include "laburnum/experts/hold_steps.hpp"
#include "laburnum/experts/switch_envelope.hpp"
#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace laburnum::experts {

/// A map version that a rank will use from a given step on.
struct ArmedMap
{
  std::uint64_t version = 0;
  std::uint64_t step = 0; ///< First step with the version.

  auto operator<=>(const ArmedMap&) const = default;
};

/// State of one rank as its engine reports it to the steward beside it, which
/// makes it current when it is read.
struct RankState
{
  /// Incarnation of the group. A group that forms again has a new epoch and no
  /// state of the old one.
  std::uint64_t epoch = 0;
  std::uint64_t step = 0;                ///< Last step that began.
  std::uint64_t inForce = 0;             ///< Map version in use.
  std::optional<std::uint64_t> prepared; ///< Map version with loaded weights.
  std::optional<ArmedMap> armed;
  std::optional<std::uint64_t> held; ///< Step that waits for a release.
};

// Orders to the engine of one rank.

/// A map that the orders to all ranks share. The map of a large group takes
/// longer to copy than its order to send.
using SharedGroupMap = std::shared_ptr<const GroupMap>;

/// Load the weights that a map version needs.
struct PrepareOrder
{
  std::uint64_t version = 0;
  SharedGroupMap map; ///< Never null.
};
/// Use a prepared version from a step on.
struct ArmOrder
{
  ArmedMap armed;
};
/// Cancel an armed version.
struct DisarmOrder
{
  std::uint64_t version = 0;
};
/// Do not begin a step before its release.
struct HoldOrder
{
  std::uint64_t step = 0;
};
/// Allow a held step to begin.
struct ReleaseOrder
{
  std::uint64_t step = 0;
};

using EngineOrder =
  std::variant<PrepareOrder, ArmOrder, DisarmOrder, HoldOrder, ReleaseOrder>;

struct RankOrder
{
  std::size_t rank = 0;
  EngineOrder order;
  /// Epoch of the states from which the order was decided. It must reach the
  /// engine, which refuses orders of another epoch.
  std::uint64_t epoch = 0;
};

/// Safety rules of `HeldSwitch`. Tests turn single rules off to show that each
/// is necessary.
struct HeldSwitchRules
{
  /// Release the step only when all ranks are armed; off: when more than half
  /// are.
  bool waitsForAllArmed = true;
  /// Undo on a rank by disarming it and preparing a later version; off: by
  /// disarming only.
  bool undoesByPreparing = true;
  /// Disarm ranks only when another rank can no longer be armed; off: at once.
  bool disarmsAfterDecision = true;
  /// Hold only steps that no order has named; off: the next suitable step.
  bool holdsEachStepOnce = true;
};

struct HeldSwitchOptions
{
  HeldSwitchRules rules;
  /// Minimum time from the hold to the first step with the new map. The lead is
  /// longer where it took longer to arm all ranks in earlier changes, or the
  /// group waits at the held step.
  Duration switchLead = milliseconds(120);
  /// Replaces `switchLead` for `lossWindow` after an unanswered order, so that
  /// an order can be repeated a few times before the group waits.
  Duration switchLeadAfterLoss = milliseconds(600);
  double armTimeMargin = 1.25;       ///< Lead / time to arm all ranks.
  double armTimeSmoothing = 0.3;     ///< Weight of a shorter time to arm.
  Duration lossWindow = seconds(12); ///< Maximum delay of a late order.
  std::uint64_t minLeadSteps = 2;    ///< Minimum of the lead, in steps.
  /// Interval at which orders are repeated. The steward of a rank answers
  /// within a few ms, its engine at once.
  Duration retryInterval = milliseconds(60);
  /// Orders to arm or to undo are not repeated before this time has passed
  /// without a further answer.
  Duration answerPause = milliseconds(40);
  /// Interval at which prepare orders are repeated, in addition to the expected
  /// copy time. With half of the orders lost, 16 ranks take five rounds.
  Duration prepareRetryInterval = milliseconds(80);
  Duration prepareTimeout = seconds(4); ///< Then the change is abandoned.
  Duration holdTimeout = milliseconds(900);
  /// Time without a further armed rank, after which the change is undone.
  Duration armTimeout = milliseconds(1500);
  /// Time after which a hold that belongs to no running change is taken over.
  /// It must be several times the interval at which states are read.
  Duration takeoverDelay = milliseconds(500);
};

enum class SwitchPhase : std::uint8_t
{
  Idle,
  Preparing, ///< Ranks copy the experts that the new map adds to them.
  Holding,   ///< The own rank is told to hold the first step of the new map.
  Arming,    ///< All ranks are told to switch at the held step.
  Undoing,   ///< Ranks are brought to a state in which they cannot switch.
  Releasing  ///< The held step may begin.
};

inline constexpr EnumNames<SwitchPhase, 6> kSwitchPhaseNames{
  { { SwitchPhase::Idle, "idle" },
    { SwitchPhase::Preparing, "preparing" },
    { SwitchPhase::Holding, "holding" },
    { SwitchPhase::Arming, "arming" },
    { SwitchPhase::Undoing, "undoing" },
    { SwitchPhase::Releasing, "releasing" } }
};

/// Switches all ranks of a group to a new expert map at the same step, although
/// ranks do not compare their maps and orders may go unanswered and be executed
/// seconds later. Input are the rank states, output are orders to ranks; it
/// does no I/O. Not thread-safe: all calls come from the loop thread.
///
/// One rank, the holder, holds the first step of the new map. It releases the
/// step only when
/// - every rank is armed for that step, or
/// - every rank is unarmed and has a later version prepared, which makes it
///   impossible to arm the abandoned version.
/// So no step runs with two maps. No two hold orders name the same step, so
/// that a late release for an earlier change does not end the hold of this one.
///
/// Decisions depend on rank states alone. A restarted holder therefore
/// continues from the states that it reads, and another instance can take over
/// the hold of one that has stopped responding, so that the group does not stay
/// blocked. Two instances that act at once reach the same result: an armed rank
/// is disarmed only after another rank was seen that can no longer be armed,
/// and a switch is released only after every rank was seen armed; these exclude
/// each other.
class HeldSwitch
{
public:
  /// aOwnRank is the rank that holds the step. It may be remote; then
  /// aHoldSteps has observed nothing, and only holds that exist are taken over.
  /// @pre aOwnRank < aRankCount; aHoldSteps belongs to that rank and outlives
  /// this object.
  HeldSwitch(std::size_t aOwnRank,
             std::size_t aRankCount,
             HoldSteps& aHoldSteps,
             HeldSwitchOptions aOptions = {});

  /// Begins a change to a map; replaces a change that is still preparing.
  /// aCopyTime is the expected time to copy the experts.
  /// @pre `canBegin()`, and no rank has seen aVersion.
  void begin(std::uint64_t aVersion,
             GroupMap aMap,
             Instant aNow,
             Duration aCopyTime = {});

  /// Advances the change; call it periodically and when a state arrives.
  /// Returns the orders to send.
  ///
  /// aStates has the newest state of each rank, or nothing for a rank that
  /// cannot be reached. Outdated states only delay the change, since the
  /// conditions for a release stay true once they hold. aStepTime is the
  /// duration of a step, aUnusedVersion a version that no rank has seen, and
  /// aInForce the map in use.
  /// @pre aNow never decreases.
  std::vector<RankOrder> tick(
    Instant aNow,
    const std::vector<std::optional<RankState>>& aStates,
    Duration aStepTime,
    std::uint64_t aUnusedVersion,
    const GroupMap& aInForce);

  /// Returns true if no step is held and no rank is armed for a change.
  bool canBegin() const
  {
    return mPhase == SwitchPhase::Idle || mPhase == SwitchPhase::Preparing;
  }

  /// The map of the running change.
  /// @pre not `isIdle()`
  /// @pre `begin` was called.
  const GroupMap& targetMap() const { return *mMap; }

  bool isIdle() const { return mPhase == SwitchPhase::Idle; }
  SwitchPhase phase() const { return mPhase; }
  std::uint64_t version() const { return mVersion; }

private:
  using Orders = std::vector<RankOrder>;
  using States = std::vector<std::optional<RankState>>;

  /// Returns the orders of the present phase.
  Orders decide(Instant aNow,
                const States& aStates,
                Duration aStepTime,
                std::uint64_t aUnusedVersion,
                const GroupMap& aInForce);
  void enter(SwitchPhase aPhase, Instant aNow);
  /// Records that all ranks are armed.
  void recordArmTime(Instant aNow);
  /// Time from now to the step to hold.
  Duration switchLead(Instant aNow) const;
  /// Records how many ranks have carried out the orders of the phase.
  void recordAnswers(std::size_t aAnswers, Instant aNow);
  /// Returns true, and records the time, if no order was sent to the rank
  /// within the interval and no answers are arriving, which a repetition would
  /// only delay.
  bool startAttempt(std::size_t aRank, Instant aNow, Duration aInterval);
  Orders prepare(Instant aNow, const States& aStates);
  Orders hold(Instant aNow, const States& aStates, Duration aStepTime);
  Orders arm(Instant aNow, const States& aStates);
  Orders undo(Instant aNow, const States& aStates, const GroupMap& aInForce);
  Orders release(Instant aNow, const States& aStates);
  /// Takes over a hold that belongs to no running change.
  bool recover(Instant aNow,
               const States& aStates,
               std::uint64_t aUnusedVersion);
  /// Returns true if an unarmed rank has a later version prepared.
  bool isSuperseded(const States& aStates) const;

  std::size_t mOwnRank;
  std::size_t mRankCount;
  HoldSteps* mHoldSteps; ///< Of the own rank.
  HeldSwitchOptions mOptions;
  SwitchPhase mPhase = SwitchPhase::Idle;
  std::uint64_t mEpoch = 0;
  std::uint64_t mVersion = 0;
  std::uint64_t mUndoVersion = 0;
  std::uint64_t mStep = 0; ///< Held for the present change; 0 for none.
  std::optional<Instant> mHoldSeenAt; ///< First sight of a hold while idle.
  std::optional<Instant> mArmRetryAt; ///< Last repetition of an arm order.
  SharedGroupMap mMap;                ///< Null before the first change.
  Duration mCopyTime{ 0 };
  Instant mPhaseStart{};
  std::map<std::size_t, Instant> mSentAt; ///< Last order of the phase, by rank.
  Duration mArmTime{ 0 };   ///< That it took to arm all ranks, smoothed.
  std::size_t mAnswers = 0; ///< Ranks that have carried out the phase's orders.
  Instant mLastAnswerAt{};  ///< When `mAnswers` rose, or the phase began.
};

} // namespace laburnum::experts
