#pragma once

#include "laburnum/http/response_reader.hpp"
#include "laburnum/http/server.hpp"
#include "laburnum/http/silence.hpp"
#include "laburnum/kernel/result.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace laburnum::http {

class ClientPool;

/// One request on a pooled connection, with the response read in parts.
/// Failures carry the verdict: not run if nothing was sent.
/// Thread safety: loop thread.
class Exchange
{
public:
  Exchange(ClientPool& aPool, TcpStream aStream);
  ~Exchange();

  /// Sends the request and reads the response's header.
  /// Pre: called once. The timeout covers both.
  asio::awaitable<Result<bool>> send(Request aRequest, Duration aTimeout);

  /// The response's header. Pre: `send` succeeded.
  const beast::http::response_header<>& head() const;

  /// The length of the body as the header states it, or 0.
  /// Pre: `send` succeeded.
  std::uint64_t contentLength() const;

  /// Reads some of the body; an empty text is its end.
  /// Pre: `send` succeeded.
  asio::awaitable<Result<std::string>> readSome(Duration aTimeout);

  /// Gives the exchange up; a pending read fails. Pre: none.
  void abort();

private:
  ClientPool& mPool;
  std::shared_ptr<std::set<Exchange*>> mExchanges;
  TcpStream mStream;
  SlowReading mSlowReading;
  beast::flat_buffer mBuffer;
  std::unique_ptr<ResponseParser> mParser;
  bool mAborted = false;
  bool mDone = false;
};

/// Keeps idle connections to one address. Thread safety: loop thread.
class ClientPool
{
public:
  /// `aMaxReplyBytes`: limit of a response that is read whole.
  ClientPool(Loop& aLoop,
             contract::Address aAddress,
             std::size_t aMaxReplyBytes = kMaxReplyBytes);

  /// Connects, or takes an idle connection that is still open. aFresh forces
  /// a new connection, as work that must not be repeated needs. Pre: none.
  asio::awaitable<Result<std::unique_ptr<Exchange>>> open(Duration aTimeout,
                                                          bool aFresh = false);

  /// Sends a request and reads the whole response. The timeout covers both, so
  /// that a peer that sends slowly and without end is given up. A response
  /// above the limit fails with `Error::BodyTooLarge`. A large body on a slow
  /// link may take up to aBodyTimeout after its header if that is longer; each
  /// read of a part still fails after aTimeout. Pre: none.
  asio::awaitable<Result<Response>> request(
    Request aRequest,
    Duration aTimeout,
    Duration aBodyTimeout = Duration(0));

  /// Aborts all exchanges in progress; their calls fail.
  void abortAll();

  const contract::Address& address() const { return mAddress; }

private:
  friend class Exchange;
  void release(TcpStream aStream);

  Loop& mLoop;
  contract::Address mAddress;
  std::size_t mMaxReplyBytes;
  std::vector<TcpStream> mIdle;
  /// Exchanges in progress; shared, as these may outlive the pool.
  std::shared_ptr<std::set<Exchange*>> mExchanges =
    std::make_shared<std::set<Exchange*>>();
};

} // namespace laburnum::http
