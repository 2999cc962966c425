#include "laburnum/gateway/configuration.hpp"
#include "laburnum/gateway/crash_watch.hpp"
#include "laburnum/gateway/drain_rule.hpp"
#include "laburnum/gateway/event_splitter.hpp"
#include "laburnum/gateway/group_admission.hpp"
#include "laburnum/gateway/placement.hpp"
#include "laburnum/gateway/request_course.hpp"
#include "laburnum/gateway/retry_allowance.hpp"
#include "laburnum/gateway/server_list.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

namespace {

constexpr Instant kStart{ seconds(100) };

ServerRecord
server(std::string aId, bool aIsLeaving = false)
{
  return { .id = std::move(aId),
           .service = "s",
           .failureDomain = "a",
           .isLeaving = aIsLeaving,
           .bornMs = 1 };
}

std::vector<std::string>
idsOf(const ServerList& aList)
{
  std::vector<std::string> ids;
  for (const ServerRecord* record : aList.usable("s")) {
    ids.push_back(record->id);
  }
  return ids;
}

using Ids = std::vector<std::string>;

template<class T>
bool
is(const CourseDecision& aDecision)
{
  return std::holds_alternative<T>(aDecision);
}

} // namespace

TEST_CASE("configuration_prefixesOverlap_matchesTheLongest")
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

TEST_CASE("server_list_entryLapsesInAnOutage_staysForTheGrace")
{
  ServerList list;
  list.replace({ server("x"), server("y") }, kStart);
  list.lost(kStart + seconds(1));
  list.regained(kStart + seconds(9));
  CHECK(list.replace({ server("x") }, kStart + seconds(9)).empty());
  CHECK(idsOf(list) == Ids{ "x", "y" });
  CHECK(list.expire(kStart + seconds(10)).empty());
  CHECK(list.expire(kStart + milliseconds(11001)) == Ids{ "y" });
  CHECK(idsOf(list) == Ids{ "x" });
}

TEST_CASE("server_list_lapsedEntryComesBack_isKept")
{
  ServerList list;
  list.replace({ server("x") }, kStart);
  list.lost(kStart);
  list.regained(kStart + seconds(5));
  list.replace({}, kStart + seconds(5));
  list.apply({ { "x", server("x") } }, kStart + seconds(6));
  CHECK(list.expire(kStart + seconds(8)).empty());
  CHECK(idsOf(list) == Ids{ "x" });
}

TEST_CASE("server_list_entryGoesInCalm_getsNoWorkAtOnce")
{
  ServerList list;
  list.replace({ server("x"), server("y") }, kStart);
  CHECK(list.apply({ { "x", std::nullopt } }, kStart) == Ids{ "x" });
  CHECK(list.apply({ { "y", server("y", true) } }, kStart) == Ids{ "y" });
  CHECK(idsOf(list).empty());
}

TEST_CASE("server_list_drainingEntryGoesInAnOutage_isNotKept")
{
  ServerList list;
  list.replace({ server("x", true) }, kStart);
  list.lost(kStart);
  CHECK(list.replace({}, kStart) == Ids{ "x" });
  CHECK(list.size() == 0);
}

TEST_CASE("server_list_saidLeaving_holdsForThatLifeOnly")
{
  ServerList list;
  list.replace({ server("x") }, kStart);
  list.leftByItself("x", 1);
  CHECK(idsOf(list).empty());
  list.apply({ { "x", server("x") } }, kStart);
  CHECK(idsOf(list).empty());
  ServerRecord reborn = server("x");
  reborn.bornMs = 2;
  list.apply({ { "x", reborn } }, kStart);
  CHECK(idsOf(list) == Ids{ "x" });
}

