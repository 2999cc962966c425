#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

namespace bhttp = http::beast::http;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;

TEST_CASE("gateway_faultyServer_reportsCorrectStatus")
{
  struct Row
  {
    const char* name;
    std::string text;
    unsigned
      onceStatus; ///< Status sent to the client on a non-idempotent route.
    std::size_t safeRequestCount; ///< Requests received by servers on an
                                  ///< idempotent route.
  };
  const std::vector<Row> rows = {
    { "complete response", response(200, kSignatureField, "body"), 200, 1 },
    { "server error", response(500, kSignatureField, "x"), 500, 2 },
    { "not executed",
      response(503, "Laburnum-Not-Executed: 1\r\n", ""),
      503,
      2 },
    { "misdirected", response(421, "", ""), 503, 2 },
    { "503 without not-executed header",
      response(503, kSignatureField, ""),
      502,
      2 },
    { "429 without not-executed header",
      response(429, kSignatureField, ""),
      502,
      2 },
    { "success without signature", response(200, "", "body"), 502, 2 },
    { "response to another request",
      "HTTP/1.1 200 X\r\nLaburnum-Attempt: other\r\n" + kSignatureField +
        "Content-Length: 1\r\n\r\nx",
      502,
      2 },
    { "truncated body",
      "HTTP/1.1 200 X\r\nLaburnum-Attempt: $ID\r\n" + kSignatureField +
        "Content-length: 10\r\n\r\nx",
      502,
      2 },
    { "no response", "", 502, 2 },
    { "not HTTP", "garbage garbage\r\n\r\n", 502, 2 },
    { "no length, ended by close",
      "HTTP/1.1 200 X\r\nLaburnum-Attempt: $ID\r\n" + kSignatureField +
        "\r\nwhole",
      200,
      1 },
    { "preceded by an interim response",
      "HTTP/1.1 103 X\r\n\r\n" + response(200, kSignatureField, "body"),
      200,
      1 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    GatewayFixture once({ { row.text }, { row.text } });
    const std::string received = once.request("POST", "/once/x", "", "work");
    CHECK(statusOf(received) == row.onceStatus);
    CHECK(once.requestCount() == 1);
    if (row.onceStatus == 503) {
      CHECK(received.find("Retry-After") != std::string::npos);
    }
    GatewayFixture safe({ { row.text }, { row.text } });
    safe.request("GET", "/safe/x");
    CHECK(safe.requestCount() == row.safeRequestCount);
  }
}

TEST_CASE("gateway_request_isForwardedUnchanged")
{
  GatewayFixture fixture({ { response(201, kSignatureField, "made") } });
  const std::string received =
    fixture.request("POST",
                    "/key/deep%20path?q=1",
                    "Authorization: Bearer good\r\nX-Own: 7\r\n"
                    "Laburnum-Account: forged\r\nLaburnum-Deadline-Ms: 900\r\n",
                    "bytes");
  CHECK(statusOf(received) == 201);
  CHECK(received.ends_with("made"));
  REQUIRE(fixture.requestCount() == 1);
  const http::Request& forwarded = fixture.servers[0]->requests[0];
  CHECK(forwarded.target() == "/key/deep%20path?q=1");
  CHECK(forwarded.body() == "bytes");
  CHECK(forwarded["X-Own"] == "7");
  CHECK(forwarded["Laburnum-Account"] == "account");
  CHECK(forwarded["Laburnum-Expect-Instance"] == "i-1");
  CHECK(forwarded.count(bhttp::field::authorization) == 0);
  CHECK(std::stoi(std::string(forwarded["Laburnum-Deadline-Ms"])) <= 900);
}

TEST_CASE("gateway_severalPriorities_engineIsToldTheOneOfTheAccountFirst")
{
  GatewayFixture fixture(
    { { kEventStreamHead + chunk("id: 1\n\n") + "0\r\n\r\n" } });
  Configuration configuration = *fixture.gateway.context().configuration;
  configuration.version = 2;
  configuration.services["s"].runtime = EngineRuntime{ .slots = 10 };
  for (Route& route : configuration.routes) {
    route.priority = 2;
    route.isPublic = false;
  }
  configuration.accountsByKey["urgent"] = { .name = "b", .priority = 1 };
  fixture.gateway.applyConfiguration(std::move(configuration));
  const auto told = [&fixture](const std::string& aKey) {
    fixture.request(
      "POST", "/events/x", "Authorization: Bearer " + aKey + "\r\n");
    const auto& requests = fixture.servers[0]->requests;
    return std::string(requests.back()["Laburnum-Priority"]);
  };
  CHECK(told("good").empty()); // The only priority so far.
  CHECK(told("urgent") == "0");
  CHECK(told("good") == "1");
}

TEST_CASE("gateway_unauthorizedRequest_reachesNoServer")
{
  GatewayFixture fixture({ { response(200, kSignatureField, "x") } });
  CHECK(statusOf(fixture.request("GET", "/none")) == 404);
  CHECK(statusOf(fixture.request("POST", "/key/x")) == 401);
  CHECK(statusOf(fixture.request(
          "POST", "/key/x", "Authorization: Bearer bad\r\n")) == 401);
  CHECK(fixture.requestCount() == 0);
}

TEST_CASE("gateway_requestSmuggling_reachesNoServer")
{
  const std::vector<std::string> texts = {
    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Content-Length: 5\r\n\r\nabcde",
    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /once/x HTTP/1.1\r\nHost : h\r\nContent-Length: 0\r\n\r\n",
    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
    "POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "zz\r\nabc\r\n0\r\n\r\n",
  };
  for (const std::string& text : texts) {
    CAPTURE(text);
    GatewayFixture fixture({ { response(200, kSignatureField, "x") } });
    fixture.exchange(text);
    CHECK(fixture.requestCount() == 0);
  }
}

TEST_CASE("gateway_streamBreaksWithinEvent_resumesAtAnotherServer")
{
  const std::string first =
    kEventStreamHead + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  const std::string second = kEventStreamHead +
                             chunk("id: 3\ndata: c\n\nid: 4\ndata: d\n\n") +
                             "0\r\n\r\n";
  GatewayFixture fixture({ { first, second }, { first, second } });
  // The first server breaks off within an event. Scripts are indexed by the
  // requests of each server, so the second server starts at its second text.
  fixture.servers[1]->requests.emplace_back();
  const std::string received =
    fixture.request("POST", "/events/x", "", "prompt");
  CHECK(received.find("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") !=
        std::string::npos);
  CHECK(received.find("da\r\n") == std::string::npos);
  CHECK(received.ends_with("0\r\n\r\n"));
  const auto& resumed = fixture.servers[1]->requests.back();
  CHECK(resumed["Last-Event-Id"] == "2");
}

TEST_CASE("gateway_rankBecomesSlow_streamMigrates")
{
  const std::string first =
    kEventStreamHead + chunk("id: 1\ndata: a\n\n: $HANG\n");
  const std::string second =
    kEventStreamHead + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
  GatewayFixture fixture({ { first }, { second } });
  // The failure domains make the stream start at the first server.
  auto records = std::vector{ fixture.servers[0]->record("i-1"),
                              fixture.servers[1]->record("i-2") };
  records[0].failureDomain = "a";
  records[1].failureDomain = "b";
  fixture.gateway.replaceServers(records);
  Configuration configuration = *fixture.gateway.context().configuration;
  configuration.version = 2;
  configuration.services["s"].runtime = EngineRuntime{};
  fixture.gateway.applyConfiguration(std::move(configuration));
  fixture.loop.spawn(
    [](GatewayFixture& aFixture, ServerRecord aSlow) -> asio::awaitable<void> {
      while (aFixture.servers[0]->requests.empty()) {
        co_await aFixture.loop.sleep(milliseconds(5));
      }
      co_await aFixture.loop.sleep(milliseconds(50));
      aSlow.slowdown = 12;
      aFixture.gateway.changeServers({ { .id = aSlow.id, .record = aSlow } });
    }(fixture, records[0]));
  const std::string received =
    fixture.request("POST", "/events/x", "", "prompt");
  CHECK(received.find("id: 1\ndata: a\n\n") != std::string::npos);
  CHECK(received.find("id: 2\ndata: b\n\n") != std::string::npos);
  CHECK(received.ends_with("0\r\n\r\n"));
  REQUIRE(fixture.servers[1]->requests.size() == 1);
  CHECK(fixture.servers[1]->requests[0]["Last-Event-Id"] == "1");
  CHECK(fixture.servers[0]->isConnectionClosed);
}

TEST_CASE("gateway_streamRepeatsEvent_isAborted")
{
  const std::string text = kEventStreamHead +
                           chunk("id: 1\ndata: a\n\nid: 1\ndata: a\n\n") +
                           "0\r\n\r\n";
  GatewayFixture fixture({ { text }, { text } });
  const std::string received = fixture.request("POST", "/events/x");
  CHECK(!received.ends_with("0\r\n\r\n"));
}

TEST_CASE("gateway_clientDisconnects_closesServerConnection")
{
  GatewayFixture fixture({ { "HTTP/1.1 200 $HANG\r\n" } });
  fixture.loop.spawn([](GatewayFixture& aFixture) -> asio::awaitable<void> {
    {
      Socket socket(aFixture.loop.context());
      co_await socket.async_connect(
        tcp::endpoint(asio::ip::address_v4::loopback(),
                      aFixture.gateway.clientAddress().port),
        use_awaitable);
      co_await asio::async_write(
        socket,
        asio::buffer(std::string("POST /once/x HTTP/1.1\r\nHost: h\r\n"
                                 "Content-Length: 0\r\n\r\n")),
        use_awaitable);
      while (aFixture.requestCount() == 0) {
        co_await aFixture.loop.sleep(milliseconds(1));
      }
    }
    while (!aFixture.servers[0]->isConnectionClosed) {
      co_await aFixture.loop.sleep(milliseconds(1));
    }
    aFixture.loop.stop();
  }(fixture));
  fixture.loop.run();
  CHECK(fixture.servers[0]->isConnectionClosed);
}

// Guards against a leak: a request in progress and its server connection kept
// each other when the gateway was destroyed.
TEST_CASE("gateway_destroyedWithRequestInProgress_closesServerConnection")
{
  GatewayFixture fixture(
    { { kEventStreamHead + chunk("id: 1\ndata: a\n\n: $HANG\n") } });
  auto gateway =
    std::make_unique<Gateway>(fixture.loop, fixture.settings, HeaderNames{});
  gateway->start();
  gateway->applyConfiguration(*fixture.gateway.context().configuration);
  gateway->replaceServers(fixture.records());
  std::string received;
  fixture.loop.spawn([](Loop& aLoop,
                        contract::Address aGateway,
                        std::string& aReceived) -> asio::awaitable<void> {
    Socket socket(aLoop.context());
    co_await socket.async_connect(
      tcp::endpoint(asio::ip::address_v4::loopback(), aGateway.port),
      use_awaitable);
    co_await asio::async_write(
      socket,
      asio::buffer(std::string("GET /events/x HTTP/1.1\r\nHost: h\r\n\r\n")),
      use_awaitable);
    boost::system::error_code error;
    co_await asio::async_read(socket,
                              asio::dynamic_buffer(aReceived),
                              redirect_error(use_awaitable, error));
  }(fixture.loop, gateway->clientAddress(), received));
  fixture.loop.spawn(
    stopWhen(fixture.loop, [&received] { return !received.empty(); }));
  fixture.loop.run();
  fixture.loop.context().restart();
  gateway.reset();
  fixture.loop.spawn([](Loop& aLoop) -> asio::awaitable<void> {
    co_await aLoop.sleep(milliseconds(100));
    aLoop.stop();
  }(fixture.loop));
  fixture.loop.run();
  CHECK(fixture.servers[0]->isConnectionClosed);
}

TEST_CASE("gateway_stopGracefully_closesConnectionsAndStopsLoop")
{
  GatewayFixture fixture({ { response(200, kSignatureField, "x") } });
  fixture.gateway.stopGracefully();
  CHECK(!fixture.gateway.isReady());
  const std::string received = fixture.exchange(
    "GET /safe/x HTTP/1.1\r\nHost: h\r\nLaburnum-Attempt: a\r\n\r\n");
  CHECK(statusOf(received) == 200);
  CHECK(received.find("Connection: close") != std::string::npos);
  fixture.loop.run();
  SUCCEED("the loop stopped");
}

TEST_CASE("gateway_olderConfiguration_isNotApplied")
{
  GatewayFixture fixture({ { response(200, kSignatureField, "x") } });
  CHECK(fixture.gateway.applyConfiguration({ .version = 5 }));
  CHECK(!fixture.gateway.applyConfiguration({ .version = 4 }));
  CHECK(!fixture.gateway.applyConfiguration({ .version = 5 }));
  CHECK(fixture.gateway.context().configuration->version == 5);
}

namespace {

/// Clients that send one request after the other, some on new connections and
/// some on kept ones, and count what they got.
struct LoadDuringStop
{
  GatewayFixture& fixture;
  int answered = 0;
  int refused = 0;     ///< With the promise that the request was not executed.
  int cut = 0;         ///< Accepted, sent and closed without an answer.
  int unreachable = 0; ///< The connection was not accepted.
  int active = 0;

  asio::awaitable<void> run(bool aKeepsConnections, Duration aPause)
  {
    ++active;
    for (int i = 0; i < 1000 && unreachable == 0; ++i) {
      Socket socket(fixture.loop.context());
      boost::system::error_code error;
      co_await socket.async_connect(
        tcp::endpoint(asio::ip::address_v4::loopback(),
                      fixture.gateway.clientAddress().port),
        redirect_error(use_awaitable, error));
      if (error) {
        ++unreachable;
        break;
      }
      // The first request of a connection follows after its client's way.
      co_await fixture.loop.sleep(aPause);
      bool keeps = true;
      for (int request = 0; keeps; ++request) {
        keeps = co_await exchangeOne(socket, request == 0) && aKeepsConnections;
      }
    }
    --active;
  }

  /// Returns whether the connection may carry another request.
  asio::awaitable<bool> exchangeOne(Socket& aSocket, bool aIsFirst)
  {
    boost::system::error_code error;
    static constexpr std::string_view kRequest =
      "GET /safe/x HTTP/1.1\r\nHost: h\r\nLaburnum-Attempt: a\r\n\r\n";
    co_await asio::async_write(
      aSocket, asio::buffer(kRequest), redirect_error(use_awaitable, error));
    http::beast::flat_buffer buffer;
    http::Response response;
    if (!error) {
      co_await bhttp::async_read(
        aSocket, buffer, response, redirect_error(use_awaitable, error));
    }
    if (error) {
      // A request on a kept connection may cross its close.
      cut += aIsFirst ? 1 : 0;
      co_return false;
    }
    ++(response.result_int() == 200 ? answered : refused);
    co_return response.keep_alive();
  }
};

} // namespace

TEST_CASE("gateway_stopUnderLoad_answersAllThatItAccepted")
{
  // All gateways of a failure domain stop at once, so clients go on connecting
  // until the process ends.
  GatewayFixture fixture({ { response(200, kSignatureField, "x") } });
  LoadDuringStop load{ .fixture = fixture };
  for (int client = 0; client < 40; ++client) {
    fixture.loop.spawn(load.run(client % 2 == 0, milliseconds(3 + client % 5)));
  }
  fixture.gateway.stopGracefully();
  fixture.loop.run();
  CAPTURE(load.answered, load.refused, load.unreachable);
  CHECK(load.answered > 1000);
  CHECK(load.cut == 0);
}

TEST_CASE("gateway_gracePeriodShorterThanThePropagationDelay_requestIsAnswered")
{
  // The platform ends the process after the grace period, whatever it does.
  constexpr Duration kGrace = milliseconds(1500);
  static_assert(kGrace < kReadinessPropagationDelay);
  GatewayFixture fixture({ { "HTTP/1.1 200 X\r\nLaburnum-Attempt: $ID\r\n"
                             "Laburnum-Signature: s\r\n"
                             "Content-Length: 100\r\n\r\n" } },
                         1,
                         kGrace);
  std::string received;
  fixture.loop.spawn(
    fixture.exchangeAsync("POST /once/x HTTP/1.1\r\nHost: h\r\n"
                          "Laburnum-Attempt: a1\r\nContent-Length: 0\r\n\r\n",
                          received));
  bool isKilled = false;
  fixture.loop.spawn([](Loop& aLoop, bool& aIsKilled) -> asio::awaitable<void> {
    co_await aLoop.sleep(kGrace);
    aIsKilled = true;
    aLoop.stop();
  }(fixture.loop, isKilled));
  fixture.gateway.stopGracefully();
  fixture.loop.run();
  CHECK_FALSE(isKilled);
  CHECK(statusOf(received) == 504);
}

TEST_CASE("gateway_serverStillAtWorkWhenTheStopEnds_requestIsAnswered")
{
  const std::string unfinished =
    "HTTP/1.1 200 X\r\nLaburnum-Attempt: $ID\r\nLaburnum-Signature: s\r\n"
    "Content-Length: 100\r\n\r\n";
  for (const char* path : { "/once/x", "/safe/x" }) {
    GatewayFixture fixture({ { unfinished } }, 1, seconds(3));
    std::string received;
    fixture.loop.spawn(
      fixture.exchangeAsync("POST " + std::string(path) +
                              " HTTP/1.1\r\nHost: h\r\nLaburnum-Attempt: a1\r\n"
                              "Content-Length: 0\r\n\r\n",
                            received));
    fixture.gateway.stopGracefully();
    fixture.loop.run();
    CHECK(statusOf(received) == 504);
    CHECK(received.find("may_have_run") != std::string::npos);
  }
}
