#include "laburnum/coordination/claim_shard.hpp"
#include "laburnum/coordination/keyed_claim.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::coordination;

namespace {

/// A shard whose platform object is empty, and helpers to read its actions.
struct ClaimFixture
{
  ClaimShard shard;
  std::uint64_t version = 0;
  std::string stored;

  ClaimFixture() { take(0, "warm-up", 99); }

  std::vector<ClaimAction> take(std::uint64_t aToken,
                                const std::string& aKey,
                                std::uint64_t aNonce)
  {
    auto actions = shard.submit(
      TakeClaim{
        .token = aToken, .key = aKey, .nonce = aNonce, .requestHash = 7 },
      1000);
    if (!actions.empty() &&
        std::holds_alternative<ReadShard>(actions.front())) {
      actions = shard.readBack(version, stored);
      return apply(actions);
    }
    return actions;
  }

  /// Lets the write in the actions take effect and be answered.
  std::vector<ClaimAction> apply(const std::vector<ClaimAction>& aActions)
  {
    for (const ClaimAction& action : aActions) {
      if (const auto* write = std::get_if<WriteShard>(&action)) {
        stored = write->value;
        return shard.written(++version);
      }
    }
    return aActions;
  }

  static const AnswerClaim& answer(const std::vector<ClaimAction>& aActions,
                                   std::uint64_t aToken)
  {
    for (const ClaimAction& action : aActions) {
      const auto* found = std::get_if<AnswerClaim>(&action);
      if (found != nullptr && found->token == aToken) {
        return *found;
      }
    }
    FAIL("no answer for token " << aToken);
    throw std::logic_error("unreachable");
  }
};

} // namespace

TEST_CASE_METHOD(ClaimFixture,
                 "ClaimShard, a key that is held, tells the holder's outcome")
{
  apply(take(1, "k", 11));
  auto held = answer(take(2, "k", 12), 2);
  CHECK(held.status == ClaimStatus::Held);
  CHECK_FALSE(held.claim.outcome);
  apply(shard.submit(RecordOutcome{ .token = 3,
                                    .key = "k",
                                    .nonce = 11,
                                    .outcome = { .status = 201, .body = "b" } },
                     1001));
  held = answer(take(4, "k", 13), 4);
  REQUIRE(held.claim.outcome);
  CHECK(held.claim.outcome->status == 201);
  CHECK(held.claim.outcome->body == "b");
}

TEST_CASE_METHOD(ClaimFixture,
                 "ClaimShard, claims during a write, go into one next write")
{
  const auto first = take(1, "a", 1);
  REQUIRE(std::holds_alternative<WriteShard>(first.back()));
  CHECK(take(2, "b", 2).empty());
  CHECK(take(3, "c", 3).empty());
  CHECK(take(4, "b", 4).empty());
  const auto second = apply(first);
  CHECK(answer(second, 1).status == ClaimStatus::Granted);
  REQUIRE(std::holds_alternative<WriteShard>(second.back()));
  const auto third = apply(second);
  CHECK(answer(third, 2).status == ClaimStatus::Granted);
  CHECK(answer(third, 3).status == ClaimStatus::Granted);
  CHECK(answer(second, 4).status == ClaimStatus::Held);
}

TEST_CASE_METHOD(ClaimFixture,
                 "ClaimShard, two owners at once, let the condition decide")
{
  const auto mine = take(1, "k", 1);
  REQUIRE(std::holds_alternative<WriteShard>(mine.back()));
  const std::string theirs =
    R"({"claims":{"k":{"nonce":2,"request":7,"at":1000}}})";
  const auto actions = shard.conflicted(9, theirs);
  CHECK(answer(actions, 1).status == ClaimStatus::Held);
  CHECK(answer(actions, 1).claim.nonce == 2);
}

TEST_CASE_METHOD(ClaimFixture,
                 "ClaimShard, a lost reply, is settled by the nonce")
{
  const auto actions = take(1, "k", 1);
  const auto& write = std::get<WriteShard>(actions.back());
  REQUIRE(std::holds_alternative<ReadShard>(shard.replyLost().front()));

  SECTION("the write took effect")
  {
    CHECK(answer(shard.readBack(5, write.value), 1).status ==
          ClaimStatus::Granted);
  }
  SECTION("the write did not take effect and is repeated")
  {
    const auto again = shard.readBack(version, stored);
    REQUIRE(std::holds_alternative<WriteShard>(again.back()));
  }
  SECTION("the platform is out")
  {
    CHECK(answer(shard.readFailed(), 1).status == ClaimStatus::Unavailable);
  }
}

TEST_CASE_METHOD(ClaimFixture,
                 "ClaimShard, a release, frees the key only for its holder")
{
  apply(take(1, "k", 1));
  apply(shard.submit(ReleaseClaim{ .token = 2, .key = "k", .nonce = 5 }, 1000));
  CHECK(answer(take(3, "k", 2), 3).status == ClaimStatus::Held);
  apply(shard.submit(ReleaseClaim{ .token = 4, .key = "k", .nonce = 1 }, 1000));
  CHECK(answer(apply(take(5, "k", 2)), 5).status == ClaimStatus::Granted);
}

