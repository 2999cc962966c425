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

TEST_CASE("quarantine_servedPartAtCrashesOfOneMoment_isNotRefused")
{
  // Servers crash for another reason while many requests share a part.
  constexpr std::uint64_t kPart = 100;
  const auto isServed = [](std::uint64_t aContent) {
    return aContent == kPart;
  };
  Quarantine observer(kTerm);
  Quarantine other(kTerm);
  Instant now = kStart;
  for (std::uint64_t crash = 1; crash <= 4; ++crash) {
    const RequestContent inProgress[]{ { crash, { kPart } } };
    const auto records = observer.recordCrash(crash, inProgress, now, isServed);
    now += milliseconds(600);
    other.merge(records, now);
  }
  for (const Quarantine* quarantine : { &observer, &other }) {
    CHECK(quarantine->suspicion(kPart, now) == Suspicion::Suspect);
  }
}

TEST_CASE("quarantine_partCrashesServersThoughServedBefore_isRefused")
{
  constexpr std::uint64_t kPart = 100;
  const auto isServed = [](std::uint64_t aContent) {
    return aContent == kPart;
  };
  Quarantine observer(kTerm);
  Quarantine other(kTerm);
  Instant now = kStart;
  for (std::uint64_t crash = 1; crash <= 3; ++crash, now += seconds(5)) {
    CHECK(other.suspicion(kPart, now) != Suspicion::Refused);
    const RequestContent inProgress[]{ { crash, { kPart } } };
    other.merge(observer.recordCrash(crash, inProgress, now, isServed), now);
  }
  for (const Quarantine* quarantine : { &observer, &other }) {
    CHECK(quarantine->suspicion(kPart, now) == Suspicion::Refused);
  }
}

TEST_CASE("quarantine_servedAndNewPartAtTheSameCrashes_onlyTheNewOneIsRefused")
{
  constexpr std::uint64_t kServed = 100;
  constexpr std::uint64_t kNew = 101;
  const auto isServed = [](std::uint64_t aContent) {
    return aContent == kServed;
  };
  Quarantine quarantine(kTerm);
  Instant now = kStart;
  for (std::uint64_t crash = 1; crash <= 3; ++crash, now += seconds(5)) {
    const RequestContent inProgress[]{ { 2 * crash, { kServed } },
                                       { 2 * crash + 1, { kNew } } };
    quarantine.recordCrash(crash, inProgress, now, isServed);
    CHECK(quarantine.suspicion(kServed, now) == Suspicion::Suspect);
  }
  CHECK(quarantine.suspicion(kNew, now) == Suspicion::Refused);
}

TEST_CASE("quarantine_anotherDaemonHasServedThePart_refusalIsTakenBack")
{
  constexpr std::uint64_t kPart = 100;
  Quarantine observer(kTerm);
  Quarantine server(kTerm);
  for (std::uint64_t crash = 1; crash <= 2; ++crash) {
    const RequestContent inProgress[]{ { crash, { kPart } } };
    server.merge(observer.recordCrash(crash, inProgress, kStart), kStart);
  }
  REQUIRE(server.suspicion(kPart, kStart) == Suspicion::Refused);
  const auto record = server.markServed(kPart, kStart);
  REQUIRE(record);
  CHECK(observer.merge({ &*record, 1 }, kStart).size() == 1);
  for (Quarantine* quarantine : { &observer, &server }) {
    CHECK(quarantine->suspicion(kPart, kStart) == Suspicion::Suspect);
    // A record from before changes nothing any more, so that it is not passed
    // on for ever.
    SuspicionRecord former = *record;
    former.crashes = 2;
    former.wasServed = false;
    CHECK(quarantine->merge({ &former, 1 }, kStart).empty());
  }
}

TEST_CASE("quarantine_fullOfExpiredSuspicions_takesNewOnes")
{
  Quarantine quarantine(kTerm, 2);
  const RequestContent former[]{ { 1 }, { 2 } };
  quarantine.recordCrash(1, former, kStart);
  const RequestContent inProgress[]{ { 3 } };
  quarantine.recordCrash(2, inProgress, kStart);
  CHECK(quarantine.suspicion(3, kStart) == Suspicion::None);
  const Instant later = kStart + kTerm;
  quarantine.recordCrash(3, inProgress, later);
  CHECK(quarantine.suspicion(3, later) == Suspicion::Suspect);
}

// A request that crashes its servers after its response has begun is refused by
// every daemon after three crashes, whoever saw them.
TEST_CASE("quarantine_responseHadBegunAtEachCrash_threeCrashesRefuse")
{
  const std::vector<RequestInProgress> begun{ { .content = { 7 },
                                                .hasBegun = true } };
  const std::vector<RequestInProgress> early{ { .content = { 7 } } };
  Quarantine first;
  Quarantine second;
  second.merge(first.recordCrash(1, begun, kStart), kStart);
  first.merge(second.recordCrash(2, begun, kStart), kStart);
  CHECK(first.suspicion(7, kStart) == Suspicion::Suspect);
  CHECK(second.suspicion(7, kStart) == Suspicion::Suspect);
  SECTION("a third one")
  {
    first.merge(second.recordCrash(3, begun, kStart), kStart);
  }
  SECTION("the last of two before the response began")
  {
    Quarantine third;
    const auto other = third.recordCrash(2, early, kStart);
    first.merge(other, kStart);
    second.merge(other, kStart);
    first.merge(second.recordCrash(3, early, kStart), kStart);
  }
  CHECK(first.suspicion(7, kStart) == Suspicion::Refused);
  CHECK(second.suspicion(7, kStart) == Suspicion::Refused);
}
