#include "laburnum/steward/hold_rescue.hpp"

#include <algorithm>

namespace laburnum::steward {
namespace {

/// Maximum age of a report from another instance: twice the delay of 200 ms
/// that the deployments specify, and one pass.
constexpr Duration kMaxReportAge = milliseconds(500);

/// Interval after which an order that was not accepted is sent again. The
/// round trip of an order is one hop of 1.4 ms each way.
constexpr Duration kResendInterval = milliseconds(100);
/// Time for arming all ranks, after which the change is undone. Clients leave a
/// stream after a pause of two seconds, of which 600 ms have passed when the
/// stall is detected.
constexpr Duration kArmTimeout = milliseconds(800);

} // namespace

bool
StallDetector::update(std::uint64_t aEpoch,
                      std::uint64_t aStep,
                      bool aHasRequests,
                      std::size_t aRank,
                      Instant aNow)
{
  if (aEpoch != mEpoch || aStep != mStep || !aHasRequests) {
    mEpoch = aEpoch;
    mStep = aStep;
    mStepChangedAt = aNow;
    return false;
  }
  const Duration timeout =
    aRank == 1 ? mOptions.timeout : mOptions.extendedTimeout;
  if (aRank > kBackupStewards || aNow - mStepChangedAt < timeout ||
      (mTriggeredAt && aNow - *mTriggeredAt < mOptions.minInterval)) {
    return false;
  }
  mTriggeredAt = aNow;
  return true;
}

HoldRecovery::HoldRecovery(std::size_t aRanks)
  : mStates(aRanks)
  , mAcceptedOrders(aRanks)
{
}

void
HoldRecovery::updateState(std::size_t aRank, const experts::RankState& aState)
{
  mStates[aRank] = aState;
}

void
HoldRecovery::recordAccepted(std::size_t aRank,
                             const experts::EngineOrder& aOrder,
                             Instant aNow)
{
  mAcceptedOrders[aRank] = AcceptedOrder{ aOrder, aNow };
}

bool
HoldRecovery::isAlreadyAccepted(const experts::RankOrder& aOrder,
                                Instant aNow) const
{
  // A release is idempotent and is sent again until the states show it.
  const auto& accepted = mAcceptedOrders[aOrder.rank];
  return accepted && aNow - accepted->acceptedAt < kMaxReportAge &&
         accepted->order.index() == aOrder.order.index() &&
         !std::holds_alternative<experts::ReleaseOrder>(aOrder.order);
}

std::optional<std::size_t>
HoldRecovery::findHolder() const
{
  for (std::size_t rank = 0; rank < mStates.size(); ++rank) {
    const auto& state = mStates[rank];
    if (state && state->held && state->step + 1 >= *state->held) {
      return rank;
    }
  }
  return std::nullopt;
}

std::vector<std::optional<experts::RankState>>
HoldRecovery::effectiveStates(Instant aNow) const
{
  auto all = mStates;
  for (std::size_t rank = 0; rank < all.size(); ++rank) {
    const auto& accepted = mAcceptedOrders[rank];
    if (!all[rank] || !accepted ||
        aNow - accepted->acceptedAt >= kMaxReportAge) {
      continue;
    }
    if (const auto* arm = std::get_if<experts::ArmOrder>(&accepted->order)) {
      all[rank]->armed = arm->armed;
    } else if (std::holds_alternative<experts::DisarmOrder>(accepted->order)) {
      all[rank]->armed.reset();
    }
  }
  return all;
}

std::vector<experts::RankOrder>
HoldRecovery::tick(Instant aNow,
                   std::uint64_t aNewVersion,
                   const experts::GroupMap& aCurrentMap)
{
  if (!mSwitch) {
    mHolder = findHolder();
    if (!mHolder) {
      return {};
    }
    mSwitch.emplace(
      *mHolder,
      mStates.size(),
      mHoldSteps,
      experts::HeldSwitchOptions{ .retryInterval = kResendInterval,
                                  .armTimeout = kArmTimeout,
                                  .takeoverDelay = Duration(0) });
  }
  auto orders =
    mSwitch->tick(aNow, effectiveStates(aNow), {}, aNewVersion, aCurrentMap);
  std::erase_if(orders, [&](const experts::RankOrder& aOrder) {
    const bool isPrepare =
      std::holds_alternative<experts::PrepareOrder>(aOrder.order);
    return isAlreadyAccepted(aOrder, aNow) ||
           (isPrepare && aCurrentMap.empty());
  });
  return orders;
}

} // namespace laburnum::steward
