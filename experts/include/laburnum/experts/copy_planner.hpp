#pragma once

#include "laburnum/experts/switch_note.hpp"

#include <limits>

namespace laburnum::experts {

struct CopyPlanOptions
{
  std::size_t placements = 1; ///< Experts that fit on a rank.
  std::size_t newPerRank = 1; ///< Copied to a rank by one change, in a set.
  /// As above, in all sets: a rank copies one expert after another, and the
  /// former map holds until the last rank has done.
  std::size_t newPerRankInAll = std::numeric_limits<std::size_t>::max();
  std::size_t maxCopies = 64; ///< Of one change over all ranks, in a set.
  /// As above, in all sets.
  std::size_t maxCopiesInAll = std::numeric_limits<std::size_t>::max();
  /// How many times as long each rank takes for the same work; empty: once.
  std::vector<double> paces;
  /// A step is worth a copy only if it lowers the largest load by this part of
  /// the mean.
  double leastGain = 0.04;
};

/// A changed map of all sets of layers.
struct GroupPlan
{
  GroupMap map;
  std::size_t copies = 0;
  std::size_t mostOfRank = 0; ///< Copies to the rank that takes most.
  double before = 0;          ///< Sum of the sets' skews with the present map.
  double after = 0;           ///< As above, predicted with the new map.
};

/// Improves the map of a group by copies of hot experts, into places that are
/// free or hold an expert that another rank holds too, by swaps, and by taking
/// an expert from a slow rank where another one holds it too, without a copy;
/// the most uneven sets first. The experts of each rank are sorted. Answers the
/// load in which a few experts draw most of the work and others do a few
/// seconds later, and ranks that have turned slow: few copies, the ones that
/// relieve most first. Pre: as many sets of loads as of the map; every expert
/// has a copy. Thread safety: any thread.
GroupPlan
planCopies(const GroupMap& aPresent,
           const std::vector<std::vector<double>>& aLoads,
           const CopyPlanOptions& aOptions);

/// Sum of the sets' skews: the time of the rank that takes longest against that
/// of all ranks together. Pre: as above. Thread safety: any thread.
double
skewOf(const GroupMap& aMap,
       const std::vector<std::vector<double>>& aLoads,
       const std::vector<double>& aPaces = {});

} // namespace laburnum::experts
