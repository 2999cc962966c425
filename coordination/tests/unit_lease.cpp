#include "laburnum/coordination/lease.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::coordination;

namespace {

/// Two candidates and the platform's record between them.
struct LeaseFixture
{
  Lease one{ "one" };
  Lease two{ "two" };
  Instant now{ seconds(100) };
  LeaseRecord record;
  std::uint64_t version = 0;
  std::uint64_t nonce = 0;

  void drive(Lease& aLease)
  {
    for (const LeaseAction& action : aLease.tick(now, ++nonce)) {
      if (const auto* write = std::get_if<WriteLease>(&action)) {
        if (write->expected != version) {
          aLease.conflicted(version, record, now);
          continue;
        }
        record = write->record;
        aLease.written(++version, now, now);
      } else {
        aLease.readBack(version, record, now);
      }
    }
  }

  void pass(Duration aTime, bool aOneRuns = true)
  {
    for (const Instant end = now + aTime; now < end; now += milliseconds(500)) {
      if (aOneRuns) {
        drive(one);
      }
      drive(two);
    }
  }
};

} // namespace

TEST_CASE_METHOD(LeaseFixture, "Lease, two candidates, exactly one holds it")
{
  pass(seconds(30));
  CHECK(one.holds(now) != two.holds(now));
  CHECK(record.fence == 1);
}

TEST_CASE_METHOD(
  LeaseFixture,
  "Lease, a paused holder, has stopped before another takes over")
{
  pass(seconds(5));
  REQUIRE(one.holds(now));
  for (const Instant end = now + seconds(12); now < end;
       now += milliseconds(100)) {
    drive(two);
    CHECK_FALSE((one.holds(now) && two.holds(now)));
  }
  CHECK(two.holds(now));
  CHECK(two.fence() == 2);
  drive(one);
  CHECK_FALSE(one.holds(now));
}

TEST_CASE_METHOD(LeaseFixture,
                 "Lease, lost replies to renewals, are settled by reading back")
{
  pass(seconds(5));
  now += seconds(2);
  const auto actions = one.tick(now, ++nonce);
  REQUIRE(actions.size() == 1);
  record = std::get<WriteLease>(actions.front()).record;
  ++version;
  one.failed();
  pass(seconds(4));
  CHECK(one.holds(now));
  CHECK(record.fence == 1);
}

TEST_CASE_METHOD(LeaseFixture,
                 "Lease, an outage longer than the term, lets the duty rest")
{
  pass(seconds(5));
  REQUIRE(one.holds(now));
  for (int i = 0; i < 20; ++i, now += milliseconds(500)) {
    if (!one.tick(now, ++nonce).empty()) {
      one.failed();
    }
  }
  CHECK_FALSE(one.holds(now));
  CHECK(one.state() == LeaseState::Resting);
  pass(seconds(3), true);
  CHECK(one.holds(now) != two.holds(now));
}
