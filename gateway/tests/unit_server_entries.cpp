#include "laburnum/gateway/server_list.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

namespace {

constexpr Instant kNow{ seconds(100) };

ServerRecord
entry(std::int64_t aStartedMs, std::int64_t aSequence, bool aIsLeaving = false)
{
  return { .id = "x",
           .service = "s",
           .isLeaving = aIsLeaving,
           .startedMs = aStartedMs,
           .sequence = aSequence };
}

bool
isUsed(const ServerList& aList)
{
  return !aList.readyServers("s", kNow + seconds(60)).empty();
}

} // namespace

// Guards against DRAIN: a heartbeat that the store executes late took back that
// its server drains.
TEST_CASE("server_list_olderEntryOfADrainingServer_doesNotTakeItBack")
{
  struct Row
  {
    const char* name;
    ServerRecord late;
  };
  const std::vector<Row> rows = {
    { "lower sequence", entry(5, 3) },
    { "same sequence", entry(5, 8) },
    { "no sequence", entry(5, 0) },
    { "sequence of a write after the report", entry(5, 9) },
    { "former process", entry(4, 90) },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    {
      ServerList list;
      list.replace({ entry(5, 1) }, kNow);
      CHECK(list.apply({ { "x", entry(5, 8, true) } }, kNow).size() == 1);
      CHECK(list.apply({ { "x", row.late } }, kNow).empty());
      CHECK_FALSE(isUsed(list));
      CHECK(list.replace({ row.late }, kNow).empty());
      CHECK_FALSE(isUsed(list));
      CHECK(list.replaceByCopy({ row.late }, kNow).empty());
      CHECK_FALSE(isUsed(list));
      // The next heartbeat says it once more.
      CHECK(list.apply({ { "x", entry(5, 10, true) } }, kNow).empty());
      CHECK_FALSE(isUsed(list));
    }
    {
      ServerList list;
      list.replace({ entry(5, 8, true) }, kNow);
      list.apply({ { "x", std::nullopt } }, kNow);
      list.apply({ { "x", row.late } }, kNow);
      CHECK_FALSE(isUsed(list));
      list.replace({}, kNow);
      list.replace({ row.late }, kNow);
      CHECK_FALSE(isUsed(list));
      list.replaceByCopy({ row.late }, kNow);
      CHECK_FALSE(isUsed(list));
    }
  }
}

// The other side: a server that starts again under its ID counts anew.
TEST_CASE("server_list_newProcessOfADrainingServer_isUsedAtOnce")
{
  const std::int64_t sequence = GENERATE(0, 1, 50);
  CAPTURE(sequence);
  ServerList list;
  list.replace({ entry(5, 8, true) }, kNow);
  SECTION("by change")
  {
    list.apply({ { "x", entry(6, sequence) } }, kNow);
  }
  SECTION("by list")
  {
    list.replace({ entry(6, sequence) }, kNow);
  }
  SECTION("after its entry was removed")
  {
    list.replace({}, kNow);
    list.apply({ { "x", entry(6, sequence) } }, kNow);
  }
  SECTION("from a restored store")
  {
    list.replaceByCopy({ entry(6, sequence) }, kNow);
  }
  CHECK(isUsed(list));
}

TEST_CASE("server_list_entryLapsesAndReturns_isUsedAgain")
{
  ServerList list;
  list.replace({ entry(5, 8) }, kNow);
  list.apply({ { "x", std::nullopt } }, kNow);
  const std::int64_t sequence = GENERATE(0, 8, 9, 20);
  CAPTURE(sequence);
  SECTION("by change")
  {
    list.apply({ { "x", entry(5, sequence) } }, kNow);
  }
  SECTION("by list")
  {
    list.replace({ entry(5, sequence) }, kNow);
  }
  SECTION("after a late write")
  {
    list.apply({ { "x", entry(5, 3) } }, kNow);
    list.apply({ { "x", entry(5, sequence) } }, kNow);
  }
  CHECK(isUsed(list));
}

