#include "laburnum/gateway/configuration.hpp"
#include "laburnum/gateway/crash_detector.hpp"
#include "laburnum/gateway/drain_policy.hpp"
#include "laburnum/gateway/event_splitter.hpp"
#include "laburnum/gateway/group_admission.hpp"
#include "laburnum/gateway/retry_budget.hpp"
#include "laburnum/gateway/retry_controller.hpp"
#include "laburnum/gateway/server_list.hpp"
#include "laburnum/gateway/server_selector.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

namespace {

constexpr Instant kStartTime{ seconds(100) };

ServerRecord
server(std::string aId, bool aIsLeaving = false)
{
  return { .id = std::move(aId),
           .service = "s",
           .failureDomain = "a",
           .isLeaving = aIsLeaving,
           .startedMs = 1 };
}

std::vector<std::string>
availableIds(const ServerList& aList)
{
  std::vector<std::string> ids;
  for (const ServerRecord* record : aList.availableServers("s")) {
    ids.push_back(record->id);
  }
  return ids;
}

using Ids = std::vector<std::string>;

/// A group whose passes take at least 18 ms and may take 120 ms.
GroupDemand
demandOf(int aStreams)
{
  return { .ownStreams = aStreams,
           .maxGap = milliseconds(120),
           .emptyPass = milliseconds(18) };
}

template<class T>
bool
holds(const RetryDecision& aDecision)
{
  return std::holds_alternative<T>(aDecision);
}

} // namespace

TEST_CASE("configuration_overlappingPrefixes_matchesLongest")
{
  Configuration configuration;
  configuration.routes = {
    { .name = "all", .host = "h", .pathPrefix = "/" },
    { .name = "deep", .host = "h", .pathPrefix = "/a/b/" },
    { .name = "top", .host = "h", .pathPrefix = "/a/" }
  };
  CHECK(configuration.match("h", "/a/b/c")->name == "deep");
  CHECK(configuration.match("h", "/a/c")->name == "top");
  CHECK(configuration.match("h", "/x")->name == "all");
  CHECK(configuration.match("other", "/a/") == nullptr);
}

TEST_CASE("server_list_entryExpiresDuringOutage_isKeptForGracePeriod")
{
  ServerList list;
  list.replace({ server("x"), server("y") }, kStartTime);
  list.sourceLost(kStartTime + seconds(1));
  list.sourceRestored(kStartTime + seconds(9));
  CHECK(list.replace({ server("x") }, kStartTime + seconds(9)).empty());
  CHECK(availableIds(list) == Ids{ "x", "y" });
  CHECK(list.removeExpired(kStartTime + seconds(10)).empty());
  CHECK(list.removeExpired(kStartTime + milliseconds(11001)) == Ids{ "y" });
  CHECK(availableIds(list) == Ids{ "x" });
}

TEST_CASE("server_list_expiredEntryReturns_isKept")
{
  ServerList list;
  list.replace({ server("x") }, kStartTime);
  list.sourceLost(kStartTime);
  list.sourceRestored(kStartTime + seconds(5));
  list.replace({}, kStartTime + seconds(5));
  list.apply({ { "x", server("x") } }, kStartTime + seconds(6));
  CHECK(list.removeExpired(kStartTime + seconds(8)).empty());
  CHECK(availableIds(list) == Ids{ "x" });
}

TEST_CASE("server_list_entryRemovedWithoutOutage_isUnavailableAtOnce")
{
  ServerList list;
  list.replace({ server("x"), server("y") }, kStartTime);
  CHECK(list.apply({ { "x", std::nullopt } }, kStartTime) == Ids{ "x" });
  CHECK(list.apply({ { "y", server("y", true) } }, kStartTime) == Ids{ "y" });
  CHECK(availableIds(list).empty());
}

TEST_CASE("server_list_drainingEntryRemovedDuringOutage_isNotKept")
{
  ServerList list;
  list.replace({ server("x", true) }, kStartTime);
  list.sourceLost(kStartTime);
  CHECK(list.replace({}, kStartTime) == Ids{ "x" });
  CHECK(list.size() == 0);
}

