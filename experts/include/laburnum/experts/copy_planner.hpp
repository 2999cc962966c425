#pragma once

#include "laburnum/experts/switch_envelope.hpp"

#include <limits>

namespace laburnum::experts {

/// Limits of one map change. A set is a set of layers that share an expert map;
/// a copy is the weights of one expert, copied to a rank.
struct CopyPlanOptions
{
  std::size_t slotsPerRank = 1;     ///< Experts that fit on a rank, per set.
  std::size_t maxCopiesPerRank = 1; ///< Copies to one rank, per set.
  /// Copies to one rank over all sets. A rank copies its experts one after the
  /// other, and the old map stays in force until the last rank has finished.
  std::size_t maxTotalCopiesPerRank = std::numeric_limits<std::size_t>::max();
  std::size_t maxCopies = 64; ///< Copies to all ranks, per set.
  /// Copies to all ranks over all sets.
  std::size_t maxTotalCopies = std::numeric_limits<std::size_t>::max();
  /// Time that each rank takes for the same work, relative to a normal rank (1
  /// is normal, 2 takes twice as long). Ranks beyond the list count as 1.
  std::vector<double> paces;
  /// Minimum reduction of the skew for each copy, as a fraction of the mean
  /// rank load.
  double minGain = 0.04;
};

/// A changed map of all sets, with its cost and predicted effect.
struct GroupPlan
{
  GroupMap map;
  std::size_t copies = 0;          ///< Copies to all ranks.
  std::size_t maxCopiesOnRank = 0; ///< Copies to the rank that gets the most.
  double skewBefore = 0; ///< Sum of the sets' skews with the present map.
  double skewAfter = 0;  ///< Predicted sum of the skews with the new map.
};

/// Rebalances the map of a group with few copies when the load shifts to other
/// experts within seconds or a rank becomes slow. Starting with the set of the
/// highest skew, it repeats the step that reduces the load most for its cost:
/// - copy a hot expert into a free slot, or into the slot of an expert that
///   another rank holds too;
/// - swap two experts between ranks;
/// - remove an expert from a slow rank if another rank holds it; this needs no
///   copy.
/// aLoads has the load of each expert by set, in any unit. The experts of each
/// rank are sorted in the result. Thread-safe.
/// @pre aLoads has as many sets as aPresent, and every expert has a copy.
GroupPlan
planCopies(const GroupMap& aPresent,
           const std::vector<std::vector<double>>& aLoads,
           const CopyPlanOptions& aOptions);

/// Returns the sum of the sets' skews, each the time of the slowest rank
/// divided by the time with a perfectly balanced load. Thread-safe.
/// @pre aLoads has as many sets as aMap, and every expert has a copy.
double
skewOf(const GroupMap& aMap,
       const std::vector<std::vector<double>>& aLoads,
       const std::vector<double>& aPaces = {});

} // namespace laburnum::experts
