#include "gateway_fixture.hpp"

#include <boost/asio/read_until.hpp>
#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

namespace {

/// Longer than the time after which a silent peer is given up.
constexpr Duration kPause = milliseconds(3000);
constexpr std::size_t kLongBytes = 8UL * 1000 * 1000;

/// A backend server that pauses before it reads the body of a request.
asio::awaitable<void>
readSlowly(Loop& aLoop,
           asio::basic_socket_acceptor<tcp, http::Executor>& aAcceptor,
           std::size_t& aBodySize)
{
  Socket socket = co_await aAcceptor.async_accept(use_awaitable);
  http::beast::flat_buffer buffer;
  bhttp::request_parser<bhttp::string_body> parser;
  parser.body_limit(2 * kLongBytes);
  co_await bhttp::async_read_header(socket, buffer, parser, use_awaitable);
  co_await aLoop.sleep(kPause);
  boost::system::error_code error;
  co_await bhttp::async_read(
    socket, buffer, parser, redirect_error(use_awaitable, error));
  if (error) {
    co_return;
  }
  aBodySize = parser.get().body().size();
  std::string text = response(200, kSignatureField, "body");
  text.replace(
    text.find("$ID"), 3, std::string(parser.get()["Laburnum-Attempt"]));
  co_await asio::async_write(socket, asio::buffer(text), use_awaitable);
}

} // namespace

// Guards against LOST: the connection of a client that did not read for two
// seconds was reset.
TEST_CASE("gateway_clientPausesInALongAnswer_getsItWhole")
{
  const std::string body(kLongBytes, 'x');
  GatewayFixture fixture({ { response(200, kSignatureField, body) } });
  std::string received;
  fixture.loop.spawn([](GatewayFixture& aFixture,
                        std::string& aReceived) -> asio::awaitable<void> {
    Socket socket(aFixture.loop.context());
    co_await socket.async_connect(
      tcp::endpoint(asio::ip::address_v4::loopback(),
                    aFixture.gateway.clientAddress().port),
      use_awaitable);
    const std::string text =
      "GET /once/x HTTP/1.1\r\nHost: h\r\n"
      "Connection: close\r\nLaburnum-Attempt: a1\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(text), use_awaitable);
    co_await asio::async_read_until(
      socket, asio::dynamic_buffer(aReceived), "\r\n\r\n", use_awaitable);
    co_await aFixture.loop.sleep(kPause);
    boost::system::error_code error;
    co_await asio::async_read(socket,
                              asio::dynamic_buffer(aReceived),
                              redirect_error(use_awaitable, error));
    aFixture.loop.stop();
  }(fixture, received));
  fixture.loop.run();
  CHECK(statusOf(received) == 200);
  CHECK(received.size() > kLongBytes);
  CHECK(received.ends_with("\r\n\r\n" + body));
}

// The same on the way to a server.
TEST_CASE("gateway_serverPausesInALongRequest_getsItWhole")
{
  GatewayFixture fixture({ { "" } });
  Configuration configuration = *fixture.gateway.context().configuration;
  configuration.version = 2;
  configuration.limits.bodyBytes = 2 * kLongBytes;
  fixture.gateway.applyConfiguration(std::move(configuration));
  asio::basic_socket_acceptor<tcp, http::Executor> acceptor(
    fixture.loop.context(), tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::size_t size = 0;
  fixture.loop.spawn(readSlowly(fixture.loop, acceptor, size));
  auto records = fixture.records();
  records[0].address.port = acceptor.local_endpoint().port();
  fixture.gateway.replaceServers(records);
  const std::string received =
    fixture.request("POST", "/once/x", "", std::string(kLongBytes, 'x'));
  CHECK(statusOf(received) == 200);
  CHECK(size == kLongBytes);
}