TEST_CASE("server_list_markedLeaving_untilRestart")
{
  ServerList list;
  list.replace({ server("x") }, kStartTime);
  list.markLeaving("x", 1);
  CHECK(availableIds(list).empty());
  list.apply({ { "x", server("x") } }, kStartTime);
  CHECK(availableIds(list).empty());
  ServerRecord restarted = server("x");
  restarted.startedMs = 2;
  list.apply({ { "x", restarted } }, kStartTime);
  CHECK(availableIds(list) == Ids{ "x" });
}

TEST_CASE("retry_controller_anyOutcome_decidesByRetryability")
{
  struct Row
  {
    RouteType type;
    bool isRetryable;
    AttemptOutcome outcome;
    bool retried, rejected, failed, forwarded;
  };
  const std::vector<Row> rows = {
    // type, isRetryable, outcome: retried, rejected, failed, forwarded
    { RouteType::NonIdempotent, false, AttemptOutcome::NotSent, true, 0, 0, 0 },
    { RouteType::NonIdempotent,
      false,
      AttemptOutcome::Rejected,
      true,
      0,
      0,
      0 },
    { RouteType::NonIdempotent, false, AttemptOutcome::Lost, 0, 0, true, 0 },
    { RouteType::NonIdempotent,
      false,
      AttemptOutcome::InvalidResponse,
      0,
      0,
      true,
      0 },
    { RouteType::NonIdempotent, false, AttemptOutcome::Failed, 0, 0, 0, true },
    { RouteType::Idempotent, true, AttemptOutcome::Lost, true, 0, 0, 0 },
    { RouteType::Idempotent, true, AttemptOutcome::Failed, true, 0, 0, 0 },
    { RouteType::Idempotent,
      true,
      AttemptOutcome::InvalidResponse,
      true,
      0,
      0,
      0 },
    { RouteType::Stream, true, AttemptOutcome::Lost, true, 0, 0, 0 },
    { RouteType::Stream, false, AttemptOutcome::Lost, 0, 0, true, 0 },
    { RouteType::Stream, false, AttemptOutcome::Completed, 0, 0, 0, true },
  };
  for (const Row& row : rows) {
    CAPTURE(nameIn(kRouteTypeNames, row.type),
            nameIn(kAttemptOutcomeNames, row.outcome));
    RetryController controller(row.isRetryable, 2);
    controller.attemptStarted();
    const auto decision =
      controller.attemptEnded(row.outcome, seconds(1), [] { return true; });
    CHECK(holds<RetryRequest>(decision) == row.retried);
    CHECK(holds<RejectNotExecuted>(decision) == row.rejected);
    CHECK(holds<FailMayHaveExecuted>(decision) == row.failed);
    CHECK(holds<ForwardResponse>(decision) == row.forwarded);
  }
}

TEST_CASE("retry_controller_rejectedTwice_isReportedAsNotExecuted")
{
  RetryController controller(false, 2);
  for (const bool isLast : { false, true }) {
    controller.attemptStarted();
    const auto decision = controller.attemptEnded(
      AttemptOutcome::Rejected, seconds(1), [] { return true; });
    CHECK(holds<RejectNotExecuted>(decision) == isLast);
  }
  CHECK(controller.isNotExecuted());
}

TEST_CASE("retry_controller_lostThenRejected_isNeverReportedAsNotExecuted")
{
  RetryController controller(true, 2);
  controller.attemptStarted();
  controller.attemptEnded(
    AttemptOutcome::Lost, seconds(1), [] { return true; });
  controller.attemptStarted();
  CHECK(holds<FailMayHaveExecuted>(controller.attemptEnded(
    AttemptOutcome::Rejected, seconds(1), [] { return true; })));
  CHECK(!controller.isNotExecuted());
}

TEST_CASE("retry_controller_noBudgetOrTime_fails")
{
  RetryController controller(true, 2);
  controller.attemptStarted();
  CHECK(holds<FailMayHaveExecuted>(controller.attemptEnded(
    AttemptOutcome::Lost, seconds(1), [] { return false; })));
  RetryController late(true, 2);
  late.attemptStarted();
  CHECK(holds<FailMayHaveExecuted>(late.attemptEnded(
    AttemptOutcome::Lost, milliseconds(1), [] { return true; })));
}

