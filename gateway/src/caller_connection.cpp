#include "laburnum/gateway/caller_connection.hpp"

#include "laburnum/gateway/forwarding.hpp"
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

/// Events held for a caller that doesn't read; past it the answer is broken
/// off. Far above the longest answer of the planned size.
constexpr std::size_t kMaxPending = 1024 * 1024;
/// For a body that stops coming; the operator's limits name none.
constexpr Duration kBodyTimeout = seconds(10);

std::string
seconds3(Duration aTime)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", toSeconds(aTime));
  return text;
}

template<class Body>
std::string
headText(const bhttp::response<Body>& aResponse)
{
  std::ostringstream text;
  text << aResponse.base();
  return text.str();
}

} // namespace

http::Response
failureAnswer(unsigned aStatus, const Failure& aFailure)
{
  http::Response response{ bhttp::status(aStatus), 11 };
  response.set(bhttp::field::content_type, "application/json");
  if (aFailure.retryAfter > Duration(0)) {
    response.set(bhttp::field::retry_after, seconds3(aFailure.retryAfter));
  }
  response.body() = boost::json::serialize(
    boost::json::object{ { "error", info(aFailure.error).id },
                         { "verdict", name(aFailure.verdict) },
                         { "detail", aFailure.detail } });
  return response;
}

CallerConnection::CallerConnection(Context& aContext, Socket aSocket)
  : mContext(aContext)
  , mSocket(std::move(aSocket))
  , mTimer(aContext.loop.context())
{
}

CallerConnection::~CallerConnection() = default;

void
CallerConnection::start()
{
  http::boundSilence(mSocket);
  waitForRequest();
}

void
CallerConnection::setTimer(Duration aTime, unsigned aStatus)
{
  mTimer.expires_after(aTime);
  mTimer.async_wait([self = shared_from_this(), aStatus](ErrorCode aError) {
    if (aError || self->mClosed) {
      return;
    }
    if (aStatus != 0) {
      self->refuse(aStatus, Error::RequestTimeout);
    } else {
      self->close();
    }
  });
}

CallerLimits
CallerConnection::limits() const
{
  return mContext.configuration ? mContext.configuration->limits
                                : CallerLimits{};
}

void
CallerConnection::waitForRequest()
{
  mIsReading = false;
  if (mBuffer.size() > 0) {
    readHead();
    return;
  }
  setTimer(limits().idleTimeout, 0);
  mSocket.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](ErrorCode aError) {
                       if (aError || self->mClosed) {
                         self->close();
                         return;
                       }
                       self->readHead();
                     });
}

void
CallerConnection::readHead()
{
  const CallerLimits bounds = limits();
  mIsReading = true;
  mParser.emplace();
  mParser->header_limit(static_cast<std::uint32_t>(bounds.headerBytes));
  mParser->body_limit(bounds.bodyBytes);
  setTimer(bounds.headerTimeout, 408);
  bhttp::async_read_header(
    mSocket,
    mBuffer,
    *mParser,
    [self = shared_from_this()](ErrorCode aError, std::size_t) {
      if (self->mClosed) {
        return;
      }
      if (!aError) {
        self->readBody();
      } else if (aError == bhttp::error::header_limit) {
        self->refuse(431, Error::HeaderTooLarge);
      } else if (aError == bhttp::error::body_limit) {
        self->refuse(413, Error::BodyTooLarge);
      } else if (aError == bhttp::error::end_of_stream ||
                 aError.category() !=
                   make_error_code(bhttp::error::bad_method).category()) {
        self->close();
      } else {
        self->refuse(400, Error::MalformedRequest);
      }
    });
}

void
CallerConnection::readBody()
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
                      if (self->mClosed) {
                        return;
                      }
                      if (aError == bhttp::error::body_limit) {
                        self->refuse(413, Error::BodyTooLarge);
                      } else if (aError) {
                        self->close();
                      } else {
                        self->begin();
                      }
                    });
}

