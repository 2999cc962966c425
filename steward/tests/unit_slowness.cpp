#include "laburnum/steward/slowness.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::steward;

namespace {

struct SlowdownFixture
{
  SlowdownFilter filter;
  Instant now{ seconds(100) };

  /// Reports a slowdown every 100 ms for a time.
  void report(double aSlowdown, Duration aTime)
  {
    for (Duration elapsed{ 0 }; elapsed < aTime; elapsed += milliseconds(100)) {
      filter.observe(aSlowdown, now);
      now += milliseconds(100);
    }
  }
};

} // namespace

TEST_CASE("slowdown_filter_engineBecomesSlow_isConfirmedAndWritten")
{
  SlowdownFixture engine;
  engine.report(1, seconds(1));
  CHECK_FALSE(engine.filter.takeValueToStore(engine.now));
  engine.report(5, milliseconds(200));
  CHECK(engine.filter.slowdown() == 1);
  engine.report(5, milliseconds(300));
  CHECK(engine.filter.slowdown() == 5);
  CHECK(engine.filter.takeValueToStore(engine.now) == 5.0);
}

TEST_CASE("slowdown_filter_slowdownBelowThreshold_isIgnored")
{
  SlowdownFixture engine;
  engine.report(1.3, seconds(1));
  CHECK(engine.filter.slowdown() == 1);
}

TEST_CASE("slowdown_filter_writeFails_isRepeatedAfterTheInterval")
{
  SlowdownFixture engine;
  engine.report(5, seconds(1));
  CHECK(engine.filter.takeValueToStore(engine.now));
  CHECK_FALSE(engine.filter.takeValueToStore(engine.now + milliseconds(500)));
  CHECK(engine.filter.takeValueToStore(engine.now + milliseconds(1000)));
  engine.filter.setStored(5);
  CHECK_FALSE(engine.filter.takeValueToStore(engine.now + seconds(5)));
}

TEST_CASE("slowdown_filter_storeHasAnOldValue_isCorrected")
{
  SlowdownFixture engine;
  engine.filter.setStored(12);
  engine.report(1, milliseconds(100));
  CHECK(engine.filter.takeValueToStore(engine.now) == 1.0);
}