TEST_CASE("retry_controller_responseStarted_aborts")
{
  RetryController controller(true, 1);
  controller.attemptStarted();
  controller.responseStarted();
  CHECK(holds<AbortResponse>(controller.attemptEnded(
    AttemptOutcome::Lost, seconds(1), [] { return true; })));
  CHECK(holds<AbortResponse>(controller.timedOut(true)));
}

TEST_CASE("retry_controller_timedOut_reportsNotExecutedOnlyIfNothingWasSent")
{
  CHECK(holds<RejectNotExecuted>(RetryController(false, 1).timedOut(false)));
  RetryController sent(false, 1);
  sent.attemptStarted();
  CHECK(holds<FailMayHaveExecuted>(sent.timedOut(true)));
}

TEST_CASE("retry_budget_processJustStarted_hasNoSlack")
{
  RetryBudget retryBudget(
    { .ratio = 0.2, .ratioShare = 1, .slack = 80, .gateways = 8 });
  for (int i = 0; i < 10; ++i) {
    retryBudget.recordRequest(kStartTime);
  }
  CHECK(retryBudget.tryAcquire(kStartTime));
  CHECK(retryBudget.tryAcquire(kStartTime));
  CHECK(!retryBudget.tryAcquire(kStartTime));
}

TEST_CASE("retry_budget_allGatewaysRetryAtOnce_stayWithinTotal")
{
  // All servers of a large site fail: 14 gateways and as many that replaced
  // others, 4,646 requests and a slack of 212 per window.
  constexpr int kGateways = 28;
  constexpr int kRequests = 4646;
  int acquired = 0;
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    RetryBudget retryBudget({ .ratio = 0.2, .slack = 212 });
    retryBudget.tryAcquire(kStartTime);
    const Instant later = kStartTime + seconds(11);
    for (int i = 0; i < kRequests / kGateways; ++i) {
      retryBudget.recordRequest(later);
    }
    while (retryBudget.tryAcquire(later)) {
      ++acquired;
    }
  }
  CHECK(acquired <= 0.2 * kRequests * 0.8 + 212);
}

TEST_CASE("event_splitter_fragmentedInput_returnsCompleteEventsOnly")
{
  const std::string text =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
  for (std::size_t size = 1; size <= text.size(); ++size) {
    EventSplitter splitter;
    std::string whole;
    std::vector<std::uint64_t> ids;
    for (std::size_t at = 0; at < text.size(); at += size) {
      for (const auto& event : splitter.add(text.substr(at, size))) {
        whole += event.bytes;
        ids.push_back(event.id.value_or(0));
      }
    }
    CHECK(whole == text.substr(0, text.find("id: 3")));
    CHECK(ids == std::vector<std::uint64_t>{ 1, 2 });
    CHECK(splitter.hasPartialEvent());
  }
}

TEST_CASE("event_splitter_event_isSoundIfClientsTakeItForOneWithItsData")
{
  const std::vector<std::string> sound = {
    "id: 3\ndata: x\n\n",
    "data: x\nid: 3\n\n",
    "version: 2\nid: 3\nevent: e\ndata: x\ndata: y\nretry: 5\n: c\n\n",
    "data\n\n",
    "id: three\ndata: x\n\n",
    "id: 3\ndata: x\n line\nxyz: 4\n\n",
    "event: ping\n\n",
    "retry: 10\n\n",
    ": c\n\n",
    "\n",
  };
  const std::vector<std::string> unsound = {
    "id: 3\ndata: x\nid: 4\ndata: y\n\n",  // Two events.
    "id: 3\ndata: x\nxid: 4\ndata: y\n\n", // Two, the second ID spoiled.
    "id: 3\ndata: x\n:id: 4\ndata: y\n\n", // The same.
    "id: 3\ndata: x\nxdata: [DONE]\n\n",   // Two, the second has no ID.
    "data: x\n:data: y\n\n",               // Two without IDs.
    "id: 3\n\n",                           // Its data is another event.
    "id: 3\ndta: x\n\n",
    "dta: x\n\n",
    "id: 3data: x\n\n",
    "id\n\n",
  };
  for (const std::string& bytes : sound) {
    CAPTURE(bytes);
    CHECK(parseEvent(bytes).isSound);
  }
  for (const std::string& bytes : unsound) {
    CAPTURE(bytes);
    CHECK_FALSE(parseEvent(bytes).isSound);
  }
}