// Guards against DRAIN: a write that the store executed after the entry of a
// server was removed made gateways use the server again.
TEST_CASE("server_list_lateWriteBringsRemovedEntryBack_isNotUsed")
{
  const std::int64_t sequence = GENERATE(1, 3, 7);
  CAPTURE(sequence);
  ServerList list;
  ServerRecord late = entry(5, sequence);
  SECTION("read by the watch")
  {
    list.replace({ entry(5, 8) }, kNow);
    list.apply({ { "x", std::nullopt } }, kNow);
    list.apply({ { "x", late } }, kNow);
  }
  SECTION("read by a list")
  {
    list.replace({ entry(5, 8) }, kNow);
    list.replace({}, kNow);
    list.replace({ late }, kNow);
  }
  SECTION("removal and write read at once")
  {
    list.replace({ entry(5, 8) }, kNow);
    const auto retired =
      list.apply({ { "x", std::nullopt }, { "x", late } }, kNow);
    CHECK(retired == std::vector<std::string>{ "x" });
  }
  SECTION("removal not read")
  {
    ServerRecord known = entry(5, 8);
    known.entryCreated = 20;
    late.entryCreated = 30;
    list.replace({ known }, kNow);
    CHECK(list.replace({ late }, kNow) == std::vector<std::string>{ "x" });
  }
  SECTION("higher sequence read with the removal")
  {
    list.replace({ entry(5, 1) }, kNow);
    list.apply({ { .id = "x", .removed = entry(5, 8) } }, kNow);
    list.apply({ { "x", late } }, kNow);
  }
  SECTION("removed in an outage")
  {
    list.replace({ entry(5, 8) }, kNow);
    list.sourceLost(kNow);
    list.sourceRestored(kNow);
    list.apply({ { "x", std::nullopt } }, kNow);
    REQUIRE(isUsed(list));
    list.apply({ { "x", late } }, kNow);
  }
  SECTION("again and again")
  {
    list.replace({ entry(5, 8) }, kNow);
    for (int i = 0; i < 3; ++i) {
      list.apply({ { "x", std::nullopt } }, kNow + seconds(i));
      list.apply({ { "x", late } }, kNow + seconds(i));
    }
  }
  CHECK_FALSE(isUsed(list));
  list.acceptLasting(kNow + seconds(4));
  CHECK_FALSE(isUsed(list));
  // The store removes it after three intervals without a heartbeat.
  list.apply({ { "x", std::nullopt } }, kNow + seconds(4));
  list.acceptLasting(kNow + seconds(60));
  CHECK_FALSE(isUsed(list));
  list.apply({ { "x", entry(6, 1) } }, kNow + seconds(60)); // The next process.
  CHECK(isUsed(list));
}

// The other side: the server was only silent. Its heartbeats renew the entry
// that a late write has brought back, and change nothing but the sequence.
TEST_CASE("server_list_silentServerRenewsLateEntry_isUsedOnceItLasts")
{
  ServerList list;
  list.replace({ entry(5, 8) }, kNow);
  list.apply({ { "x", std::nullopt } }, kNow);
  list.apply({ { "x", entry(5, 3) } }, kNow);
  SECTION("the entry lasts")
  {
    list.acceptLasting(kNow + seconds(6));
    CHECK(isUsed(list));
  }
  SECTION("a list has a higher sequence")
  {
    list.replace({ entry(5, 9) }, kNow);
    CHECK(isUsed(list));
  }
  SECTION("a late write says that it drains")
  {
    list.apply({ { "x", entry(5, 4, true) } }, kNow);
    list.acceptLasting(kNow + seconds(6));
    CHECK_FALSE(isUsed(list));
  }
}

TEST_CASE("server_list_olderEntry_changesNoField")
{
  ServerList list;
  list.setColdLimits({ { "s", { .rate = 1, .time = seconds(30) } } });
  ServerRecord cold = entry(5, 2);
  cold.coldTime = seconds(20);
  ServerRecord warm = entry(5, 8);
  warm.coldTime = Duration(0);
  warm.slots = 12;
  list.replace({ cold }, kNow);
  REQUIRE(list.isCold(cold, kNow));
  list.apply({ { "x", warm } }, kNow);
  REQUIRE_FALSE(list.isCold(warm, kNow));
  cold.entryCreated = warm.entryCreated = 7;
  cold.slowdown = 4; // Written by another writer than the rest of the entry.
  list.apply({ { "x", cold } }, kNow);
  CHECK_FALSE(list.isCold(warm, kNow));
  CHECK(list.find("x")->slots == 12);
  CHECK(list.find("x")->slowdown == 4);
}

// A server whose clock was set back has an earlier start than its former
// process. The store removes entries that nobody renews, so one that remains is
// that of a live process.
TEST_CASE("server_list_entryOfAnEarlierStartRemains_isUsed")
{
  ServerList list;
  list.replace({ entry(5, 8, true) }, kNow);
  list.apply({ { "x", entry(4, 1) } }, kNow);
  list.acceptLasting(kNow + seconds(3));
  CHECK_FALSE(isUsed(list));
  SECTION("it remains")
  {
    list.acceptLasting(kNow + seconds(6));
    CHECK(isUsed(list));
    CHECK(list.find("x")->startedMs == 4);
  }
  SECTION("the later process renews its entry")
  {
    list.apply({ { "x", entry(5, 9, true) } }, kNow + seconds(4));
    list.acceptLasting(kNow + seconds(60));
    CHECK_FALSE(isUsed(list));
  }
  SECTION("it is removed")
  {
    list.apply({ { "x", std::nullopt } }, kNow + seconds(4));
    list.acceptLasting(kNow + seconds(60));
    CHECK_FALSE(isUsed(list));
  }
  SECTION("it is not in the next list")
  {
    list.replace({}, kNow + seconds(4));
    list.replace({}, kNow + seconds(4));
    list.acceptLasting(kNow + seconds(60));
    CHECK_FALSE(isUsed(list));
  }
  SECTION("entries are not removed while the store is away")
  {
    list.sourceLost(kNow + seconds(4));
    list.acceptLasting(kNow + seconds(60));
    CHECK_FALSE(isUsed(list));
    list.sourceRestored(kNow + seconds(61));
    list.acceptLasting(kNow + seconds(62));
    CHECK_FALSE(isUsed(list));
    list.acceptLasting(kNow + seconds(67));
    CHECK(isUsed(list));
  }
}
