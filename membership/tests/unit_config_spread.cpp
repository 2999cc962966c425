#include "laburnum/membership/config_spread.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::membership;

namespace {

contract::Object
object(std::uint64_t aVersion, const std::string& aName = "garden")
{
  return { .kind = "contract",
           .name = aName,
           .version = aVersion,
           .value = R"({"account":")" + aName + "\"}" };
}

/// A daemon with an empty object store and two linked neighbours.
struct ConfigDisseminationFixture
{
  contract::ObjectStore store;
  ConfigDissemination dissemination{ store, {}, 1 };
  Instant now{ seconds(100) };
  std::set<std::string> linkedNeighbours{ "one", "two" };
};

} // namespace

TEST_CASE_METHOD(
  ConfigDisseminationFixture,
  "ConfigDissemination: a watcher queries once and then long-polls")
{
  auto actions = dissemination.tick(now, true);
  REQUIRE(actions.size() == 1);
  CHECK_FALSE(std::get<QueryPlatform>(actions.front()).longPoll);
  CHECK(dissemination.tick(now, true).empty());
  CHECK(dissemination.onPlatformObjects({ object(5) }, 7, linkedNeighbours, now)
          .size() == 2);
  actions = dissemination.tick(now, true);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<QueryPlatform>(actions.front()).longPoll);
  CHECK(std::get<QueryPlatform>(actions.front()).afterVersion == 7);
}

TEST_CASE_METHOD(
  ConfigDisseminationFixture,
  "ConfigDissemination: other daemons query only when unconfirmed for too long")
{
  dissemination.onPlatformObjects({ object(5) }, 5, linkedNeighbours, now);
  CHECK(dissemination.tick(now + seconds(2), false).empty());
  dissemination.onHeartbeat(
    "one", dissemination.digest(), milliseconds(100), now + seconds(2));
  CHECK(dissemination.tick(now + seconds(4), false).empty());
  CHECK(dissemination.tick(now + seconds(5), false).size() == 1);
}

TEST_CASE_METHOD(ConfigDisseminationFixture,
                 "ConfigDissemination: failed platform queries back off")
{
  int calls = 0;
  for (int i = 0; i < 6000; ++i, now += milliseconds(100)) {
    if (!dissemination.tick(now, false).empty()) {
      ++calls;
      dissemination.onPlatformFailure(now);
    }
  }
  CHECK(calls > 5);
  CHECK(calls < 30);
}

TEST_CASE_METHOD(
  ConfigDisseminationFixture,
  "ConfigDissemination: an outdated list neither reverts nor confirms objects")
{
  dissemination.onPlatformObjects({ object(9) }, 9, linkedNeighbours, now);
  now += seconds(1);
  CHECK(dissemination.onPlatformObjects({ object(4) }, 4, linkedNeighbours, now)
          .empty());
  CHECK(store.find("contract", "garden")->version == 9);
  CHECK(dissemination.confirmationAge(now) == seconds(1));
}

TEST_CASE_METHOD(
  ConfigDisseminationFixture,
  "ConfigDissemination: a delta is forwarded once to the other neighbours")
{
  const auto actions =
    dissemination.onObjects("one", { object(3) }, linkedNeighbours);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<SendObjects>(actions.front()).to == "two");
  CHECK(
    dissemination.onObjects("two", { object(3) }, linkedNeighbours).empty());
  CHECK(dissemination.hasConfiguration());
}

TEST_CASE_METHOD(
  ConfigDisseminationFixture,
  "ConfigDissemination: a lost delta is repaired through digest buckets")
{
  contract::ObjectStore peerStore;
  ConfigDissemination peer(peerStore, {}, 2);
  peer.onObjects("", { object(3), object(4, "river") }, {});
  dissemination.onObjects("", { object(3) }, {});
  const auto request =
    dissemination.onHeartbeat("one", peer.digest(), std::nullopt, now);
  REQUIRE(request.size() == 1);
  const auto reply = peer.onDigestBuckets(
    "self", std::get<SendObjectDigest>(request.front()).buckets);
  REQUIRE(reply.size() == 1);
  dissemination.onObjects(
    "one", std::get<SendObjects>(reply.front()).objects, {});
  CHECK(store.find("contract", "river") != nullptr);
  CHECK(dissemination.digest() == peer.digest());
}
