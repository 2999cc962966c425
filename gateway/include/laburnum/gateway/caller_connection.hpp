#pragma once

#include "laburnum/gateway/context.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

namespace laburnum::gateway {

class Forwarding;

/// A caller's connection: reads one request after another and writes their
/// answers. Thread safety: loop thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  using Socket = asio::basic_stream_socket<asio::ip::tcp, http::Executor>;

  CallerConnection(Context& aContext, Socket aSocket);
  ~CallerConnection();

  /// Begins to read requests. Pre: called once.
  void start();

  /// Answers whole. Pre: a request is in progress and its answer not begun.
  void respond(http::Response aResponse);

  // Answering in events. Pre: as `respond`, and in this order.

  void beginEvents(
    http::beast::http::response<http::beast::http::empty_body> aHead);
  void writeEvents(std::string aBytes);
  void endEvents();

  /// Closes without the end of the answer. Pre: none.
  void breakOff();

  /// See `Forwarding::leaveServer`. Pre: none.
  void leaveServer(const std::string& aId, AttemptEnd aEnd);

  /// Closes if no request is in progress. Pre: none.
  void closeIfIdle();

  /// True while a request is in progress or being read. Pre: none.
  bool isBusy() const { return mForwarding != nullptr || mIsReading; }

private:
  using Parser =
    http::beast::http::request_parser<http::beast::http::string_body>;
  using ErrorCode = boost::system::error_code;

  CallerLimits limits() const;
  void waitForRequest();
  void readHead();
  void readBody();
  void begin();
  void refuse(unsigned aStatus, Error aError);
  void watchCaller();
  void flush();
  void written(ErrorCode aError);
  void answerDone();
  void close();
  void setTimer(Duration aTime, unsigned aStatus);

  Context& mContext;
  Socket mSocket;
  asio::steady_timer mTimer;
  http::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::shared_ptr<Forwarding> mForwarding;
  std::string mWriting;
  std::string mPending;
  std::uint64_t mRequests = 0;
  bool mIsReading = false;
  bool mIsWriting = false;
  bool mKeepAlive = true;
  bool mAnswerEnded = false;
  bool mClosed = false;
};

/// The answer for a request that did not run, or may have.
/// Pre: none. Thread safety: any thread.
http::Response
failureAnswer(unsigned aStatus, const Failure& aFailure);

} // namespace laburnum::gateway
