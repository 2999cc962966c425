#include "laburnum/gateway/group_admission.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// The gap for routes that state none.
constexpr Duration kDefaultGap = milliseconds(150);
/// Longer than any pass.
constexpr double kNoLimitMs = 1e9;

double
toMillis(Duration aTime)
{
  return toSeconds(aTime) * 1000;
}

Duration
gapOf(const GroupDemand& aDemand)
{
  return aDemand.maxGap > Duration(0) ? aDemand.maxGap : kDefaultGap;
}

} // namespace

void
GroupAdmission::recordStatus(const GroupStatus& aStatus,
                             int aOwnStreams,
                             Duration aEmptyPassTime,
                             Instant aNow)
{
  const int totalLoad = aStatus.totalLoad();
  const double elapsed = mTold ? toSeconds(aNow - mTold->at) : 0;
  if (elapsed > 0 && isFresh(aNow)) {
    mGrowthPerSecond +=
      mOptions.growthSmoothing *
      ((totalLoad - mTold->totalLoad) / elapsed - mGrowthPerSecond);
  } else if (elapsed > 0) {
    mGrowthPerSecond = 0;
  }
  if (mTold && (aStatus.epoch != mTold->status.epoch ||
                (aStatus.isOpen && !mTold->status.isOpen))) {
    mEpochPasses = {};
    mFillStatusesLeft = mOptions.fillStatuses;
  }
  if (totalLoad > 0 && aStatus.isOpen) {
    mEpochPasses.record(aStatus.passTime, totalLoad, 1, aEmptyPassTime, aNow);
    mFillStatusesLeft = std::max(0, mFillStatusesLeft - 1);
  }
  if (totalLoad > 0) {
    mGroupPasses.record(aStatus.passTime, totalLoad, 1, aEmptyPassTime, aNow);
  }
  mTold = Told{ .status = aStatus,
                .totalLoad = totalLoad,
                .ownStreams = aOwnStreams,
                .at = aNow };
}

void
GroupAdmission::recordGap(Duration aGap,
                          int aStreams,
                          Duration aEmptyPassTime,
                          Instant aNow)
{
  // All streams report the same pass.
  const double streams = std::max(1, aStreams);
  mOwnPasses.record(aGap, streams, 1 / streams, aEmptyPassTime, aNow);
}

void
GroupAdmission::streamStarted(int aOtherStreams, Instant aNow)
{
  if (aOtherStreams == 0) {
    mLastProgressAt = aNow;
  }
}

Refusal
GroupAdmission::overload(double aExcess, RefusalCause aCause) const
{
  const auto span = mOptions.maxRetryAfter - mOptions.minRetryAfter;
  return { .retryAfter = mOptions.minRetryAfter +
                         fromSeconds(toSeconds(span) * std::min(1.0, aExcess)),
           .cause = aCause };
}

PassModel::Prediction
GroupAdmission::maxPassMs(const GroupDemand& aDemand) const
{
  const double maxGapMs = toMillis(aDemand.maxGap) * aDemand.limitShare;
  return { .nowMs = maxGapMs * mOptions.currentGapShare,
           .balancedMs = maxGapMs * mOptions.balancedGapShare };
}

const PassModel&
GroupAdmission::groupPasses(const GroupDemand& aDemand) const
{
  return aDemand.hasOtherGroups && mFillStatusesLeft > 0 ? mEpochPasses
                                                         : mGroupPasses;
}

double
GroupAdmission::toldStreams(const GroupDemand& aDemand,
                            int aGateways,
                            Instant aNow) const
{
  double change = (aDemand.ownStreams - mTold->ownStreams) * aGateways;
  if (aDemand.turnover > 0) {
    // One stream of many gateways says little of what the others did: not more
    // than that the trend goes on, or that no stream ended or twice as many.
    const double age = toSeconds(aNow - mTold->at + mOptions.statusDelay);
    const double trend = mGrowthPerSecond * age;
    const double ended = mTold->totalLoad * aDemand.turnover * age;
    const double own = aDemand.ownStreams - mTold->ownStreams;
    change = std::clamp(
      change, std::min(own, trend - ended), std::max(own, trend + ended));
  }
  return std::max(0.0, mTold->totalLoad + change);
}

double
GroupAdmission::slotLimit(const GroupDemand& aDemand) const
{
  return static_cast<double>(mTold->status.loads.size()) *
         aDemand.slotsPerRank * mOptions.maxLoadPerSlot * aDemand.limitShare *
         aDemand.offeredShare;
}

std::optional<double>
GroupAdmission::fillLimit(const GroupDemand& aDemand) const
{
  if (!aDemand.hasOtherGroups || mFillStatusesLeft == 0) {
    return std::nullopt;
  }
  return std::max(static_cast<double>(mTold->status.loads.size()),
                  mOptions.fillFactor * mTold->totalLoad);
}