TEST_CASE("request_course_everyEndOfASending_keepsThePromises")
{
  struct Row
  {
    Repeat repeat;
    bool mayRepeat;
    AttemptEnd end;
    bool again, refused, failed, passed;
  };
  const std::vector<Row> rows = {
    // repeat, mayRepeat, end: again, refused as not run, failed, passed
    { Repeat::NonIdempotent, false, AttemptEnd::NotSent, true, 0, 0, 0 },
    { Repeat::NonIdempotent, false, AttemptEnd::Rejected, true, 0, 0, 0 },
    { Repeat::NonIdempotent, false, AttemptEnd::Lost, 0, 0, true, 0 },
    { Repeat::NonIdempotent, false, AttemptEnd::Spoiled, 0, 0, true, 0 },
    { Repeat::NonIdempotent, false, AttemptEnd::Failed, 0, 0, 0, true },
    { Repeat::Idempotent, true, AttemptEnd::Lost, true, 0, 0, 0 },
    { Repeat::Idempotent, true, AttemptEnd::Failed, true, 0, 0, 0 },
    { Repeat::Idempotent, true, AttemptEnd::Spoiled, true, 0, 0, 0 },
    { Repeat::Stream, true, AttemptEnd::Lost, true, 0, 0, 0 },
    { Repeat::Stream, false, AttemptEnd::Lost, 0, 0, true, 0 },
    { Repeat::Stream, false, AttemptEnd::Answered, 0, 0, 0, true },
  };
  for (const Row& row : rows) {
    CAPTURE(nameIn(kRepeatNames, row.repeat),
            nameIn(kAttemptEndNames, row.end));
    RequestCourse course(row.mayRepeat, 2);
    course.sending();
    const auto decision =
      course.ended(row.end, seconds(1), [] { return true; });
    CHECK(is<SendAgain>(decision) == row.again);
    CHECK(is<RefuseNotRun>(decision) == row.refused);
    CHECK(is<FailMayHaveRun>(decision) == row.failed);
    CHECK(is<PassAnswer>(decision) == row.passed);
  }
}

TEST_CASE("request_course_rejectedTwice_isRefusedAsNotRun")
{
  RequestCourse course(false, 2);
  for (const bool isLast : { false, true }) {
    course.sending();
    const auto decision =
      course.ended(AttemptEnd::Rejected, seconds(1), [] { return true; });
    CHECK(is<RefuseNotRun>(decision) == isLast);
  }
  CHECK(course.isNotRun());
}

TEST_CASE("request_course_lostThenRejected_isNeverCalledNotRun")
{
  RequestCourse course(true, 2);
  course.sending();
  course.ended(AttemptEnd::Lost, seconds(1), [] { return true; });
  course.sending();
  CHECK(is<FailMayHaveRun>(
    course.ended(AttemptEnd::Rejected, seconds(1), [] { return true; })));
  CHECK(!course.isNotRun());
}

TEST_CASE("request_course_noAllowanceOrTime_endsAtOnce")
{
  RequestCourse course(true, 2);
  course.sending();
  CHECK(is<FailMayHaveRun>(
    course.ended(AttemptEnd::Lost, seconds(1), [] { return false; })));
  RequestCourse late(true, 2);
  late.sending();
  CHECK(is<FailMayHaveRun>(
    late.ended(AttemptEnd::Lost, milliseconds(1), [] { return true; })));
}

TEST_CASE("request_course_eventsPassedOn_breaksOffInsteadOfFailing")
{
  RequestCourse course(true, 1);
  course.sending();
  course.answerBegan();
  CHECK(is<BreakOff>(
    course.ended(AttemptEnd::Lost, seconds(1), [] { return true; })));
  CHECK(is<BreakOff>(course.timedOut(true)));
}

TEST_CASE("request_course_timeOver_saysNotRunOnlyIfNothingWasSent")
{
  CHECK(is<RefuseNotRun>(RequestCourse(false, 1).timedOut(false)));
  RequestCourse sent(false, 1);
  sent.sending();
  CHECK(is<FailMayHaveRun>(sent.timedOut(true)));
}

