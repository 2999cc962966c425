#pragma once

#include "laburnum/gateway/gateway.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace laburnum::gateway {

namespace bhttp = http::beast::http;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using Socket = ClientConnection::Socket;

/// A scripted text with the attempt ID in place of `$ID`.
inline std::string
withAttemptId(std::string aText, std::string_view aId)
{
  const std::size_t at = aText.find("$ID");
  return at == std::string::npos ? aText : aText.replace(at, 3, aId);
}

/// A backend server that sends scripted bytes, one text per request, and stores
/// the requests it receives. `$ID` is replaced by the attempt ID. The
/// connection stays open after a text with `Content-Length` or `$HANG`, and is
/// reset after a text that ends with `$RESET`. A function may take the place of
/// the texts.
class ScriptedServer
{
public:
  ScriptedServer(Loop& aLoop, std::vector<std::string> aTexts)
    : mLoop(aLoop)
    , mTexts(std::move(aTexts))
    , mAcceptor(aLoop.context(),
                tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  {
    mLoop.spawn(accept());
  }

  ServerRecord record(std::string aId) const
  {
    return { .id = std::move(aId),
             .service = "s",
             .address = { "127.0.0.1", mAcceptor.local_endpoint().port() },
             .startedMs = 1 };
  }

  std::vector<http::Request> requests;
  std::size_t connections = 0;
  bool isConnectionClosed = false;
  Duration workTime{ 0 }; ///< Until a request is answered.
  std::function<std::string(const http::Request&)> answer;

private:
  asio::awaitable<void> accept()
  {
    for (;;) {
      Socket socket = co_await mAcceptor.async_accept(use_awaitable);
      ++connections;
      mLoop.spawn(serve(std::move(socket)));
    }
  }

  asio::awaitable<void> serve(Socket aSocket)
  {
    http::beast::flat_buffer buffer;
    for (;;) {
      bhttp::request_parser<bhttp::string_body> parser;
      parser.body_limit(boost::none);
      boost::system::error_code error;
      co_await bhttp::async_read(
        aSocket, buffer, parser, redirect_error(use_awaitable, error));
      if (error) {
        isConnectionClosed = true;
        co_return;
      }
      const http::Request request = parser.release();
      std::string text = withAttemptId(
        answer ? answer(request)
               : mTexts[std::min(requests.size(), mTexts.size() - 1)],
        request["Laburnum-Attempt"]);
      requests.push_back(request);
      if (workTime > Duration(0)) {
        co_await mLoop.sleep(workTime);
      }
      const bool isReset = text.ends_with("$RESET");
      if (isReset) {
        text.resize(text.size() - std::string_view("$RESET").size());
      }
      co_await asio::async_write(
        aSocket, asio::buffer(text), redirect_error(use_awaitable, error));
      if (isReset) {
        co_await mLoop.sleep(milliseconds(20)); // The bytes arrive before it.
        aSocket.set_option(asio::socket_base::linger(true, 0));
        aSocket.close();
        co_return;
      }
      if (text.find("$HANG") == std::string::npos &&
          text.find("Content-Length") == std::string::npos) {
        co_return;
      }
    }
  }

  Loop& mLoop;
  std::vector<std::string> mTexts;
  asio::basic_socket_acceptor<tcp, http::Executor> mAcceptor;
};

/// A backend server that answers each request with bytes without end.
class EndlessServer
{
public:
  EndlessServer(Loop& aLoop, std::string aBegin, std::string aRepeated)
    : mLoop(aLoop)
    , mBegin(std::move(aBegin))
    , mAcceptor(aLoop.context(),
                tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  {
    while (mBlock.size() < kBlockBytes) {
      mBlock += aRepeated;
    }
    mLoop.spawn(accept());
  }

  contract::Address address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  int connections = 0;
  std::size_t bytesSent = 0;
  bool isConnectionClosed = false;

private:
  static constexpr std::size_t kBlockBytes = 16384;

  asio::awaitable<void> accept()
  {
    for (;;) {
      Socket socket = co_await mAcceptor.async_accept(use_awaitable);
      ++connections;
      mLoop.spawn(serve(std::move(socket)));
    }
  }

  asio::awaitable<void> serve(Socket aSocket)
  {
    http::beast::flat_buffer buffer;
    http::Request request;
    boost::system::error_code error;
    co_await bhttp::async_read(
      aSocket, buffer, request, redirect_error(use_awaitable, error));
    const std::string begin =
      withAttemptId(mBegin, request["Laburnum-Attempt"]);
    co_await asio::async_write(
      aSocket, asio::buffer(begin), redirect_error(use_awaitable, error));
    while (!error) {
      bytesSent += co_await asio::async_write(
        aSocket, asio::buffer(mBlock), redirect_error(use_awaitable, error));
    }
    isConnectionClosed = true;
  }

  Loop& mLoop;
  std::string mBegin;
  std::string mBlock;
  asio::basic_socket_acceptor<tcp, http::Executor> mAcceptor;
};

/// Stops the loop as soon as a condition holds, after ten seconds at most.
inline asio::awaitable<void>
stopWhen(Loop& aLoop, std::function<bool()> aCondition)
{
  for (int i = 0; i < 1000 && !aCondition(); ++i) {
    co_await aLoop.sleep(milliseconds(10));
  }
  aLoop.stop();
}

inline std::string
response(unsigned aStatus, std::string_view aFields, std::string_view aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nLaburnum-Attempt: $ID\r\n" + std::string(aFields) +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         std::string(aBody);
}

inline std::string
chunk(std::string_view aBytes)
{
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  return size + std::string(aBytes) + "\r\n";
}

inline const std::string kSignatureField = "Laburnum-Signature: s\r\n";
inline const std::string kEventStreamHead =
  "HTTP/1.1 200 OK\r\nLaburnum-Attempt: $ID\r\nLaburnum-Signature: s\r\n"
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A gateway in front of scripted servers, with one route of each type.
struct GatewayFixture
{
  explicit GatewayFixture(std::vector<std::vector<std::string>> aServers,
                          int aMaxAttempts = 2,
                          Duration aStopGrace = seconds(8))
    : settings{ .instance = "g",
                .failureDomain = "a",
                .gateway = { .stopGrace = aStopGrace } }
  {
    for (auto& texts : aServers) {
      servers.push_back(
        std::make_unique<ScriptedServer>(loop, std::move(texts)));
    }
    Configuration configuration{ .version = 1 };
    const auto route = [&](std::string aPrefix, RouteType aRepeat) {
      return Route{ .name = aPrefix,
                    .host = "h",
                    .pathPrefix = aPrefix,
                    .targets = { { .service = "s" } },
                    .type = aRepeat,
                    .timeout = seconds(5),
                    .latencyObjective = seconds(2),
                    .maxAttempts =
                      aRepeat == RouteType::NonIdempotent ? 1 : aMaxAttempts,
                    .isPublic = aPrefix != "/key/",
                    .isResumable = true };
    };
    configuration.routes = { route("/safe/", RouteType::Idempotent),
                             route("/once/", RouteType::NonIdempotent),
                             route("/events/", RouteType::Stream),
                             route("/key/", RouteType::NonIdempotent) };
    configuration.services["s"] = { .name = "s" };
    configuration.hasAccounts = true;
    configuration.accountsByKey["good"] = { .name = "account" };
    gateway.start();
    gateway.applyConfiguration(std::move(configuration));
    gateway.replaceServers(records());
    // Equally loaded servers are chosen at random; tests need the order of the
    // list.
    for (std::size_t i = 1; i < servers.size(); ++i) {
      for (std::size_t load = 0; load < i; ++load) {
        gateway.context().selector.requestStarted(
          records()[i].id, {}, loop.now());
      }
    }
    // Retries require earlier requests in the window of the budget.
    for (int i = 0; i < 20; ++i) {
      gateway.context().retryBudget("s").recordRequest(loop.now());
    }
  }

