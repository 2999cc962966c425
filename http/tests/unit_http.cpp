#include "laburnum/http/client.hpp"
#include "laburnum/http/server.hpp"
#include "laburnum/http/sse.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <netinet/tcp.h>

using namespace laburnum;
using namespace laburnum::http;

namespace {

/// A server that echoes bodies, and raw sockets to it.
struct ServerFixture
{
  Loop loop;
  contract::Limits limits{ .headerBytes = 1024,
                           .bodyBytes = 2048,
                           .readTimeout = milliseconds(200) };
  int served = 0;
  Server server{ loop,
                 {},
                 limits,
                 nullptr,
                 [this](Session& aSession, Request aRequest) {
                   return echo(aSession, std::move(aRequest));
                 } };

  asio::awaitable<void> echo(Session& aSession, Request aRequest)
  {
    ++served;
    Response response;
    response.body() = aRequest.body();
    co_await aSession.write(std::move(response));
  }

  /// Sends bytes and returns all that comes back until the server closes.
  std::string exchange(const std::string& aBytes)
  {
    std::string answer;
    loop.spawn([](Loop& aLoop,
                  contract::Address aAddress,
                  std::string aSend,
                  std::string& aAnswer) -> asio::awaitable<void> {
      asio::ip::tcp::socket socket(aLoop.context());
      socket.connect({ asio::ip::make_address(aAddress.host), aAddress.port });
      asio::write(socket, asio::buffer(aSend));
      boost::system::error_code error;
      co_await asio::async_read(
        socket,
        asio::dynamic_buffer(aAnswer),
        asio::redirect_error(asio::use_awaitable, error));
      aLoop.stop();
    }(loop, server.address(), aBytes, answer));
    loop.run();
    return answer;
  }
};

} // namespace

TEST_CASE_METHOD(
  ServerFixture,
  "Session, faulty requests, are refused with identifier and verdict")
{
  struct Row
  {
    std::string bytes;
    std::string status;
    std::string id;
  };
  const Row rows[]{
    { "nonsense\r\n\r\n", "400", "LB-MALFORMED-REQUEST" },
    { "GET / HTTP/1.1\r\nA: " + std::string(4000, 'x') + "\r\n\r\n",
      "431",
      "LB-HEADER-TOO-LARGE" },
    { "POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n" +
        std::string(4000, 'x'),
      "413",
      "LB-BODY-TOO-LARGE" },
    { "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
      "400",
      "LB-MALFORMED-REQUEST" },
    { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "400",
      "LB-MALFORMED-REQUEST" },
  };
  for (const Row& row : rows) {
    const std::string answer = exchange(row.bytes);
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 " + row.status));
    CHECK_THAT(answer,
               Catch::Contains(row.id) &&
                 Catch::Contains("Laburnum-Verdict: not_run"));
    loop.context().restart();
  }
  CHECK(served == 0);
}

TEST_CASE_METHOD(
  ServerFixture,
  "Session, a caller that stalls, is dropped without being served")
{
  CHECK(exchange("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc").empty());
  CHECK(served == 0);
}

