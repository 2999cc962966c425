#pragma once

#include <cstddef>
#include <vector>

namespace laburnum::gateway {

/// Draws one of several servers for a request, so that many gateways that know
/// the same, slightly outdated loads level them together instead of all
/// choosing the same server. aArrivals is the number of requests that all
/// gateways are expected to place by the same loads, this one included. Each
/// server is drawn with the probability in proportion to what it would receive
/// if that many requests were placed one by one at the least loaded server.
/// aUnit is a random number in [0, 1).
///
/// Answers the load pattern of many gateways that place requests between two
/// messages about the loads. With one request expected, the least loaded
/// server is drawn, at random among equals. Thread safety: any thread.
/// @pre aLoads is not empty, aArrivals > 0.
std::size_t
drawLevelled(const std::vector<double>& aLoads, double aArrivals, double aUnit);

/// As above for receivers of different sizes: levels the loads as fractions of
/// aCapacities.
/// @pre As above; as many capacities as loads, all > 0.
std::size_t
drawLevelled(const std::vector<double>& aLoads,
             const std::vector<double>& aCapacities,
             double aArrivals,
             double aUnit);

} // namespace laburnum::gateway
