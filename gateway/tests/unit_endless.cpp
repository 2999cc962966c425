#include "gateway_fixture.hpp"

#include "laburnum/gateway/event_splitter.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

// A faulty server sends bytes that are no response, without end, until its peer
// closes the connection.

TEST_CASE("gateway_serverSendsWithoutEnd_retriesAndClosesConnection")
{
  struct Row
  {
    const char* name;
    const char* path;
    std::string begin;
    std::string repeated;
  };
  const std::vector<Row> rows = {
    { "head without end", "/safe/", "HTTP/1.1 200 OK\r\nX: ", "xxxxxxxx" },
    { "fields without end", "/safe/", "HTTP/1.1 200 OK\r\n", "X: xxxxxx\r\n" },
    { "no response at all", "/safe/", "", "garbage " },
    { "interim responses",
      "/safe/",
      "",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" },
    { "body without length",
      "/safe/",
      "HTTP/1.1 200 OK\r\nLaburnum-Attempt: $ID\r\nLaburnum-Signature: s\r\n"
      "\r\n",
      std::string(4096, 'x') },
    { "chunks without end",
      "/safe/",
      "HTTP/1.1 200 OK\r\nLaburnum-Attempt: $ID\r\nLaburnum-Signature: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      chunk(std::string(4096, 'x')) },
    { "event without end",
      "/events/",
      kEventStreamHead,
      chunk("data: " + std::string(4096, 'x')) },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const std::string good =
      std::string_view(row.path) == "/events/"
        ? kEventStreamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"
        : response(200, kSignatureField, "body");
    GatewayFixture fixture({ { good }, { good } });
    EndlessServer endless(fixture.loop, row.begin, row.repeated);
    auto records = fixture.records();
    records[0].address = endless.address();
    fixture.gateway.replaceServers(records);
    const std::string received = fixture.request("GET", row.path);
    CHECK(statusOf(received) == 200);
    CHECK(endless.connections == 1);
    CHECK(fixture.servers[1]->requests.size() == 1);
    CHECK(endless.bytesSent < 64UL * 1024 * 1024);
    // The end of the connection reaches the server within its next writes.
    fixture.loop.spawn(stopWhen(
      fixture.loop, [&endless] { return endless.isConnectionClosed; }));
    fixture.loop.run();
    CHECK(endless.isConnectionClosed);
  }
}

TEST_CASE("gateway_onlyServerSendsWithoutEnd_reportsThatItMayHaveRun")
{
  GatewayFixture fixture({ { "" } });
  EndlessServer endless(fixture.loop, "", "garbage ");
  auto records = fixture.records();
  records[0].address = endless.address();
  fixture.gateway.replaceServers(records);
  const std::string received = fixture.request("POST", "/once/", "", "book");
  CHECK(statusOf(received) == 502);
  CHECK(received.find("\"may_have_run\"") != std::string::npos);
  CHECK(endless.connections == 1);
}

TEST_CASE("event_splitter_commentsOnly_areNoProgress")
{
  EventSplitter splitter;
  const auto events =
    splitter.add(": still here\n\nid: 4\n\ndata: x\n\nevent: ping\n\n");
  REQUIRE(events.size() == 4);
  CHECK_FALSE(events[0].hasData());
  CHECK(events[1].hasData());
  CHECK(events[2].hasData());
  CHECK_FALSE(events[3].hasData());
}

TEST_CASE("gateway_serverSendsOnlyComments_countsAsSilent")
{
  // The stream of one rank sends a comment every 100 ms and no event, while
  // another rank of the group makes progress.
  GatewayFixture fixture(
    { { kEventStreamHead + chunk("id: 1\ndata: a\n\n") + "$HANG" } });
  auto& selector = fixture.gateway.context().selector;
  auto& loop = fixture.loop;
  const ServerSelector::Demand demand{ .isGeneration = true, .group = "s" };
  selector.requestStarted("active", demand, loop.now());
  selector.requestStarted("dripping", demand, loop.now());
  const Instant start = loop.now();
  for (int i = 1; i <= 9; ++i) {
    selector.recordActivity("active", start + i * milliseconds(100));
  }
  CHECK(selector.silentServers(start + milliseconds(900)) ==
        std::vector<std::string>{ "dripping" });
}
