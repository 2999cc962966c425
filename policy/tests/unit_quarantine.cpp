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
