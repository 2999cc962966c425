#include "laburnum/gateway/client_connection.hpp"

#include "laburnum/gateway/request_forwarder.hpp"
#include "laburnum/kernel/log.hpp"

#include <boost/asio/post.hpp>
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
  if (mClosed || (!mIsWriting && mPendingBytes.empty())) {
    return;
  }
  recordMemory();
  if (mIsWriting) {
    return;
  }
  mIsWriting = true;
  mWriteBuffer.swap(mPendingBytes);
  mPendingBytes.clear();
  mWritten = 0;
  mProgressAt = mContext.loop.now();
  mSlowReading.beforeSending(mSocket, mWriteBuffer.size());
  writeSome();
}

void
ClientConnection::writeSome()
{
  mSocket.async_write_some(
    asio::buffer(mWriteBuffer) + mWritten,
    [self = shared_from_this()](ErrorCode aError, std::size_t aSize) {
      self->onWritten(aError, aSize);
    });
}

void
ClientConnection::onWritten(ErrorCode aError, std::size_t aSize)
{
  if (mClosed) {
    return;
  }
  if (aError) {
    mIsWriting = false;
    close();
    return;
  }
  mProgressAt = mContext.loop.now();
  mWritten += aSize;
  if (mWritten < mWriteBuffer.size()) {
    recordMemory();
    writeSome();
    return;
  }
  mIsWriting = false;
  if (!mPendingBytes.empty()) {
    flush();
  } else if (mResponseComplete) {
    finishResponse();
  }
}

std::size_t
ClientConnection::requestMemory() const
{
  // The fields of a head are kept in parts, with what joins them.
  return mParser ? mParser->get().body().capacity() +
                     (mChunkedHead ? 4 : 2) * mHeadSize
                 : mRequestMemory;
}

void
ClientConnection::recordMemory()
{
  if (mClosed || mIsGivenUp) {
    return;
  }
  const std::size_t unread = mPendingBytes.capacity() + mWriteBuffer.capacity();
  http::HeldMemory held{ .size =
                           requestMemory() + mUnparsed.capacity() + unread,
                         .peer = mPeer,
                         .progressAt = mProgressAt };
  if (!mIsReading) {
    held.heldFor = unread > requestMemory() ? http::HeldFor::UnreadResponse
                                            : http::HeldFor::RequestInProgress;
  }
  http::recordMemory(*mMemory, *this, held, mContext.loop.now());
}

void
ClientConnection::giveUpMemory()
{
  mIsGivenUp = true;
  ++mContext.metrics.counter("laburnum_gateway_memory_given_up_total");
  // What holds the memory may be in the middle of a call of this object.
  asio::post(mContext.loop.context(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->mClosed || !self->mIsGivenUp) {
      return; // Its response was read meanwhile.
    }
    self->mIsGivenUp = false;
    if (self->mIsReading) {
      self->rejectUnread(503, Error::MemoryLow);
    } else if (self->isUnread()) {
      self->closeUnread();
    }
  });
}

void
ClientConnection::closeUnread()
{
  log(LogLevel::Info,
      "response_unread",
      { { "bytes", mPendingBytes.size() + mWriteBuffer.size() - mWritten } });
  close();
}

void
ClientConnection::closeIfUnread()
{
  if (isUnread() && mContext.loop.now() - mProgressAt >= http::kMaxUnreadTime) {
    closeUnread();
  }
}

void
ClientConnection::finishResponse()
{
  mForwarder.reset();
  const auto self = std::move(mSelf);
  mSlowReading.startMessage();
  mWriteBuffer = {};
  mRequestMemory = 0;
  mIsGivenUp = false;
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

} // namespace laburnum::gateway
