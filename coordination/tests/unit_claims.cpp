#include "laburnum/coordination/claim_shard.hpp"
#include "laburnum/coordination/keyed_claim.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::coordination;

namespace {

/// A shard whose stored object has one claim on another key, and helpers that
/// stand in for the platform.
struct ClaimFixture
{
  ClaimShard shard;
  std::uint64_t version = 0;
  std::string stored;

  ClaimFixture() { acquire(0, "warm-up", 99); }

  std::vector<ClaimAction> acquire(std::uint64_t aToken,
                                   const std::string& aKey,
                                   std::uint64_t aNonce)
  {
    auto actions = shard.submit(
      AcquireClaim{
        .token = aToken, .key = aKey, .nonce = aNonce, .requestHash = 7 },
      1000);
    if (!actions.empty() &&
        std::holds_alternative<ReadShard>(actions.front())) {
      actions = shard.onRead(version, stored);
      return apply(actions);
    }
    return actions;
  }

  /// Stores the write among the actions, if there is one, and confirms it.
  std::vector<ClaimAction> apply(const std::vector<ClaimAction>& aActions)
  {
    for (const ClaimAction& action : aActions) {
      if (const auto* write = std::get_if<WriteShard>(&action)) {
        stored = write->value;
        return shard.onWritten(++version);
      }
    }
    return aActions;
  }