TEST_CASE("ClaimShard, a full value, refuses before it forgets")
{
  ClaimShard shard({ .keepSeconds = 10, .maxValueBytes = 200 });
  shard.submit(
    TakeClaim{ .token = 1, .key = std::string(100, 'a'), .nonce = 1 }, 1000);
  shard.readBack(0, "");
  shard.written(1);
  auto actions = shard.submit(
    TakeClaim{ .token = 2, .key = std::string(100, 'b'), .nonce = 2 }, 1001);
  CHECK(std::get<AnswerClaim>(actions.back()).status ==
        ClaimStatus::Unavailable);
  actions = shard.submit(
    TakeClaim{ .token = 3, .key = std::string(100, 'c'), .nonce = 3 }, 1011);
  CHECK(std::holds_alternative<WriteShard>(actions.back()));
}

TEST_CASE_METHOD(ClaimFixture,
                 "ClaimShard, taken over, leaves the old holder without it")
{
  const ClaimedAttempt attempt{
    .agent = "a", .agentIncarnation = 4, .entry = 8, .number = 2
  };
  apply(shard.submit(
    TakeClaim{ .token = 1, .key = "k", .nonce = 1, .attempt = attempt }, 1000));
  const auto over = [&](std::uint64_t aToken, std::uint64_t aNonce) {
    return apply(shard.submit(TakeOverClaim{ .token = aToken,
                                             .key = "k",
                                             .nonce = aNonce,
                                             .from = 1,
                                             .attempt = attempt },
                              1000));
  };
  CHECK(answer(over(2, 5), 2).status == ClaimStatus::Granted);
  CHECK(answer(over(3, 5), 3).status == ClaimStatus::Granted); // A lost reply.
  CHECK(answer(over(4, 6), 4).status == ClaimStatus::Held);
  CHECK(answer(take(5, "k", 7), 5).claim.attempt == attempt);
  const auto move = [&](std::uint64_t aToken, std::uint64_t aNonce) {
    return apply(shard.submit(
      MoveClaim{ .token = aToken,
                 .key = "k",
                 .nonce = aNonce,
                 .attempt = { .agent = "b", .entry = 9, .number = 1 } },
      1000));
  };
  CHECK(answer(move(6, 1), 6).status == ClaimStatus::Held);
  CHECK(answer(move(7, 5), 7).status == ClaimStatus::Granted);
  CHECK(answer(take(8, "k", 7), 8).claim.attempt.agent == "b");
  // Found by KeyedWorld, seed 1001776: a claim that was moved meanwhile.
  CHECK(
    answer(
      shard.submit(
        TakeOverClaim{
          .token = 12, .key = "k", .nonce = 13, .from = 5, .attempt = attempt },
        1000),
      12)
      .status == ClaimStatus::Held);
  apply(shard.submit(RecordOutcome{ .token = 9, .key = "k", .nonce = 5 }, 1));
  CHECK(
    answer(
      shard.submit(
        TakeOverClaim{ .token = 10, .key = "k", .nonce = 11, .from = 5 }, 1000),
      10)
      .status == ClaimStatus::Held);
}

TEST_CASE_METHOD(ClaimFixture, "ClaimShard, a faulty value, lets nothing run")
{
  const char* values[] = {
    "{",
    "7",
    "{}",
    R"({"claims":7})",
    R"({"claims":{"k":7}})",
    R"({"claims":{"k":{"nonce":"x","request":7,"at":1}}})",
    R"({"claims":{"k":{"nonce":2,"request":7}}})",
    R"({"claims":{"k":{"nonce":2,"request":7,"at":1,"holder":1,"attempt":{}}}})",
    R"({"claims":{"k":{"nonce":2,"request":7,"at":1,"outcome":{}}}})",
  };
  for (const char* value : values) {
    INFO(value);
    ClaimShard other = shard;
    const auto written =
      other.submit(TakeClaim{ .token = 1, .key = "k", .nonce = 1 }, 1000);
    REQUIRE(std::holds_alternative<WriteShard>(written.back()));
    CHECK(answer(other.conflicted(100, value), 1).status ==
          ClaimStatus::Unavailable);
    // What comes next reads the shard anew.
    const auto next =
      other.submit(TakeClaim{ .token = 2, .key = "x", .nonce = 1 }, 1000);
    REQUIRE(std::holds_alternative<ReadShard>(next.back()));
    CHECK(answer(other.readBack(101, value), 2).status ==
          ClaimStatus::Unavailable);
  }
}

TEST_CASE("keyedStep, by answer and holder, runs, waits, adopts or answers")
{
  const Claim open{ .nonce = 1, .requestHash = 7 };
  Claim ended = open;
  ended.outcome = RecordedOutcome{};
  struct Row
  {
    ClaimStatus status;
    Claim claim;
    std::uint64_t hash;
    bool gone;
    KeyedStep step;
  };
  const Row rows[] = {
    { ClaimStatus::Granted, {}, 7, false, KeyedStep::Run },
    { ClaimStatus::Unavailable, {}, 7, true, KeyedStep::Refuse },
    { ClaimStatus::Held, open, 7, false, KeyedStep::Wait },
    { ClaimStatus::Held, open, 7, true, KeyedStep::Adopt },
    { ClaimStatus::Held, open, 8, true, KeyedStep::Answer },
    { ClaimStatus::Held, ended, 7, true, KeyedStep::Answer },
  };
  for (const Row& row : rows) {
    const AnswerClaim answer{ .status = row.status, .claim = row.claim };
    CHECK(keyedStep(answer, row.hash, row.gone) == row.step);
  }
}
