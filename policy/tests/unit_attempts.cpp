#include "laburnum/policy/attempt_table.hpp"
#include "laburnum/policy/stream_assembly.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::policy;

namespace {

struct AttemptTableFixture
{
  AttemptTable table{ { .capacity = 4, .endedRetention = seconds(10) } };
  Instant now{ seconds(100) };
  AttemptId id{ .entry = 1, .number = 5 };
};

} // namespace

TEST_CASE_METHOD(
  AttemptTableFixture,
  "AttemptTable, asked after an unknown attempt, refuses its late frame")
{
  CHECK(table.queryState(id, 2, now) == AttemptState::Revoked);
  CHECK(table.enqueue(id, 1, now) == Error::AttemptRevoked);
  CHECK_FALSE(table.start(id));

  SECTION("and needs no tombstone once the older connections are void")
  {
    table.updateFence(1, 2);
    CHECK(table.size() == 0);
    CHECK(table.enqueue(id, 1, now) == Error::AttemptRevoked);
  }
}

TEST_CASE_METHOD(AttemptTableFixture,
                 "AttemptTable, asked after a queued attempt, revokes it")
{
  REQUIRE(table.enqueue(id, 1, now) == Error::None);
  CHECK(table.queryState(id, 2, now) == AttemptState::Revoked);
  CHECK_FALSE(table.start(id));
}

TEST_CASE_METHOD(AttemptTableFixture,
                 "AttemptTable, asked after a started attempt, tells so")
{
  REQUIRE(table.enqueue(id, 1, now) == Error::None);
  REQUIRE(table.start(id));
  CHECK_FALSE(table.start(id));
  CHECK(table.queryState(id, 2, now) == AttemptState::Started);
  table.end(id, AttemptState::Finished, now);
  CHECK(table.queryState(id, 2, now) == AttemptState::Finished);
  CHECK(table.enqueue(id, 1, now) == Error::Conflict);
}

TEST_CASE_METHOD(AttemptTableFixture,
                 "AttemptTable, forgotten attempts, are never told as not run")
{
  REQUIRE(table.enqueue(id, 1, now) == Error::None);
  table.start(id);
  table.end(id, AttemptState::Finished, now);
  now += seconds(11);
  table.expire(now);
  CHECK(table.size() == 0);
  CHECK(table.queryState(id, 2, now) == AttemptState::Unknown);
  CHECK(verdictOf(table.queryState(id, 2, now)) == Verdict::MayHaveRun);
  CHECK(table.enqueue(id, 1, now) == Error::Conflict);
}

TEST_CASE_METHOD(AttemptTableFixture,
                 "AttemptTable, acknowledged attempts, make room soon")
{
  // Regression: 20,000 rows kept for two minutes refused all work above 166/s.
  for (std::uint64_t i = 0; i < 4; ++i) {
    const AttemptId each{ .entry = 1, .number = i };
    REQUIRE(table.enqueue(each, 1, now) == Error::None);
    table.start(each);
    table.end(each, AttemptState::Finished, now);
    table.markAcknowledged(each, now);
  }
  CHECK(table.enqueue(id, 1, now) == Error::AttemptsFull);
  CHECK(table.enqueue(id, 1, now + seconds(5)) == Error::None);
}

TEST_CASE_METHOD(AttemptTableFixture,
                 "AttemptTable, full, refuses new work before it forgets")
{
  for (std::uint64_t i = 0; i < 4; ++i) {
    REQUIRE(table.enqueue({ .entry = 1, .number = i }, 1, now) == Error::None);
  }
  CHECK(table.enqueue(id, 1, now) == Error::AttemptsFull);
  CHECK(table.queryState(id, 2, now) == AttemptState::Unknown);
}

TEST_CASE("StreamAssembly, parts in any order, come out once and in order")
{
  StreamAssembly assembly;
  CHECK(assembly.add(1, "b").empty());
  CHECK(assembly.add(0, "a") == std::vector<std::string>{ "a", "b" });
  CHECK(assembly.add(1, "b").empty());
  assembly.finish(3);
  CHECK_FALSE(assembly.isComplete());
  CHECK(assembly.add(2, "c").size() == 1);
  CHECK(assembly.isComplete());

  SECTION("a restart drops parts beyond a gap")
  {
    assembly.add(5, "old");
    assembly.restart();
    CHECK(assembly.add(3, "d").size() == 1);
    CHECK(assembly.next() == 4);
  }
}

TEST_CASE_METHOD(
  AttemptTableFixture,
  "AttemptTable, asked by another entry, never starts what is not known")
{
  CHECK(table.queryStateForOther(id, now) == AttemptState::Revoked);
  table.updateFence(1, 9);
  CHECK(table.enqueue(id, 9, now) == Error::AttemptRevoked);
  now += seconds(20);
  table.expire(now);
  CHECK(table.size() == 0);
  CHECK(table.enqueue(id, 9, now) == Error::Conflict);
  CHECK_FALSE(table.start(id));
  const AttemptId next{ .entry = 1, .number = 6 };
  CHECK(table.enqueue(next, 9, now) == Error::None);
  REQUIRE(table.start(next));
  CHECK(table.queryStateForOther(next, now) == AttemptState::Started);
}