std::optional<Refusal>
GroupAdmission::checkPassTime(const PassModel& aModel,
                              double aStreams,
                              const GroupDemand& aDemand,
                              Instant aNow) const
{
  const auto pass = aModel.predict(aStreams, aDemand.emptyPass, aNow);
  if (!pass || aDemand.maxGap == Duration(0)) {
    return std::nullopt;
  }
  const auto max = maxPassMs(aDemand);
  const double excess =
    std::max(pass->nowMs / max.nowMs, pass->balancedMs / max.balancedMs) - 1;
  if (excess <= 0) {
    return std::nullopt;
  }
  return overload(excess, RefusalCause::Overloaded);
}

std::optional<Refusal>
GroupAdmission::checkByStatus(const GroupDemand& aDemand, Instant aNow) const
{
  const GroupStatus& status = mTold->status;
  if (!status.isOpen || isStalled(aDemand, aNow)) {
    return Refusal{ .retryAfter = mOptions.stallRetryAfter,
                    .cause = RefusalCause::Stalled };
  }
  const double streams =
    toldStreams(aDemand, std::max(1, status.gateways), aNow) + 1;
  const double slots = slotLimit(aDemand);
  const double excess = slots > 0 ? streams / slots - 1 : 0;
  if (excess > 0) {
    return overload(excess, RefusalCause::NoSlot);
  }
  const auto fill = fillLimit(aDemand);
  if (fill && streams > *fill) {
    return overload(0, RefusalCause::Overloaded);
  }
  return checkPassTime(groupPasses(aDemand), streams, aDemand, aNow);
}

std::optional<Refusal>
GroupAdmission::checkByOwnStreams(const GroupDemand& aDemand,
                                  Instant aNow) const
{
  if (aDemand.ownStreams < mOptions.minStreams) {
    return std::nullopt;
  }
  if (isStalled(aDemand, aNow)) {
    return Refusal{ .retryAfter = mOptions.stallRetryAfter,
                    .cause = RefusalCause::Stalled };
  }
  return checkPassTime(mOwnPasses, aDemand.ownStreams + 1, aDemand, aNow);
}

bool
GroupAdmission::isStalled(const GroupDemand& aDemand, Instant aNow) const
{
  const Duration limit = mOptions.stalledGaps * gapOf(aDemand);
  return isFresh(aNow) ? mTold->status.idleTime >= limit
                       : mLastProgressAt && aNow - *mLastProgressAt >= limit;
}

std::optional<Refusal>
GroupAdmission::checkAdmission(const GroupDemand& aDemand, Instant aNow) const
{
  return isFresh(aNow) ? checkByStatus(aDemand, aNow)
                       : checkByOwnStreams(aDemand, aNow);
}

GroupRoom
GroupAdmission::room(const GroupDemand& aDemand, Instant aNow) const
{
  const bool isTold = isFresh(aNow);
  const PassModel& passes = isTold ? groupPasses(aDemand) : mOwnPasses;
  GroupRoom room{ .streams = static_cast<double>(aDemand.ownStreams),
                  .knownStreams = static_cast<double>(aDemand.ownStreams),
                  .gateways = mTold ? std::max(1, mTold->status.gateways) : 1 };
  const auto limitBy = [&room](std::optional<double> aLimit) {
    for (auto* bears : { &room.bears, &room.bearsNow }) {
      if (aLimit && (!*bears || *aLimit < **bears)) {
        *bears = aLimit;
      }
    }
  };
  if (aDemand.maxGap > Duration(0)) {
    const auto max = maxPassMs(aDemand);
    room.bears = passes.streamsWithin(max, aDemand.emptyPass, aNow);
    room.bearsNow = passes.streamsWithin(
      { .nowMs = max.balancedMs, .balancedMs = kNoLimitMs },
      aDemand.emptyPass,
      aNow);
  }
  if (isTold) {
    room.age = aNow - mTold->at;
    room.growthPerSecond = mGrowthPerSecond;
    room.streams = toldStreams(aDemand, room.gateways, aNow);
    room.knownStreams = toldStreams(aDemand, 1, aNow);
    const double slots = slotLimit(aDemand);
    limitBy(slots > 0 ? std::optional<double>(slots) : std::nullopt);
    limitBy(fillLimit(aDemand));
    room.state = !mTold->status.isOpen      ? GroupState::Forming
                 : isStalled(aDemand, aNow) ? GroupState::Stalled
                                            : GroupState::Open;
  } else if (room.bears) {
    room.bears = std::max(*room.bears, mOptions.minStreams);
  }
  if (room.state == GroupState::Stalled || room.state == GroupState::Forming) {
    room.bears = 0;
    room.opensIn = mOptions.stallRetryAfter;
  }
  const auto pass = passes.predict(room.streams + 1, aDemand.emptyPass, aNow);
  room.nextPass = pass ? fromSeconds(pass->nowMs / 1000) : Duration(0);
  return room;
}

} // namespace laburnum::gateway
