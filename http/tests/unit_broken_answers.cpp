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
};

asio::awaitable<void>
serve(asio::basic_socket_acceptor<tcp, Executor>& aAcceptor,
      ServerOptions aOptions)
{
  auto socket = co_await aAcceptor.async_accept(use_awaitable);
  std::string received(aOptions.bytesRead, ' ');
  co_await asio::async_read(socket, asio::buffer(received), use_awaitable);
  co_await asio::async_write(
    socket, asio::buffer(aOptions.answer), use_awaitable);
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
receive(ServerOptions aOptions, std::size_t aBodyBytes = 0)
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
       std::optional<Result<Response>>& aResult) -> asio::awaitable<void> {
      Request request{ beast::http::verb::post, "/", 11 };
      request.body().assign(aBytes, 'u');
      aResult = co_await aPool.request(std::move(request), seconds(5));
      aLoop.stop();
    }(loop, pool, aBodyBytes, result));
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