  std::vector<ServerRecord> records() const
  {
    std::vector<ServerRecord> records;
    for (const auto& server : servers) {
      records.push_back(
        server->record("i-" + std::to_string(records.size() + 1)));
    }
    return records;
  }

  /// Sends a text on a new connection and returns all bytes until it is closed.
  std::string exchange(std::string aText)
  {
    std::string received;
    loop.spawn(exchangeAsync(std::move(aText), received));
    loop.run();
    loop.context().restart();
    return received;
  }

  std::string request(std::string_view aMethod,
                      std::string_view aPath,
                      std::string_view aFields = "",
                      std::string_view aBody = "")
  {
    return exchange(std::string(aMethod) + " " + std::string(aPath) +
                    " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                    "Laburnum-Attempt: a1\r\n" +
                    std::string(aFields) +
                    "Content-Length: " + std::to_string(aBody.size()) +
                    "\r\n\r\n" + std::string(aBody));
  }

  asio::awaitable<void> exchangeAsync(std::string aText, std::string& aReceived)
  {
    Socket socket(loop.context());
    co_await socket.async_connect(
      tcp::endpoint(asio::ip::address_v4::loopback(),
                    gateway.clientAddress().port),
      use_awaitable);
    co_await asio::async_write(socket, asio::buffer(aText), use_awaitable);
    boost::system::error_code error;
    co_await asio::async_read(socket,
                              asio::dynamic_buffer(aReceived),
                              redirect_error(use_awaitable, error));
    loop.stop();
  }

  /// Sends texts on one connection, with a pause before each but the first,
  /// and receives all bytes until the connection is closed.
  asio::awaitable<void> sendPieces(std::vector<std::string> aTexts,
                                   Duration aPause,
                                   std::string& aReceived)
  {
    Socket socket(loop.context());
    co_await socket.async_connect(
      tcp::endpoint(asio::ip::address_v4::loopback(),
                    gateway.clientAddress().port),
      use_awaitable);
    socket.set_option(tcp::no_delay(true));
    boost::system::error_code error;
    for (std::size_t i = 0; i < aTexts.size(); ++i) {
      if (i > 0) {
        co_await loop.sleep(aPause);
      }
      co_await asio::async_write(
        socket, asio::buffer(aTexts[i]), redirect_error(use_awaitable, error));
    }
    co_await asio::async_read(socket,
                              asio::dynamic_buffer(aReceived),
                              redirect_error(use_awaitable, error));
    loop.stop();
  }

  std::size_t requestCount() const
  {
    std::size_t sum = 0;
    for (const auto& server : servers) {
      sum += server->requests.size();
    }
    return sum;
  }

  Loop loop;
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  contract::Settings settings;
  Gateway gateway{ loop, settings, HeaderNames{} };
};

inline unsigned
statusOf(const std::string& aResponse)
{
  return aResponse.size() < 12
           ? 0
           : static_cast<unsigned>(std::stoul(aResponse.substr(9, 3)));
}

} // namespace laburnum::gateway
