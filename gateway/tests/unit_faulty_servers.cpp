#include "gateway_fixture.hpp"

#include "laburnum/gateway/event_splitter.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

namespace bhttp = http::beast::http;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using Socket = ClientConnection::Socket;

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
    { "status line", "/safe/", "HTTP/1.1 200 O", "OOOOOOOO" },
    { "chunk size", "/safe/", kEventStreamHead, "00000000" },
    { "chunk extension", "/safe/", kEventStreamHead + "1;a=", "xxxxxxxx" },
    { "trailer field",
      "/safe/",
      kEventStreamHead + chunk("x") + "0\r\nX: ",
      "xxxxxxxx" },
    { "trailer fields",
      "/safe/",
      kEventStreamHead + chunk("x") + "0\r\n",
      "X: xxxxx\r\n" },
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

TEST_CASE("response_memory_manyEndlessResponses_givesUpTheLongest")
{
  // The addresses stand for requests; their responses are not looked at.
  char requests[3];
  const auto request = [&requests](std::size_t aIndex) {
    return reinterpret_cast<RequestForwarder*>(&requests[aIndex]);
  };
  ResponseMemory memory(1000);
  CHECK(memory.record(request(0), 100) == nullptr);
  CHECK(memory.record(request(1), 500) == nullptr);
  CHECK(memory.record(request(2), 400) == nullptr);
  CHECK(memory.record(request(0), 101) == request(1));
  memory.remove(request(1));
  CHECK(memory.size() == 501);
  CHECK(memory.record(request(0), 500) == nullptr);
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
  const ServerSelector::Demand demand{ .isGeneration = true,
                                       .group = { "s", "" } };
  selector.requestStarted("active", demand, loop.now());
  selector.requestStarted("dripping", demand, loop.now());
  const Instant start = loop.now();
  for (int i = 1; i <= 9; ++i) {
    selector.recordActivity("active", start + i * milliseconds(100));
  }
  CHECK(selector.silentServers(start + milliseconds(900)) ==
        std::vector<std::string>{ "dripping" });
}

