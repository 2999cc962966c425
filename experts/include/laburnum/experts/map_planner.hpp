#pragma once

#include <cstdint>
#include <vector>

namespace laburnum::experts {

/// Placement of one layer's experts: `slots[rank]` lists the experts that the
/// rank holds. The load of an expert is split evenly over its copies.
struct ExpertMap
{
  std::vector<std::vector<std::uint16_t>> slots;

  bool operator==(const ExpertMap&) const = default;
};

struct PlannerOptions
{
  std::size_t ranks = 32;
  std::size_t slotsPerRank = 5; ///< Experts that fit on a rank, per layer.
  double maxSkew = 1.10;        ///< Target for maximum / mean of rank loads.
  double replanSkew = 1.05;     ///< No change up to this skew (hysteresis).
  std::size_t maxMoves = 24;    ///< Maximum number of copies in one change.
};

/// A changed map and its cost.
struct MapPlan
{
  ExpertMap map;
  std::size_t moves = 0; ///< Experts that ranks have to load.
  double skew = 1;       ///< Predicted maximum / mean with the new map.
};

/// Returns the time that a rank takes for the same work, relative to a normal
/// rank; 1 for ranks beyond the list.
inline double
paceOf(const std::vector<double>& aPaces, std::size_t aRank)
{
  return aRank < aPaces.size() ? aPaces[aRank] : 1;
}

/// Returns the time for the work when it is balanced perfectly, that is, when
/// all ranks finish at once. The unit is that of aWork.
/// @pre All paces are above 0.
double
balancedTime(double aWork,
             std::size_t aRankCount,
             const std::vector<double>& aPaces);

/// Returns the time of the slowest rank divided by the balanced time. With
/// equal paces this is the maximum divided by the mean of the rank loads.
/// Complexity: linear in the number of copies.
/// @pre Every expert has a copy.
double
skewOf(const ExpertMap& aMap,
       const std::vector<double>& aLoads,
       const std::vector<double>& aPaces = {});

/// Plans a map without regard to the present one: replicates hot experts and
/// assigns copies in order of decreasing load to the least loaded rank with a
/// free slot (Graham, 1969).
/// @pre ranks * slotsPerRank >= number of experts
ExpertMap
planFromScratch(const std::vector<double>& aLoads,
                const PlannerOptions& aOptions);

/// Improves a map in single steps, each with the largest reduction of the load
/// imbalance per copy: swaps two experts, or puts a copy of a hot expert in
/// place of a redundant copy of another. Returns the map unchanged while its
/// skew is at most `replanSkew`.
/// Complexity: moves * ranks * slots.
/// @pre Every expert has a copy.
MapPlan
improveMap(const ExpertMap& aPresent,
           const std::vector<double>& aLoads,
           const PlannerOptions& aOptions);

/// Counts the experts that a rank holds in the new map but not in the old one.
/// @pre Both maps have the same number of ranks.
std::size_t
countMoves(const ExpertMap& aOld, const ExpertMap& aNew);

} // namespace laburnum::experts
