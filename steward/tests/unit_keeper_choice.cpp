#include "laburnum/steward/keeper_choice.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::steward;

namespace {

contract::Address
at(std::string aHost)
{
  return { .host = std::move(aHost), .port = 80 };
}

/// The steward beside the third of three engines.
struct ChoiceFixture
{
  KeeperChoice choice{ at("10.0.0.10") };
  Instant now{ seconds(100) };
};

} // namespace

TEST_CASE("keeper_choice_severalEngines_takesTheLowestAddressAsANumber")
{
  ChoiceFixture steward;
  CHECK(steward.choice.needsList(steward.now));
  CHECK(steward.choice.choose(
    { at("10.0.0.10"), at("10.0.0.9"), at("10.0.0.30") }, steward.now));
  CHECK(steward.choice.keeper() == at("10.0.0.9"));
  CHECK_FALSE(steward.choice.isOwn());
}

TEST_CASE("keeper_choice_linkedToTheKeeper_needsNoList")
{
  ChoiceFixture steward;
  steward.choice.choose({ at("10.0.0.9"), at("10.0.0.10") }, steward.now);
  steward.choice.linked();
  CHECK_FALSE(steward.choice.needsList(steward.now + seconds(60)));
}

TEST_CASE("keeper_choice_linkStaysAway_needsTheListAgain")
{
  ChoiceFixture steward;
  steward.choice.choose({ at("10.0.0.9"), at("10.0.0.10") }, steward.now);
  steward.choice.linked();
  steward.choice.unlinked(steward.now);
  CHECK_FALSE(steward.choice.needsList(steward.now + milliseconds(500)));
  steward.choice.unlinked(steward.now + milliseconds(500));
  CHECK(steward.choice.needsList(steward.now + milliseconds(1100)));
}

TEST_CASE("keeper_choice_isTheKeeper_goesOnReadingTheList")
{
  ChoiceFixture steward;
  steward.choice.choose({ at("10.0.0.10"), at("10.0.0.30") }, steward.now);
  CHECK(steward.choice.isOwn());
  CHECK(steward.choice.needsList(steward.now));
  CHECK(
    steward.choice.choose({ at("10.0.0.1"), at("10.0.0.10") }, steward.now));
  CHECK_FALSE(steward.choice.isOwn());
}

TEST_CASE("keeper_choice_emptyList_changesNothing")
{
  ChoiceFixture steward;
  steward.choice.choose({ at("10.0.0.9") }, steward.now);
  CHECK_FALSE(steward.choice.choose({}, steward.now));
  CHECK(steward.choice.keeper() == at("10.0.0.9"));
}