TEST_CASE("retry_allowance_processJustStarted_hasNoSlack")
{
  RetryAllowance allowance(
    { .ratio = 0.2, .ratioShare = 1, .slack = 80, .entries = 8 });
  for (int i = 0; i < 10; ++i) {
    allowance.request(kStart);
  }
  CHECK(allowance.take(kStart));
  CHECK(allowance.take(kStart));
  CHECK(!allowance.take(kStart));
}

TEST_CASE("retry_allowance_allEntriesRepeatAtOnce_keepToTheWhole")
{
  // The grown garden: 14 entries and as many in the place of others, 4,646
  // requests and a slack of 212 in a window, every server failing.
  constexpr int kEntries = 28;
  constexpr int kRequests = 4646;
  int taken = 0;
  for (int entry = 0; entry < kEntries; ++entry) {
    RetryAllowance allowance({ .ratio = 0.2, .slack = 212 });
    allowance.take(kStart);
    const Instant later = kStart + seconds(11);
    for (int i = 0; i < kRequests / kEntries; ++i) {
      allowance.request(later);
    }
    while (allowance.take(later)) {
      ++taken;
    }
  }
  CHECK(taken <= 0.2 * kRequests * 0.8 + 212);
}

TEST_CASE("event_splitter_bytesComeInPieces_givesWholeEventsOnly")
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
    CHECK(splitter.isTorn());
  }
}

TEST_CASE("event_sequence_runsAreJoined_acceptsNoGapAndNoRepeat")
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

TEST_CASE("placement_generations_goToTheEmptiestRank")
{
  const ServerRecord one = server("one");
  const ServerRecord two = server("two");
  const std::vector<const ServerRecord*> both{ &one, &two };
  Placement placement({ .failureDomain = "a" });
  const Placement::Demand small{ .promptTokens = 100, .isGeneration = true };
  placement.begin("one", small, kStart);
  CHECK(placement.pick(both, small, {}, kStart)->id == "two");
  placement.peerLoads("peer", { { "two", 2 } });
  CHECK(placement.pick(both, small, {}, kStart)->id == "one");
  CHECK(placement.pick(both, small, { "one" }, kStart)->id == "two");
}

TEST_CASE("placement_rankTurnsSlow_getsWorkOnlyIfAllOthersHaveAsMuch")
{
  // Every pass of a group waits for the part of its slowest rank.
  Placement placement({ .failureDomain = "a" });
  ServerRecord slow{ .id = "slow", .failureDomain = "a", .pace = 12 };
  ServerRecord other{ .id = "other", .failureDomain = "b" };
  const std::vector<const ServerRecord*> servers{ &slow, &other };
  const Placement::Demand demand{ .promptTokens = 800, .isGeneration = true };
  for (int i = 0; i < 8; ++i) {
    const auto* picked = placement.pick(servers, demand, {}, kStart);
    REQUIRE(picked->id == "other");
    placement.begin(picked->id, demand, kStart);
  }
}

TEST_CASE("placement_rankStandsStillBesideOthers_isSilent")
{
  // An instance freezes with its rank; the callers of its streams would leave
  // after two seconds.
  Placement placement({ .failureDomain = "a" });
  const Placement::Demand demand{ .promptTokens = 800,
                                  .isGeneration = true,
                                  .group = "g" };
  placement.begin("frozen", demand, kStart);
  placement.begin("lively", demand, kStart);
  // Another group stands still as a whole: there is nowhere to go.
  placement.begin("other", { .isGeneration = true, .group = "h" }, kStart);
  Instant now = kStart;
  for (int i = 0; i < 7; ++i) {
    now += milliseconds(100);
    placement.heard("lively", now);
    CHECK(placement.silent(now).empty());
  }
  now += milliseconds(100);
  placement.heard("lively", now);
  CHECK(placement.silent(now) == std::vector<std::string>{ "frozen" });
  SECTION("the whole group stands still: nobody is left")
  {
    CHECK(placement.silent(now + seconds(1)).empty());
  }
  SECTION("it speaks again")
  {
    placement.heard("frozen", now);
    CHECK(placement.silent(now).empty());
  }
  SECTION("nothing is left at it")
  {
    placement.end("frozen", demand, AttemptEnd::Lost, seconds(1), now);
    CHECK(placement.silent(now).empty());
  }
  SECTION("it has got its first request anew")
  {
    placement.end("frozen", demand, AttemptEnd::Lost, seconds(1), now);
    placement.begin("frozen", demand, now);
    CHECK(placement.silent(now).empty());
  }
}

