#pragma once

#include "laburnum/experts/held_switch.hpp"

#include <optional>
#include <vector>

namespace laburnum::steward {

struct StallDetectorOptions
{
  /// Time without a new step, while there are requests, after which a group
  /// counts as stalled. The longest pass of a group that is not overloaded is
  /// the pause between events that the users' data sheets allow, 150 ms, and a
  /// holder sends lost orders again within 60 ms.
  Duration timeout = milliseconds(600);
  /// Timeout of the keeper, which recovers holds of its own rank after half a
  /// second, and of the second backup, which lets the first one act before.
  Duration extendedTimeout = milliseconds(1200);
  /// Minimum time between two recoveries; repeating a failed recovery sooner
  /// is unlikely to succeed.
  Duration minInterval = seconds(2);
};

/// Number of stewards that follow the keeper in the order of ranks and recover
/// a hold that is not released.
inline constexpr std::size_t kBackupStewards = 2;

/// Detects that a group has made no progress for so long that the steward that
/// holds its next step must be assumed to be frozen or dead. Input are the
/// step numbers that the local engine reports; the result says whether the
/// local steward has to start a recovery. Exists because clients leave a
/// stream after a pause of two seconds, so a group that stays stalled would
/// lose all of its clients. Performs no I/O. Thread safety: loop thread.
/// @pre Times passed to the methods never decrease.
class StallDetector
{
public:
  explicit StallDetector(StallDetectorOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Processes the newest step of the local engine, which is rank aRank; rank 0
  /// is that of the keeper. Returns true if the local steward has to start a
  /// recovery.
  bool update(std::uint64_t aEpoch,
              std::uint64_t aStep,
              bool aHasRequests,
              std::size_t aRank,
              Instant aNow);

private:
  StallDetectorOptions mOptions;
  std::uint64_t mEpoch = 0;
  std::uint64_t mStep = 0;
  Instant mStepChangedAt{};
  std::optional<Instant> mTriggeredAt;
};

/// Decides the orders that lead to the release of a step that some rank of a
/// group holds after its steward failed. Input are the states of the ranks and
/// the orders that their engines accepted; the states are read from other
/// instances and may be some hundred ms old. The change of the map for which
/// the step is held is completed if a rank is already armed for it and all
/// others can be armed, and undone otherwise. It exists because a held step
/// stalls the whole group until it is released. Performs no I/O. Thread safety:
/// loop thread.
/// @pre Ranks passed to the methods are below aRanks; times never decrease.
class HoldRecovery
{
public:
  explicit HoldRecovery(std::size_t aRanks);

  void updateState(std::size_t aRank, const experts::RankState& aState);

  /// Records that a rank's engine accepted an order, whose effect shows in the
  /// states only later.
  void recordAccepted(std::size_t aRank,
                      const experts::EngineOrder& aOrder,
                      Instant aNow);

  /// Returns the orders to send now. aNewVersion is larger than all map
  /// versions that the ranks have reported, aCurrentMap the map in force. If
  /// aCurrentMap is empty, a change that cannot be completed is not undone, and
  /// the step stays held.
  std::vector<experts::RankOrder> tick(Instant aNow,
                                       std::uint64_t aNewVersion,
                                       const experts::GroupMap& aCurrentMap);

  /// The rank that holds a step; nothing until one was found.
  std::optional<std::size_t> holder() const { return mHolder; }

private:
  std::optional<std::size_t> findHolder() const;
  /// The last states, with the effects of recently accepted orders applied.
  std::vector<std::optional<experts::RankState>> effectiveStates(
    Instant aNow) const;

  /// The last order that a rank accepted; its reports show the effect some
  /// hundred ms later.
  struct AcceptedOrder
  {
    experts::EngineOrder order;
    Instant acceptedAt{};
  };
  bool isAlreadyAccepted(const experts::RankOrder& aOrder, Instant aNow) const;

  std::vector<std::optional<experts::RankState>> mStates;
  std::vector<std::optional<AcceptedOrder>> mAcceptedOrders;
  std::optional<std::size_t> mHolder;
  /// Observes nothing, as another steward chooses the steps of that rank.
  experts::HoldSteps mHoldSteps;
  std::optional<experts::HeldSwitch> mSwitch;
};

} // namespace laburnum::steward