TEST_CASE("event_sequence_idIsNoNumber_isRefusedBehindNumbers")
{
  for (const char* const id : { "3x", "", "-1", " 1", "01", "\t1", "1 " }) {
    CAPTURE(id);
    const StreamEvent event =
      parseEvent("id: " + std::string(id) + "\ndata: x\n\n");
    EventSequence numbered(0);
    CHECK_FALSE(numbered.accept(event));
    EventSequence other;
    CHECK(other.accept(event));
    CHECK_FALSE(other.canResume({}));
  }
}

TEST_CASE("event_sequence_resumedStream_acceptsNoGapAndNoDuplicate")
{
  EventSequence sequence;
  CHECK(sequence.accept({ .id = 5 }));
  CHECK(sequence.accept({ .id = 6 }));
  CHECK(!sequence.accept({ .id = 6 }));
  CHECK(!sequence.accept({ .id = 8 }));
  CHECK(sequence.accept({ .id = 7 }));
  EventSequence resumed(12);
  CHECK(!resumed.accept({ .id = 1 }));
  CHECK(resumed.accept({ .id = 13 }));
}

TEST_CASE("server_selector_generations_goToLeastLoadedRank")
{
  const ServerRecord one = server("one");
  const ServerRecord two = server("two");
  const std::vector<const ServerRecord*> both{ &one, &two };
  ServerSelector selector({ .failureDomain = "a" });
  const ServerSelector::Demand small{ .promptTokens = 100,
                                      .isGeneration = true,
                                      .group = { "s", "g" } };
  selector.requestStarted("one", small, kStartTime);
  CHECK(selector.select(both, small, {}, kStartTime)->id == "two");
  selector.setGroupLoads(
    { "s", "g" }, { .loads = { { "one", 1 }, { "two", 3 } } }, kStartTime);
  CHECK(selector.select(both, small, {}, kStartTime)->id == "one");
  CHECK(selector.select(both, small, { "one" }, kStartTime)->id == "two");
}

TEST_CASE("server_selector_slowRank_isUsedOnlyIfOthersAreEquallyLoaded")
{
  // Each pass of a group waits for its slowest rank.
  ServerSelector selector({ .failureDomain = "a" });
  ServerRecord slow{ .id = "slow", .failureDomain = "a", .slowdown = 12 };
  ServerRecord other{ .id = "other", .failureDomain = "b" };
  const std::vector<const ServerRecord*> servers{ &slow, &other };
  const ServerSelector::Demand demand{ .promptTokens = 800,
                                       .isGeneration = true };
  for (int i = 0; i < 8; ++i) {
    const auto* picked = selector.select(servers, demand, {}, kStartTime);
    REQUIRE(picked->id == "other");
    selector.requestStarted(picked->id, demand, kStartTime);
  }
}

TEST_CASE("server_selector_stalledRankInActiveGroup_isSilent")
{
  // An instance freezes together with its rank. The clients of its streams
  // would disconnect after two seconds.
  ServerSelector selector({ .failureDomain = "a" });
  const ServerSelector::Demand demand{ .promptTokens = 800,
                                       .isGeneration = true,
                                       .group = { "s", "g" } };
  selector.requestStarted("frozen", demand, kStartTime);
  selector.requestStarted("active", demand, kStartTime);
  // Another group is stalled as a whole, so its streams cannot be moved.
  selector.requestStarted(
    "other", { .isGeneration = true, .group = { "s", "h" } }, kStartTime);
  Instant now = kStartTime;
  for (int i = 0; i < 7; ++i) {
    now += milliseconds(100);
    selector.recordActivity("active", now);
    CHECK(selector.silentServers(now).empty());
  }
  now += milliseconds(100);
  selector.recordActivity("active", now);
  CHECK(selector.silentServers(now) == std::vector<std::string>{ "frozen" });
  SECTION("the whole group is stalled: no rank is silent")
  {
    CHECK(selector.silentServers(now + seconds(1)).empty());
  }
  SECTION("it sends data again")
  {
    selector.recordActivity("frozen", now);
    CHECK(selector.silentServers(now).empty());
  }
  SECTION("it has no more requests")
  {
    selector.requestEnded(
      "frozen", demand, AttemptOutcome::Lost, seconds(1), now);
    CHECK(selector.silentServers(now).empty());
  }
  SECTION("it has just received a new first request")
  {
    selector.requestEnded(
      "frozen", demand, AttemptOutcome::Lost, seconds(1), now);
    selector.requestStarted("frozen", demand, now);
    CHECK(selector.silentServers(now).empty());
  }
}

