#include "laburnum/experts/map_planner.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <queue>

namespace laburnum::experts {
namespace {

/// Minimum reduction of the sum of squared rank loads that justifies a step.
constexpr double kMinGain = 1e-6;

/// Counts the copies of each expert.
std::vector<std::size_t>
countCopies(const ExpertMap& aMap, std::size_t aExperts)
{
  std::vector<std::size_t> copies(aExperts, 0);
  for (const auto& slots : aMap.slots) {
    for (const std::uint16_t expert : slots) {
      ++copies[expert];
    }
  }
  return copies;
}

/// Returns the load of each rank, without regard to paces.
std::vector<double>
rankLoads(const ExpertMap& aMap,
          const std::vector<double>& aLoads,
          const std::vector<std::size_t>& aCopies)
{
  std::vector<double> loads(aMap.slots.size(), 0);
  for (std::size_t rank = 0; rank < aMap.slots.size(); ++rank) {
    for (const std::uint16_t expert : aMap.slots[rank]) {
      loads[rank] += aLoads[expert] / static_cast<double>(aCopies[expert]);
    }
  }
  return loads;
}

bool
holds(const std::vector<std::uint16_t>& aSlots, std::uint16_t aExpert)
{
  return std::find(aSlots.begin(), aSlots.end(), aExpert) != aSlots.end();
}

/// Measure of imbalance. Unlike the maximum, it decreases with every step
/// towards a balanced load, even if several ranks share the maximum.
double
sumOfSquares(const std::vector<double>& aLoads)
{
  return std::inner_product(aLoads.begin(), aLoads.end(), aLoads.begin(), 0.0);
}

/// Replaces the expert in a slot of a rank; in a swap, the replaced expert goes
/// to the slot that the new one came from.
struct Step
{
  std::size_t rank = 0;
  std::size_t slot = 0;
  std::uint16_t expert = 0;
  std::optional<std::pair<std::size_t, std::size_t>> other; ///< Rank, slot.
  double gain = 0;
  std::size_t moves = 1;
};

/// Finds the step that relieves the most loaded rank with the largest gain per
/// copy.
class StepSearch
{
public:
  StepSearch(const ExpertMap& aMap, const std::vector<double>& aLoads)
    : mMap(aMap)
    , mLoads(aLoads)
    , mCopies(countCopies(aMap, aLoads.size()))
    , mRankLoads(rankLoads(aMap, aLoads, mCopies))
  {
  }

  std::optional<Step> findBest()
  {
    const std::size_t hot = static_cast<std::size_t>(
      std::max_element(mRankLoads.begin(), mRankLoads.end()) -
      mRankLoads.begin());
    trySwaps(hot);
    tryReplicas(hot);
    return mBest;
  }

private:
  double loadPerCopy(std::uint16_t aExpert) const
  {
    return mLoads[aExpert] / static_cast<double>(mCopies[aExpert]);
  }

  void consider(const Step& aStep)
  {
    if (aStep.gain > kMinGain &&
        (!mBest || aStep.gain / static_cast<double>(aStep.moves) >
                     mBest->gain / static_cast<double>(mBest->moves))) {
      mBest = aStep;
    }
  }

  void trySwaps(std::size_t aHot)
  {
    for (std::size_t rank = 0; rank < mMap.slots.size(); ++rank) {
      if (rank == aHot) {
        continue;
      }
      for (std::size_t hotSlot = 0; hotSlot < mMap.slots[aHot].size();
           ++hotSlot) {
        for (std::size_t otherSlot = 0; otherSlot < mMap.slots[rank].size();
             ++otherSlot) {
          trySwap(aHot, hotSlot, rank, otherSlot);
        }
      }
    }
  }

  void trySwap(std::size_t aHot,
               std::size_t aHotSlot,
               std::size_t aRank,
               std::size_t aOtherSlot)
  {
    const std::uint16_t outgoing = mMap.slots[aHot][aHotSlot];
    const std::uint16_t incoming = mMap.slots[aRank][aOtherSlot];
    const double transfer = loadPerCopy(outgoing) - loadPerCopy(incoming);
    if (transfer <= 0 || holds(mMap.slots[aRank], outgoing) ||
        holds(mMap.slots[aHot], incoming)) {
      return;
    }
    const double before = mRankLoads[aHot] * mRankLoads[aHot] +
                          mRankLoads[aRank] * mRankLoads[aRank];
    const double hot = mRankLoads[aHot] - transfer;
    const double cold = mRankLoads[aRank] + transfer;
    consider({ .rank = aHot,
               .slot = aHotSlot,
               .expert = incoming,
               .other = std::make_pair(aRank, aOtherSlot),
               .gain = before - hot * hot - cold * cold,
               .moves = 2 });
  }

  /// Replaces redundant copies on other ranks by a copy of a hot expert.
  void tryReplicas(std::size_t aHot)
  {
    for (const std::uint16_t hot : mMap.slots[aHot]) {
      for (std::size_t rank = 0; rank < mMap.slots.size(); ++rank) {
        if (rank == aHot || holds(mMap.slots[rank], hot)) {
          continue;
        }
        for (std::size_t slot = 0; slot < mMap.slots[rank].size(); ++slot) {
          if (mCopies[mMap.slots[rank][slot]] > 1) {
            tryReplica(hot, rank, slot);
          }
        }
      }
    }
  }

