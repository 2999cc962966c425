#include "laburnum/experts/map_planner.hpp"
#include "laburnum/kernel/random.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <set>

using namespace laburnum;
using namespace laburnum::experts;

namespace {

/// Returns loads that follow a Zipf distribution.
std::vector<double>
zipf(std::size_t aExperts, double aExponent)
{
  std::vector<double> loads;
  for (std::size_t i = 0; i < aExperts; ++i) {
    loads.push_back(1 / std::pow(static_cast<double>(i + 1), aExponent));
  }
  return loads;
}

/// Checks that all slots are used and every expert has a copy.
void
checkComplete(const ExpertMap& aMap,
              std::size_t aExperts,
              const PlannerOptions& aOptions)
{
  std::set<std::uint16_t> seen;
  for (const auto& slots : aMap.slots) {
    CHECK(slots.size() == aOptions.slotsPerRank);
    seen.insert(slots.begin(), slots.end());
  }
  CHECK(seen.size() == aExperts);
}

} // namespace

TEST_CASE(
  "planFromScratch, Zipf popularity, holds every expert within the skew")
{
  const PlannerOptions options;
  const auto loads = zipf(128, 0.8);
  const ExpertMap map = planFromScratch(loads, options);
  checkComplete(map, 128, options);
  CHECK(skewOf(map, loads) < options.maxSkew);
}

TEST_CASE("improveMap, a map within the hysteresis, moves nothing")
{
  const PlannerOptions options;
  const auto loads = zipf(128, 0.8);
  const ExpertMap map = planFromScratch(loads, options);
  const MapPlan plan = improveMap(map, loads, options);
  CHECK(plan.moves == 0);
  CHECK(plan.map == map);
}

TEST_CASE("improveMap, a hot expert, is relieved with few moves")
{
  const PlannerOptions options;
  auto loads = zipf(128, 0.8);
  const ExpertMap map = planFromScratch(loads, options);
  loads[100] *= 12;
  const MapPlan plan = improveMap(map, loads, options);
  checkComplete(plan.map, 128, options);
  CHECK(plan.skew < skewOf(map, loads));
  CHECK(plan.moves <= options.maxMoves);
  CHECK(countMoves(map, plan.map) <= plan.moves);
}
