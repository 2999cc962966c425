#include "laburnum/experts/map_change.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::experts;

namespace {

/// Two ranks with two experts each; rank 0 has the hot ones.
struct MapChangeFixture
{
  MapChange change{ 2, { .planInterval = seconds(10) } };
  Instant now{ seconds(100) };
  GroupView group{ .epoch = 0,
                   .step = 500,
                   .stepsPerSecond = 40,
                   .map = { ExpertMap{ { { 0, 1 }, { 2, 3 } } } },
                   .loads = { { 9, 8, 1, 1 } } };

  std::vector<ChangeAction> tick(Duration aStep)
  {
    now += aStep;
    return change.tick(now, group, 7);
  }

  Epoch prepareAll()
  {
    const auto actions = tick(seconds(0));
    REQUIRE(actions.size() == 1);
    const Epoch epoch = std::get<PrepareRanks>(actions[0]).epoch;
    change.markPrepared(0, epoch);
    change.markPrepared(1, epoch);
    return epoch;
  }

  template<class Message>
  static std::size_t count(const std::vector<ChangeAction>& aActions)
  {
    std::size_t found = 0;
    for (const ChangeAction& action : aActions) {
      const auto* out = std::get_if<OutgoingMessage>(&action);
      found +=
        out != nullptr && std::holds_alternative<Message>(out->message) ? 1 : 0;
    }
    return found;
  }
};

} // namespace

TEST_CASE_METHOD(MapChangeFixture,
                 "MapChange, balanced or unknown loads, plans nothing")
{
  group.loads = { { 5, 5, 5, 5 } };
  CHECK(tick(seconds(0)).empty());
  CHECK_FALSE(change.isBusy());
  CHECK_FALSE(change.isPlanDue(now + seconds(9)));
  group.loads.clear();
  CHECK(tick(seconds(10)).empty());
  CHECK_FALSE(change.isBusy());
}

// A lease that expires for a while keeps its token. Were an epoch used again,
// ranks that loaded the abandoned map would be armed for the new one.
TEST_CASE_METHOD(MapChangeFixture,
                 "MapChange, abandoned and begun again, uses another epoch")
{
  const Epoch abandoned = prepareAll();
  change.abandon();
  CHECK_FALSE(change.isBusy());
  CHECK(prepareAll() > abandoned);
  CHECK(count<Arm>(tick(milliseconds(100))) == 2);
}

TEST_CASE_METHOD(MapChangeFixture,
                 "MapChange, prepared by all, arms a later step and commits")
{
  const Epoch epoch = prepareAll();
  const auto arms = tick(milliseconds(100));
  REQUIRE(count<Arm>(arms) == 2);
  const auto& arm =
    std::get<Arm>(std::get<OutgoingMessage>(arms[0]).message).proposal;
  CHECK(arm.epoch == epoch);
  CHECK(arm.firstStep > group.step + 40);
  CHECK(arm.fence == 7);
  CHECK(change.handle(0, Armed{ epoch }).empty());
  CHECK(count<Arm>(tick(milliseconds(200))) ==
        1); // To the rank that has not answered.
  CHECK(count<Commit>(change.handle(1, Armed{ epoch })) == 2);
  tick(milliseconds(200));
  CHECK_FALSE(change.isBusy());
}

TEST_CASE_METHOD(MapChangeFixture,
                 "MapChange, not prepared by all, never arms and gives up")
{
  const auto actions = tick(seconds(0));
  const Epoch epoch = std::get<PrepareRanks>(actions.at(0)).epoch;
  change.markPrepared(0, epoch);
  change.markPrepared(0, epoch);
  change.markPrepared(1, epoch + 1);
  for (int i = 0; i < 299; ++i) {
    REQUIRE(count<Arm>(tick(seconds(1))) == 0);
  }
  tick(seconds(1));
  CHECK_FALSE(change.isBusy());
}

TEST_CASE_METHOD(
  MapChangeFixture,
  "MapChange, a rank that does not answer, aborts only on a pledge")
{
  const Epoch epoch = prepareAll();
  tick(milliseconds(100));
  change.handle(0, Armed{ epoch });
  const auto later = tick(seconds(4));
  CHECK(count<AskOutcome>(later) == 2);
  CHECK(count<Abort>(later) == 0);
  CHECK(change.isBusy());
  CHECK(count<Abort>(change.handle(1, Pledged{ epoch })) == 2);
}

TEST_CASE_METHOD(MapChangeFixture,
                 "MapChange, another holder of the duty, uses other epochs")
{
  MapChange other(2);
  const auto first = change.tick(now, group, 7);
  const auto second = other.tick(now, group, 8);
  CHECK(std::get<PrepareRanks>(second.at(0)).epoch >
        std::get<PrepareRanks>(first.at(0)).epoch);
}

TEST_CASE("SwitchEnvelope, through JSON, is the same")
{
  const Proposal proposal{ .epoch = 9, .firstStep = 70, .fence = 3 };
  for (std::size_t kind = 0; kind < std::variant_size_v<SwitchMessage>;
       ++kind) {
    const SwitchEnvelope envelope{ .from = CoordinatorEndpoint{},
                                   .to = Rank{ 5 },
                                   .message =
                                     makeSwitchMessage(kind, proposal) };
    const auto parsed = parseSwitchEnvelope(toJson(envelope));
    REQUIRE(parsed);
    CHECK(parsed->from == envelope.from);
    CHECK(parsed->to == envelope.to);
    CHECK(parsed->message == envelope.message);
  }
}

TEST_CASE("SwitchEnvelope, faulty JSON, is refused with the field")
{
  struct Case
  {
    const char* text;
    const char* field;
  };
  const Case cases[] = {
    { R"({"to":1})", "kind" },
    { R"({"kind":"vote","to":1})", "kind" },
    { R"({"kind":"arm","to":-7})", "to" },
    { R"({"kind":"arm","epoch":"x"})", "epoch" },
    { R"({"kind":"arm","more":1})", "more" },
  };
  for (const Case& testCase : cases) {
    const auto envelope =
      parseSwitchEnvelope(boost::json::parse(testCase.text));
    INFO(testCase.text);
    REQUIRE_FALSE(envelope);
    CHECK(envelope.failure().detail.find(testCase.field) != std::string::npos);
  }
  for (const char* map :
       { "7", "[7]", "[[7]]", "[[[70000]]]", "[[[\"a\"]]]" }) {
    CHECK_FALSE(parseGroupMap(boost::json::parse(map)));
  }
}