TEST_CASE("placement_plainServerIsBusyForLong_isNotSilent")
{
  Placement placement({ .failureDomain = "a" });
  placement.begin("plain", {}, kStart);
  placement.begin("rank", { .isGeneration = true, .group = "g" }, kStart);
  placement.heard("rank", kStart + seconds(1));
  CHECK(placement.silent(kStart + seconds(1)).empty());
}

TEST_CASE("placement_serverLosesAnswers_isLeftAloneForAWhile")
{
  const ServerRecord one = server("one");
  const ServerRecord two = server("two");
  const std::vector<const ServerRecord*> both{ &one, &two };
  Placement placement({ .failureDomain = "a" });
  for (int i = 0; i < 2; ++i) {
    placement.begin("one", {}, kStart);
    placement.end("one", {}, AttemptEnd::Lost, milliseconds(5), kStart);
  }
  placement.begin("two", {}, kStart);
  CHECK(placement.pick(both, {}, {}, kStart)->id == "two");
  CHECK(placement.pick({ &one }, {}, {}, kStart)->id == "one");
  CHECK(placement.pick(both, {}, {}, kStart + seconds(30))->id == "one");
}

TEST_CASE("placement_slowServer_getsLessOfPlainWork")
{
  const ServerRecord fast = server("fast");
  const ServerRecord slow = server("slow");
  const std::vector<const ServerRecord*> both{ &slow, &fast };
  Placement placement({ .failureDomain = "a" });
  for (const auto& [id, took] : { std::pair{ "slow", 300 }, { "fast", 30 } }) {
    placement.begin(id, {}, kStart);
    placement.end(id, {}, AttemptEnd::Answered, milliseconds(took), kStart);
  }
  for (int i = 0; i < 3; ++i) {
    CHECK(placement.pick(both, {}, {}, kStart)->id == "fast");
    placement.begin("fast", {}, kStart);
  }
}

TEST_CASE("group_admission_crestComesBeforePassesTellOfIt_refusesInTime")
{
  // 20 streams give passes of 50 ms; before another pass is seen, a crest of
  // arrivals comes. An empty pass takes 18 ms, the allowed pause is 120 ms.
  GroupAdmission admission;
  Instant now = kStart;
  for (int pass = 0; pass < 50; ++pass) {
    now += milliseconds(50);
    for (int stream = 0; stream < 20; ++stream) {
      admission.gapSeen(milliseconds(50), 20, milliseconds(18), now);
    }
  }
  int streams = 20;
  while (
    !admission.refusal(streams, milliseconds(120), milliseconds(18), now)) {
    REQUIRE(streams < 200);
    ++streams;
  }
  const double pass = 18 + (50.0 - 18) / 20 * streams;
  CHECK(pass < 120 * GroupAdmissionOptions{}.evenShare + 2);
  CHECK(streams > 25);
}

