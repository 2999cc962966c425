#include "laburnum/gateway/load_levelling.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// The load that all servers below it reach if aArrivals are added to them.
double
levelAfter(std::vector<double> aLoads, double aArrivals)
{
  std::sort(aLoads.begin(), aLoads.end());
  double sum = 0;
  for (std::size_t count = 1; count <= aLoads.size(); ++count) {
    sum += aLoads[count - 1];
    const double level = (sum + aArrivals) / static_cast<double>(count);
    if (count == aLoads.size() || level <= aLoads[count]) {
      return level;
    }
  }
  return aLoads.back();
}

} // namespace

std::size_t
drawLevelled(const std::vector<double>& aLoads, double aArrivals, double aUnit)
{
  const double level = levelAfter(aLoads, aArrivals);
  double remainder = aUnit * aArrivals;
  std::size_t last = 0;
  for (std::size_t i = 0; i < aLoads.size(); ++i) {
    if (aLoads[i] >= level) {
      continue;
    }
    last = i;
    remainder -= level - aLoads[i];
    if (remainder < 0) {
      return i;
    }
  }
  return last;
}

} // namespace laburnum::gateway
