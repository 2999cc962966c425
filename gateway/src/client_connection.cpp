#include "laburnum/gateway/client_connection.hpp"

#include "laburnum/gateway/request_forwarder.hpp"
#include "laburnum/http/silence.hpp"
#include "laburnum/kernel/log.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>
#include <sstream>

namespace laburnum::gateway {
namespace {

namespace bhttp = http::beast::http;
using asio::ip::tcp;

/// Limit of the unsent bytes for a client that does not read; exceeding it
/// aborts the response. Far above the size of the longest expected response.
constexpr std::size_t kMaxPendingBytes = 1024 * 1024;
/// Bytes that are received at once while no request is read.
constexpr std::size_t kReadSize = 1024;
/// Time to receive a request body; the limits of the configuration do not cover
/// it.
constexpr Duration kBodyTimeout = seconds(10);
/// Time within which a client that has connected sends its first request.
constexpr Duration kFirstRequestTime = milliseconds(300);

std::string
formatSeconds(Duration aTime)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", toSeconds(aTime));
  return text;
}

template<class Body>
std::string
formatHeader(const bhttp::response<Body>& aResponse)
{
  std::ostringstream text;
  text << aResponse.base();
  return text.str();
}

} // namespace

http::Response
failureResponse(unsigned aStatus, const Failure& aFailure)
{
  http::Response response{ bhttp::status(aStatus), 11 };
  response.set(bhttp::field::content_type, "application/json");
  if (aFailure.retryAfter > Duration(0)) {
    response.set(bhttp::field::retry_after, formatSeconds(aFailure.retryAfter));
  }
  response.body() = boost::json::serialize(
    boost::json::object{ { "error", info(aFailure.error).id },
                         { "verdict", name(aFailure.verdict) },
                         { "detail", aFailure.detail } });
  return response;
}

ClientConnection::ClientConnection(Context& aContext, Socket aSocket)
  : mContext(aContext)
  , mSocket(std::move(aSocket))
  , mTimer(aContext.loop.context())
  , mAcceptedAt(aContext.loop.now())
{
}

ClientConnection::~ClientConnection() = default;

void
ClientConnection::start()
{
  http::boundSilence(mSocket);
  ErrorCode ignored; // Later operations fail as well.
  mSocket.non_blocking(true, ignored);
  waitForRequest();
}

void
ClientConnection::setTimer(Duration aTime, unsigned aStatus)
{
  // Cancelling a timer has no effect on a handler that is queued already, as
  // after a freeze of the process.
  const std::uint64_t number = ++mTimerNumber;
  mTimer.expires_after(aTime);
  mTimer.async_wait(
    [self = shared_from_this(), aStatus, number](ErrorCode aError) {
      if (aError || self->mClosed || number != self->mTimerNumber) {
        return;
      }
      if (aStatus != 0) {
        self->rejectUnread(aStatus, Error::RequestTimeout);
      } else {
        self->close();
      }
    });
}

void
ClientConnection::cancelTimer()
{
  ++mTimerNumber;
  mTimer.cancel();
}

ClientLimits
ClientConnection::limits() const
{
  return mContext.configuration ? mContext.configuration->limits
                                : ClientLimits{};
}

void
ClientConnection::waitForRequest()
{
  mIsReading = false;
  skipEmptyLines();
  if (mBuffer.size() > 0) {
    readHead();
    return;
  }
  setTimer(limits().idleTimeout, 0);
  waitForFirstByte();
}

void
ClientConnection::waitForFirstByte()
{
  mSocket.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](ErrorCode aError) {
                       if (self->mClosed) {
                         return;
                       }
                       if (aError || !self->receiveAvailable()) {
                         self->close();
                         return;
                       }
                       self->skipEmptyLines();
                       if (self->mBuffer.size() > 0) {
                         self->readHead();
                       } else {
                         self->waitForFirstByte();
                       }
                     });
}

bool
ClientConnection::receiveAvailable()
{
  ErrorCode error;
  const std::size_t received = mSocket.receive(
    mBuffer.prepare(kReadSize), asio::socket_base::message_flags(0), error);
  mBuffer.commit(error ? 0 : received);
  return !error || error == asio::error::would_block;
}

