#pragma once

#include "laburnum/experts/switch_note.hpp"
#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace laburnum::experts {

/// A version of the map that a rank will use from a step on.
struct ArmedMap
{
  std::uint64_t version = 0;
  std::uint64_t step = 0;

  auto operator<=>(const ArmedMap&) const = default;
};

/// What an engine says of itself as a rank, read beside it and therefore
/// fresh.
struct RankState
{
  std::uint64_t epoch = 0; ///< Of the group; a new one has forgotten all.
  std::uint64_t step = 0;  ///< The last one begun.
  std::uint64_t inForce = 0;
  std::optional<std::uint64_t> prepared;
  std::optional<ArmedMap> armed;
  std::optional<std::uint64_t> held; ///< The step that waits for a release.
};

// Orders to one rank.

struct PrepareOrder
{
  std::uint64_t version = 0;
  GroupMap map;
};
struct ArmOrder
{
  ArmedMap armed;
};
struct DisarmOrder
{
  std::uint64_t version = 0;
};
struct HoldOrder
{
  std::uint64_t step = 0;
};
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
};

/// Guards that the explorer of the tests turns off to show what each is for.
struct HeldSwitchRules
{
  bool waitsForAll = true;  ///< Off: released once half of the ranks are armed.
  bool undoPrepares = true; ///< Off: an undone rank is disarmed only.
  bool decidesFirst = true; ///< Off: armed ranks are disarmed at once.
};

struct HeldSwitchOptions
{
  HeldSwitchRules rules;
  /// Time from arming to the switch: enough for an order there and back, and
  /// after orders without an answer enough to send one a few times more before
  /// the group has to wait.
  Duration lead = milliseconds(120);
  Duration leadAfterLoss = milliseconds(600);
  Duration lossMemory = seconds(12); ///< The longest an order is late.
  std::uint64_t leastLead = 2;       ///< Passes.
  /// An order is sent again after it; the steward there answers within a few
  /// ms and its engine at once.
  Duration again = milliseconds(60);
  /// As above, beyond the time that the copies take. With half of the orders
  /// lost a group of 16 takes five rounds.
  Duration prepareAgain = milliseconds(80);
  Duration prepareTime = seconds(4); ///< Then the change is given up.
  Duration holdTime = milliseconds(900);
  Duration armTime = milliseconds(1500); ///< Then the change is undone.
  /// A hold that nobody waits for is taken over after it. States are read
  /// several times as often.
  Duration recoverAfter = milliseconds(500);
};

enum class SwitchPhase : std::uint8_t
{
  Idle,
  Preparing, ///< Ranks copy the experts that are new to them.
  Holding,   ///< The own rank is told not to begin the step of the switch.
  Arming,    ///< All ranks are told to switch at that step.
  Undoing,   ///< Ranks are brought to where the switch cannot come any more.
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

/// Changes the map of a group whose ranks take orders without comparing maps,
/// some of which go unanswered and are carried out seconds later. One rank
/// holds the step of the switch until every rank is seen to be armed for it,
/// or is seen to be unarmed and to have a later version prepared, which makes
/// the abandoned one impossible to arm. Only then the step is released, so no
/// step begins with two maps. Driven by states alone: a holder that starts
/// anew goes on from what it reads, and another one may take over the hold of
/// a holder that stands still. Two that act at once come to the same end: an
/// armed rank is disarmed only after another rank was seen to be impossible to
/// arm, a switch is released only after every rank was seen armed for it, and
/// either excludes the other. Answers the load of a group that stands still
/// because its holder does. Free of I/O. Thread safety: loop thread.
class HeldSwitch
{
public:
  /// aOwn is the rank that holds; its state and orders may come from afar.
  /// Pre: aOwn < aRanks.
  HeldSwitch(std::size_t aOwn,
             std::size_t aRanks,
             HeldSwitchOptions aOptions = {});

  /// Begins a change to a map, in place of one that ranks still prepare for.
  /// Pre: `mayBegin`; the version is new to all ranks.
  /// aCopy is the time that its copies are expected to take.
  void begin(std::uint64_t aVersion,
             GroupMap aMap,
             Instant aNow,
             Duration aCopy = {});

  /// Time passed or a state arrived. aStates has each rank's newest state;
  /// nothing for a rank that cannot be reached. An old state only delays: what
  /// a step is released on cannot cease to hold. aNewVersion is a version
  /// new to all ranks, aInForce the map in force. Pre: times never go back.
  std::vector<RankOrder> tick(
    Instant aNow,
    const std::vector<std::optional<RankState>>& aStates,
    Duration aPass,
    std::uint64_t aNewVersion,
    const GroupMap& aInForce);

  /// True if nothing is held or armed for a change. Pre: none.
  bool mayBegin() const
  {
    return mPhase == SwitchPhase::Idle || mPhase == SwitchPhase::Preparing;
  }

  /// The map of the change under way. Pre: not `isIdle`.
  const GroupMap& wanted() const { return mMap; }

  bool isIdle() const { return mPhase == SwitchPhase::Idle; }
  SwitchPhase phase() const { return mPhase; }
  std::uint64_t version() const { return mVersion; }

private:
  using Orders = std::vector<RankOrder>;
  using States = std::vector<std::optional<RankState>>;

  void enter(SwitchPhase aPhase, Instant aNow);
  bool due(std::size_t aRank, Instant aNow, Duration aAgain);
  Orders prepare(Instant aNow, const States& aStates);
  Orders hold(Instant aNow, const States& aStates, Duration aPass);
  Orders arm(Instant aNow, const States& aStates);
  Orders undo(Instant aNow, const States& aStates, const GroupMap& aInForce);
  Orders release(Instant aNow, const States& aStates);
  bool recover(Instant aNow, const States& aStates, std::uint64_t aNewVersion);
  /// A rank has a later map prepared than the wanted one.
  bool isOvertaken(const States& aStates) const;

  std::size_t mOwn;
  std::size_t mRanks;
  HeldSwitchOptions mOptions;
  SwitchPhase mPhase = SwitchPhase::Idle;
  std::uint64_t mEpoch = 0;
  std::uint64_t mVersion = 0;
  std::uint64_t mUndoVersion = 0;
  std::uint64_t mStep = 0;
  std::optional<Instant> mHeldSince; ///< While idle.
  std::optional<Instant> mLostAt;    ///< An order to arm had to be sent again.
  GroupMap mMap;
  Duration mCopy{ 0 };
  Instant mPhaseAt{};
  std::map<std::size_t, Instant> mSentAt;
};

} // namespace laburnum::experts
