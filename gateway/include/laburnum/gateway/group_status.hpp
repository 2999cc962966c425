#pragma once

#include "laburnum/kernel/time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace laburnum::gateway {

/// Identifies a group of ranks. The servers of a service that belong to no
/// known group form one without a name.
struct GroupKey
{
  std::string service;
  std::string group;

  bool operator==(const GroupKey&) const = default;
  auto operator<=>(const GroupKey&) const = default;
};

/// State of a group of ranks as the steward that controls its expert map tells
/// it to all gateways.
struct GroupStatus
{
  std::string group;       ///< Name, unique in its service.
  std::uint64_t epoch = 0; ///< Rises each time the group forms.
  bool isOpen = false;     ///< The group serves requests.
  Duration passTime{ 0 };  ///< Smoothed duration of a pass.
  /// Time since the last pass began, while requests waited.
  Duration idleTime{ 0 };
  int gateways = 1; ///< That share the group, this one included.
  /// Requests that run or wait at each rank, of all gateways, by server id.
  /// Ranks whose load is not known are missing.
  std::map<std::string, int> loads;
  /// Ids of the servers of all ranks that are in the server list.
  std::set<std::string> servers;

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