TEST_CASE("server_selector_busyServerWithoutGroup_isNotSilent")
{
  ServerSelector selector({ .failureDomain = "a" });
  selector.requestStarted("plain", {}, kStartTime);
  selector.requestStarted(
    "rank", { .isGeneration = true, .group = { "s", "g" } }, kStartTime);
  selector.recordActivity("rank", kStartTime + seconds(1));
  CHECK(selector.silentServers(kStartTime + seconds(1)).empty());
}

TEST_CASE("server_selector_serverLosesResponses_isAvoidedTemporarily")
{
  const ServerRecord one = server("one");
  const ServerRecord two = server("two");
  const std::vector<const ServerRecord*> both{ &one, &two };
  ServerSelector selector({ .failureDomain = "a" });
  for (int i = 0; i < 2; ++i) {
    selector.requestStarted("one", {}, kStartTime);
    selector.requestEnded(
      "one", {}, AttemptOutcome::Lost, milliseconds(5), kStartTime);
  }
  selector.requestStarted("two", {}, kStartTime);
  CHECK(selector.select(both, {}, {}, kStartTime)->id == "two");
  CHECK(selector.select({ &one }, {}, {}, kStartTime)->id == "one");
  CHECK(selector.select(both, {}, {}, kStartTime + seconds(30))->id == "one");
}

TEST_CASE("server_selector_slowServer_getsFewerRequests")
{
  const ServerRecord fast = server("fast");
  const ServerRecord slow = server("slow");
  const std::vector<const ServerRecord*> both{ &slow, &fast };
  ServerSelector selector({ .failureDomain = "a" });
  for (const auto& [id, took] : { std::pair{ "slow", 300 }, { "fast", 30 } }) {
    selector.requestStarted(id, {}, kStartTime);
    selector.requestEnded(
      id, {}, AttemptOutcome::Completed, milliseconds(took), kStartTime);
  }
  for (int i = 0; i < 3; ++i) {
    CHECK(selector.select(both, {}, {}, kStartTime)->id == "fast");
    selector.requestStarted("fast", {}, kStartTime);
  }
}

TEST_CASE("group_admission_loadRisesFasterThanMeasured_rejectsInTime")
{
  // With 20 streams a pass takes 50 ms. Many streams then arrive before the
  // next pass is measured. An empty pass takes 18 ms, the maximum gap is
  // 120 ms.
  GroupAdmission admission;
  Instant now = kStartTime;
  for (int pass = 0; pass < 50; ++pass) {
    now += milliseconds(50);
    for (int stream = 0; stream < 20; ++stream) {
      admission.recordGap(milliseconds(50), 20, milliseconds(18), now);
    }
  }
  int streams = 20;
  while (!admission.checkAdmission(demandOf(streams), now)) {
    REQUIRE(streams < 200);
    ++streams;
  }
  const double pass = 18 + (50.0 - 18) / 20 * streams;
  CHECK(pass < 120 * GroupAdmissionOptions{}.balancedGapShare + 2);
  CHECK(streams > 25);
}

