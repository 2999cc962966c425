#pragma once

#include "laburnum/experts/switch_envelope.hpp"
#include "laburnum/kernel/time.hpp"

#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace laburnum::experts {

struct MapChangeOptions
{
  Duration planInterval = seconds(60);
  Duration prepareTimeout = seconds(300); ///< Limit for loading the weights.
  Duration prepareRetryInterval = seconds(1);
  Duration armTimeout = seconds(3); ///< Then ranks are asked for the outcome.
  Duration armRetryInterval = milliseconds(200);
  Duration switchLead = milliseconds(1500); ///< From arming to the first step.
  PlannerOptions planner; ///< Ranks and slots per rank are taken from the map.
};

/// State of a group as its coordinator knows it.
struct GroupView
{
  Epoch epoch = 0;
  StepNumber step = 0;
  double stepsPerSecond = 0;
  GroupMap map;                           ///< Map in force.
  std::vector<std::vector<double>> loads; ///< By layer and expert.
};

/// Tells every rank to load the weights that the map of an epoch needs.
struct PrepareRanks
{
  Epoch epoch = 0;
  GroupMap map;
};

using ChangeAction = std::variant<PrepareRanks, OutgoingMessage>;

/// Plans and coordinates changes of the expert map of one group, for the daemon
/// that holds the group's duty. A change loads the weights on all ranks and
/// then switches them with a two-phase commit (`SwitchCoordinator`). Input are
/// the group's map and loads and the messages of the ranks; output are actions
/// that the caller carries out. It does no I/O. Not thread-safe: all calls come
/// from the loop thread.
///
/// Epochs start with the fencing token of the duty, so that two holders never
/// use the same epoch for different maps. One object must serve for as long as
/// the token can stay the same.
class MapChange
{
public:
  MapChange(std::size_t aRankCount, MapChangeOptions aOptions = {});

  void setPlanInterval(Duration aInterval)
  {
    mOptions.planInterval = aInterval;
  }

  /// Returns true if the next `tick` plans, and so needs the map and loads.
  bool isPlanDue(Instant aNow) const;

  /// Advances the change; call it about five times a second while `isBusy()`.
  /// aGroup needs a map and loads only if `isPlanDue()`.
  /// @pre aNow never decreases.
  std::vector<ChangeAction> tick(Instant aNow,
                                 const GroupView& aGroup,
                                 std::uint64_t aFencingToken);

  /// Ends the change in progress without an outcome, for a daemon that no
  /// longer holds the duty. The epoch is not used again, as the daemon may hold
  /// the duty again with the same fencing token.
  void abandon();

  /// Records that a rank has loaded the weights of an epoch.
  void markPrepared(Rank aRank, Epoch aEpoch);

  /// Handles a message from a rank to the coordinator.
  std::vector<ChangeAction> handle(Rank aFrom, const SwitchMessage& aMessage);

  bool isBusy() const { return mPhase != Phase::Idle; }

private:
  enum class Phase : std::uint8_t
  {
    Idle,
    Preparing,
    Arming
  };
  using Actions = std::vector<ChangeAction>;

  Actions plan(Instant aNow,
               const GroupView& aGroup,
               std::uint64_t aFencingToken);
  Actions prepare(Instant aNow,
                  const GroupView& aGroup,
                  std::uint64_t aFencingToken);
  Actions arm(Instant aNow);

  std::size_t mRankCount;
  MapChangeOptions mOptions;
  Phase mPhase = Phase::Idle;
  SwitchCoordinator mCoordinator;
  std::optional<Instant> mPlannedAt;
  Instant mPhaseStart{};
  Instant mSentAt{};
  std::uint64_t mChangeCount = 0; ///< Changes that this object has begun.
  PrepareRanks mNext;             ///< The change in progress.
  std::set<Rank> mPrepared;
};

} // namespace laburnum::experts
