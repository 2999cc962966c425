#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/http/memory_account.hpp"
#include "laburnum/http/messages.hpp"
#include "laburnum/http/tls.hpp"
#include "laburnum/kernel/loop.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <variant>

namespace laburnum::http {

/// TCP types bound to the loop's own executor, without type erasure.
using Executor = asio::io_context::executor_type;
using TcpStream = beast::basic_stream<asio::ip::tcp, Executor>;
using TlsStream = asio::ssl::stream<TcpStream>;

/// A caller's connection. At most one request is in progress on it; further
/// pipelined requests wait unread. Records what it holds in an account of
/// memory and is closed if that is too much. Thread safety: loop thread.
class Session final : public MemoryHolder
{
public:
  using Stream = std::variant<TcpStream, std::unique_ptr<TlsStream>>;

  Session(Stream aStream,
          const contract::Limits& aLimits,
          std::shared_ptr<ClientMemory> aMemory);
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Completes the TLS handshake, if any; false if it failed. Pre: called
  /// first.
  asio::awaitable<bool> handshake();

  /// Reads the next request. A faulty one is answered here and ends the
  /// session, as does the caller's close: nothing is returned.
  /// Pre: the last request was answered.
  asio::awaitable<std::optional<Request>> read();

  /// Answers the present request whole; false if the caller is gone.
  /// Pre: a request was read.
  asio::awaitable<bool> write(Response aResponse);

  // Answering in parts. Pre: as for `write`, and in this order.

  asio::awaitable<bool> beginChunks(unsigned aStatus,
                                    std::string_view aContentType);
  asio::awaitable<bool> writeChunk(std::string aData);
  asio::awaitable<bool> endChunks();

  /// Calls a function once if the caller closes while its request is in
  /// progress. Pre: a request was read. The watch ends with `unwatch`.
  void watch(std::function<void()> aGone);
  void unwatch();

  bool keepAlive() const { return mKeepAlive; }

  /// Closes at once. Pre: none.
  void abort();

  void giveUpMemory() override { abort(); }

  /// True if no whole request is in progress. Pre: none.
  bool isWaiting() const { return mIsWaiting; }
  /// When bytes were last received. Pre: none.
  Instant progressAt() const { return mProgressAt; }

private:
  using Parser = beast::http::request_parser<beast::http::string_body>;
  asio::awaitable<boost::system::error_code> readBody(Parser& aParser,
                                                      Instant aDeadline);
  void record(std::size_t aSize, HeldFor aHeldFor);
  TcpStream& tcp();
  asio::awaitable<bool> refuse(unsigned aStatus, Error aError);
  template<class Function>
  auto withStream(Function aFunction);

  Stream mStream;
  const contract::Limits& mLimits;
  std::shared_ptr<ClientMemory> mMemory;
  std::uint64_t mPeer = 0; ///< Identifies the address of the caller.
  Instant mProgressAt{};
  std::size_t mRequestMemory = 0; ///< Of the request in progress.
  beast::flat_buffer mBuffer;
  bool mIsWaiting = true;
  bool mKeepAlive = true;
  bool mIsHead = false; ///< The answer has no body (RFC 9110, 9.3.2).
  std::uint64_t mWatch = 0;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

/// What a server may hold for its callers.
struct ServerBounds
{
  /// Shared with what else the process holds for clients; null: an account of
  /// the server's own.
  std::shared_ptr<ClientMemory> memory;
  /// Beyond it, the session that waits longest for a request is closed.
  std::size_t maxSessions = std::numeric_limits<std::size_t>::max();
};

/// Accepts callers and runs a handler for each request.
/// Thread safety: loop thread.
class Server
{
public:
  using Handler = std::function<asio::awaitable<void>(Session&, Request)>;

  Server(Loop& aLoop,
         const contract::Address& aAddress,
         const contract::Limits& aLimits,
         const CertificateHolder* aCertificate,
         Handler aHandler,
         ServerBounds aBounds = {});

  /// The bound address. Pre: none.
  contract::Address address() const { return mAddress; }

  /// Stops accepting; sessions end after their present request. Pre: none.
  void stop();

  /// Sessions that are open now. Pre: none.
  std::size_t open() const { return mSessions->size(); }

private:
  /// Closes the session that waits longest, if any.
  void makeRoom();
  asio::awaitable<void> accept();
  asio::awaitable<void> serve(
    asio::basic_stream_socket<asio::ip::tcp, Executor> aSocket);

  Loop& mLoop;
  const contract::Limits& mLimits;
  const CertificateHolder* mCertificate;
  Handler mHandler;
  asio::basic_socket_acceptor<asio::ip::tcp, Executor> mAcceptor;
  contract::Address mAddress;
  ServerBounds mBounds;
  /// Shared with the sessions, which may outlive the server.
  std::shared_ptr<std::set<Session*>> mSessions =
    std::make_shared<std::set<Session*>>();
  bool mStopping = false;
};

} // namespace laburnum::http
