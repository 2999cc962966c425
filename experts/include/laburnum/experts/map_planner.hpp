#pragma once

#include <cstdint>
#include <vector>

namespace laburnum::experts {

/// Where the copies of the experts of one layer live: `slots[rank]` lists the
/// experts that the rank holds. An expert's load is split evenly over its
/// copies.
struct ExpertMap
{
  std::vector<std::vector<std::uint16_t>> slots;

  bool operator==(const ExpertMap&) const = default;
};

struct PlannerOptions
{
  std::size_t ranks = 32;
  std::size_t slotsPerRank = 5; ///< Copies that fit on a rank, in a layer.
  double maxSkew = 1.10;        ///< Wanted maximum over mean of rank loads.
  double replanSkew = 1.05;     ///< Below this nothing is moved (hysteresis).
  std::size_t maxMoves = 24;    ///< Weights loaded at most in one change.
};

/// A changed map and the weights that have to be loaded for it.
struct MapPlan
{
  ExpertMap map;
  std::size_t moves = 0; ///< Copies that a rank did not hold before.
  double skew = 1;       ///< Predicted maximum over mean with the new map.
};

/// How many times as long a rank takes for the same work; 1 beyond the list.
/// Pre: none.
inline double
paceOf(const std::vector<double>& aPaces, std::size_t aRank)
{
  return aRank < aPaces.size() ? aPaces[aRank] : 1;
}

/// The time that all ranks would take if each had the work that suits its pace.
/// Pre: paces above 0.
double
evenTime(double aWork, std::size_t aRanks, const std::vector<double>& aPaces);

/// The time of the rank that takes longest under a map against the even one:
/// maximum over mean of the ranks' loads where all have the same pace.
/// Pre: every expert has a copy. Complexity: linear in copies.
double
skewOf(const ExpertMap& aMap,
       const std::vector<double>& aLoads,
       const std::vector<double>& aPaces = {});

/// Plans anew without regard to the present map: hot experts are replicated,
/// then packed by decreasing load on the least loaded rank with room
/// (Graham, 1969). Pre: ranks x slots >= experts.
ExpertMap
planFully(const std::vector<double>& aLoads, const PlannerOptions& aOptions);

/// Improves the present map by few single steps, each the one that lowers the
/// largest rank load most: a copy moved, swapped or added in place of a
/// needless one. Nothing is done while the skew is within the hysteresis.
/// Pre: as above. Complexity: moves x ranks x slots.
MapPlan
improve(const ExpertMap& aPresent,
        const std::vector<double>& aLoads,
        const PlannerOptions& aOptions);

/// Copies of the new map that the same rank did not hold in the old one.
/// Pre: equal numbers of ranks.
std::size_t
movesBetween(const ExpertMap& aOld, const ExpertMap& aNew);

} // namespace laburnum::experts
