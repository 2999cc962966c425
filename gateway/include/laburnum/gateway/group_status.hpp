#pragma once

#include "laburnum/kernel/time.hpp"

#include <map>
#include <string>

namespace laburnum::gateway {

/// State of a group of ranks as the steward that controls its expert map tells
/// it to all gateways.
struct GroupStatus
{
  bool isOpen = false;    ///< The group serves requests.
  Duration passTime{ 0 }; ///< Smoothed duration of a pass.
  /// Time since the last pass began, while requests waited.
  Duration idleTime{ 0 };
  int gateways = 1; ///< That share the group, this one included.
  /// Requests that run or wait at each rank, of all gateways, by server id.
  /// Ranks whose load is not known are missing.
  std::map<std::string, int> loads;

  /// Requests at all ranks together.
  int totalLoad() const
  {
    int total = 0;
    for (const auto& [id, load] : loads) {
      total += load;
    }
    return total;
  }
};

} // namespace laburnum::gateway
