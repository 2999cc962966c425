#include "laburnum/steward/hold_rescue.hpp"

#include <algorithm>

namespace laburnum::steward {
namespace {

/// Bound of the age of a report from afar: twice the lag of 200 ms that the
/// deployments name, and a pass.
constexpr Duration kReportLag = milliseconds(500);

/// An order that was not accepted is repeated after it; its answer takes a hop
/// of 1.4 ms there and back.
constexpr Duration kAgain = milliseconds(100);
/// Then a change is undone: callers leave a stream after two seconds of pause,
/// 600 ms of which have passed before the stall is seen.
constexpr Duration kArmTime = milliseconds(800);

} // namespace

bool
StallWatch::look(std::uint64_t aEpoch,
                 std::uint64_t aStep,
                 bool aHasRequests,
                 std::size_t aPlace,
                 Instant aNow)
{
  if (aEpoch != mEpoch || aStep != mStep || !aHasRequests) {
    mEpoch = aEpoch;
    mStep = aStep;
    mStepAt = aNow;
    return false;
  }
  const Duration patience =
    aPlace == 1 ? mOptions.stalled : mOptions.stalledLonger;
  if (aPlace > kDeputies || aNow - mStepAt < patience ||
      (mRescuedAt && aNow - *mRescuedAt < mOptions.pause)) {
    return false;
  }
  mRescuedAt = aNow;
  return true;
}

HoldRescue::HoldRescue(std::size_t aRanks)
  : mSeen(aRanks)
  , mTaken(aRanks)
{
}

void
HoldRescue::seen(std::size_t aRank, const experts::RankState& aState)
{
  mSeen[aRank] = aState;
}

void
HoldRescue::accepted(std::size_t aRank,
                     const experts::EngineOrder& aOrder,
                     Instant aNow)
{
  mTaken[aRank] = Taken{ aOrder, aNow };
}

bool
HoldRescue::isTaken(const experts::RankOrder& aOrder, Instant aNow) const
{
  // A release is repeated until it is seen: it has no effect twice.
  const auto& taken = mTaken[aOrder.rank];
  return taken && aNow - taken->at < kReportLag &&
         taken->order.index() == aOrder.order.index() &&
         !std::holds_alternative<experts::ReleaseOrder>(aOrder.order);
}

std::optional<std::size_t>
HoldRescue::findHolder() const
{
  for (std::size_t rank = 0; rank < mSeen.size(); ++rank) {
    const auto& state = mSeen[rank];
    if (state && state->held && state->step + 1 >= *state->held) {
      return rank;
    }
  }
  return std::nullopt;
}

std::vector<std::optional<experts::RankState>>
HoldRescue::states(Instant aNow) const
{
  auto all = mSeen;
  for (std::size_t rank = 0; rank < all.size(); ++rank) {
    const auto& taken = mTaken[rank];
    if (!all[rank] || !taken || aNow - taken->at >= kReportLag) {
      continue;
    }
    if (const auto* arm = std::get_if<experts::ArmOrder>(&taken->order)) {
      all[rank]->armed = arm->armed;
    } else if (std::holds_alternative<experts::DisarmOrder>(taken->order)) {
      all[rank]->armed.reset();
    }
  }
  return all;
}

std::vector<experts::RankOrder>
HoldRescue::tick(Instant aNow,
                 std::uint64_t aNewVersion,
                 const experts::GroupMap& aInForce)
{
  if (!mSwitch) {
    mHolder = findHolder();
    if (!mHolder) {
      return {};
    }
    mSwitch.emplace(*mHolder,
                    mSeen.size(),
                    experts::HeldSwitchOptions{ .retryInterval = kAgain,
                                                .armTimeout = kArmTime,
                                                .takeoverDelay = Duration(0) });
  }
  std::uint64_t version = aNewVersion;
  for (const auto& state : mSeen) {
    version = std::max(version, state ? state->prepared.value_or(0) + 1 : 0);
  }
  auto orders = mSwitch->tick(aNow, states(aNow), {}, version, aInForce);
  std::erase_if(orders, [&](const experts::RankOrder& aOrder) {
    const bool isPrepare =
      std::holds_alternative<experts::PrepareOrder>(aOrder.order);
    return isTaken(aOrder, aNow) || (isPrepare && aInForce.empty());
  });
  return orders;
}

} // namespace laburnum::steward
