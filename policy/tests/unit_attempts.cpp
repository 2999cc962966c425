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
  "AttemptTable, queried for an unknown attempt, refuses its delayed dispatch")
{
  CHECK(table.queryState(id, 2, now) == AttemptState::Revoked);
  CHECK(table.enqueue(id, 1, now) == Error::AttemptRevoked);
  CHECK_FALSE(table.start(id));

  SECTION("and drops the tombstone once the older connections are fenced")
  {
    table.updateFence(1, 2);
    CHECK(table.size() == 0);
    CHECK(table.enqueue(id, 1, now) == Error::AttemptRevoked);
  }
}

TEST_CASE_METHOD(AttemptTableFixture,
                 "AttemptTable, queried for a queued attempt, revokes it")
{
  REQUIRE(table.enqueue(id, 1, now) == Error::None);
  CHECK(table.queryState(id, 2, now) == AttemptState::Revoked);
  CHECK_FALSE(table.start(id));
}

TEST_CASE_METHOD(
  AttemptTableFixture,
  "AttemptTable, queried for a started attempt, reports its state")
{
  REQUIRE(table.enqueue(id, 1, now) == Error::None);
  REQUIRE(table.start(id));
  CHECK_FALSE(table.start(id));
  CHECK(table.queryState(id, 2, now) == AttemptState::Started);
  table.end(id, AttemptState::Finished, now);
  CHECK(table.queryState(id, 2, now) == AttemptState::Finished);
  CHECK(table.enqueue(id, 1, now) == Error::Conflict);
}

TEST_CASE_METHOD(
  AttemptTableFixture,
  "AttemptTable, evicted attempts, are never reported as not run")
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
                 "AttemptTable, acknowledged attempts, are evicted sooner")
{
  // Regression: with a capacity of 20,000 rows and a retention of two minutes,
  // the table was full at more than 166 attempts per second and refused work.
  for (std::uint64_t i = 0; i < 4; ++i) {
    const AttemptId attempt{ .entry = 1, .number = i };
    REQUIRE(table.enqueue(attempt, 1, now) == Error::None);
    table.start(attempt);
    table.end(attempt, AttemptState::Finished, now);
    table.markAcknowledged(attempt, now);
  }
  CHECK(table.enqueue(id, 1, now) == Error::AttemptsFull);
  CHECK(table.enqueue(id, 1, now + seconds(5)) == Error::None);
}

TEST_CASE_METHOD(AttemptTableFixture,
                 "AttemptTable, full, refuses new attempts instead of evicting")
{
  for (std::uint64_t i = 0; i < 4; ++i) {
    REQUIRE(table.enqueue({ .entry = 1, .number = i }, 1, now) == Error::None);
  }
  CHECK(table.enqueue(id, 1, now) == Error::AttemptsFull);
  CHECK(table.queryState(id, 2, now) == AttemptState::Unknown);
}

TEST_CASE("StreamAssembly, parts in any order, are returned once and in order")
{
  StreamAssembly assembly;
  CHECK(assembly.add(1, "b").empty());
  CHECK(assembly.add(0, "a") == std::vector<std::string>{ "a", "b" });
  CHECK(assembly.add(1, "b").empty());
  assembly.finish(3);
  CHECK_FALSE(assembly.isComplete());
  CHECK(assembly.add(2, "c").size() == 1);
  CHECK(assembly.isComplete());

  SECTION("a restart drops parts behind a gap")
  {
    assembly.add(5, "old");
    assembly.restart();
    CHECK(assembly.add(3, "d").size() == 1);
    CHECK(assembly.next() == 4);
  }
}

TEST_CASE_METHOD(
  AttemptTableFixture,
  "AttemptTable, queried by another entry, never starts an unknown attempt")
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