  static const ClaimResult& answer(const std::vector<ClaimAction>& aActions,
                                   std::uint64_t aToken)
  {
    for (const ClaimAction& action : aActions) {
      const auto* found = std::get_if<ClaimResult>(&action);
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
                 "ClaimShard, key already held, returns the holder's outcome")
{
  apply(acquire(1, "k", 11));
  auto held = answer(acquire(2, "k", 12), 2);
  CHECK(held.status == ClaimStatus::Held);
  CHECK_FALSE(held.claim.outcome);
  apply(shard.submit(RecordOutcome{ .token = 3,
                                    .key = "k",
                                    .nonce = 11,
                                    .outcome = { .status = 201, .body = "b" } },
                     1001));
  held = answer(acquire(4, "k", 13), 4);
  REQUIRE(held.claim.outcome);
  CHECK(held.claim.outcome->status == 201);
  CHECK(held.claim.outcome->body == "b");
}

TEST_CASE_METHOD(
  ClaimFixture,
  "ClaimShard, operations during a write, are batched in the next")
{
  const auto first = acquire(1, "a", 1);
  REQUIRE(std::holds_alternative<WriteShard>(first.back()));
  CHECK(acquire(2, "b", 2).empty());
  CHECK(acquire(3, "c", 3).empty());
  CHECK(acquire(4, "b", 4).empty());
  const auto second = apply(first);
  CHECK(answer(second, 1).status == ClaimStatus::Granted);
  REQUIRE(std::holds_alternative<WriteShard>(second.back()));
  const auto third = apply(second);
  CHECK(answer(third, 2).status == ClaimStatus::Granted);
  CHECK(answer(third, 3).status == ClaimStatus::Granted);
  CHECK(answer(second, 4).status == ClaimStatus::Held);
}

TEST_CASE_METHOD(ClaimFixture,
                 "ClaimShard, concurrent owners, the conditional write decides")
{
  const auto own = acquire(1, "k", 1);
  REQUIRE(std::holds_alternative<WriteShard>(own.back()));
  const std::string other =
    R"({"claims":{"k":{"nonce":2,"request":7,"at":1000}}})";
  const auto actions = shard.onConflict(9, other);
  CHECK(answer(actions, 1).status == ClaimStatus::Held);
  CHECK(answer(actions, 1).claim.nonce == 2);
}

TEST_CASE_METHOD(
  ClaimFixture,
  "ClaimShard, reply to a write lost, the nonce tells the outcome")
{
  const auto actions = acquire(1, "k", 1);
  const auto& write = std::get<WriteShard>(actions.back());
  REQUIRE(std::holds_alternative<ReadShard>(shard.onReplyLost().front()));

  SECTION("the write took effect")
  {
    CHECK(answer(shard.onRead(5, write.value), 1).status ==
          ClaimStatus::Granted);
  }
  SECTION("the write did not take effect and is repeated")
  {
    const auto again = shard.onRead(version, stored);
    REQUIRE(std::holds_alternative<WriteShard>(again.back()));
  }
  SECTION("the platform is unavailable")
  {
    CHECK(answer(shard.onReadFailed(), 1).status == ClaimStatus::Unavailable);
  }
}

TEST_CASE_METHOD(ClaimFixture,
                 "ClaimShard, release, frees the key only for its holder")
{
  apply(acquire(1, "k", 1));
  apply(shard.submit(ReleaseClaim{ .token = 2, .key = "k", .nonce = 5 }, 1000));
  CHECK(answer(acquire(3, "k", 2), 3).status == ClaimStatus::Held);
  apply(shard.submit(ReleaseClaim{ .token = 4, .key = "k", .nonce = 1 }, 1000));
  CHECK(answer(apply(acquire(5, "k", 2)), 5).status == ClaimStatus::Granted);
}

TEST_CASE("ClaimShard, value at its size limit, rejects until claims expire")
{
  ClaimShard shard({ .retentionSeconds = 10, .maxValueBytes = 200 });
  shard.submit(
    AcquireClaim{ .token = 1, .key = std::string(100, 'a'), .nonce = 1 }, 1000);
  shard.onRead(0, "");
  shard.onWritten(1);
  auto actions = shard.submit(
    AcquireClaim{ .token = 2, .key = std::string(100, 'b'), .nonce = 2 }, 1001);
  CHECK(std::get<ClaimResult>(actions.back()).status ==
        ClaimStatus::Unavailable);
  actions = shard.submit(
    AcquireClaim{ .token = 3, .key = std::string(100, 'c'), .nonce = 3 }, 1011);
  CHECK(std::holds_alternative<WriteShard>(actions.back()));
}

TEST_CASE_METHOD(
  ClaimFixture,
  "ClaimShard, claim taken over, previous holder can't change it")
{
  const ClaimedAttempt attempt{
    .agent = "a", .agentIncarnation = 4, .entryIncarnation = 8, .number = 2
  };
  apply(shard.submit(
    AcquireClaim{ .token = 1, .key = "k", .nonce = 1, .attempt = attempt },
    1000));
  const auto takeOver = [&](std::uint64_t aToken, std::uint64_t aNonce) {
    return apply(shard.submit(TakeOverClaim{ .token = aToken,
                                             .key = "k",
                                             .nonce = aNonce,
                                             .previousNonce = 1,
                                             .attempt = attempt },
                              1000));
  };
  CHECK(answer(takeOver(2, 5), 2).status == ClaimStatus::Granted);
  CHECK(answer(takeOver(3, 5), 3).status == ClaimStatus::Granted); // Repeated.
  CHECK(answer(takeOver(4, 6), 4).status == ClaimStatus::Held);
  CHECK(answer(acquire(5, "k", 7), 5).claim.attempt == attempt);
  const auto setAttempt = [&](std::uint64_t aToken, std::uint64_t aNonce) {
    return apply(shard.submit(
      SetClaimAttempt{
        .token = aToken,
        .key = "k",
        .nonce = aNonce,
        .attempt = { .agent = "b", .entryIncarnation = 9, .number = 1 } },
      1000));
  };
  CHECK(answer(setAttempt(6, 1), 6).status == ClaimStatus::Held);
  CHECK(answer(setAttempt(7, 5), 7).status == ClaimStatus::Granted);
  CHECK(answer(acquire(8, "k", 7), 8).claim.attempt.agent == "b");
  // A takeover fails if the claimed attempt was replaced after the claim was
  // read (found by KeyedWorld, seed 1001776).
  CHECK(answer(shard.submit(TakeOverClaim{ .token = 12,
                                           .key = "k",
                                           .nonce = 13,
                                           .previousNonce = 5,
                                           .attempt = attempt },
                            1000),
               12)
          .status == ClaimStatus::Held);
  apply(shard.submit(RecordOutcome{ .token = 9, .key = "k", .nonce = 5 }, 1));
  CHECK(answer(shard.submit(
                 TakeOverClaim{
                   .token = 10, .key = "k", .nonce = 11, .previousNonce = 5 },
                 1000),
               10)
          .status == ClaimStatus::Held);
}

TEST_CASE_METHOD(ClaimFixture, "ClaimShard, malformed value, grants nothing")
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
      other.submit(AcquireClaim{ .token = 1, .key = "k", .nonce = 1 }, 1000);
    REQUIRE(std::holds_alternative<WriteShard>(written.back()));
    CHECK(answer(other.onConflict(100, value), 1).status ==
          ClaimStatus::Unavailable);
    // The next operation reads the shard again.
    const auto next =
      other.submit(AcquireClaim{ .token = 2, .key = "x", .nonce = 1 }, 1000);
    REQUIRE(std::holds_alternative<ReadShard>(next.back()));
    CHECK(answer(other.onRead(101, value), 2).status ==
          ClaimStatus::Unavailable);
  }
}

TEST_CASE("nextIdempotencyStep, result and holder, decide the next step")
{
  const Claim open{ .nonce = 1, .requestHash = 7 };
  Claim ended = open;
  ended.outcome = RecordedOutcome{};
  struct Row
  {
    ClaimStatus status;
    Claim claim;
    std::uint64_t hash;
    bool holderGone;
    IdempotencyStep step;
  };
  const Row rows[] = {
    { ClaimStatus::Granted, {}, 7, false, IdempotencyStep::Run },
    { ClaimStatus::Unavailable, {}, 7, true, IdempotencyStep::Reject },
    { ClaimStatus::Held, open, 7, false, IdempotencyStep::Wait },
    { ClaimStatus::Held, open, 7, true, IdempotencyStep::TakeOver },
    { ClaimStatus::Held, open, 8, true, IdempotencyStep::Answer },
    { ClaimStatus::Held, ended, 7, true, IdempotencyStep::Answer },
  };
  for (const Row& row : rows) {
    const ClaimResult answer{ .status = row.status, .claim = row.claim };
    CHECK(nextIdempotencyStep(answer, row.hash, row.holderGone) == row.step);
  }
}
