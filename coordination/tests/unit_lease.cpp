#include "laburnum/coordination/lease.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::coordination;

namespace {

/// Two candidates that share one record in a simulated platform.
struct LeaseFixture
{
  Lease one{ "one" };
  Lease two{ "two" };
  Instant now{ seconds(100) };
  LeaseRecord record;
  std::uint64_t version = 0;
  std::uint64_t nonce = 0;

  void tickOnce(Lease& aLease)
  {
    for (const LeaseAction& action : aLease.tick(now, ++nonce)) {
      if (const auto* write = std::get_if<WriteLease>(&action)) {
        if (write->expectedVersion != version) {
          aLease.onConflict(version, record, now);
          continue;
        }
        record = write->record;
        aLease.onWritten(++version, now, now);
      } else {
        aLease.onRead(version, record, now);
      }
    }
  }

  void advance(Duration aTime, bool aOneRuns = true)
  {
    for (const Instant end = now + aTime; now < end; now += milliseconds(500)) {
      if (aOneRuns) {
        tickOnce(one);
      }
      tickOnce(two);
    }
  }
};

} // namespace

TEST_CASE_METHOD(LeaseFixture, "Lease, two candidates, exactly one holds it")
{
  advance(seconds(30));
  CHECK(one.holds(now) != two.holds(now));
  CHECK(record.fence == 1);
}

TEST_CASE_METHOD(LeaseFixture,
                 "Lease, paused holder, expires before another acquires it")
{
  advance(seconds(5));
  REQUIRE(one.holds(now));
  for (const Instant end = now + seconds(12); now < end;
       now += milliseconds(100)) {
    tickOnce(two);
    CHECK_FALSE((one.holds(now) && two.holds(now)));
  }
  CHECK(two.holds(now));
  CHECK(two.fence() == 2);
  tickOnce(one);
  CHECK_FALSE(one.holds(now));
}

TEST_CASE_METHOD(
  LeaseFixture,
  "Lease, reply to a renewal lost, is kept after reading the record")
{
  advance(seconds(5));
  now += seconds(2);
  const auto actions = one.tick(now, ++nonce);
  REQUIRE(actions.size() == 1);
  record = std::get<WriteLease>(actions.front()).record;
  ++version;
  one.onFailed();
  advance(seconds(4));
  CHECK(one.holds(now));
  CHECK(record.fence == 1);
}

TEST_CASE_METHOD(LeaseFixture,
                 "Lease, platform outage longer than the term, is suspended")
{
  advance(seconds(5));
  REQUIRE(one.holds(now));
  for (int i = 0; i < 20; ++i, now += milliseconds(500)) {
    if (!one.tick(now, ++nonce).empty()) {
      one.onFailed();
    }
  }
  CHECK_FALSE(one.holds(now));
  CHECK(one.state() == LeaseState::Suspended);
  advance(seconds(3), true);
  CHECK(one.holds(now) != two.holds(now));
}