  void tryReplica(std::uint16_t aHot, std::size_t aRank, std::size_t aSlot)
  {
    const std::uint16_t dropped = mMap.slots[aRank][aSlot];
    std::vector<double> loads = mRankLoads;
    const double before = sumOfSquares(loads);
    const auto moveLoad = [&](std::uint16_t aExpert, double aOld, double aNew) {
      for (std::size_t rank = 0; rank < loads.size(); ++rank) {
        if (holds(mMap.slots[rank], aExpert)) {
          loads[rank] += aNew - aOld;
        }
      }
    };
    const double hotCopies = static_cast<double>(mCopies[aHot]);
    const double droppedCopies = static_cast<double>(mCopies[dropped]);
    const double hotNew = mLoads[aHot] / (hotCopies + 1);
    moveLoad(aHot, loadPerCopy(aHot), hotNew);
    const double droppedNew = mLoads[dropped] / (droppedCopies - 1);
    moveLoad(dropped, loadPerCopy(dropped), droppedNew);
    loads[aRank] += hotNew - droppedNew;
    consider({ .rank = aRank,
               .slot = aSlot,
               .expert = aHot,
               .gain = before - sumOfSquares(loads) });
  }

  const ExpertMap& mMap;
  const std::vector<double>& mLoads;
  std::vector<std::size_t> mCopies;
  std::vector<double> mRankLoads;
  std::optional<Step> mBest;
};

} // namespace

double
balancedTime(double aWork,
             std::size_t aRankCount,
             const std::vector<double>& aPaces)
{
  double speed = 0;
  for (std::size_t rank = 0; rank < aRankCount; ++rank) {
    speed += 1 / paceOf(aPaces, rank);
  }
  return speed > 0 ? aWork / speed : 0;
}

double
skewOf(const ExpertMap& aMap,
       const std::vector<double>& aLoads,
       const std::vector<double>& aPaces)
{
  const auto loads = rankLoads(aMap, aLoads, countCopies(aMap, aLoads.size()));
  const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
  double slowest = 0;
  for (std::size_t rank = 0; rank < loads.size(); ++rank) {
    slowest = std::max(slowest, loads[rank] * paceOf(aPaces, rank));
  }
  return total <= 0 ? 1 : slowest / balancedTime(total, loads.size(), aPaces);
}

ExpertMap
planFromScratch(const std::vector<double>& aLoads,
                const PlannerOptions& aOptions)
{
  const std::size_t experts = aLoads.size();
  std::vector<std::size_t> copies(experts, 1);
  // Each spare slot goes to the expert with the highest load per copy.
  std::priority_queue<std::pair<double, std::size_t>> hottest;
  for (std::size_t i = 0; i < experts; ++i) {
    hottest.emplace(aLoads[i], i);
  }
  for (std::size_t spare = aOptions.ranks * aOptions.slotsPerRank - experts;
       spare > 0;
       --spare) {
    const std::size_t expert = hottest.top().second;
    hottest.pop();
    if (copies[expert] < aOptions.ranks) {
      ++copies[expert];
    }
    hottest.emplace(aLoads[expert] / static_cast<double>(copies[expert]),
                    expert);
  }
  std::vector<std::pair<double, std::uint16_t>> copiesByLoad;
  for (std::size_t i = 0; i < experts; ++i) {
    for (std::size_t copy = 0; copy < copies[i]; ++copy) {
      copiesByLoad.emplace_back(aLoads[i] / static_cast<double>(copies[i]),
                                static_cast<std::uint16_t>(i));
    }
  }
  std::sort(copiesByLoad.begin(), copiesByLoad.end(), std::greater<>());
  ExpertMap map{ .slots =
                   std::vector<std::vector<std::uint16_t>>(aOptions.ranks) };
  std::vector<double> loads(aOptions.ranks, 0);
  for (const auto& [load, expert] : copiesByLoad) {
    std::size_t best = aOptions.ranks;
    for (std::size_t rank = 0; rank < aOptions.ranks; ++rank) {
      const bool fits = map.slots[rank].size() < aOptions.slotsPerRank &&
                        !holds(map.slots[rank], expert);
      if (fits && (best == aOptions.ranks || loads[rank] < loads[best])) {
        best = rank;
      }
    }
    if (best == aOptions.ranks) {
      // Only ranks that already hold the expert have free slots; a second copy
      // there is harmless.
      best = static_cast<std::size_t>(
        std::min_element(map.slots.begin(),
                         map.slots.end(),
                         [](const auto& aLeft, const auto& aRight) {
                           return aLeft.size() < aRight.size();
                         }) -
        map.slots.begin());
    }
    map.slots[best].push_back(expert);
    loads[best] += load;
  }
  return map;
}

std::size_t
countMoves(const ExpertMap& aOld, const ExpertMap& aNew)
{
  std::size_t moves = 0;
  for (std::size_t rank = 0; rank < aNew.slots.size(); ++rank) {
    for (const std::uint16_t expert : aNew.slots[rank]) {
      moves += holds(aOld.slots[rank], expert) ? 0 : 1;
    }
  }
  return moves;
}

MapPlan
improveMap(const ExpertMap& aPresent,
           const std::vector<double>& aLoads,
           const PlannerOptions& aOptions)
{
  MapPlan plan{ .map = aPresent, .skew = skewOf(aPresent, aLoads) };
  if (plan.skew <= aOptions.replanSkew) {
    return plan;
  }
  while (plan.skew > 1 + (aOptions.replanSkew - 1) / 2 &&
         plan.moves < aOptions.maxMoves) {
    const auto step = StepSearch(plan.map, aLoads).findBest();
    if (!step || plan.moves + step->moves > aOptions.maxMoves) {
      break;
    }
    std::uint16_t& place = plan.map.slots[step->rank][step->slot];
    if (step->other) {
      plan.map.slots[step->other->first][step->other->second] = place;
    }
    place = step->expert;
    plan.moves += step->moves;
    plan.skew = skewOf(plan.map, aLoads);
  }
  return plan;
}

} // namespace laburnum::experts