void
CallerConnection::begin()
{
  mTimer.cancel();
  mIsReading = false;
  ++mRequests;
  mAnswerEnded = false;
  mKeepAlive = mParser->get().keep_alive();
  mForwarding =
    std::make_shared<Forwarding>(mContext, *this, mParser->release());
  watchCaller();
  const auto forwarding = mForwarding;
  forwarding->start();
}

void
CallerConnection::watchCaller()
{
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this(), request = mRequests](ErrorCode aError) {
      if (self->mClosed || !self->mForwarding || request != self->mRequests) {
        return;
      }
      char peek = 0;
      ErrorCode error = aError;
      if (!error) {
        self->mSocket.non_blocking(true, error);
        self->mSocket.receive(
          asio::buffer(&peek, 1), asio::socket_base::message_peek, error);
      }
      // Further bytes belong to the next request and wait; with them a close
      // is seen only when the answer is written.
      if (error && error != asio::error::would_block) {
        self->close();
      }
    });
}

void
CallerConnection::refuse(unsigned aStatus, Error aError)
{
  mIsReading = false;
  mKeepAlive = false;
  mBuffer.consume(mBuffer.size());
  log(LogLevel::Info,
      "request_unread",
      { { "status", aStatus }, { "error", info(aError).id } });
  respond(failureAnswer(aStatus, { .error = aError }));
}

void
CallerConnection::respond(http::Response aResponse)
{
  if (mClosed) {
    return;
  }
  mKeepAlive = mKeepAlive && !mContext.draining;
  aResponse.keep_alive(mKeepAlive);
  if (!aResponse.has_content_length()) {
    aResponse.prepare_payload();
  }
  mPending += headText(aResponse);
  mPending += aResponse.body();
  mAnswerEnded = true;
  flush();
}

void
CallerConnection::beginEvents(bhttp::response<bhttp::empty_body> aHead)
{
  mKeepAlive = mKeepAlive && !mContext.draining;
  aHead.keep_alive(mKeepAlive);
  aHead.chunked(true);
  mPending += headText(aHead);
}

void
CallerConnection::writeEvents(std::string aBytes)
{
  if (mClosed) {
    return;
  }
  if (mPending.size() + aBytes.size() > kMaxPending) {
    close();
    return;
  }
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  mPending.append(size).append(aBytes).append("\r\n");
  flush();
}

void
CallerConnection::endEvents()
{
  mPending += "0\r\n\r\n";
  mAnswerEnded = true;
  flush();
}

void
CallerConnection::flush()
{
  if (mIsWriting || mClosed || mPending.empty()) {
    return;
  }
  mIsWriting = true;
  mWriting.swap(mPending);
  mPending.clear();
  asio::async_write(mSocket,
                    asio::buffer(mWriting),
                    [self = shared_from_this()](ErrorCode aError, std::size_t) {
                      self->written(aError);
                    });
}

void
CallerConnection::written(ErrorCode aError)
{
  mIsWriting = false;
  if (mClosed) {
    return;
  }
  if (aError) {
    close();
    return;
  }
  if (!mPending.empty()) {
    flush();
  } else if (mAnswerEnded) {
    answerDone();
  }
}

void
CallerConnection::answerDone()
{
  mForwarding.reset();
  if (!mKeepAlive) {
    // A close with unread bytes would reset what was just written.
    ErrorCode ignored;
    mSocket.shutdown(tcp::socket::shutdown_send, ignored);
    close();
    return;
  }
  waitForRequest();
}

void
CallerConnection::breakOff()
{
  close();
}

void
CallerConnection::leaveServer(const std::string& aId, AttemptEnd aEnd)
{
  if (const auto forwarding = mForwarding) {
    forwarding->leaveServer(aId, aEnd);
  }
}

void
CallerConnection::closeIfIdle()
{
  if (!isBusy() && !mIsWriting) {
    close();
  }
}

void
CallerConnection::close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mTimer.cancel();
  ErrorCode ignored; // The connection is given up either way.
  mSocket.close(ignored);
  if (mForwarding) {
    const auto forwarding = std::move(mForwarding);
    mForwarding = nullptr;
    forwarding->callerGone();
  }
}

} // namespace laburnum::gateway