void
ClientConnection::skipEmptyLines()
{
  const auto* bytes = static_cast<const char*>(mBuffer.data().data());
  std::size_t end = 0;
  while (end < mBuffer.size() && (bytes[end] == '\r' || bytes[end] == '\n')) {
    ++end;
  }
  mBuffer.consume(end);
}

void
ClientConnection::readHead()
{
  const ClientLimits bounds = limits();
  mIsReading = true;
  mParser.emplace();
  mParser->header_limit(static_cast<std::uint32_t>(bounds.headerBytes));
  mParser->body_limit(bounds.bodyBytes);
  // Chunk sizes, their extensions and trailers have no other limit.
  mBuffer.max_size(std::max(bounds.headerBytes + http::kMaxUnparsedBytes,
                            mBuffer.size() + kReadSize));
  setTimer(bounds.headerTimeout, 408);
  bhttp::async_read_header(
    mSocket,
    mBuffer,
    *mParser,
    [self = shared_from_this()](ErrorCode aError, std::size_t) {
      if (self->mClosed || !self->mIsReading) {
        return; // A request that was rejected meanwhile must not run.
      }
      if (!aError) {
        self->readBody();
      } else if (aError == bhttp::error::header_limit) {
        self->rejectUnread(431, Error::HeaderTooLarge);
      } else if (aError == bhttp::error::body_limit) {
        self->rejectUnread(413, Error::BodyTooLarge);
      } else if (aError == bhttp::error::end_of_stream ||
                 aError.category() !=
                   make_error_code(bhttp::error::bad_method).category()) {
        self->close();
      } else {
        self->rejectUnread(400, Error::MalformedRequest);
      }
    });
}

void
ClientConnection::readBody()
{
  setTimer(kBodyTimeout, 408);
  const auto& head = mParser->get();
  if (!mParser->is_done() &&
      bhttp::token_list(head[bhttp::field::expect]).exists("100-continue")) {
    static constexpr std::string_view kContinue =
      "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(mSocket,
                      asio::buffer(kContinue),
                      [self = shared_from_this()](ErrorCode, std::size_t) {});
  }
  bhttp::async_read(mSocket,
                    mBuffer,
                    *mParser,
                    [self = shared_from_this()](ErrorCode aError, std::size_t) {
                      if (self->mClosed || !self->mIsReading) {
                        return;
                      }
                      if (aError == bhttp::error::body_limit ||
                          aError == bhttp::error::buffer_overflow) {
                        self->rejectUnread(413, Error::BodyTooLarge);
                      } else if (aError) {
                        self->close();
                      } else {
                        self->startRequest();
                      }
                    });
}

void
ClientConnection::startRequest()
{
  cancelTimer();
  mIsReading = false;
  ++mRequestCount;
  mResponseComplete = false;
  mKeepAlive = mParser->get().keep_alive();
  mIsHead = mParser->get().method() == bhttp::verb::head;
  mForwarder =
    std::make_shared<RequestForwarder>(mContext, *this, mParser->release());
  watchForDisconnect();
  mSelf = shared_from_this();
  const auto forwarder = mForwarder;
  forwarder->start();
}

void
ClientConnection::watchForDisconnect()
{
  // Bytes that arrive now belong to the next request. They have to be read, as
  // they would hide that the client has left.
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this(), request = mRequestCount](ErrorCode aError) {
      if (self->mClosed || !self->mForwarder ||
          request != self->mRequestCount) {
        return;
      }
      if (aError || !self->receiveAvailable()) {
        self->close();
      } else if (self->mBuffer.size() < self->limits().headerBytes) {
        self->watchForDisconnect();
      }
    });
}

void
ClientConnection::rejectUnread(unsigned aStatus, Error aError)
{
  cancelTimer();
  mIsReading = false;
  mKeepAlive = false;
  mIsHead = mParser && mParser->get().method() == bhttp::verb::head;
  mBuffer.consume(mBuffer.size());
  log(LogLevel::Info,
      "request_unread",
      { { "status", aStatus }, { "error", info(aError).id } });
  respond(failureResponse(aStatus, { .error = aError }));
}

