#include "laburnum/policy/quarantine.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::policy;

namespace {

constexpr Duration kTerm = seconds(60);
constexpr Instant kStart{ seconds(1000) };

} // namespace

TEST_CASE("quarantine_twoSuspectsAtTheSameCrashes_noOtherDaemonRefusesOne")
{
  const RequestContent inProgress[]{ { 1 }, { 2 } };
  Quarantine observer(kTerm);
  Quarantine other(kTerm);
  other.merge(observer.recordCrash(1, inProgress, kStart), kStart);
  other.merge(observer.recordCrash(2, inProgress, kStart), kStart);
  for (const Quarantine* quarantine : { &observer, &other }) {
    CHECK(quarantine->suspicion(1, kStart) == Suspicion::Suspect);
    CHECK(quarantine->suspicion(2, kStart) == Suspicion::Suspect);
  }
}

TEST_CASE("quarantine_crashSeenByTwoDaemons_noneRefusesThePartOfSoundRequests")
{
  // One of them knows only of a sound request that was in progress.
  constexpr std::uint64_t kShared = 100;
  constexpr std::uint64_t kCrashing = 101;
  const RequestContent first[]{ { 1, { kShared, 102 } },
                                { 2, { kShared, kCrashing } } };
  const RequestContent sound[]{ { 3, { kShared } } };
  const RequestContent crashing[]{ { 4, { kShared, kCrashing } } };
  Quarantine left(kTerm);
  Quarantine right(kTerm);
  Quarantine late(kTerm);
  right.merge(left.recordCrash(1, first, kStart), kStart);
  const auto ofLeft = left.recordCrash(2, sound, kStart);
  const auto ofRight = right.recordCrash(2, crashing, kStart);
  left.merge(ofRight, kStart);
  right.merge(ofLeft, kStart);
  late.merge(left.records(kStart), kStart);
  late.merge(right.records(kStart), kStart);
  for (const Quarantine* quarantine : { &left, &right, &late }) {
    CHECK(quarantine->suspicion(kCrashing, kStart) == Suspicion::Refused);
    CHECK(quarantine->suspicion(kShared, kStart) == Suspicion::Suspect);
  }
}

TEST_CASE("quarantine_refusalExpires_oneCrashRefusesAgainForLonger")
{
  Quarantine observer(kTerm);
  Quarantine other(kTerm);
  const RequestContent crashing[]{ { 1 } };
  for (const CrashId crash : { 1, 2, 3 }) {
    other.merge(observer.recordCrash(crash, crashing, kStart), kStart);
  }
  REQUIRE(other.suspicion(1, kStart + kTerm - Duration(1)) ==
          Suspicion::Refused);

  SECTION("it is tried again and crashes a server")
  {
    const Instant later = kStart + kTerm + seconds(1);
    CHECK(observer.suspicion(1, later) == Suspicion::Suspect);
    CHECK(other.merge(observer.recordCrash(4, crashing, later), later).size() ==
          1);
    for (const Quarantine* quarantine : { &observer, &other }) {
      CHECK(quarantine->suspicion(1, later) == Suspicion::Refused);
      CHECK(quarantine->suspicion(1, later + 9 * kTerm) == Suspicion::Refused);
      CHECK(quarantine->suspicion(1, later + seconds(7200)) == Suspicion::None);
    }
  }
  SECTION("it is tried again and does not")
  {
    const Instant later = kStart + kTerm;
    CHECK_FALSE(observer.clearSuspect(1, later - Duration(1)));
    CHECK(observer.clearSuspect(1, later));
    observer.recordCrash(4, crashing, later);
    CHECK(observer.suspicion(1, later) == Suspicion::Suspect);
  }
  SECTION("it is not tried again")
  {
    const Instant later = kStart + 2 * kTerm;
    CHECK(observer.suspicion(1, later) == Suspicion::None);
    CHECK(observer.records(later).empty());
    observer.recordCrash(4, crashing, later);
    CHECK(observer.suspicion(1, later) == Suspicion::Suspect);
  }
}
