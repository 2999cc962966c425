#include "laburnum/http/server.hpp"

#include "laburnum/http/body_progress.hpp"
#include "laburnum/kernel/hash.hpp"
#include "laburnum/kernel/log.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>

namespace laburnum::http {
namespace {

namespace bhttp = beast::http;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Time in which a caller must take in a part of an answer.
constexpr Duration kWriteTimeout = seconds(30);

constexpr std::size_t kReadBytes = 4 * 1024;
constexpr std::size_t kBodyReadBytes = 32 * 1024;

/// Requests that take no more memory are served whatever the others take.
constexpr std::size_t kSmallRequest = 8 * 1024;

/// Idle time after which a kept-alive connection is closed.
constexpr Duration kIdleTimeout = seconds(75);

/// Memory for the callers of a server that shares no account.
constexpr std::size_t kOwnMemory = 16 * 1024 * 1024;

Instant
now()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

} // namespace

Session::Session(Stream aStream,
                 const contract::Limits& aLimits,
                 std::shared_ptr<ClientMemory> aMemory)
  : mStream(std::move(aStream))
  , mLimits(aLimits)
  , mMemory(std::move(aMemory))
  , mProgressAt(now())
  , mBuffer(aLimits.headerBytes + kMaxUnparsedBytes)
{
  ErrorCode error;
  const tcp::endpoint peer = tcp().socket().remote_endpoint(error);
  mPeer = error ? 0 : hash64(peer.address().to_string());
}

Session::~Session()
{
  mMemory->remove(this);
}

void
Session::record(std::size_t aSize, HeldFor aHeldFor)
{
  recordMemory(*mMemory,
               *this,
               { .size = aSize + mBuffer.capacity(),
                 .heldFor = aHeldFor,
                 .peer = mPeer,
                 .progressAt = mProgressAt },
               now());
}

TcpStream&
Session::tcp()
{
  if (auto* plain = std::get_if<TcpStream>(&mStream)) {
    return *plain;
  }
  return std::get<std::unique_ptr<TlsStream>>(mStream)->next_layer();
}

template<class Function>
auto
Session::withStream(Function aFunction)
{
  if (auto* plain = std::get_if<TcpStream>(&mStream)) {
    return aFunction(*plain);
  }
  return aFunction(*std::get<std::unique_ptr<TlsStream>>(mStream));
}

asio::awaitable<bool>
Session::handshake()
{
  auto* tls = std::get_if<std::unique_ptr<TlsStream>>(&mStream);
  if (tls == nullptr) {
    co_return true;
  }
  ErrorCode error;
  tcp().expires_after(mLimits.readTimeout);
  co_await (*tls)->async_handshake(asio::ssl::stream_base::server,
                                   redirect_error(use_awaitable, error));
  co_return !error;
}

asio::awaitable<bool>
Session::refuse(unsigned aStatus, Error aError)
{
  Response response{ bhttp::status(aStatus), 11 };
  const ErrorInfo& facts = info(aError);
  response.set("Laburnum-Verdict", name(Verdict::NotRun));
  response.set("Laburnum-Error", facts.id);
  response.set(bhttp::field::content_type, "application/json");
  response.body() = boost::json::serialize(boost::json::object{
    { "error",
      boost::json::object{ { "id", facts.id },
                           { "message", facts.cause },
                           { "verdict", name(Verdict::NotRun) } } } });
  mKeepAlive = false;
  co_return co_await write(std::move(response));
}

asio::awaitable<ErrorCode>
Session::readBody(Parser& aParser, Instant aDeadline)
{
  ErrorCode error;
  BodyProgress progress(now());
  aParser.eager(true);
  for (;;) {
    while (!aParser.is_done() && mBuffer.size() > 0 && !error) {
      mBuffer.consume(aParser.put(mBuffer.data(), error));
    }
    if (aParser.is_done() || (error && error != bhttp::error::need_more)) {
      co_return error;
    }
    progress.record(aParser.get().body().size(), now());
    record(aParser.get().body().capacity(), HeldFor::UnfinishedMessage);
    if (!mKeepAlive) {
      co_return asio::error::operation_aborted; // Given up.
    }
    const std::size_t free = mBuffer.max_size() - mBuffer.size();
    if (free == 0) {
      co_return bhttp::error::buffer_overflow;
    }
    tcp().expires_at(std::min(aDeadline, progress.nextCheck()));
    error = {};
    const auto space = mBuffer.prepare(std::min(free, kBodyReadBytes));
    const std::size_t size = co_await withStream([&](auto& aStream) {
      return aStream.async_read_some(space,
                                     redirect_error(use_awaitable, error));
    });
    mBuffer.commit(size);
    if (error) {
      co_return error;
    }
    mProgressAt = now();
  }
}

asio::awaitable<std::optional<Request>>
Session::read()
{
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(mLimits.headerBytes));
  parser.body_limit(mLimits.bodyBytes);
  ErrorCode error;
  mIsWaiting = true;
  mRequestMemory = 0;
  record(0, HeldFor::UnfinishedMessage);
  if (mBuffer.size() == 0) {
    // Waiting for the first byte has the idle timeout, the rest the read one.
    tcp().expires_after(kIdleTimeout);
    const auto space = mBuffer.prepare(kReadBytes);
    const std::size_t size = co_await withStream([&](auto& aStream) {
      return aStream.async_read_some(space,
                                     redirect_error(use_awaitable, error));
    });
    mBuffer.commit(size);
    if (error) {
      co_return std::nullopt;
    }
  }
  const Instant deadline = now() + mLimits.readTimeout;
  tcp().expires_at(deadline);
  co_await withStream([&](auto& aStream) {
    return bhttp::async_read_header(
      aStream, mBuffer, parser, redirect_error(use_awaitable, error));
  });
  if (!error &&
      beast::iequals(parser.get()[bhttp::field::expect], "100-continue")) {
    bhttp::response<bhttp::empty_body> proceed{ bhttp::status::continue_, 11 };
    co_await withStream([&](auto& aStream) {
      return bhttp::async_write(
        aStream, proceed, redirect_error(use_awaitable, error));
    });
  }
  if (!error) {
    error = co_await readBody(parser, deadline);
  }
  mIsHead = parser.get().method() == bhttp::verb::head;
  if (error == bhttp::error::header_limit) {
    co_await refuse(431, Error::HeaderTooLarge);
  } else if (error == bhttp::error::body_limit ||
             error == bhttp::error::buffer_overflow) {
    co_await refuse(413, Error::BodyTooLarge);
  } else if (error == beast::error::timeout) {
    co_return std::nullopt;
  } else if (error &&
             error.category() ==
               bhttp::make_error_code(bhttp::error::bad_method).category() &&
             error != bhttp::error::end_of_stream &&
             error != bhttp::error::partial_message) {
    co_await refuse(400, Error::MalformedRequest);
  }
  if (error) {
    co_return std::nullopt;
  }
  tcp().expires_never();
  if (mBuffer.size() == 0) {
    // Streams last long; their sessions need no buffer meanwhile.
    mBuffer.shrink_to_fit();
  }
  Request request = parser.release();
  mKeepAlive = request.keep_alive();
  mIsWaiting = false;
  // The handler may keep a copy.
  mRequestMemory = request.body().capacity() + request.body().size();
  record(mRequestMemory, HeldFor::RequestInProgress);
  if (mRequestMemory > kSmallRequest && mMemory->isExceeded()) {
    request = {};
    co_await refuse(503, Error::MemoryLow);
    co_return std::nullopt;
  }
  co_return std::move(request);
}

