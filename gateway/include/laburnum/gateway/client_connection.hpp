#pragma once

#include "laburnum/gateway/context.hpp"
#include "laburnum/http/body_progress.hpp"
#include "laburnum/http/silence.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

namespace laburnum::gateway {

class RequestForwarder;

/// An HTTP/1.1 connection from a client. Reads one request at a time, hands it
/// to a `RequestForwarder` and writes the response, either as a whole or as a
/// chunked stream of server-sent events. Enforces the size limits and timeouts
/// of `ClientLimits`, a minimum progress of bodies, and records what it holds
/// in the memory account of the context.
///
/// Thread safety: loop thread only.
class ClientConnection final
  : public http::MemoryHolder
  , public std::enable_shared_from_this<ClientConnection>
{
public:
  using Socket = asio::basic_stream_socket<asio::ip::tcp, http::Executor>;

  ClientConnection(Context& aContext, Socket aSocket);
  ~ClientConnection() override;

  /// Starts reading requests.
  /// @pre Called once.
  void start();

  /// Sends a complete response.
  /// @pre A request is in progress and no part of its response was sent.
  void respond(http::Response aResponse);

  /// Queues the head of a chunked event stream; it is sent with the first
  /// events.
  /// @pre As for `respond`.
  void beginEventStream(
    http::beast::http::response<http::beast::http::empty_body> aHead);
  /// Sends complete events as one chunk. Closes the connection if the client
  /// has more than 1 MiB of unread events.
  /// @pre `beginEventStream` was called.
  void writeEvents(std::string aBytes);
  /// Sends the last chunk.
  /// @pre `beginEventStream` was called.
  void endEventStream();

  /// Closes the connection without completing the response.
  void abort();

  /// Ends the request in progress and its ownership of this object, for a
  /// gateway that is destroyed.
  void release();

  /// The request in progress, or null.
  std::shared_ptr<RequestForwarder> request() const { return mForwarder; }

  /// Forwards to `RequestForwarder::migrateFrom` if a request is in progress.
  void migrateFrom(const std::string& aServerId, AttemptOutcome aOutcome);

  /// Ends the request in progress, if any, as if its deadline had passed.
  void expireRequest();

  /// Closes the connection if no request is in progress, has arrived or is to
  /// be expected: a client that has just connected sends one.
  void closeIfIdle();

  /// True while a request is being read or is in progress.
  bool isBusy() const { return mForwarder != nullptr || mIsReading; }

  /// True if a request may be under way on a connection that is not busy.
  bool expectsRequest() const;

  /// Refuses a request that has not arrived completely, as not executed; closes
  /// the connection of a client that does not read its response.
  void giveUpMemory() override;

  /// How soon the connection is closed to make room for another client.
  enum class Use : std::uint8_t
  {
    Unused,     ///< No request is in progress or has begun to arrive.
    Unfinished, ///< A request has begun to arrive.
    InProgress, ///< A request is in progress; stays open.
    Closed,
  };
  Use use() const;
  /// When bytes were last received or sent.
  Instant progressAt() const { return mProgressAt; }
  /// Closes the connection to make room for another client.
  /// @pre `use` is `Unused` or `Unfinished`.
  void makeRoom();

  /// Closes the connection of a client that has long taken in nothing of its
  /// response.
  void closeIfUnread();

private:
  using Parser =
    http::beast::http::request_parser<http::beast::http::string_body>;
  using ErrorCode = boost::system::error_code;

  ClientLimits limits() const;
  void waitForRequest();
  /// Waits for bytes of a request, without starting a timer.
  void waitForBytes();
  /// Receives bytes that have arrived, at most aSize, after those that are not
  /// parsed yet; returns false if the client has left.
  bool receiveAvailable(std::size_t aSize);
  /// Drops line ends before a request (RFC 9112, 2.2).
  void skipEmptyLines();
  void startReading();
  /// Parses what has arrived, and waits for more or starts the request.
  void parse();
  /// Removes parsed bytes, and returns memory that is no longer needed.
  void dropParsed(std::size_t aSize);
  void headReceived();
  /// Ends reading because the client has left or the bytes are not valid.
  void readingFailed(ErrorCode aError);
  void onTimer(unsigned aStatus);
  void checkBodyProgress();
  void startRequest();
  void rejectUnread(unsigned aStatus, Error aError);
  /// Reads ahead while a request is in progress, up to the size of a head, as
  /// unread bytes hide that the client has left.
  void watchForDisconnect();
  /// Asks the system whether a client has left whose bytes are not read.
  void checkHasLeft();
  void flush();
  void writeSome();
  void onWritten(ErrorCode aError, std::size_t aSize);
  /// Records what the connection holds now, and gives up what is too much.
  void recordMemory();
  std::size_t requestMemory() const;
  bool isUnread() const { return mIsWriting && !mClosed; }
  void closeUnread();
  void finishResponse();
  void close();
  /// Rejects the request with a status when the time has passed, or closes the
  /// connection if the status is 0. Replaces the timer that is running.
  void setTimer(Duration aTime, unsigned aStatus);
  void cancelTimer();

  Context& mContext;
  /// Also when the gateway is gone.
  std::shared_ptr<http::ClientMemory> mMemory;
  Socket mSocket;
  asio::steady_timer mTimer;
  /// Received, but not parsed: a partial head, the framing of a chunk, or the
  /// next request.
  std::string mUnparsed;
  std::optional<Parser> mParser;
  /// The head before a chunked body, whose parser adds the fields that follow
  /// the body; these are dropped (RFC 9110, 6.5.1).
  std::optional<http::beast::http::request_header<>> mChunkedHead;
  std::optional<http::BodyProgress> mBodyProgress;
  Instant mBodyDeadline{};
  std::uint64_t mPeer = 0; ///< Identifies the address of the client.
  std::shared_ptr<RequestForwarder> mForwarder;
  /// Keeps this object while a request is in progress, which points to it.
  std::shared_ptr<ClientConnection> mSelf;
  http::SlowReading mSlowReading;
  std::string mWriteBuffer;
  std::size_t mWritten = 0; ///< Bytes of `mWriteBuffer` that were sent.
  std::string mPendingBytes;
  std::size_t mHeadSize = 0;      ///< Bytes of the head that were parsed.
  std::size_t mRequestMemory = 0; ///< Of the request in progress.
  Instant mAcceptedAt;
  Instant mProgressAt;
  std::uint64_t mRequestCount = 0;
  std::uint64_t mTimerNumber = 0; ///< Of the timer that counts.
  bool mIsReading = false;
  bool mIsWriting = false;
  bool mKeepAlive = true;
  bool mIsHead = false; ///< The answer has no body (RFC 9110, 9.3.2).
  bool mResponseComplete = false;
  bool mIsGivenUp = false;
  bool mClosed = false;
};

/// Builds the JSON error response for a request that failed. The body has the
/// error identifier, the verdict (whether the request may have been executed)
/// and a detail text.
///
/// Thread safety: any thread.
http::Response
failureResponse(unsigned aStatus, const Failure& aFailure);

} // namespace laburnum::gateway
