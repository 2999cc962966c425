#include "field_lines.hpp"
#include "laburnum/http/client.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::http;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

/// More than two sockets hold.
constexpr std::size_t kUploadBytes = 16UL * 1000 * 1000;

/// A server that answers one request with given bytes.
struct ServerOptions
{
  std::string answer;
  std::size_t bytesRead = 1; ///< Of the request, before the answer.
  bool isReset = false;      ///< In place of a close in order.
  std::size_t pieces = 1;    ///< In which the answer is sent.
  Duration pause{ 0 };       ///< Before each piece.
};

/// How long a client waits for a response.
struct Timeouts
{
  Duration response = seconds(5);
  Duration body{ 0 };
};

asio::awaitable<void>
serve(asio::basic_socket_acceptor<tcp, Executor>& aAcceptor,
      ServerOptions aOptions)
{
  auto socket = co_await aAcceptor.async_accept(use_awaitable);
  std::string received(aOptions.bytesRead, ' ');
  co_await asio::async_read(socket, asio::buffer(received), use_awaitable);
  const std::size_t size = aOptions.answer.size() / aOptions.pieces + 1;
  asio::steady_timer timer(socket.get_executor());
  for (std::size_t at = 0; at < aOptions.answer.size(); at += size) {
    timer.expires_after(aOptions.pause);
    co_await timer.async_wait(use_awaitable);
    boost::system::error_code error;
    co_await asio::async_write(socket,
                               asio::buffer(aOptions.answer.substr(at, size)),
                               redirect_error(use_awaitable, error));
  }
  if (aOptions.isReset) {
    co_await asio::steady_timer(socket.get_executor(), milliseconds(20))
      .async_wait(use_awaitable);
    socket.set_option(asio::socket_base::linger(true, 0));
    co_return;
  }
  socket.shutdown(tcp::socket::shutdown_send);
  boost::system::error_code error;
  // Unread bytes would make the close a reset.
  while (!error) {
    co_await socket.async_read_some(asio::buffer(received),
                                    redirect_error(use_awaitable, error));
  }
}

/// The result of a request with a body, sent to such a server.
Result<Response>
receive(ServerOptions aOptions,
        std::size_t aBodyBytes = 0,
        Timeouts aTimeouts = {})
{
  Loop loop;
  asio::basic_socket_acceptor<tcp, Executor> acceptor(
    loop.context(), tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  loop.spawn(serve(acceptor, std::move(aOptions)));
  ClientPool pool(loop, { "127.0.0.1", acceptor.local_endpoint().port() });
  std::optional<Result<Response>> result;
  loop.spawn(
    [](Loop& aLoop,
       ClientPool& aPool,
       std::size_t aBytes,
       Timeouts aTimeouts,
       std::optional<Result<Response>>& aResult) -> asio::awaitable<void> {
      Request request{ beast::http::verb::post, "/", 11 };
      request.body().assign(aBytes, 'u');
      aResult = co_await aPool.request(
        std::move(request), aTimeouts.response, aTimeouts.body);
      aLoop.stop();
    }(loop, pool, aBodyBytes, aTimeouts, result));
  loop.run();
  return std::move(*result);
}

} // namespace

// Guards against MIXED: an answer without a length whose connection is reset is
// not whole, whether the request is still being written or not.
TEST_CASE(
  "ClientPool, answer without length, is whole only if it ends in order")
{
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  const std::string body = GENERATE("", "part");
  const std::size_t bytesRead = GENERATE(std::size_t{ 1 }, kUploadBytes);
  CAPTURE(body, bytesRead);
  const auto reset =
    receive({ .answer = head + body, .bytesRead = bytesRead, .isReset = true },
            kUploadBytes);
  REQUIRE_FALSE(reset);
  CHECK(reset.failure().verdict == Verdict::MayHaveRun);
  CHECK_FALSE(receive({ .answer = head + body, .isReset = true }));

  const auto whole = receive({ .answer = head + body });
  REQUIRE(whole);
  CHECK(whole->body() == body);
}

TEST_CASE("ClientPool, body slower than the response, has a time of its own")
{
  const std::string answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + std::string(400, 'x');
  const ServerOptions slow{ .answer = answer,
                            .pieces = 8,
                            .pause = milliseconds(300) };
  const Duration timeout = milliseconds(1200);
  CHECK_FALSE(receive(slow, 0, { .response = timeout }));
  const auto whole =
    receive(slow, 0, { .response = timeout, .body = seconds(30) });
  REQUIRE(whole);
  CHECK(whole->body().size() == 400);
  // A pause longer than the time of the response ends it.
  const ServerOptions silent{ .answer = answer,
                              .pieces = 2,
                              .pause = milliseconds(3000) };
  CHECK_FALSE(
    receive(silent, 0, { .response = seconds(2), .body = seconds(30) }));
}

