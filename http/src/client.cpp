#include "laburnum/http/client.hpp"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

namespace laburnum::http {
namespace {

namespace bhttp = beast::http;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kMaxIdle = 256;
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::uint64_t kMaxBodyBytes = 64ULL * 1024 * 1024;

/// True if an idle connection has neither closed nor sent anything.
bool
isQuiet(TcpStream& aStream)
{
  auto& socket = aStream.socket();
  ErrorCode error;
  socket.non_blocking(true, error);
  char peek = 0;
  socket.receive(
    asio::buffer(&peek, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block || error == asio::error::try_again;
}

Failure
failure(Verdict aVerdict, const ErrorCode& aError)
{
  return { .error = Error::ServerLost,
           .verdict = aVerdict,
           .detail = aError.message() };
}

} // namespace

Exchange::Exchange(ClientPool& aPool, TcpStream aStream)
  : mPool(aPool)
  , mExchanges(aPool.mExchanges)
  , mStream(std::move(aStream))
  , mBuffer(kMaxUnparsedBytes)
{
  mExchanges->insert(this);
}

Exchange::~Exchange()
{
  mExchanges->erase(this);
  if (mDone && !mAborted && mBuffer.size() == 0 && mParser &&
      mParser->get().keep_alive()) {
    mPool.release(std::move(mStream));
  }
}

asio::awaitable<Result<bool>>
Exchange::send(Request aRequest, Duration aTimeout)
{
  ErrorCode error;
  mStream.expires_after(aTimeout);
  mSlowReading.beforeSending(mStream.socket(), aRequest.body().size());
  const std::size_t written = co_await bhttp::async_write(
    mStream, aRequest, redirect_error(use_awaitable, error));
  if (error) {
    co_return failure(written == 0 ? Verdict::NotRun : Verdict::MayHaveRun,
                      error);
  }
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    mParser = std::make_unique<ResponseParser>();
    mParser->body_limit(kMaxBodyBytes);
    if (aRequest.method() == bhttp::verb::head) {
      mParser->skip(true);
    }
    co_await asyncReadResponsePart(
      mStream, mBuffer, *mParser, redirect_error(use_awaitable, error));
    if (error || !isInterimStatus(mParser->get().result_int())) {
      break;
    }
  }
  if (!error && !isFinalStatus(mParser->get().result_int())) {
    error = bhttp::make_error_code(bhttp::error::bad_status);
  }
  if (error) {
    co_return failure(Verdict::MayHaveRun, error);
  }
  mDone = mParser->is_done();
  co_return true;
}

const bhttp::response_header<>&
Exchange::head() const
{
  return mParser->get().base();
}

std::uint64_t
Exchange::contentLength() const
{
  return mParser->content_length().value_or(0);
}

asio::awaitable<Result<std::string>>
Exchange::readSome(Duration aTimeout)
{
  std::string data;
  while (data.empty() && !mParser->is_done()) {
    data.resize(kReadBytes);
    auto& body = mParser->get().body();
    body.data = data.data();
    body.size = data.size();
    ErrorCode error;
    mStream.expires_after(aTimeout);
    co_await asyncReadResponsePart(
      mStream, mBuffer, *mParser, redirect_error(use_awaitable, error));
    if (error == bhttp::error::need_buffer) {
      error = {};
    }
    if (error || mAborted) {
      co_return failure(Verdict::MayHaveRun, error);
    }
    data.resize(data.size() - body.size);
  }
  mDone = mParser->is_done();
  co_return data;
}

void
Exchange::abort()
{
  mAborted = true;
  mStream.close();
}

ClientPool::ClientPool(Loop& aLoop,
                       contract::Address aAddress,
                       std::size_t aMaxReplyBytes)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mMaxReplyBytes(aMaxReplyBytes)
{
}

asio::awaitable<Result<std::unique_ptr<Exchange>>>
ClientPool::open(Duration aTimeout, bool aFresh)
{
  while (!aFresh && !mIdle.empty()) {
    TcpStream stream = std::move(mIdle.back());
    mIdle.pop_back();
    if (isQuiet(stream)) {
      co_return std::make_unique<Exchange>(*this, std::move(stream));
    }
  }
  TcpStream stream(mLoop.context());
  stream.expires_after(aTimeout);
  ErrorCode error;
  const tcp::endpoint endpoint(asio::ip::make_address(mAddress.host),
                               mAddress.port);
  co_await stream.async_connect(endpoint, redirect_error(use_awaitable, error));
  if (error) {
    co_return failure(Verdict::NotRun, error);
  }
  boundSilence(stream.socket());
  co_return std::make_unique<Exchange>(*this, std::move(stream));
}

asio::awaitable<Result<Response>>
ClientPool::request(Request aRequest, Duration aTimeout, Duration aBodyTimeout)
{
  Instant deadline = mLoop.now() + aTimeout;
  auto exchange = co_await open(aTimeout);
  if (!exchange) {
    co_return exchange.failure();
  }
  aRequest.prepare_payload();
  const auto remaining = [&] {
    return std::max<Duration>(milliseconds(1), deadline - mLoop.now());
  };
  const auto sent =
    co_await (*exchange)->send(std::move(aRequest), remaining());
  if (!sent) {
    co_return sent.failure();
  }
  Response response;
  response.base() = (*exchange)->head();
  const auto length = (*exchange)->contentLength();
  response.body().reserve(std::min<std::uint64_t>(length, mMaxReplyBytes));
  deadline = std::max(deadline, mLoop.now() + aBodyTimeout);
  for (;;) {
    const auto part =
      co_await (*exchange)->readSome(std::min(remaining(), aTimeout));
    if (!part) {
      co_return part.failure();
    }
    if (part->empty()) {
      break;
    }
    if (response.body().size() + part->size() > mMaxReplyBytes) {
      (*exchange)->abort();
      co_return Failure{ .error = Error::BodyTooLarge,
                         .verdict = Verdict::MayHaveRun,
                         .detail = "the response is too long" };
    }
    response.body() += *part;
  }
  co_return response;
}

void
ClientPool::abortAll()
{
  const std::set<Exchange*> exchanges = *mExchanges;
  for (Exchange* exchange : exchanges) {
    exchange->abort();
  }
}

void
ClientPool::release(TcpStream aStream)
{
  if (mIdle.size() < kMaxIdle) {
    aStream.expires_never();
    mIdle.push_back(std::move(aStream));
  }
}

} // namespace laburnum::http
