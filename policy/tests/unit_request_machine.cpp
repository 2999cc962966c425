#include "laburnum/policy/request_machine.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::policy;

namespace {

struct RequestFixture
{
  RetryBudget budget{ 0.1, 10 };
  AttemptId first{ .entry = 1, .number = 1 };
  AttemptId second{ .entry = 1, .number = 2 };

  RequestStateMachine startedMachine(bool aIdempotent, bool aResumable)
  {
    RequestStateMachine machine(
      { .idempotent = aIdempotent, .resumable = aResumable }, {}, budget);
    machine.handle(StartRequest{});
    machine.handle(ServerChosen{ .server = 7, .attempt = first });
    return machine;
  }

  template<class Action>
  static const Action* singleAction(const std::vector<RequestAction>& aActions)
  {
    return aActions.size() == 1 ? std::get_if<Action>(&aActions.front())
                                : nullptr;
  }
};

} // namespace

TEST_CASE_METHOD(
  RequestFixture,
  "RequestStateMachine, an ended attempt, is retried if that is safe")
{
  struct TestCase
  {
    bool idempotent;
    RequestEvent event;
    bool retried;
    Verdict verdict;
  };
  const auto rejected = [&](Verdict aVerdict) {
    return AttemptRejected{ .attempt = first, .verdict = aVerdict };
  };
  const TestCase testCases[]{
    { false, rejected(Verdict::NotRun), true, Verdict::NotRun },
    { false, rejected(Verdict::MayHaveRun), false, Verdict::MayHaveRun },
    { false, rejected(Verdict::Ran), false, Verdict::Ran },
    { true, rejected(Verdict::MayHaveRun), true, Verdict::NotRun },
    { false, AgentLost{ .server = 7 }, false, Verdict::MayHaveRun },
    { true, AgentLost{ .server = 7 }, true, Verdict::NotRun },
  };
  for (const TestCase& testCase : testCases) {
    RequestStateMachine machine = startedMachine(testCase.idempotent, false);
    const auto actions = machine.handle(testCase.event);
    const auto* chooseServer = singleAction<ChooseServer>(actions);
    CHECK((chooseServer != nullptr) == testCase.retried);
    if (chooseServer != nullptr) {
      CHECK(chooseServer->excluded == std::vector<ServerId>{ 7 });
      continue;
    }
    const auto* fail = std::get_if<Fail>(&actions.back());
    REQUIRE(fail != nullptr);
    CHECK(fail->failure.verdict == testCase.verdict);
  }
}

TEST_CASE_METHOD(
  RequestFixture,
  "RequestStateMachine, a lost connection, queries the attempt first")
{
  struct TestCase
  {
    AttemptState answer;
    bool retried;
    bool continues;
  };
  const TestCase testCases[]{
    { AttemptState::Revoked, true, false },
    { AttemptState::Started, false, true },
    { AttemptState::Finished, false, true },
    { AttemptState::Failed, false, false },
    { AttemptState::Unknown, false, false },
  };
  for (const TestCase& testCase : testCases) {
    RequestStateMachine machine = startedMachine(false, false);
    REQUIRE(singleAction<QueryAttempt>(
              machine.handle(AgentConnectionLost{ .server = 7 })) != nullptr);
    const auto actions = machine.handle(
      AttemptStateReceived{ .attempt = first, .state = testCase.answer });
    CHECK((singleAction<ChooseServer>(actions) != nullptr) == testCase.retried);
    CHECK(machine.isDone() == (!testCase.retried && !testCase.continues));
  }
}

TEST_CASE_METHOD(
  RequestFixture,
  "RequestStateMachine, a second attempt, resumes after delivered parts")
{
  RequestStateMachine machine = startedMachine(true, true);
  CHECK(
    machine
      .handle(PartArrived{ .attempt = first, .sequence = 0, .payload = "a" })
      .size() == 1);
  CHECK(
    machine
      .handle(PartArrived{ .attempt = first, .sequence = 2, .payload = "c" })
      .empty());
  machine.handle(AgentLost{ .server = 7 });
  const auto actions =
    machine.handle(ServerChosen{ .server = 8, .attempt = second });
  REQUIRE(singleAction<SendAttempt>(actions) != nullptr);
  CHECK(singleAction<SendAttempt>(actions)->firstPart == 1);
  CHECK(
    machine
      .handle(PartArrived{ .attempt = first, .sequence = 1, .payload = "late" })
      .empty());
  CHECK(
    machine.handle(AttemptFinished{ .attempt = second, .parts = 2 }).empty());
  const auto end = machine.handle(
    PartArrived{ .attempt = second, .sequence = 1, .payload = "b" });
  REQUIRE(end.size() == 2);
  CHECK(std::holds_alternative<Complete>(end.back()));
}