TEST_CASE("group_admission_expertPopularityShifts_admitsWhileWithinLimit")
{
  // With 20 streams a pass takes 45 ms, and 100 ms after other experts become
  // popular.
  GroupAdmission admission;
  Instant now = kStartTime;
  const auto passes = [&](int aPasses, int aMs) {
    for (int i = 0; i < aPasses; ++i) {
      now += milliseconds(aMs);
      for (int stream = 0; stream < 20; ++stream) {
        admission.recordGap(milliseconds(aMs), 20, milliseconds(18), now);
      }
    }
  };
  passes(50, 45);
  passes(6, 100);
  CHECK(!admission.checkAdmission(demandOf(20), now));
  passes(6, 125);
  CHECK(admission.checkAdmission(demandOf(20), now));
}

TEST_CASE("group_admission_outdatedMeasurement_admits")
{
  GroupAdmission admission;
  admission.recordGap(milliseconds(500), 10, milliseconds(18), kStartTime);
  const auto at = [&](Duration aAfter) {
    return admission.checkAdmission(demandOf(10), kStartTime + aAfter);
  };
  CHECK(at(milliseconds(100)));
  CHECK(!at(seconds(2)));
}

TEST_CASE("group_admission_stalledGroup_rejectsUntilProgress")
{
  // A frozen instance or a dead rank blocks the pass of the group. Clients
  // would wait until they time out.
  GroupAdmission admission;
  const auto refusal = [&](int aStreams, Duration aAfter) {
    return admission.checkAdmission(demandOf(aStreams), kStartTime + aAfter);
  };
  admission.streamStarted(0, kStartTime - seconds(9));
  admission.streamStarted(1, kStartTime - seconds(8));
  admission.recordProgress(kStartTime);
  CHECK_FALSE(refusal(10, milliseconds(500)));
  REQUIRE(refusal(10, milliseconds(700)));
  CHECK(refusal(10, milliseconds(700))->retryAfter >= seconds(1));
  CHECK(refusal(10, milliseconds(700))->cause == RefusalCause::Stalled);
  // A few streams are admitted to detect when the group makes progress.
  CHECK_FALSE(refusal(2, milliseconds(700)));
  admission.recordProgress(kStartTime + milliseconds(800));
  CHECK_FALSE(refusal(10, milliseconds(900)));
  // No stream was in progress for long, then many arrive at once.
  admission.streamStarted(0, kStartTime + seconds(60));
  CHECK_FALSE(refusal(10, seconds(60) + milliseconds(300)));
}

TEST_CASE("drain_policy_lateRequest_isAcceptedOnlyIfItEndsInTime")
{
  // The process exits 7.6 s after the shutdown request. A stream with a
  // timeout of 8 s arrives 4.2 s after the request.
  const DrainPolicy policy{ .startedAt = kStartTime,
                            .endsAt = kStartTime + milliseconds(7600) };
  const Instant late = kStartTime + milliseconds(4200);
  CHECK(!policy.accepts(late, late + seconds(8)));
  CHECK(policy.accepts(late, late + seconds(1)));
  const Instant early = kStartTime + seconds(1);
  CHECK(policy.accepts(early, early + seconds(8)));
}

TEST_CASE("server_list_serverSaidItLeaves_staysExcludedUntilItRestarts")
{
  ServerList list;
  const Instant now{ seconds(100) };
  ServerRecord server{ .id = "x", .service = "s", .startedMs = 1 };
  list.replace({ server }, now);
  list.markLeaving("x", 1);
  CHECK(list.availableServers("s").empty());
  // Its entry lapses and is written again.
  list.apply({ { .id = "x" } }, now);
  list.apply({ { .id = "x", .record = server } }, now);
  CHECK(list.availableServers("s").empty());
  server.startedMs = 2;
  list.apply({ { .id = "x", .record = server } }, now);
  CHECK(list.availableServers("s").size() == 1);
  // A late response of the former process does not concern the new one.
  list.markLeaving("x", 1);
  CHECK(list.availableServers("s").size() == 1);
  list.markLeaving("x", 2);
  list.markLeaving("x", 1);
  CHECK(list.availableServers("s").empty());
}

TEST_CASE("server_list_serverAsksForAPause_isNotReadyUntilItEnds")
{
  ServerList list;
  const Instant now{ seconds(100) };
  list.replace({ { .id = "x", .service = "s", .startedMs = 1 },
                 { .id = "y", .service = "s", .startedMs = 1 } },
               now);
  list.pause("x", 1, now + seconds(3));
  list.pause("x", 1, now + seconds(1));
  CHECK(list.readyServers("s", now + milliseconds(2999)).size() == 1);
  CHECK(list.readyServers("s", now + seconds(3)).size() == 2);
  CHECK(list.firstResumption("s", now) == now + seconds(3));
  CHECK_FALSE(list.firstResumption("s", now + seconds(3)));
}

