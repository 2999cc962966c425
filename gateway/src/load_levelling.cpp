#include "laburnum/gateway/load_levelling.hpp"

#include <algorithm>
#include <numeric>

namespace laburnum::gateway {
namespace {

/// The fraction of their capacities that all servers below it reach if
/// aArrivals are added to them.
double
levelAfter(const std::vector<double>& aLoads,
           const std::vector<double>& aCapacities,
           double aArrivals)
{
  std::vector<std::size_t> order(aLoads.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  const auto fraction = [&](std::size_t aIndex) {
    return aLoads[aIndex] / aCapacities[aIndex];
  };
  std::sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return fraction(aLeft) < fraction(aRight);
    });
  double load = 0;
  double capacity = 0;
  double level = 0;
  for (std::size_t i = 0; i < order.size(); ++i) {
    load += aLoads[order[i]];
    capacity += aCapacities[order[i]];
    level = (load + aArrivals) / capacity;
    if (i + 1 < order.size() && level <= fraction(order[i + 1])) {
      break;
    }
  }
  return level;
}

} // namespace

std::size_t
drawLevelled(const std::vector<double>& aLoads,
             const std::vector<double>& aCapacities,
             double aArrivals,
             double aUnit)
{
  const double level = levelAfter(aLoads, aCapacities, aArrivals);
  double remainder = aUnit * aArrivals;
  std::size_t last = 0;
  for (std::size_t i = 0; i < aLoads.size(); ++i) {
    const double share = level * aCapacities[i] - aLoads[i];
    if (share <= 0) {
      continue;
    }
    last = i;
    remainder -= share;
    if (remainder < 0) {
      return i;
    }
  }
  return last;
}

std::size_t
drawLevelled(const std::vector<double>& aLoads, double aArrivals, double aUnit)
{
  return drawLevelled(
    aLoads, std::vector<double>(aLoads.size(), 1.0), aArrivals, aUnit);
}

} // namespace laburnum::gateway