namespace {

/// A backend server that sends each response twice, the second time after a
/// delay. The body is the attempt ID.
class RepeatingServer
{
public:
  RepeatingServer(Loop& aLoop, Duration aDelay)
    : mLoop(aLoop)
    , mDelay(aDelay)
    , mAcceptor(aLoop.context(),
                tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  {
    mLoop.spawn(accept());
  }

  contract::Address address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  int requests = 0;

private:
  asio::awaitable<void> accept()
  {
    for (;;) {
      Socket socket = co_await mAcceptor.async_accept(use_awaitable);
      mLoop.spawn(serve(std::make_shared<Socket>(std::move(socket))));
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<Socket> aSocket)
  {
    http::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (!error) {
      http::Request request;
      co_await bhttp::async_read(
        *aSocket, buffer, request, redirect_error(use_awaitable, error));
      if (error) {
        co_return;
      }
      ++requests;
      const std::string id(request["Laburnum-Attempt"]);
      std::string text = response(200, kSignatureField, id);
      text.replace(text.find("$ID"), 3, id);
      if (mDelay == Duration(0)) {
        text += text;
      } else {
        mLoop.spawn(repeat(aSocket, text));
      }
      co_await asio::async_write(
        *aSocket, asio::buffer(text), redirect_error(use_awaitable, error));
    }
  }

  asio::awaitable<void> repeat(std::shared_ptr<Socket> aSocket,
                               std::string aText)
  {
    co_await mLoop.sleep(mDelay);
    boost::system::error_code error;
    co_await asio::async_write(
      *aSocket, asio::buffer(aText), redirect_error(use_awaitable, error));
  }

  Loop& mLoop;
  Duration mDelay;
  asio::basic_socket_acceptor<tcp, http::Executor> mAcceptor;
};

} // namespace

TEST_CASE("gateway_serverRepeatsResponse_eachCallerGetsItsOwn")
{
  // A server sends a second copy of a response, at once, when the connection is
  // chosen again, or while it is idle.
  const int delayMs = GENERATE(0, 1, 3, 300);
  const int pauseMs = GENERATE(0, 2, 310);
  const std::string path = GENERATE("/safe/", "/once/");
  CAPTURE(delayMs, pauseMs, path);
  GatewayFixture fixture({ { "" } });
  RepeatingServer server(fixture.loop, milliseconds(delayMs));
  auto records = fixture.records();
  records[0].address = server.address();
  fixture.gateway.replaceServers(records);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "attempt-" + std::to_string(i);
    const std::string received = fixture.exchange(
      "GET " + path +
      " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nLaburnum-Attempt: " + id +
      "\r\n\r\n");
    if (statusOf(received) == 200) {
      CHECK(received.ends_with("\r\n\r\n" + id));
    } else {
      // A copy that took the place of the response leaves its outcome open.
      CHECK(statusOf(received) == 502);
      CHECK(path == "/safe/");
    }
    fixture.loop.spawn([](Loop& aLoop, int aPause) -> asio::awaitable<void> {
      co_await aLoop.sleep(milliseconds(aPause));
      aLoop.stop();
    }(fixture.loop, pauseMs));
    fixture.loop.run();
    fixture.loop.context().restart();
  }
  CHECK(server.requests >= 6);
}

TEST_CASE("gateway_serverSaysThatItLeaves_getsNoFurtherRequest")
{
  const std::string leaving = "Laburnum-Leaving: 1\r\n";
  const std::vector<std::string> responses = {
    response(200, kSignatureField + leaving, "body"),
    response(500, kSignatureField + leaving, "x"),
    response(503, "Laburnum-Not-Executed: 1\r\n" + leaving, ""),
  };
  for (const std::string& first : responses) {
    GatewayFixture fixture(
      { { first }, { response(200, kSignatureField, "body") } });
    for (int i = 0; i < 3; ++i) {
      fixture.request("POST", "/once/x", "", "work");
    }
    CHECK(fixture.servers[0]->requests.size() == 1);
    CHECK(fixture.servers[1]->requests.size() == 2);
  }
}

TEST_CASE("gateway_serverAsksForAPause_requestsGoElsewhereOrAreRejectedAtOnce")
{
  const std::string full =
    response(503, "Laburnum-Not-Executed: 1\r\nRetry-After: 20\r\n", "");
  GatewayFixture two({ { full }, { response(200, kSignatureField, "body") } });
  for (int i = 0; i < 3; ++i) {
    two.request("POST", "/once/x", "", "work");
  }
  CHECK(two.servers[0]->requests.size() == 1);
  CHECK(two.servers[1]->requests.size() == 2);

  GatewayFixture one({ { full } });
  one.request("POST", "/once/x", "", "work");
  const std::string received = one.request("POST", "/once/x", "", "work");
  CHECK(statusOf(received) == 503);
  CHECK(one.servers[0]->requests.size() == 1);
  // The response states when the server accepts requests again.
  const std::string_view field = "Retry-After: ";
  const std::size_t at = received.find(field);
  REQUIRE(at != std::string::npos);
  CHECK(std::stod(received.substr(at + field.size())) > 10);
}

TEST_CASE("gateway_serverRepeatsRefusal_requestThatRanIsNotReportedAsNotRun")
{
  // A server refuses the first request of a connection. It runs any further
  // one, and repeats the refusal in place of the response.
  const std::string refusal = response(503, "Laburnum-Not-Executed: 1\r\n", "");
  const std::string path = GENERATE("/safe/", "/once/", "/events/");
  CAPTURE(path);
  GatewayFixture fixture({ { refusal }, { refusal } }, 3);
  const std::string received = fixture.request("POST", path, "", "work");
  std::size_t connections = 0;
  for (const auto& server : fixture.servers) {
    connections += server->connections;
  }
  const bool hasRun = fixture.requestCount() > connections;
  CHECK(received.find("\"not_run\"") != std::string::npos);
  CHECK_FALSE(hasRun);
}

TEST_CASE("gateway_errorAfterBrokenStream_isNoPartOfTheStream")
{
  const std::string begun =
    kEventStreamHead + chunk("id: 1\ndata: a\n\nid: 2\nda");
  const std::string brokenHead = "HTTP/1.1 200 OK\r\nLaburnum-Att";
  const std::vector<std::string> seconds = {
    response(404, kSignatureField, "failure"),
    response(400, kSignatureField, "failure"),
    response(500, kSignatureField, "failure"),
    response(503, "Laburnum-Not-Executed: 1\r\n", "failure"),
    response(503, kSignatureField, "failure"),
    response(421, "", "failure"),
    response(200, kSignatureField, "failure"),
    response(204, kSignatureField, ""),
    response(200, kSignatureField + "Content-Type: text/event-stream\r\n", ""),
    kEventStreamHead + "0\r\n\r\n",
    kEventStreamHead + chunk("failure"),
    brokenHead,
    "",
  };
  for (const std::string& second : seconds) {
    CAPTURE(second);
    GatewayFixture fixture({ { begun }, { second } });
    const std::string received =
      fixture.request("POST", "/events/x", "", "prompt");
    CHECK(fixture.servers[1]->requests.size() == 1);
    CHECK(received.find("id: 1\ndata: a\n\n") != std::string::npos);
    CHECK(received.find("failure") == std::string::npos);
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK_FALSE(received.ends_with("0\r\n\r\n"));
  }
}

TEST_CASE("gateway_serverClosesWithinHead_isNeverASuccess")
{
  const std::string whole = response(200, kSignatureField, "body");
  const std::size_t headSize = whole.find("body");
  for (std::size_t size = 0; size < headSize; ++size) {
    std::string text = whole.substr(0, size);
    CAPTURE(text);
    // A script with this field would keep the connection open.
    const std::size_t field = text.find("Content-Length");
    if (field != std::string::npos) {
      text.replace(field, 9, "content");
    }
    GatewayFixture once({ { text } });
    CHECK(statusOf(once.request("POST", "/once/x", "", "work")) == 502);
    GatewayFixture safe({ { text }, { whole } });
    const std::string received = safe.request("GET", "/safe/x");
    CHECK(statusOf(received) == 200);
    CHECK(received.ends_with("\r\n\r\nbody"));
  }
}

TEST_CASE("gateway_responseWithoutLength_isWholeOnlyIfItsConnectionEndsCleanly")
{
  const std::string head = "HTTP/1.1 200 OK\r\nLaburnum-Attempt: $ID\r\n" +
                           kSignatureField +
                           "Content-Type: text/event-stream\r\n\r\n";
  const std::string events = head + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const auto receive = [](const std::string& aText, std::string_view aPath) {
    GatewayFixture fixture({ { aText } });
    return fixture.request("POST", aPath, "", "prompt");
  };
  CHECK(receive(events, "/events/").ends_with("0\r\n\r\n"));
  CHECK_FALSE(receive(events + "id: 3\nda", "/events/").ends_with("0\r\n\r\n"));
  CHECK_FALSE(receive(events + "$RESET", "/events/").ends_with("0\r\n\r\n"));
  CHECK(receive(head + "body", "/once/").ends_with("\r\n\r\nbody"));
  CHECK(statusOf(receive(head + "body$RESET", "/once/")) == 502);
}

TEST_CASE("gateway_streamBreaksWhileOthersAreRateLimited_isNotBrokenOff")
{
  const std::string first = "id: 0\ndata: a\n\n";
  const std::string second = "id: 1\ndata: b\n\n";
  std::string leavingHead = kEventStreamHead;
  leavingHead.insert(leavingHead.find("Content-Type"),
                     "Laburnum-Leaving: 1\r\n");
  GatewayFixture fixture(
    { { leavingHead + chunk(first) },
      { kEventStreamHead + chunk(second) + "0\r\n\r\n" } });
  Context& context = fixture.gateway.context();
  context.permits.setPeers({ context.permits.self() });
  // Its first permit becomes valid after two seconds.
  context.servers.setRateLimit("i-2", 1, 0.5);
  const std::string received = fixture.request("GET", "/events/x");
  CHECK(received.find(second) != std::string::npos);
  CHECK(received.ends_with("0\r\n\r\n"));
}

namespace {

/// A complete and matching response but for its status line.
std::string
responseWithStatus(const std::string& aStatus, std::string_view aBody)
{
  std::string text = response(200, kSignatureField, aBody);
  return text.replace(text.find("200 X"), 5, aStatus);
}

std::string
streamWithStatus(const std::string& aStatus)
{
  std::string text =
    kEventStreamHead + chunk("id: 2\ndata: spoiled\n\n") + "0\r\n\r\n";
  return text.replace(text.find("200 OK"), 6, aStatus);
}

} // namespace

// Guards against MIXED: a status that HTTP does not have was passed on as an
// answer.
TEST_CASE("gateway_statusThatHttpDoesNotHave_isNoAnswer")
{
  const std::string status = GENERATE("000",
                                      "000 X",
                                      "001 X",
                                      "099 X",
                                      "600 X",
                                      "777 X",
                                      "999 X",
                                      "101 Switching Protocols",
                                      "20 X",
                                      "2000 X",
                                      "-20 X",
                                      "2x0 X",
                                      "OK",
                                      "");
  CAPTURE(status);
  const std::string spoiled = responseWithStatus(status, "spoiled");
  const std::string good = response(200, kSignatureField, "body");
  GatewayFixture safe({ { spoiled }, { good } });
  const std::string received = safe.request("GET", "/safe/x");
  CHECK(statusOf(received) == 200);
  CHECK(received.ends_with("\r\n\r\nbody"));

  GatewayFixture once({ { spoiled }, { good } });
  const std::string failed = once.request("POST", "/once/x", "", "work");
  CHECK(statusOf(failed) == 502);
  CHECK(failed.find("\"may_have_run\"") != std::string::npos);
  CHECK(failed.find("spoiled") == std::string::npos);
  CHECK(once.servers[1]->requests.empty());

  const std::string rest =
    kEventStreamHead + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
  GatewayFixture stream({ { streamWithStatus(status) }, { rest } });
  const std::string begun =
    stream.request("POST", "/events/x", "Last-Event-Id: 1\r\n", "prompt");
  CHECK(statusOf(begun) == 200);
  CHECK(begun.find("data: b\n") != std::string::npos);
  CHECK(begun.find("spoiled") == std::string::npos);

  const std::string broken =
    kEventStreamHead + chunk("id: 1\ndata: a\n\nid: 2\nda");
  for (const std::string& second : { streamWithStatus(status), spoiled }) {
    GatewayFixture resumed({ { broken }, { second } });
    const std::string brokenOff =
      resumed.request("POST", "/events/x", "", "prompt");
    CHECK(resumed.servers[1]->requests.size() == 1);
    CHECK(brokenOff.find("data: a\n") != std::string::npos);
    CHECK(brokenOff.find("spoiled") == std::string::npos);
    CHECK_FALSE(brokenOff.ends_with("0\r\n\r\n"));
  }
}

// The other side: each final status that HTTP has is passed on unchanged, after
// interim responses, too.
TEST_CASE("gateway_statusThatHttpHas_isPassedOn")
{
  const std::string interim =
    GENERATE("",
             "HTTP/1.1 100 Continue\r\n\r\n",
             "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n",
             "HTTP/1.1 199 X\r\n\r\n");
  CAPTURE(interim);
  for (const unsigned status :
       { 200, 201, 299, 300, 399, 400, 499, 500, 599 }) {
    CAPTURE(status);
    GatewayFixture fixture(
      { { interim + response(status, kSignatureField, "body") } });
    const std::string received = fixture.request("POST", "/once/x", "", "work");
    CHECK(statusOf(received) == status);
    CHECK(received.ends_with("\r\n\r\nbody"));
  }
}