asio::awaitable<bool>
Session::write(Response aResponse)
{
  ErrorCode error;
  aResponse.keep_alive(mKeepAlive);
  aResponse.prepare_payload();
  if (mIsHead) {
    aResponse.body().clear();
  }
  tcp().expires_after(kWriteTimeout);
  mProgressAt = now();
  record(mRequestMemory + aResponse.body().capacity(), HeldFor::UnreadResponse);
  co_await withStream([&](auto& aStream) {
    return bhttp::async_write(
      aStream, aResponse, redirect_error(use_awaitable, error));
  });
  tcp().expires_never();
  mKeepAlive = mKeepAlive && !error;
  co_return !error;
}

asio::awaitable<bool>
Session::beginChunks(unsigned aStatus, std::string_view aContentType)
{
  bhttp::response<bhttp::empty_body> head{ bhttp::status(aStatus), 11 };
  head.set(bhttp::field::content_type, aContentType);
  head.set(bhttp::field::cache_control, "no-cache");
  head.keep_alive(mKeepAlive);
  head.chunked(true);
  bhttp::response_serializer<bhttp::empty_body> serializer(head);
  ErrorCode error;
  tcp().expires_after(kWriteTimeout);
  co_await withStream([&](auto& aStream) {
    return bhttp::async_write_header(
      aStream, serializer, redirect_error(use_awaitable, error));
  });
  mKeepAlive = mKeepAlive && !error;
  co_return !error;
}

asio::awaitable<bool>
Session::writeChunk(std::string aData)
{
  if (mIsHead) {
    co_return true;
  }
  ErrorCode error;
  tcp().expires_after(kWriteTimeout);
  mProgressAt = now();
  record(mRequestMemory + aData.capacity(), HeldFor::UnreadResponse);
  co_await withStream([&](auto& aStream) {
    return asio::async_write(aStream,
                             bhttp::make_chunk(asio::buffer(aData)),
                             redirect_error(use_awaitable, error));
  });
  mKeepAlive = mKeepAlive && !error;
  co_return !error;
}