TEST_CASE("group_admission_favourShifts_letsInWhatIsStillInTime")
{
  // Passes of 45 ms with 20 streams, then a shift: 100 ms with the same.
  GroupAdmission admission;
  Instant now = kStart;
  const auto passes = [&](int aPasses, int aMs) {
    for (int i = 0; i < aPasses; ++i) {
      now += milliseconds(aMs);
      for (int stream = 0; stream < 20; ++stream) {
        admission.gapSeen(milliseconds(aMs), 20, milliseconds(18), now);
      }
    }
  };
  passes(50, 45);
  passes(6, 100);
  CHECK(!admission.refusal(20, milliseconds(120), milliseconds(18), now));
  passes(6, 125);
  CHECK(admission.refusal(20, milliseconds(120), milliseconds(18), now));
}

TEST_CASE("group_admission_measureIsOld_letsIn")
{
  GroupAdmission admission;
  admission.gapSeen(milliseconds(500), 10, milliseconds(18), kStart);
  const auto at = [&](Duration aAfter) {
    return admission.refusal(
      10, milliseconds(120), milliseconds(18), kStart + aAfter);
  };
  CHECK(at(milliseconds(100)));
  CHECK(!at(seconds(2)));
}

TEST_CASE("group_admission_groupStandsStill_refusesUntilAStreamGoesOn")
{
  // A step is held by an instance that froze, or a rank has died: callers
  // would wait until they give up.
  GroupAdmission admission;
  const auto refusal = [&](int aStreams, Duration aAfter) {
    return admission.refusal(
      aStreams, milliseconds(120), milliseconds(18), kStart + aAfter);
  };
  admission.begun(0, kStart - seconds(9));
  admission.begun(1, kStart - seconds(8));
  admission.progress(kStart);
  CHECK_FALSE(refusal(10, milliseconds(500)));
  REQUIRE(refusal(10, milliseconds(700)));
  CHECK(refusal(10, milliseconds(700))->wait >= seconds(1));
  CHECK(refusal(10, milliseconds(700))->cause == RefusalCause::StandsStill);
  // A few are let in: they tell when the group goes on.
  CHECK_FALSE(refusal(2, milliseconds(700)));
  admission.progress(kStart + milliseconds(800));
  CHECK_FALSE(refusal(10, milliseconds(900)));
  // Nothing was in progress for long, then many come at once.
  admission.begun(0, kStart + seconds(60));
  CHECK_FALSE(refusal(10, seconds(60) + milliseconds(300)));
}

TEST_CASE("drain_rule_requestComesLate_isTakenOnlyIfItEndsInTime")
{
  // A stop with 7.6 s to its end; a stream of 8 s comes 4.2 s after it.
  const DrainRule rule{ .begun = kStart, .end = kStart + milliseconds(7600) };
  const Instant late = kStart + milliseconds(4200);
  CHECK(!rule.takes(late, late + seconds(8)));
  CHECK(rule.takes(late, late + seconds(1)));
  const Instant early = kStart + seconds(1);
  CHECK(rule.takes(early, early + seconds(8)));
}

TEST_CASE("crash_watch_serverAnswersLater_suspectsNobody")
{
  // A link resets connections while all callers ask for one list of visits.
  CrashWatch watch;
  const Instant start{ seconds(100) };
  watch.lost("i-1", 7, start);
  watch.lost("i-1", 7, start + milliseconds(10));
  watch.answered("i-1", start + milliseconds(20));
  CHECK(watch.gone("i-1", start + seconds(1)).empty());
}

TEST_CASE("crash_watch_serverCannotBeReached_suspectsWhatWasInProgress")
{
  CrashWatch watch;
  const Instant start{ seconds(100) };
  watch.lost("i-1", 7, start);
  watch.lost("i-1", 8, start);
  watch.lost("i-2", 9, start);
  // An answer to a request sent before the loss says nothing of it.
  watch.answered("i-1", start - milliseconds(1));
  CHECK(watch.gone("i-1", start + seconds(1)) ==
        std::vector<std::uint64_t>{ 7, 8 });
  CHECK(watch.gone("i-1", start + seconds(1)).empty());
  CHECK(watch.gone("i-2", start + seconds(6)).empty());
}
