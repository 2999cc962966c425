#include "laburnum/steward/slowness.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::steward;

namespace {

struct SlownessFixture
{
  Slowness slowness;
  Instant now{ seconds(100) };

  /// An engine says its pace every 100 ms.
  void last(double aPace, Duration aTime)
  {
    for (Duration at{ 0 }; at < aTime; at += milliseconds(100)) {
      slowness.seen(aPace, now);
      now += milliseconds(100);
    }
  }
};

} // namespace

TEST_CASE("slowness_engineTurnsSlow_isBelievedAfterAWhileAndTold")
{
  SlownessFixture engine;
  engine.last(1, seconds(1));
  CHECK_FALSE(engine.slowness.due(engine.now));
  engine.last(5, milliseconds(200));
  CHECK(engine.slowness.pace() == 1);
  engine.last(5, milliseconds(300));
  CHECK(engine.slowness.pace() == 5);
  CHECK(engine.slowness.due(engine.now) == 5.0);
}

TEST_CASE("slowness_paceWithinWhatServersDifferBy_isNone")
{
  SlownessFixture engine;
  engine.last(1.3, seconds(1));
  CHECK(engine.slowness.pace() == 1);
}

TEST_CASE("slowness_storeDoesNotTakeIt_isToldAgainAfterAPause")
{
  SlownessFixture engine;
  engine.last(5, seconds(1));
  CHECK(engine.slowness.due(engine.now));
  CHECK_FALSE(engine.slowness.due(engine.now + milliseconds(500)));
  CHECK(engine.slowness.due(engine.now + milliseconds(1000)));
  engine.slowness.stored(5);
  CHECK_FALSE(engine.slowness.due(engine.now + seconds(5)));
}

TEST_CASE("slowness_storeStillTellsAFormerPace_isCorrected")
{
  SlownessFixture engine;
  engine.slowness.stored(12);
  engine.last(1, milliseconds(100));
  CHECK(engine.slowness.due(engine.now) == 1.0);
}
