#include "laburnum/gateway/group_choice.hpp"

#include "laburnum/gateway/load_levelling.hpp"

#include <algorithm>
#include <cmath>

namespace laburnum::gateway {
namespace {

/// Load of a group in requests if all its ranks are in other failure domains.
constexpr double kRemoteRequests = 0.1;
/// Smoothing factor of the duration of streams.
constexpr double kStreamTimeSmoothing = 0.2;
/// Age that reported loads have when they arrive.
constexpr Duration kStatusDelay = milliseconds(200);
/// Steps of this size spread over [0, 1) most evenly.
constexpr double kGoldenRatio = 0.6180339887498949;

/// Order of preference of the state of a group.
int
preference(const GroupOption& aOption)
{
  if (!aOption.refusal) {
    return 3;
  }
  switch (aOption.room.state) {
    case GroupState::Open:
      return 2;
    case GroupState::Untold:
      return 1;
    case GroupState::Stalled:
    case GroupState::Forming:
      break;
  }
  return 0;
}

/// Requests of all gateways in a group, and those that it can bear.
struct Filling
{
  double load = 0;
  double capacity = 1;
};

Filling
fillingOf(const GroupOption& aOption, int aGateways)
{
  // While no status is recent, the other gateways are taken to have as much
  // there.
  const bool isTold = aOption.room.state != GroupState::Untold;
  const double factor = isTold ? 1 : aGateways;
  const double slots = aOption.ranks * std::max(1, aOption.slotsPerRank);
  const auto limit =
    aOption.room.bearsNow ? aOption.room.bearsNow : aOption.room.bears;
  const double bears = limit ? *limit * factor : slots;
  return { .load = aOption.room.knownStreams * factor +
                   aOption.waitingRequests +
                   aOption.remoteShare * kRemoteRequests,
           .capacity = std::max(1.0, std::min(bears, slots)) };
}

} // namespace

void
ArrivalEstimate::recordStream(Duration aTime)
{
  const double seconds = toSeconds(aTime);
  mStreamSeconds =
    mStreamSeconds == 0
      ? seconds
      : mStreamSeconds + kStreamTimeSmoothing * (seconds - mStreamSeconds);
}

double
ArrivalEstimate::arrivals(const std::vector<GroupOption>& aOptions) const
{
  double arrivals = 0;
  for (const GroupOption& option : aOptions) {
    if (mStreamSeconds > 0 && option.room.state == GroupState::Open) {
      arrivals += toSeconds(option.room.age + kStatusDelay) *
                  (option.room.knownStreams / mStreamSeconds +
                   std::max(0.0, option.room.growthPerSecond));
    }
  }
  return arrivals;
}

double
ArrivalEstimate::nextUnit()
{
  mUnit += kGoldenRatio;
  mUnit -= std::floor(mUnit);
  return mUnit;
}

std::size_t
chooseGroup(const std::vector<GroupOption>& aOptions,
            double aArrivals,
            double aUnit)
{
  int best = 0;
  int gateways = 1;
  for (const GroupOption& option : aOptions) {
    best = std::max(best, preference(option));
    gateways = std::max(gateways, option.room.gateways);
  }
  std::vector<std::size_t> indices;
  std::vector<double> loads;
  std::vector<double> capacities;
  for (std::size_t i = 0; i < aOptions.size(); ++i) {
    if (preference(aOptions[i]) == best) {
      const Filling filling = fillingOf(aOptions[i], gateways);
      indices.push_back(i);
      loads.push_back(filling.load);
      capacities.push_back(filling.capacity);
    }
  }
  return indices[drawLevelled(loads, capacities, aArrivals, aUnit)];
}

std::optional<Refusal>
refusalOfAll(const std::vector<GroupOption>& aOptions)
{
  std::optional<Refusal> first;
  for (const GroupOption& option : aOptions) {
    if (!option.refusal) {
      return std::nullopt;
    }
    if (!first || option.refusal->retryAfter < first->retryAfter) {
      first = option.refusal;
    }
  }
  return first;
}

} // namespace laburnum::gateway
