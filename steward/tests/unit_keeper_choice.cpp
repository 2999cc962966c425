#include "laburnum/steward/keeper_choice.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::steward;

namespace {

contract::Address
engineAt(std::string aHost)
{
  return { .host = std::move(aHost), .port = 80 };
}

/// A steward whose own engine has the address 10.0.0.10.
struct SelectionFixture
{
  KeeperSelection selection{ engineAt("10.0.0.10") };
  Instant now{ seconds(100) };
};

} // namespace

TEST_CASE("keeper_selection_severalEngines_selectsTheNumericallyLowestAddress")
{
  SelectionFixture fixture;
  CHECK(fixture.selection.needsEngineList(fixture.now));
  CHECK(fixture.selection.update(
    { engineAt("10.0.0.10"), engineAt("10.0.0.9"), engineAt("10.0.0.30") },
    fixture.now));
  CHECK(fixture.selection.keeper() == engineAt("10.0.0.9"));
  CHECK_FALSE(fixture.selection.isSelf());
}

TEST_CASE("keeper_selection_linkedToTheKeeper_needsNoList")
{
  SelectionFixture fixture;
  fixture.selection.update({ engineAt("10.0.0.9"), engineAt("10.0.0.10") },
                           fixture.now);
  fixture.selection.linkOpened();
  CHECK_FALSE(fixture.selection.needsEngineList(fixture.now + seconds(60)));
}

TEST_CASE("keeper_selection_linkStaysClosed_needsTheListAgain")
{
  SelectionFixture fixture;
  fixture.selection.update({ engineAt("10.0.0.9"), engineAt("10.0.0.10") },
                           fixture.now);
  fixture.selection.linkOpened();
  fixture.selection.linkClosed(fixture.now);
  CHECK_FALSE(
    fixture.selection.needsEngineList(fixture.now + milliseconds(500)));
  fixture.selection.linkClosed(fixture.now + milliseconds(500));
  CHECK(fixture.selection.needsEngineList(fixture.now + milliseconds(1100)));
}

TEST_CASE("keeper_selection_isTheKeeper_needsTheListAgain")
{
  SelectionFixture fixture;
  fixture.selection.update({ engineAt("10.0.0.10"), engineAt("10.0.0.30") },
                           fixture.now);
  CHECK(fixture.selection.isSelf());
  CHECK(fixture.selection.needsEngineList(fixture.now));
  CHECK(fixture.selection.update(
    { engineAt("10.0.0.1"), engineAt("10.0.0.10") }, fixture.now));
  CHECK_FALSE(fixture.selection.isSelf());
}

TEST_CASE("keeper_selection_emptyList_changesNothing")
{
  SelectionFixture fixture;
  fixture.selection.update({ engineAt("10.0.0.9") }, fixture.now);
  CHECK_FALSE(fixture.selection.update({}, fixture.now));
  CHECK(fixture.selection.keeper() == engineAt("10.0.0.9"));
}