TEST_CASE_METHOD(
  RequestFixture,
  "RequestStateMachine, parts delivered and not resumable, fails without retry")
{
  RequestStateMachine machine = startedMachine(true, false);
  machine.handle(
    PartArrived{ .attempt = first, .sequence = 0, .payload = "a" });
  const auto actions = machine.handle(AgentLost{ .server = 7 });
  REQUIRE(singleAction<Fail>(actions) != nullptr);
  CHECK(singleAction<Fail>(actions)->failure.verdict == Verdict::MayHaveRun);
}

TEST_CASE("RequestStateMachine, an empty retry budget, fails the request")
{
  RetryBudget budget(0, 0);
  RequestStateMachine machine({ .idempotent = true }, {}, budget);
  machine.handle(StartRequest{});
  machine.handle(ServerChosen{ .server = 7, .attempt = { 1, 1 } });
  machine.handle(AgentLost{ .server = 7 });
  CHECK(machine.isDone());
}

TEST_CASE_METHOD(
  RequestFixture,
  "RequestStateMachine, at its deadline, reports the agent's verdict")
{
  struct TestCase
  {
    RequestEvent event;
    Verdict verdict;
  };
  const auto answered = [&](AttemptState aState) {
    return AttemptStateReceived{ .attempt = first, .state = aState };
  };
  const TestCase testCases[]{
    { answered(AttemptState::Revoked), Verdict::NotRun },
    { answered(AttemptState::Started), Verdict::MayHaveRun },
    { answered(AttemptState::Failed), Verdict::MayHaveRun },
    { answered(AttemptState::Unknown), Verdict::MayHaveRun },
    { AttemptRejected{ .attempt = first, .verdict = Verdict::NotRun },
      Verdict::NotRun },
    { AgentLost{ .server = 7 }, Verdict::MayHaveRun },
    { DeadlineReached{}, Verdict::MayHaveRun },
  };
  for (const TestCase& testCase : testCases) {
    RequestStateMachine machine = startedMachine(true, true);
    const auto deadlineActions = machine.handle(DeadlineReached{});
    REQUIRE(deadlineActions.size() == 2);
    CHECK(std::holds_alternative<CancelAttempt>(deadlineActions[0]));
    CHECK(std::holds_alternative<QueryAttempt>(deadlineActions[1]));
    const auto actions = machine.handle(testCase.event);
    const auto* fail = singleAction<Fail>(actions);
    REQUIRE(fail != nullptr);
    CHECK(fail->failure.error == Error::DeadlinePassed);
    CHECK(fail->failure.verdict == testCase.verdict);
  }
  RequestStateMachine machine = startedMachine(true, true);
  machine.handle(DeadlineReached{});
  CHECK(machine.handle(answered(AttemptState::Finished)).empty());
  machine.handle(AttemptFinished{ .attempt = first, .parts = 0 });
  CHECK(machine.isDone());
}

TEST_CASE_METHOD(RequestFixture,
                 "RequestStateMachine, an adopted attempt, is queried first")
{
  RequestStateMachine machine({ .idempotent = false }, {}, budget);
  const auto actions =
    machine.handle(AdoptAttempt{ .server = 7, .attempt = first });
  REQUIRE(singleAction<QueryAttempt>(actions) != nullptr);

  SECTION("if revoked, a new attempt is made")
  {
    const auto next = machine.handle(
      AttemptStateReceived{ .attempt = first, .state = AttemptState::Revoked });
    CHECK(singleAction<ChooseServer>(next) != nullptr);
  }
  SECTION("if finished, its response completes the request")
  {
    machine.handle(AttemptStateReceived{ .attempt = first,
                                         .state = AttemptState::Finished });
    machine.handle(
      PartArrived{ .attempt = first, .sequence = 0, .payload = "a" });
    machine.handle(AttemptFinished{ .attempt = first, .parts = 1 });
    CHECK(machine.isDone());
  }
  SECTION("if its agent is lost, it may have run")
  {
    const auto failure = machine.handle(AgentLost{ .server = 7 });
    REQUIRE(singleAction<Fail>(failure) != nullptr);
    CHECK(singleAction<Fail>(failure)->failure.verdict == Verdict::MayHaveRun);
  }
}
