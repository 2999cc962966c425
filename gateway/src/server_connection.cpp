#include "laburnum/gateway/server_connection.hpp"

#include "leading_number.hpp"

#include <boost/beast/http/write.hpp>

namespace laburnum::gateway {
namespace {

namespace bhttp = http::beast::http;
using asio::ip::tcp;

/// Size of one read; larger bodies take several.
constexpr std::size_t kReadBytes = 8 * 1024;
/// Limit of a response body; larger responses are treated as invalid.
constexpr std::uint64_t kMaxBodyBytes = 64ULL * 1024 * 1024;

std::optional<Duration>
parseKeepAlive(const ResponseHeader& aHead)
{
  const auto found = aHead.find(bhttp::field::keep_alive);
  if (found == aHead.end()) {
    return std::nullopt;
  }
  const std::string_view value = found->value();
  const std::size_t position = value.find("timeout=");
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  const auto timeout = leadingNumber<int>(value.substr(position + 8));
  return timeout ? std::optional<Duration>(seconds(*timeout)) : std::nullopt;
}

/// Name of the line of an event that has its data.
constexpr std::string_view kEventDataField = "data";

bool
isClosedByServer(boost::system::error_code aError)
{
  return aError == asio::error::eof ||
         aError == asio::error::connection_reset ||
         aError == asio::error::broken_pipe ||
         aError == bhttp::error::end_of_stream ||
         aError == bhttp::error::partial_message;
}

/// True if a write failed although the server had not closed the connection in
/// order. The system reports a reset or a time-out once: a read after such a
/// write gets the end of the stream. After an orderly close, writes fail with a
/// broken pipe.
bool
isBroken(boost::system::error_code aWriteError)
{
  return aWriteError && aWriteError != asio::error::broken_pipe;
}

} // namespace

ServerConnection::ServerConnection(Loop& aLoop, contract::Address aAddress)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mSocket(aLoop.context())
  , mTimer(aLoop.context())
  , mBuffer(http::kMaxUnparsedBytes)
{
}

void
ServerConnection::send(http::Request aRequest,
                       Duration aConnectTimeout,
                       Listener aListener)
{
  mRequest = std::make_shared<http::Request>(std::move(aRequest));
  mListener = std::move(aListener);
  mReusable = false;
  mRequestSent = false;
  mWriteDone = false;
  mWriteError = {};
  mInterimResponses = 0;
  mOnIdleClosed = nullptr;
  ++mGeneration;
  if (mOpen) {
    startRequest();
    return;
  }
  const auto self = shared_from_this();
  mTimer.expires_after(aConnectTimeout);
  mTimer.async_wait([self](ErrorCode aError) {
    if (!aError && !self->mOpen) {
      self->fail(asio::error::timed_out);
    }
  });
  ErrorCode error;
  const tcp::endpoint endpoint(asio::ip::make_address(mAddress.host, error),
                               mAddress.port);
  mSocket.async_connect(endpoint,
                        [self](ErrorCode aError) { self->connected(aError); });
}

void
ServerConnection::connected(ErrorCode aError)
{
  if (mAborted || !mListener) {
    return;
  }
  mTimer.cancel();
  if (aError) {
    fail(aError);
    return;
  }
  mOpen = true;
  http::boundSilence(mSocket);
  startRequest();
}

void
ServerConnection::startRequest()
{
  const auto self = shared_from_this();
  const std::uint64_t generation = mGeneration;
  mParser.emplace();
  mParser->body_limit(kMaxBodyBytes);
  if (mRequest->method() == bhttp::verb::head) {
    mParser->skip(true);
  }
  mRequestSent = true;
  mSlowReading.startMessage();
  mSlowReading.beforeSending(mSocket, mRequest->body().size());
  bhttp::async_write(
    mSocket,
    *mRequest,
    [self, generation, request = mRequest](ErrorCode aError, std::size_t) {
      // After a failed write, a response may still be read.
      if (generation == self->mGeneration) {
        self->mWriteDone = !aError;
        self->mWriteError = aError;
      }
    });
  readHead();
}

void
ServerConnection::readHead()
{
  http::asyncReadResponsePart(
    mSocket, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aError) {
      if (self->mAborted) {
        return;
      }
      if (aError) {
        self->fail(aError);
        return;
      }
      const unsigned status = self->mParser->get().result_int();
      const bool isInterim = http::isInterimStatus(status);
      if (isInterim ? ++self->mInterimResponses > http::kMaxInterimResponses
                    : !http::isFinalStatus(status)) {
        self->fail(bhttp::make_error_code(bhttp::error::bad_status));
        return;
      }
      if (isInterim) {
        self->mParser.emplace();
        self->mParser->body_limit(kMaxBodyBytes);
        self->readHead();
        return;
      }
      self->mKeepAlive = parseKeepAlive(self->mParser->get().base());
      self->mDataFields = self->mParser->get().count(kEventDataField);
      self->notify(ResponseHead{ self->mParser->get().base() });
      if (!self->mAborted) {
        self->readBody();
      }
    });
}