TEST_CASE_METHOD(ServerFixture,
                 "Session, pipelined requests, are answered in order")
{
  const std::string answer =
    exchange("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\noneGET / "
             "HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(served == 2);
  CHECK(answer.find("one") < answer.rfind("HTTP/1.1 200"));
}

TEST_CASE_METHOD(ServerFixture,
                 "ClientPool, a refused connection, is certainly not run")
{
  ClientPool closed(loop, { .host = "127.0.0.1", .port = 1 });
  Verdict verdict = Verdict::Ran;
  loop.spawn([](Loop& aLoop,
                ClientPool& aPool,
                Verdict& aVerdict) -> asio::awaitable<void> {
    const auto response = co_await aPool.request({}, seconds(1));
    aVerdict = response ? Verdict::Ran : response.failure().verdict;
    aLoop.stop();
  }(loop, closed, verdict));
  loop.run();
  CHECK(verdict == Verdict::NotRun);
}

TEST_CASE_METHOD(ServerFixture,
                 "Session, answer to HEAD, has the length and no body")
{
  const std::string answer =
    exchange("HEAD / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
             "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(answer.find("Content-Length: 3\r\n") != std::string::npos);
  CHECK(answer.find("\r\n\r\nHTTP/1.1 200") != std::string::npos);
  CHECK(answer.find("abc") == std::string::npos);
}

// Guards against ORDER: events that end with CR, or with two kinds of line
// ends, ran into one.
TEST_CASE("EventCutter, lines end with LF, CR LF or CR, cuts after blank lines")
{
  const std::vector<std::string> ends = { "\n", "\r\n", "\r" };
  const std::string first = GENERATE_COPY(from_range(ends));
  const std::string blank = GENERATE_COPY(from_range(ends));
  if (first == "\r" && blank == "\n") {
    return; // Together they are one line end.
  }
  const std::string event = "id: 1" + first + "data: a" + first + blank;
  const std::string text = event + event + ": c" + first + blank + "data: b";
  const std::size_t size = GENERATE(1, 2, 3, 5, 100);
  CAPTURE(text, size);
  EventCutter cutter;
  std::string whole;
  std::size_t events = 0;
  for (std::size_t at = 0; at < text.size(); at += size) {
    for (const std::string& part : cutter.add(text.substr(at, size))) {
      whole += part;
      events += eventFields(part).empty() ? 0 : 1;
    }
  }
  CHECK(events == 3);
  CHECK(whole == text.substr(0, text.size() - 7));
  CHECK(cutter.isTorn());
}

TEST_CASE(
  "EventCutter, blank lines and an LF behind a CR, are passed on at once")
{
  EventCutter cutter;
  CHECK(cutter.add("data: a\r\r") == std::vector<std::string>{ "data: a\r\r" });
  CHECK_FALSE(cutter.isTorn());
  CHECK(cutter.add("\ndata") == std::vector<std::string>{ "\n" });
  CHECK(cutter.add(": b\r\n\r\n\n") ==
        std::vector<std::string>{ "data: b\r\n\r\n", "\n" });
  CHECK_FALSE(cutter.isTorn());
}

TEST_CASE("eventFields, any line, has the name and the value of the format")
{
  const std::string event = "data\rid:3\r\n: c\ndata:  x:y\n\n";
  std::string text;
  for (const EventField& field : eventFields(event)) {
    text.append(field.name).append("=").append(field.value).append(";");
  }
  CHECK(text == "data=;id=3;=c;data= x:y;");
}

TEST_CASE("SseReader, events in any pieces, come out whole")
{
  const std::string stream =
    "data: one\n\n: comment\n\ndata:two\r\n\r\ndata: a\ndata: b\n\n";
  for (std::size_t size = 1; size < 9; ++size) {
    SseReader reader;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      for (std::string& event :
           reader.add(std::string_view(stream).substr(at, size))) {
        events.push_back(std::move(event));
      }
    }
    CHECK(events == std::vector<std::string>{ "one", "two", "a\nb" });
  }
}

// Guards against MIXED: a status that HTTP does not have was taken for that of
// a final response.
TEST_CASE("ClientPool, status that HTTP does not have, is a failure")
{
  using asio::ip::tcp;
  struct Row
  {
    std::string status;
    bool isFinal;
  };
  const auto [status, isFinal] =
    GENERATE(values<Row>({ { "000 X", false },
                           { "099 X", false },
                           { "101 X", false },
                           { "600 X", false },
                           { "999 X", false },
                           { "100 X\r\n\r\nHTTP/1.1 200 X", true },
                           { "200 X", true },
                           { "404 X", true },
                           { "599 X", true } }));
  CAPTURE(status);
  Loop loop;
  asio::basic_socket_acceptor<tcp, Executor> acceptor(
    loop.context(), tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  loop.spawn([](auto& aAcceptor, std::string aText) -> asio::awaitable<void> {
    auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
    std::string received(1, ' ');
    co_await asio::async_read(
      socket, asio::buffer(received), asio::use_awaitable);
    co_await asio::async_write(
      socket, asio::buffer(aText), asio::use_awaitable);
  }(acceptor, "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"));
  ClientPool pool(loop, { "127.0.0.1", acceptor.local_endpoint().port() });
  std::optional<Result<Response>> result;
  loop.spawn(
    [](Loop& aLoop,
       ClientPool& aPool,
       std::optional<Result<Response>>& aResult) -> asio::awaitable<void> {
      aResult = co_await aPool.request(
        Request{ beast::http::verb::get, "/", 11 }, seconds(2));
      aLoop.stop();
    }(loop, pool, result));
  loop.run();
  REQUIRE(result);
  CHECK(static_cast<bool>(*result) == isFinal);
  if (!*result) {
    CHECK(result->failure().verdict == Verdict::MayHaveRun);
  }
}

// Guards against LOST: a peer that pauses while its receive window is full is
// no silent one. The other side: peers of short messages are bounded as before.
TEST_CASE("SlowReading, message longer than a window, outlasts the silence")
{
  using asio::ip::tcp;
  Loop loop;
  asio::basic_socket_acceptor<tcp, Executor> acceptor(
    loop.context(), tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  asio::basic_stream_socket<tcp, Executor> socket(loop.context());
  socket.connect(acceptor.local_endpoint());
  const auto userTimeout = [&socket] {
    int time = 0;
    socklen_t size = sizeof(time);
    ::getsockopt(
      socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &time, &size);
    return milliseconds(time);
  };
  boundSilence(socket);
  CHECK(userTimeout() == seconds(2));
  SlowReading slowReading;
  for (int i = 0; i < 3; ++i) {
    slowReading.startMessage();
    slowReading.beforeSending(socket, 4000);
    CHECK(userTimeout() == seconds(2));
  }
  slowReading.beforeSending(socket, 4000);
  CHECK(userTimeout() > kMaxUnreadTime);
  // Some of it may still be unread when the next message is sent.
  slowReading.startMessage();
  slowReading.beforeSending(socket, 10);
  CHECK(userTimeout() > kMaxUnreadTime);
}