// Guards against MIXED: an answer with a line that is no header field was taken
// for one.
TEST_CASE("ClientPool, answer with a malformed field, is a failure")
{
  for (const std::string& line : malformedFieldLines()) {
    CAPTURE(line);
    const std::string chunked =
      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
    for (const std::string& answer :
         { "HTTP/1.1 200 X\r\n" + line + "\r\n\r\nbody",
           "HTTP/1.1 200 X\r\nX-B: z\r\n" + line + "\r\n" + chunked + "\r\n",
           "HTTP/1.1 103 X\r\n" + line + "\r\n\r\nHTTP/1.1 200 X\r\n" +
             chunked + "\r\n",
           "HTTP/1.1 200 X\r\n" + chunked + line + "\r\n\r\n" }) {
      CAPTURE(answer);
      const auto result = receive({ .answer = answer });
      CHECK_FALSE(result);
      CHECK((result || result.failure().verdict == Verdict::MayHaveRun));
    }
  }
}

TEST_CASE("ClientPool, answer with a well-formed field, is received whole")
{
  const std::string body = "a: b\r\n c\r\n\td";
  const std::string chunked =
    "Transfer-Encoding: chunked\r\n\r\nc\r\n" + body + "\r\n0\r\n";
  for (const FieldLine& field : wellFormedFieldLines()) {
    for (const std::string& answer :
         { "HTTP/1.1 200 X\r\n" + field.line + "\r\n\r\n" + body,
           "HTTP/1.1 200 X\r\n" + field.line +
             "\r\nContent-Length: 12\r\n\r\n" + body,
           "HTTP/1.1 103 X\r\n" + field.line + "\r\n\r\nHTTP/1.1 200 X\r\n" +
             chunked + "\r\n",
           "HTTP/1.1 200 X\r\n" + chunked + field.line + "\r\n\r\n" }) {
      CAPTURE(answer);
      const auto result = receive({ .answer = answer });
      REQUIRE(result);
      CHECK(result->body() == body);
    }
  }
}

// The same in whatever pieces the answer arrives.
TEST_CASE("parseResponsePart, answer in pieces, is judged as a whole one")
{
  const auto isAccepted = [](const std::string& aAnswer,
                             std::size_t aPieceBytes) {
    ResponseParser parser;
    boost::system::error_code error;
    std::size_t parsed = 0;
    for (std::size_t received = aPieceBytes; !parser.is_done();
         received += aPieceBytes) {
      received = std::min(received, aAnswer.size());
      bool needsMore = false;
      while (!needsMore && parsed < received && !parser.is_done()) {
        std::string space(aAnswer.size(), ' ');
        parser.get().body().data = space.data();
        parser.get().body().size = space.size();
        parsed += parseResponsePart(
          parser,
          asio::buffer(aAnswer.data() + parsed, received - parsed),
          error);
        needsMore = error == beast::http::error::need_more;
        if (error && !needsMore) {
          return false;
        }
      }
      if (received == aAnswer.size() && !parser.is_done()) {
        return false;
      }
    }
    return parsed == aAnswer.size();
  };
  const auto answers = [](const std::string& aLine) {
    const std::string chunked =
      "Transfer-Encoding: chunked\r\n\r\n5\r\n\r\n x\n\r\n0;a=b\r\n";
    return std::array{ "HTTP/1.1 200 X\r\n" + aLine + "\r\n" + chunked + "\r\n",
                       "HTTP/1.1 200 X\r\nX-B: z\r\n" + aLine +
                         "\r\nContent-Length: 0\r\n\r\n",
                       "HTTP/1.1 200 X\r\n" + chunked + aLine + "\r\n\r\n" };
  };
  const std::size_t pieceBytes = GENERATE(1, 2, 3, 7, 1000);
  CAPTURE(pieceBytes);
  for (const std::string& line : malformedFieldLines()) {
    for (const std::string& answer : answers(line)) {
      CAPTURE(answer);
      CHECK_FALSE(isAccepted(answer, pieceBytes));
    }
  }
  for (const FieldLine& field : wellFormedFieldLines()) {
    for (const std::string& answer : answers(field.line)) {
      CAPTURE(answer);
      CHECK(isAccepted(answer, pieceBytes));
    }
  }
}