asio::awaitable<bool>
Session::endChunks()
{
  if (mIsHead) {
    tcp().expires_never();
    co_return true;
  }
  ErrorCode error;
  tcp().expires_after(kWriteTimeout);
  co_await withStream([&](auto& aStream) {
    return asio::async_write(
      aStream, bhttp::make_chunk_last(), redirect_error(use_awaitable, error));
  });
  tcp().expires_never();
  mKeepAlive = mKeepAlive && !error;
  co_return !error;
}

void
Session::watch(std::function<void()> aGone)
{
  const std::uint64_t number = ++mWatch;
  auto& socket = tcp().socket();
  socket.async_wait(tcp::socket::wait_read,
                    [this,
                     number,
                     gone = std::move(aGone),
                     alive = std::weak_ptr<bool>(mAlive)](ErrorCode aError) {
                      if (alive.expired() || number != mWatch || aError) {
                        return;
                      }
                      char peek = 0;
                      ErrorCode error;
                      const std::size_t size =
                        tcp().socket().receive(asio::buffer(&peek, 1),
                                               asio::socket_base::message_peek,
                                               error);
                      if (error || size == 0) {
                        gone();
                      }
                    });
}

void
Session::unwatch()
{
  ++mWatch;
}

void
Session::abort()
{
  mKeepAlive = false;
  tcp().close();
}

Server::Server(Loop& aLoop,
               const contract::Address& aAddress,
               const contract::Limits& aLimits,
               const CertificateHolder* aCertificate,
               Handler aHandler,
               ServerBounds aBounds)
  : mLoop(aLoop)
  , mLimits(aLimits)
  , mCertificate(aCertificate)
  , mHandler(std::move(aHandler))
  , mAcceptor(
      aLoop.context(),
      tcp::endpoint(asio::ip::make_address(aAddress.host), aAddress.port))
  , mAddress{ .host = aAddress.host, .port = mAcceptor.local_endpoint().port() }
  , mBounds(std::move(aBounds))
{
  if (!mBounds.memory) {
    mBounds.memory = std::make_shared<ClientMemory>(kOwnMemory);
  }
  mLoop.spawn(accept());
}

void
Server::stop()
{
  mStopping = true;
  ErrorCode ignored;
  mAcceptor.close(ignored);
}

asio::awaitable<void>
Server::accept()
{
  while (!mStopping) {
    ErrorCode error;
    auto socket = co_await mAcceptor.async_accept(
      mLoop.context(), redirect_error(use_awaitable, error));
    if (error == asio::error::operation_aborted || mStopping) {
      co_return;
    }
    if (error) {
      // Out of file descriptors, most likely; a pause lets some close.
      makeRoom();
      co_await mLoop.sleep(milliseconds(50));
      continue;
    }
    if (mSessions->size() >= mBounds.maxSessions) {
      makeRoom();
    }
    mLoop.spawn(serve(std::move(socket)));
  }
}

void
Server::makeRoom()
{
  Session* chosen = nullptr;
  for (Session* session : *mSessions) {
    if (session->isWaiting() &&
        (chosen == nullptr || session->progressAt() < chosen->progressAt())) {
      chosen = session;
    }
  }
  if (chosen != nullptr) {
    chosen->abort();
  }
}

asio::awaitable<void>
Server::serve(asio::basic_stream_socket<asio::ip::tcp, Executor> aSocket)
{
  ErrorCode ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  const auto context =
    mCertificate == nullptr ? nullptr : mCertificate->context();
  Session::Stream stream = TcpStream(std::move(aSocket));
  if (context) {
    stream = std::make_unique<TlsStream>(std::move(std::get<TcpStream>(stream)),
                                         *context);
  }
  Session session(std::move(stream), mLimits, mBounds.memory);
  struct Entry
  {
    Entry(std::shared_ptr<std::set<Session*>> aSessions, Session* aSession)
      : sessions(std::move(aSessions))
      , session(aSession)
    {
      sessions->insert(session);
    }
    ~Entry() { sessions->erase(session); }
    std::shared_ptr<std::set<Session*>> sessions;
    Session* session;
  } entry(mSessions, &session);
  if (!co_await session.handshake()) {
    co_return;
  }
  while (session.keepAlive()) {
    auto request = co_await session.read();
    if (!request) {
      co_return;
    }
    co_await mHandler(session, std::move(*request));
  }
}

} // namespace laburnum::http
