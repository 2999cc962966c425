#include "laburnum/gateway/client_connection.hpp"

#include "laburnum/gateway/request_forwarder.hpp"
#include "laburnum/kernel/log.hpp"

#include "laburnum/kernel/hash.hpp"

#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace laburnum::gateway {
namespace {

namespace bhttp = http::beast::http;
using asio::ip::tcp;

/// Bytes that are received at once of a request, and while none is read.
constexpr std::size_t kReadSize = 64 * 1024;
constexpr std::size_t kReadAheadSize = 1024;
/// Time to receive a request body; the limits of the configuration do not cover
/// it.
constexpr Duration kBodyTimeout = seconds(10);
/// Requests that take no more memory are served whatever the others take.
constexpr std::size_t kSmallRequest = 8 * 1024;
/// Wait that is asked of a client whose request the memory does not allow.
constexpr Duration kMemoryRetryAfter = seconds(1);
/// Time between two looks whether a client has left that has sent more ahead
/// than is read.
constexpr Duration kLeftCheckPeriod = milliseconds(200);
/// Time within which a client that has connected sends its first request.
constexpr Duration kFirstRequestTime = milliseconds(300);

} // namespace

ClientConnection::ClientConnection(Context& aContext, Socket aSocket)
  : mContext(aContext)
  , mMemory(aContext.clientMemory)
  , mSocket(std::move(aSocket))
  , mTimer(aContext.loop.context())
  , mAcceptedAt(aContext.loop.now())
  , mProgressAt(mAcceptedAt)
{
  ErrorCode error;
  const tcp::endpoint peer = mSocket.remote_endpoint(error);
  mPeer = error ? 0 : hash64(peer.address().to_string());
}

ClientConnection::~ClientConnection()
{
  mMemory->remove(this);
}

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
      self->onTimer(aStatus);
    });
}

void
ClientConnection::onTimer(unsigned aStatus)
{
  if (mForwarder) {
    checkHasLeft();
  } else if (mIsReading && mBodyProgress) {
    checkBodyProgress();
  } else if (aStatus != 0) {
    rejectUnread(aStatus, Error::RequestTimeout);
  } else {
    close();
  }
}

void
ClientConnection::checkBodyProgress()
{
  const Instant now = mContext.loop.now();
  ErrorCode error;
  // After a freeze of the process, bytes may wait that have arrived in time.
  if (now < mBodyDeadline && mSocket.available(error) > 0 && !error) {
    mBodyProgress->restart(now);
  }
  if (now >= mBodyDeadline || mBodyProgress->isTooSlow(now)) {
    rejectUnread(408, Error::RequestTimeout);
    return;
  }
  setTimer(std::min(mBodyProgress->nextCheck(), mBodyDeadline) - now, 408);
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
  if (!mUnparsed.empty()) {
    startReading();
    return;
  }
  mUnparsed = {};
  recordMemory();
  setTimer(limits().idleTimeout, 0);
  waitForBytes();
}

void
ClientConnection::waitForBytes()
{
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this(), wasReading = mIsReading](ErrorCode aError) {
      if (self->mClosed || wasReading != self->mIsReading) {
        return; // A request that was rejected meanwhile must not run.
      }
      if (aError) {
        self->close();
      } else if (!self->receiveAvailable(kReadSize)) {
        self->readingFailed(bhttp::error::end_of_stream);
      } else if (self->mIsReading) {
        self->parse();
      } else {
        self->skipEmptyLines();
        if (self->mUnparsed.empty()) {
          self->waitForBytes();
        } else {
          self->startReading();
        }
      }
    });
}

bool
ClientConnection::receiveAvailable(std::size_t aSize)
{
  auto& buffer = mContext.receiveBuffer;
  buffer.resize(std::max(buffer.size(), aSize));
  ErrorCode error;
  const std::size_t received =
    mSocket.receive(asio::buffer(buffer.data(), aSize),
                    asio::socket_base::message_flags(0),
                    error);
  if (error) {
    return error == asio::error::would_block;
  }
  if (!mIsWriting) {
    mProgressAt = mContext.loop.now();
  }
  mUnparsed.append(buffer.data(), received);
  return true;
}

void
ClientConnection::skipEmptyLines()
{
  mUnparsed.erase(0, mUnparsed.find_first_not_of("\r\n"));
}

void
ClientConnection::startReading()
{
  const ClientLimits bounds = limits();
  mIsReading = true;
  mBodyProgress.reset();
  mHeadSize = 0;
  mParser.emplace();
  mChunkedHead.reset();
  mParser->header_limit(static_cast<std::uint32_t>(bounds.headerBytes));
  mParser->body_limit(bounds.bodyBytes);
  setTimer(bounds.headerTimeout, 408);
  parse();
}