constexpr auto kUnreachable = CrashDetector::Evidence::Unreachable;
constexpr auto kEnded = CrashDetector::Evidence::Ended;

static CrashDetector::Loss
loss(policy::CrashId aProcess, std::uint64_t aFingerprint, Instant aAt)
{
  return { .process = aProcess,
           .address = { "127.0.0.1", 80 },
           .request = { .content = { .fingerprint = aFingerprint } },
           .at = aAt };
}

TEST_CASE("crash_detector_serverRespondsLater_suspectsNothing")
{
  // Connections are reset while many clients send the same request.
  CrashDetector detector;
  const Instant start{ seconds(100) };
  detector.recordLoss("i-1", loss(1, 7, start));
  detector.recordLoss("i-1", loss(1, 7, start + milliseconds(10)));
  detector.recordResponse("i-1", 1, start + milliseconds(20));
  CHECK(detector.takeCrashes("i-1", kUnreachable, start + seconds(1)).empty());
}

TEST_CASE("crash_detector_unreachableServer_suspectsRequestsInProgress")
{
  CrashDetector detector;
  const Instant start{ seconds(100) };
  detector.recordLoss("i-1", loss(1, 7, start));
  detector.recordLoss("i-1", loss(1, 8, start + milliseconds(5)));
  detector.recordLoss("i-1", loss(2, 7, start + milliseconds(5)));
  detector.recordLoss("i-2", loss(3, 9, start));
  // A response to a request sent before the loss does not disprove a crash.
  detector.recordResponse("i-1", 1, start - milliseconds(1));
  CHECK(detector.takeCrashes("i-1", kUnreachable, start + seconds(1)) ==
        std::map<policy::CrashId, CrashDetector::Crash>{
          { 1, { .at = start, .suspects = { { 7 }, { 8 } } } },
          { 2, { .at = start + milliseconds(5), .suspects = { { 7 } } } } });
  CHECK(detector.takeCrashes("i-1", kUnreachable, start + seconds(1)).empty());
  CHECK(detector.takeCrashes("i-2", kUnreachable, start + seconds(6)).empty());
}

TEST_CASE("crash_detector_nextProcessResponds_formerOneHasCrashedAllTheSame")
{
  CrashDetector detector;
  const Instant start{ seconds(100) };
  detector.recordLoss("i-1", loss(1, 7, start));
  detector.recordResponse("i-1", 2, start + seconds(1));
  CHECK(detector.takeCrashes("i-1", kUnreachable, start + seconds(2)).size() ==
        1);
}

TEST_CASE("crash_detector_processAcceptsConnections_countsOnlyIfItHasEnded")
{
  CrashDetector detector;
  const Instant start{ seconds(100) };
  detector.recordLoss("i-1", loss(1, 7, start));
  detector.recordReachable("i-1", 1);
  CHECK(detector.takeCrashes("i-1", kUnreachable, start + seconds(1)).empty());
  CHECK(detector.takeCrashes("i-1", kEnded, start + seconds(1)).size() == 1);
}

TEST_CASE("crash_detector_serverLeavesByPlan_suspectsNothing")
{
  CrashDetector detector;
  const Instant start{ seconds(100) };
  detector.recordLoss("i-1", loss(1, 7, start));
  detector.recordLeaving("i-1");
  CHECK(detector.takeCrashes("i-1", kEnded, start + seconds(1)).empty());
}

