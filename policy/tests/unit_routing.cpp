#include "laburnum/policy/router.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace laburnum;
using namespace laburnum::policy;

namespace {

struct RouterFixture
{
  Router router;
  Instant now{ seconds(1) };

  RouterFixture()
  {
    for (ServerId id = 1; id <= 8; ++id) {
      router.upsert({ .id = id,
                      .domain = id % 2 == 0 ? "a" : "b",
                      .offers = { "m@1" },
                      .slots = 8 });
    }
  }

  RouteQuery query(std::span<const ServerId> aExcluded = {}) const
  {
    return {
      .offer = "m", .domain = "a", .cost = 10, .excluded = aExcluded, .now = now
    };
  }
};

} // namespace

TEST_CASE_METHOD(RouterFixture, "Router, ineligible servers, are never chosen")
{
  router.markLive(1, false);
  router.markLeaving(2, true);
  const ServerId excluded[]{ 3, 4, 5, 6, 7 };
  for (int i = 0; i < 20; ++i) {
    CHECK(router.choose(query(excluded)) == 8U);
  }
  router.remove(8);
  CHECK_FALSE(router.choose(query(excluded)));
  CHECK_FALSE(router.choose({ .offer = "m@2", .now = now }));
}

TEST_CASE_METHOD(RouterFixture,
                 "Router, each registered policy, chooses a server")
{
  for (const char* policy : { "round_robin",
                              "least_outstanding",
                              "power_of_two",
                              "weighted_load" }) {
    REQUIRE(router.setPolicy(policy));
    CHECK(router.choose(query()));
  }
  CHECK_FALSE(router.setPolicy("unregistered"));
}

TEST_CASE_METHOD(
  RouterFixture,
  "Router, many requests after one stale report, are spread over servers")
{
  for (ServerId id = 1; id <= 8; ++id) {
    router.updateLoad(id,
                      { .running = id == 3 ? 0 : 4,
                        .cost = id == 3 ? 0.0 : 400.0,
                        .tokensPerSecond = 100 });
  }
  std::map<ServerId, int> chosen;
  for (int i = 0; i < 400; ++i) {
    const auto server = router.choose(query());
    REQUIRE(server);
    router.recordSent(*server, 10);
    ++chosen[*server];
  }
  for (ServerId id = 1; id <= 8; ++id) {
    CHECK(chosen[id] < 110);
  }
}

TEST_CASE_METHOD(RouterFixture,
                 "Router, failing servers, are ejected up to the maximum share")
{
  for (ServerId id = 1; id <= 8; ++id) {
    for (int i = 0; i < 3; ++i) {
      router.recordEnd(id, true, now);
    }
  }
  int ejected = 0;
  for (ServerId id = 1; id <= 8; ++id) {
    ejected += router.find(id)->ejectedUntil > now ? 1 : 0;
  }
  CHECK(ejected == 2);
}

TEST_CASE_METHOD(
  RouterFixture,
  "Router, a slow server, has its load share lowered and restored")
{
  router.updateLoad(5, { .running = 1, .tokensPerSecond = 20 });
  router.updateLoadShares();
  CHECK(router.find(5)->loadShare == 0.5);
  CHECK(router.find(6)->loadShare == 1);
  router.updateLoad(5, { .running = 1, .tokensPerSecond = 100 });
  router.updateLoadShares();
  CHECK(router.find(5)->loadShare > 0.5);
}

TEST_CASE("PrefixIndex, an evicted block, ends the count of leading blocks")
{
  PrefixIndex index(100);
  const auto blocks = hashPrefixBlocks(std::string(64 * 4, 'x'));
  REQUIRE(blocks.size() == 4);
  index.addBlocks(1, blocks);
  CHECK(index.countLeadingBlocks(1, blocks) == 4);
  index.removeBlock(1, blocks[1]);
  CHECK(index.countLeadingBlocks(1, blocks) == 1);
  CHECK(index.countLeadingBlocks(2, blocks) == 0);
}
