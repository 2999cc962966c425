#pragma once

#include "laburnum/experts/map_planner.hpp"

namespace laburnum::experts {

struct CopyPlanOptions
{
  std::size_t placements = 1; ///< Experts that fit on a rank.
  std::size_t newPerRank = 1; ///< Experts that one change may copy to a rank.
  std::size_t maxCopies = 64; ///< Copies of one change, over all ranks.
  /// A step is worth a copy only if it lowers the largest load by this part of
  /// the mean.
  double leastGain = 0.04;
};

/// Improves the map of one set of layers by copies of hot experts, into places
/// that are free or hold an expert that another rank holds too, and by swaps.
/// Answers the load in which a few experts draw most of the work and others
/// do a few seconds later: few copies, the ones that relieve most first.
/// Pre: every expert has a copy. Thread safety: any thread.
MapPlan
planCopies(const ExpertMap& aPresent,
           const std::vector<double>& aLoads,
           const CopyPlanOptions& aOptions);

} // namespace laburnum::experts