void
ServerConnection::readBody()
{
  if (mParser->is_done()) {
    finishResponse();
    return;
  }
  mBytes.resize(kReadBytes);
  mParser->get().body().data = mBytes.data();
  mParser->get().body().size = mBytes.size();
  http::asyncReadResponsePart(
    mSocket, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aError) {
      if (self->mAborted) {
        return;
      }
      if (aError == bhttp::error::need_buffer) {
        aError = {};
      }
      const std::size_t bytesRead =
        self->mBytes.size() - self->mParser->get().body().size;
      if (bytesRead > 0) {
        self->notify(ResponseBytes{ { self->mBytes.data(), bytesRead } });
      }
      if (self->mAborted) {
        return;
      }
      if (!aError && self->mParser->is_done() && self->mParser->need_eof() &&
          isBroken(self->mWriteError)) {
        aError = self->mWriteError;
      }
      if (aError) {
        self->fail(aError);
        return;
      }
      self->readBody();
    });
}

void
ServerConnection::finishResponse()
{
  // Bytes after the response belong to no request, and after a partial write
  // the server would still expect the rest of the request.
  mReusable = mWriteDone && mBuffer.size() == 0 &&
              mParser->get().keep_alive() && !mParser->need_eof();
  const bool hasEventInTrailer =
    mParser->get().count(kEventDataField) > mDataFields;
  mIdleSince = mLoop.now();
  mBytes = {};
  const Listener listener = std::move(mListener);
  mListener = nullptr;
  mRequest.reset();
  listener(ResponseEnd{ .hasEventInTrailer = hasEventInTrailer });
}

void
ServerConnection::fail(ErrorCode aError)
{
  if (!mListener) {
    return;
  }
  const Listener listener = std::move(mListener);
  const ConnectionLost event{ .isRequestSent = mRequestSent,
                              .isConnectFailed = !mOpen,
                              .isRefused =
                                aError == asio::error::connection_refused,
                              .isClosedByServer = isClosedByServer(aError),
                              .reason = aError.message() };
  abort();
  listener(event);
}

void
ServerConnection::notify(ServerEvent aEvent)
{
  const Listener listener = mListener;
  if (listener) {
    listener(aEvent);
  }
}

void
ServerConnection::abort()
{
  mAborted = true;
  mReusable = false;
  mListener = nullptr;
  mOnIdleClosed = nullptr;
  mTimer.cancel();
  ErrorCode ignored; // The connection is discarded either way.
  mSocket.close(ignored);
}

void
ServerConnection::watchIdle(std::function<void()> aOnClosed)
{
  mOnIdleClosed = std::move(aOnClosed);
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this(), generation = mGeneration](ErrorCode) {
      if (self->mAborted || generation != self->mGeneration ||
          !self->mOnIdleClosed) {
        return;
      }
      const auto closed = std::move(self->mOnIdleClosed);
      self->abort();
      closed();
    });
}

} // namespace laburnum::gateway