void
ClientConnection::respond(http::Response aResponse)
{
  if (mClosed) {
    return;
  }
  mKeepAlive = mKeepAlive && !mContext.drainPolicy;
  aResponse.keep_alive(mKeepAlive);
  if (!aResponse.has_content_length()) {
    aResponse.prepare_payload();
  }
  mPendingBytes += formatHeader(aResponse);
  if (!mIsHead) {
    mPendingBytes += aResponse.body();
  }
  mResponseComplete = true;
  flush();
}

void
ClientConnection::beginEventStream(bhttp::response<bhttp::empty_body> aHead)
{
  mKeepAlive = mKeepAlive && !mContext.drainPolicy;
  aHead.keep_alive(mKeepAlive);
  aHead.chunked(true);
  mPendingBytes += formatHeader(aHead);
}

void
ClientConnection::writeEvents(std::string aBytes)
{
  if (mClosed) {
    return;
  }
  if (mPendingBytes.size() + aBytes.size() > kMaxPendingBytes) {
    close();
    return;
  }
  if (!mIsHead) {
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
    mPendingBytes.append(size).append(aBytes).append("\r\n");
  }
  flush();
}

void
ClientConnection::endEventStream()
{
  mPendingBytes += mIsHead ? "" : "0\r\n\r\n";
  mResponseComplete = true;
  flush();
}

void
ClientConnection::flush()
{
  if (mIsWriting || mClosed || mPendingBytes.empty()) {
    return;
  }
  mIsWriting = true;
  mWriteBuffer.swap(mPendingBytes);
  mPendingBytes.clear();
  asio::async_write(mSocket,
                    asio::buffer(mWriteBuffer),
                    [self = shared_from_this()](ErrorCode aError, std::size_t) {
                      self->onWritten(aError);
                    });
}

void
ClientConnection::onWritten(ErrorCode aError)
{
  mIsWriting = false;
  if (mClosed) {
    return;
  }
  if (aError) {
    close();
    return;
  }
  if (!mPendingBytes.empty()) {
    flush();
  } else if (mResponseComplete) {
    finishResponse();
  }
}

void
ClientConnection::finishResponse()
{
  mForwarder.reset();
  const auto self = std::move(mSelf);
  if (!mKeepAlive) {
    // Closing with unread bytes would reset the connection and discard the
    // response.
    ErrorCode ignored;
    mSocket.shutdown(tcp::socket::shutdown_send, ignored);
    close();
    return;
  }
  waitForRequest();
}

void
ClientConnection::abort()
{
  close();
}

void
ClientConnection::migrateFrom(const std::string& aServerId,
                              AttemptOutcome aOutcome)
{
  if (const auto forwarder = mForwarder) {
    forwarder->migrateFrom(aServerId, aOutcome);
  }
}

void
ClientConnection::expireRequest()
{
  if (const auto forwarder = mForwarder) {
    forwarder->expire();
  }
}

bool
ClientConnection::expectsRequest() const
{
  if (mClosed || mIsWriting) {
    return mIsWriting && !mClosed;
  }
  ErrorCode error;
  const bool hasArrived =
    mBuffer.size() > 0 || (mSocket.available(error) > 0 && !error);
  return hasArrived || (mRequestCount == 0 &&
                        mContext.loop.now() - mAcceptedAt < kFirstRequestTime);
}

void
ClientConnection::closeIfIdle()
{
  if (!isBusy() && !expectsRequest()) {
    close();
  }
}

void
ClientConnection::close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  cancelTimer();
  ErrorCode ignored; // The connection is discarded either way.
  mSocket.close(ignored);
  if (mForwarder) {
    const auto forwarder = std::move(mForwarder);
    mForwarder = nullptr;
    forwarder->clientDisconnected();
  }
  mSelf.reset();
}

} // namespace laburnum::gateway
