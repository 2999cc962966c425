#include "laburnum/experts/map_versions.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::experts;

namespace {

constexpr milliseconds kNow{ 1'796'479'972'543 };

} // namespace

TEST_CASE("map_versions_sameTime_grow")
{
  MapVersions versions(7);
  std::uint64_t last = 0;
  for (int i = 0; i < 100; ++i) {
    const std::uint64_t version = versions.next(kNow);
    CHECK(version > last);
    last = version;
  }
}

TEST_CASE("map_versions_clockSetBack_growBeyondWhatRanksHave")
{
  MapVersions former(7);
  const std::uint64_t ahead = former.next(kNow + seconds(5));
  MapVersions versions(7);
  versions.observe(ahead);
  CHECK(versions.next(kNow) > ahead);
  CHECK(versions.next(kNow + seconds(9)) > ahead);
}

TEST_CASE("map_versions_twoProcesses_neverChooseTheSameOne")
{
  // Both know the same ranks, and choose at the same time.
  MapVersions keeper(7);
  MapVersions rescuer(8);
  for (const std::uint64_t observed : { 0ULL, 5ULL << 60U }) {
    keeper.observe(observed);
    rescuer.observe(observed);
    for (int i = 0; i < 100; ++i) {
      CHECK(keeper.next(kNow) != rescuer.next(kNow));
    }
  }
}

TEST_CASE("map_versions_untilTheYear2100_areExactAsDoubles")
{
  constexpr milliseconds kYear2100{ 4'102'444'800'000 };
  CHECK(MapVersions(~0ULL).next(kYear2100) < 1ULL << 53U);
}