void
ClientConnection::parse()
{
  std::size_t parsed = 0;
  while (mIsReading && !mClosed) {
    ErrorCode error;
    const std::size_t taken = mParser->put(
      asio::buffer(mUnparsed.data() + parsed, mUnparsed.size() - parsed),
      error);
    parsed += taken;
    if (!mBodyProgress) {
      mHeadSize += taken; // The parser keeps each field as it arrives.
    }
    if (error && error != bhttp::error::need_more) {
      readingFailed(error);
      return;
    }
    if (mParser->is_header_done() && !mBodyProgress) {
      headReceived();
    }
    if (mParser->is_done()) {
      dropParsed(parsed);
      startRequest();
      return;
    }
    if (error || parsed == mUnparsed.size()) {
      break;
    }
  }
  if (!mIsReading || mClosed) {
    return;
  }
  dropParsed(parsed);
  // Chunk sizes, their extensions and trailers have no other limit.
  if (mUnparsed.size() > limits().headerBytes + http::kMaxUnparsedBytes) {
    rejectUnread(413, Error::BodyTooLarge);
    return;
  }
  if (mBodyProgress) {
    mBodyProgress->record(mParser->get().body().size(), mContext.loop.now());
  }
  recordMemory();
  waitForBytes();
}

void
ClientConnection::dropParsed(std::size_t aSize)
{
  mUnparsed.erase(0, aSize);
  if (mUnparsed.capacity() > 2 * mUnparsed.size()) {
    mUnparsed.shrink_to_fit();
  }
}

void
ClientConnection::headReceived()
{
  const Instant now = mContext.loop.now();
  const auto& head = mParser->get();
  mBodyProgress.emplace(now);
  mBodyDeadline = now + kBodyTimeout;
  if (mParser->is_done()) {
    return;
  }
  if (mParser->chunked()) {
    mChunkedHead = head.base();
  }
  mParser->eager(true);
  setTimer(std::min(mBodyProgress->nextCheck(), mBodyDeadline) - now, 408);
  if (bhttp::token_list(head[bhttp::field::expect]).exists("100-continue")) {
    static constexpr std::string_view kContinue =
      "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(mSocket,
                      asio::buffer(kContinue),
                      [self = shared_from_this()](ErrorCode, std::size_t) {});
  }
}

void
ClientConnection::readingFailed(ErrorCode aError)
{
  if (!mIsReading) {
    close();
  } else if (aError == bhttp::error::header_limit) {
    rejectUnread(431, Error::HeaderTooLarge);
  } else if (aError == bhttp::error::body_limit) {
    rejectUnread(413, Error::BodyTooLarge);
  } else if (mParser->is_header_done()) {
    close();
  } else {
    rejectUnread(400, Error::MalformedRequest);
  }
}

void
ClientConnection::startRequest()
{
  cancelTimer();
  mIsReading = false;
  mBodyProgress.reset();
  if (mChunkedHead) {
    mParser->get().base() = std::move(*mChunkedHead);
    mChunkedHead.reset();
  }
  mRequestMemory = requestMemory() + mParser->get().body().size();
  recordMemory();
  if (mIsGivenUp || (mRequestMemory > kSmallRequest && mMemory->isExceeded())) {
    mIsGivenUp = false;
    rejectUnread(503, Error::MemoryLow);
    return;
  }
  ++mRequestCount;
  mResponseComplete = false;
  mKeepAlive = mParser->get().keep_alive();
  mIsHead = mParser->get().method() == bhttp::verb::head;
  mForwarder =
    std::make_shared<RequestForwarder>(mContext, *this, mParser->release());
  mParser.reset();
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
      if (aError || !self->receiveAvailable(kReadAheadSize)) {
        self->close();
        return;
      }
      self->recordMemory();
      if (self->mUnparsed.size() < self->limits().headerBytes) {
        self->watchForDisconnect();
      } else {
        self->setTimer(kLeftCheckPeriod, 0);
      }
    });
}

void
ClientConnection::checkHasLeft()
{
  tcp_info state{};
  socklen_t size = sizeof(state);
  if (getsockopt(
        mSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &state, &size) == 0 &&
      (state.tcpi_state == TCP_CLOSE_WAIT || state.tcpi_state == TCP_CLOSE)) {
    close();
    return;
  }
  setTimer(kLeftCheckPeriod, 0);
}

void
ClientConnection::rejectUnread(unsigned aStatus, Error aError)
{
  cancelTimer();
  mIsReading = false;
  mKeepAlive = false;
  mIsHead = mParser && mParser->get().method() == bhttp::verb::head;
  mParser.reset();
  mChunkedHead.reset();
  mBodyProgress.reset();
  mUnparsed = {};
  mRequestMemory = 0;
  log(LogLevel::Info,
      "request_unread",
      { { "status", aStatus }, { "error", info(aError).id } });
  respond(failureResponse(aStatus,
                          { .error = aError,
                            .retryAfter = aError == Error::MemoryLow
                                            ? kMemoryRetryAfter
                                            : Duration(0) }));
}

ClientConnection::Use
ClientConnection::use() const
{
  if (mClosed) {
    return Use::Closed;
  }
  if (mForwarder || mIsWriting) {
    return Use::InProgress;
  }
  return mIsReading ? Use::Unfinished : Use::Unused;
}

void
ClientConnection::makeRoom()
{
  log(
    LogLevel::Info, "connection_given_up", { { "request_begun", mIsReading } });
  close();
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
    !mUnparsed.empty() || (mSocket.available(error) > 0 && !error);
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
ClientConnection::release()
{
  mSelf.reset();
  if (mForwarder) {
    mForwarder->release();
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
  mMemory->remove(this);
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
