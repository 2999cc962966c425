#include "laburnum/experts/order_gate.hpp"
#include "laburnum/experts/placement.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::experts;

namespace {

struct PlacementFixture
{
  PlacementPlanner planner{ { .lossDelay = seconds(10), .parallelLoads = 2 } };
  Instant now{ seconds(100) };
  std::vector<PlacementServer> servers{
    { .name = "s1", .domain = "a", .model = "m@1" },
    { .name = "s2", .domain = "b", .model = "m@1" },
    { .name = "s3", .domain = "a", .model = "n@1" },
    { .name = "s4", .domain = "b", .model = "n@1" },
    { .name = "s5", .domain = "a", .model = "m@1" },
    { .name = "s6", .domain = "b" },
  };
  std::vector<PlacementDemand> demands{ { .model = "m@1", .servers = 3 },
                                        { .model = "n@1", .servers = 2 } };
};

} // namespace

TEST_CASE_METHOD(PlacementFixture, "Placement, all in place, orders nothing")
{
  CHECK(planner.tick(now, servers, demands).empty());
}

TEST_CASE_METHOD(PlacementFixture,
                 "Placement, a server that comes and goes, moves nothing")
{
  servers[2].live = false;
  CHECK(planner.tick(now, servers, demands).empty());
  now += seconds(9);
  servers[2].live = true;
  CHECK(planner.tick(now, servers, demands).empty());
  now += seconds(9);
  servers[2].live = false;
  CHECK(planner.tick(now, servers, demands).empty());
}

TEST_CASE_METHOD(PlacementFixture,
                 "Placement, servers lost, loads the most needed model first")
{
  servers[2].live = servers[3].live = servers[4].live = false;
  planner.tick(now, servers, demands);
  now += seconds(10);
  const auto orders = planner.tick(now, servers, demands);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].server == "s6");
  CHECK(orders[0].model == "n@1");
  CHECK(planner.tick(now, servers, demands).empty());
  CHECK(planner.explain().size() == 2);
}

TEST_CASE_METHOD(PlacementFixture,
                 "Placement, loads ordered by another holder, are counted")
{
  servers[2].model.clear();
  servers[2].loading = "n@1";
  CHECK(planner.tick(now, servers, demands).empty());
  demands[0].servers = 6;
  const auto orders = planner.tick(now, servers, demands);
  REQUIRE(orders.size() == 1); // two parallel loads, one of another holder
  CHECK(orders[0].server == "s6");
}

TEST_CASE_METHOD(PlacementFixture,
                 "Placement, models without a demand, keep their servers")
{
  servers[5].model = "other@1";
  demands[1].servers = 3;
  CHECK(planner.tick(now, servers, demands).empty());
  demands.push_back({ .model = "other@1", .servers = 0 });
  const auto orders = planner.tick(now, servers, demands);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].server == "s6");
}

TEST_CASE_METHOD(PlacementFixture,
                 "Placement, a load without effect, is given up and retried")
{
  demands[1].servers = 3;
  REQUIRE(planner.tick(now, servers, demands).size() == 1);
  now += seconds(60);
  CHECK(planner.tick(now, servers, demands).empty());
  CHECK(planner.isLoading("s6"));
  now += seconds(60);
  CHECK(planner.tick(now, servers, demands).size() == 1);
  servers[5].model = "n@1";
  CHECK(planner.tick(now, servers, demands).empty());
  CHECK_FALSE(planner.isLoading("s6"));
}

TEST_CASE("OrderGate, stale and unknown fencing tokens, are not admitted")
{
  OrderGate gate;
  CHECK(gate.admit("duty", 3) == GateDecision::Unknown);
  gate.observe("duty", 4);
  CHECK(gate.admit("duty", 3) == GateDecision::Stale);
  CHECK(gate.admit("duty", 4) == GateDecision::Admit);
  CHECK(gate.admit("duty", 6) == GateDecision::Admit);
  CHECK(gate.admit("duty", 5) == GateDecision::Stale);
}