TEST_CASE("crash_detector_serverWasSilent_countsOnceItsProcessHasEnded")
{
  CrashDetector detector;
  const Instant start{ seconds(100) };
  CrashDetector::Loss silent = loss(1, 7, start);
  silent.needsProof = true;
  detector.recordLoss("i-1", silent);
  const contract::Address address = silent.address;
  CHECK(detector.takeCrashes("i-1", kUnreachable, start).empty());
  CHECK(detector.takeEnded("i-9", address, 1, start + seconds(9)).empty());
  CHECK(detector.takeEnded("i-9", { "127.0.0.2", 80 }, 2, start + seconds(9))
          .empty());
  SECTION("another process is at its address")
  {
    CHECK(detector.takeEnded("i-9", address, 2, start + seconds(9)).size() ==
          1);
    CHECK(detector.takeEnded("i-9", address, 2, start + seconds(9)).empty());
  }
  SECTION("its port is closed")
  {
    CHECK(detector.takeCrashes("i-1", kEnded, start + seconds(9)).size() == 1);
  }
  SECTION("it responds before it ends")
  {
    detector.recordResponse("i-1", 1, start + seconds(2));
    CHECK(detector.takeEnded("i-9", address, 2, start + seconds(9)).empty());
  }
  SECTION("it ends much later")
  {
    CHECK(detector.takeEnded("i-9", address, 2, start + seconds(31)).empty());
  }
}

// Guards against BUDGET: a request that silenced servers which did not return
// at their address was never a suspect.
TEST_CASE("crash_detector_silentServerIsRemoved_suspectsWhatMayHaveSilencedIt")
{
  constexpr auto kRemoved = CrashDetector::Evidence::Removed;
  CrashDetector detector(seconds(1));
  const Instant start{ seconds(100) };
  CrashDetector::Loss silent = loss(1, 7, start + seconds(1));
  silent.sentAt = start;
  silent.needsProof = true;
  silent.request.content.parts = { 40 };
  SECTION("it counts as uncertain, since when it was sent")
  {
    detector.recordLoss("i-1", silent);
    const auto crashes =
      detector.takeCrashes("i-1", kRemoved, start + milliseconds(2900));
    REQUIRE(crashes.size() == 1);
    CHECK(
      crashes.at(1) ==
      CrashDetector::Crash{
        .at = start, .suspects = { { .content = { 7 }, .hasBegun = true } } });
    CHECK(detector.takeCrashes("i-1", kRemoved, start + seconds(3)).empty());
  }
  SECTION("it is lost after the entry was removed")
  {
    CHECK(detector.takeCrashes("i-1", kRemoved, start + seconds(3)).empty());
    detector.recordLoss("i-1", silent);
    CHECK(detector.takeLostLater("i-1").size() == 1);
    CHECK(detector.takeLostLater("i-1").empty());
  }
  SECTION("the process was silent before it was sent")
  {
    detector.recordLoss("i-1", silent);
    CHECK(detector.takeCrashes("i-1", kRemoved, start + milliseconds(1400))
            .empty());
  }
  SECTION("the process has sent something since it should have been silent")
  {
    detector.recordActivity(1, start + seconds(2));
    detector.recordLoss("i-1", silent);
    CHECK(detector.takeCrashes("i-1", kRemoved, start + seconds(3)).empty());
  }
  SECTION("it was lost long before the last heartbeat")
  {
    detector.recordLoss("i-1", silent);
    CHECK(detector.takeCrashes("i-1", kRemoved, start + seconds(6)).empty());
  }
  SECTION("the server is listed once more")
  {
    detector.takeCrashes("i-1", kRemoved, start + seconds(3));
    detector.takeEnded("i-1", silent.address, 1, start + seconds(4));
    detector.recordLoss("i-1", silent);
    CHECK(detector.takeLostLater("i-1").empty());
  }
}

TEST_CASE("crash_detector_nextProcessOfThatNameIsElsewhere_formerOneHasEnded")
{
  CrashDetector detector;
  const Instant start{ seconds(100) };
  CrashDetector::Loss silent = loss(1, 7, start);
  silent.needsProof = true;
  detector.recordLoss("i-1", silent);
  const contract::Address elsewhere{ "127.0.0.2", 80 };
  CHECK(detector.takeEnded("i-2", elsewhere, 2, start + seconds(1)).empty());
  CHECK(detector.takeEnded("i-1", elsewhere, 1, start + seconds(1)).empty());
  CHECK(detector.takeEnded("i-1", elsewhere, 2, start + seconds(1)).size() ==
        1);
}
