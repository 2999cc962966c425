#include "laburnum/experts/map_planner.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <queue>

namespace laburnum::experts {
namespace {

/// A copy that only adds less than this share to balance is not worth a load.
constexpr double kLeastGain = 1e-6;

std::vector<std::size_t>
copiesOf(const ExpertMap& aMap, std::size_t aExperts)
{
  std::vector<std::size_t> copies(aExperts, 0);
  for (const auto& slots : aMap.slots) {
    for (const std::uint16_t expert : slots) {
      ++copies[expert];
    }
  }
  return copies;
}

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

/// The sum of squares falls with every step towards an even load, also when
/// several ranks share the maximum.
double
unevenness(const std::vector<double>& aLoads)
{
  return std::inner_product(aLoads.begin(), aLoads.end(), aLoads.begin(), 0.0);
}

/// One step: the slot of a rank takes another expert, and perhaps the other
/// rank's slot takes the former one.
struct Step
{
  std::size_t rank = 0;
  std::size_t slot = 0;
  std::uint16_t expert = 0;
  std::optional<std::pair<std::size_t, std::size_t>> other; ///< Swapped with.
  double gain = 0;
  std::size_t moves = 1;
};

/// Searches steps that relieve the most loaded rank.
class StepSearch
{
public:
  StepSearch(const ExpertMap& aMap, const std::vector<double>& aLoads)
    : mMap(aMap)
    , mLoads(aLoads)
    , mCopies(copiesOf(aMap, aLoads.size()))
    , mRankLoads(rankLoads(aMap, aLoads, mCopies))
  {
  }

  std::optional<Step> best()
  {
    const std::size_t hot = static_cast<std::size_t>(
      std::max_element(mRankLoads.begin(), mRankLoads.end()) -
      mRankLoads.begin());
    trySwaps(hot);
    tryReplicas(hot);
    return mBest;
  }

private:
  double share(std::uint16_t aExpert) const
  {
    return mLoads[aExpert] / static_cast<double>(mCopies[aExpert]);
  }

  void offer(const Step& aStep)
  {
    if (aStep.gain > kLeastGain &&
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
      for (std::size_t mine = 0; mine < mMap.slots[aHot].size(); ++mine) {
        for (std::size_t theirs = 0; theirs < mMap.slots[rank].size();
             ++theirs) {
          trySwap(aHot, mine, rank, theirs);
        }
      }
    }
  }

  void trySwap(std::size_t aHot,
               std::size_t aMine,
               std::size_t aRank,
               std::size_t aTheirs)
  {
    const std::uint16_t away = mMap.slots[aHot][aMine];
    const std::uint16_t here = mMap.slots[aRank][aTheirs];
    const double delta = share(away) - share(here);
    if (delta <= 0 || holds(mMap.slots[aRank], away) ||
        holds(mMap.slots[aHot], here)) {
      return;
    }
    const double before = mRankLoads[aHot] * mRankLoads[aHot] +
                          mRankLoads[aRank] * mRankLoads[aRank];
    const double hot = mRankLoads[aHot] - delta;
    const double cold = mRankLoads[aRank] + delta;
    offer({ .rank = aHot,
            .slot = aMine,
            .expert = here,
            .other = std::make_pair(aRank, aTheirs),
            .gain = before - hot * hot - cold * cold,
            .moves = 2 });
  }

  /// A needless copy elsewhere makes room for a copy of a hot expert.
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
    const double before = unevenness(loads);
    const auto shift = [&](std::uint16_t aExpert, double aOld, double aNew) {
      for (std::size_t rank = 0; rank < loads.size(); ++rank) {
        if (holds(mMap.slots[rank], aExpert)) {
          loads[rank] += aNew - aOld;
        }
      }
    };
    const double hotCopies = static_cast<double>(mCopies[aHot]);
    const double droppedCopies = static_cast<double>(mCopies[dropped]);
    const double hotNew = mLoads[aHot] / (hotCopies + 1);
    shift(aHot, share(aHot), hotNew);
    const double droppedNew = mLoads[dropped] / (droppedCopies - 1);
    shift(dropped, share(dropped), droppedNew);
    loads[aRank] += hotNew - droppedNew;
    offer({ .rank = aRank,
            .slot = aSlot,
            .expert = aHot,
            .gain = before - unevenness(loads) });
  }

  const ExpertMap& mMap;
  const std::vector<double>& mLoads;
  std::vector<std::size_t> mCopies;
  std::vector<double> mRankLoads;
  std::optional<Step> mBest;
};

} // namespace

double
evenTime(double aWork, std::size_t aRanks, const std::vector<double>& aPaces)
{
  double speed = 0;
  for (std::size_t rank = 0; rank < aRanks; ++rank) {
    speed += 1 / paceOf(aPaces, rank);
  }
  return speed > 0 ? aWork / speed : 0;
}

double
skewOf(const ExpertMap& aMap,
       const std::vector<double>& aLoads,
       const std::vector<double>& aPaces)
{
  const auto loads = rankLoads(aMap, aLoads, copiesOf(aMap, aLoads.size()));
  const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
  double longest = 0;
  for (std::size_t rank = 0; rank < loads.size(); ++rank) {
    longest = std::max(longest, loads[rank] * paceOf(aPaces, rank));
  }
  return total <= 0 ? 1 : longest / evenTime(total, loads.size(), aPaces);
}

ExpertMap
planFully(const std::vector<double>& aLoads, const PlannerOptions& aOptions)
{
  const std::size_t experts = aLoads.size();
  std::vector<std::size_t> copies(experts, 1);
  // Each spare slot goes to the expert whose copies are the most loaded.
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
  std::vector<std::pair<double, std::uint16_t>> items;
  for (std::size_t i = 0; i < experts; ++i) {
    for (std::size_t copy = 0; copy < copies[i]; ++copy) {
      items.emplace_back(aLoads[i] / static_cast<double>(copies[i]),
                         static_cast<std::uint16_t>(i));
    }
  }
  std::sort(items.begin(), items.end(), std::greater<>());
  ExpertMap map{ .slots =
                   std::vector<std::vector<std::uint16_t>>(aOptions.ranks) };
  std::vector<double> loads(aOptions.ranks, 0);
  for (const auto& [load, expert] : items) {
    std::size_t best = aOptions.ranks;
    for (std::size_t rank = 0; rank < aOptions.ranks; ++rank) {
      const bool fits = map.slots[rank].size() < aOptions.slotsPerRank &&
                        !holds(map.slots[rank], expert);
      if (fits && (best == aOptions.ranks || loads[rank] < loads[best])) {
        best = rank;
      }
    }
    if (best == aOptions.ranks) {
      // Only ranks that hold it have room; a second copy there does no harm.
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
movesBetween(const ExpertMap& aOld, const ExpertMap& aNew)
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
improve(const ExpertMap& aPresent,
        const std::vector<double>& aLoads,
        const PlannerOptions& aOptions)
{
  MapPlan plan{ .map = aPresent, .skew = skewOf(aPresent, aLoads) };
  if (plan.skew <= aOptions.replanSkew) {
    return plan;
  }
  while (plan.skew > 1 + (aOptions.replanSkew - 1) / 2 &&
         plan.moves < aOptions.maxMoves) {
    const auto step = StepSearch(plan.map, aLoads).best();
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
