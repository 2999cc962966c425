#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/http/response_reader.hpp"
#include "laburnum/http/server.hpp"
#include "laburnum/http/silence.hpp"
#include "laburnum/kernel/loop.hpp"

#include <functional>
#include <optional>
#include <variant>

namespace laburnum::gateway {

using ResponseHeader = http::beast::http::response_header<>;

/// The header of a response was received.
struct ResponseHead
{
  const ResponseHeader& head;
};
/// A part of the body was received.
struct ResponseBytes
{
  std::string_view bytes;
};
/// The response is complete according to its HTTP framing.
struct ResponseEnd
{
  /// A line of an event came as a trailer field: the size of the chunk with the
  /// event was changed to that of the last chunk.
  bool hasEventInTrailer = false;
};
/// The connection failed or delivered an invalid response.
struct ConnectionLost
{
  bool isRequestSent = false;   ///< Part of the request may have been sent.
  bool isConnectFailed = false; ///< The connection was never established.
  bool isRefused = false;       ///< No process listens at the address.
  /// The server closed or reset the connection, as when its process ends.
  bool isClosedByServer = false;
  std::string reason; ///< Message of the system error.
};

/// What a `ServerConnection` reports while a request is in progress.
using ServerEvent =
  std::variant<ResponseHead, ResponseBytes, ResponseEnd, ConnectionLost>;

/// An HTTP/1.1 connection to a backend server that carries one request at a
/// time. Events are reported to a listener until the response is complete or
/// the connection is lost.
///
/// Thread safety: loop thread only.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  using Listener = std::function<void(ServerEvent)>;

  ServerConnection(Loop& aLoop, contract::Address aAddress);

  /// Sends a request and reads its response; connects first if necessary.
  /// `aConnectTimeout` limits the time to connect.
  /// @pre No request is in progress.
  void send(http::Request aRequest,
            Duration aConnectTimeout,
            Listener aListener);

  /// Closes the connection immediately; no further event is reported.
  void abort();

  /// True if another request may be sent: the last response was complete, no
  /// data followed it and neither side requested a close.
  bool isReusable() const { return mReusable; }

  /// Monitors an idle connection. `aOnClosed` is called once if the server
  /// closes it or sends data.
  /// @pre `isReusable`.
  void watchIdle(std::function<void()> aOnClosed);

  /// When the last response ended.
  /// @pre `isReusable`.
  Instant idleSince() const { return mIdleSince; }

  /// How long the server keeps an idle connection, if it announced that.
  std::optional<Duration> keepAlive() const { return mKeepAlive; }

private:
  using ErrorCode = boost::system::error_code;

  void connected(ErrorCode aError);
  void startRequest();
  void readHead();
  void readBody();
  void finishResponse();
  void fail(ErrorCode aError);
  void notify(ServerEvent aEvent);

  Loop& mLoop;
  contract::Address mAddress;
  asio::basic_stream_socket<asio::ip::tcp, http::Executor> mSocket;
  asio::steady_timer mTimer;
  http::SlowReading mSlowReading;
  http::beast::flat_buffer mBuffer;
  std::shared_ptr<http::Request> mRequest; ///< Shared with the pending write.
  std::optional<http::ResponseParser> mParser;
  std::vector<char> mBytes;
  Listener mListener;
  std::function<void()> mOnIdleClosed;
  std::optional<Duration> mKeepAlive;
  std::size_t mDataFields = 0; ///< Fields of the head named as data of events.
  Instant mIdleSince{};
  std::uint64_t mGeneration = 0; ///< Incremented per request.
  bool mOpen = false;
  bool mRequestSent = false;
  bool mWriteDone = false;
  ErrorCode mWriteError;     ///< Of the request in progress.
  int mInterimResponses = 0; ///< Before the final one.
  bool mReusable = false;
  bool mAborted = false;
};

} // namespace laburnum::gateway
