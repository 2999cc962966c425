#pragma once

#include "laburnum/http/messages.hpp"
#include "laburnum/kernel/loop.hpp"

#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace laburnum::http {

/// Parser of a response whose body is read in parts.
using ResponseParser = beast::http::response_parser<beast::http::buffer_body>;

/// Parses the next part of a response: its header, or some of its body and the
/// trailer behind that. Returns how many bytes were parsed.
///
/// `aError` is `need_more` if the part is not complete, and `bad_field` for a
/// folded line in the header or the trailer, too. The parser accepts these as
/// RFC 9112 allows (section 5.2), but what looks like a field with a blank
/// before its name would become part of another field's value.
/// @pre The parser is not eager and not done.
std::size_t
parseResponsePart(ResponseParser& aParser,
                  asio::const_buffer aBytes,
                  boost::system::error_code& aError);

/// The operation of `asyncReadResponsePart`.
template<class Stream>
class ReadResponsePart
{
public:
  using ErrorCode = boost::system::error_code;

  ReadResponsePart(Stream& aStream,
                   beast::flat_buffer& aBuffer,
                   ResponseParser& aParser)
    : mStream(aStream)
    , mBuffer(aBuffer)
    , mParser(aParser)
  {
  }

  /// Starts the operation, or completes it if nothing had to be received.
  template<class Self>
  void operator()(Self& aSelf)
  {
    if (mResult) {
      aSelf.complete(*mResult);
      return;
    }
    mResult = parse();
    if (mResult) {
      asio::post(std::move(aSelf));
    } else {
      receive(aSelf);
    }
  }

  /// Continues after bytes were received.
  template<class Self>
  void operator()(Self& aSelf, ErrorCode aError, std::size_t aSize)
  {
    mBuffer.commit(aSize);
    if (aError == asio::error::eof) {
      mResult = parseEnd();
    } else if (aError) {
      mResult = aError;
    } else {
      mResult = parse();
    }
    if (mResult) {
      aSelf.complete(*mResult);
    } else {
      receive(aSelf);
    }
  }

private:
  /// Limit of one read.
  static constexpr std::size_t kMaxReceivedBytes = 64 * 1024;

  /// Parses what was received; no result if more is needed.
  std::optional<ErrorCode> parse()
  {
    ErrorCode error = beast::http::error::need_more;
    if (mBuffer.size() > 0) {
      mBuffer.consume(parseResponsePart(mParser, mBuffer.cdata(), error));
    }
    if (error != beast::http::error::need_more) {
      return error;
    }
    if (beast::read_size(mBuffer, kMaxReceivedBytes) == 0) {
      return beast::http::error::buffer_overflow;
    }
    return std::nullopt;
  }

  ErrorCode parseEnd()
  {
    ErrorCode error = beast::http::error::end_of_stream;
    if (mParser.got_some()) {
      error = {};
      mParser.put_eof(error);
    }
    return error;
  }

  template<class Self>
  void receive(Self& aSelf)
  {
    const auto space =
      mBuffer.prepare(beast::read_size(mBuffer, kMaxReceivedBytes));
    mStream.async_read_some(space, std::move(aSelf));
  }

  Stream& mStream;
  beast::flat_buffer& mBuffer;
  ResponseParser& mParser;
  std::optional<ErrorCode> mResult;
};

/// Reads from a stream until `parseResponsePart` has parsed a part. The buffer
/// keeps bytes that were received behind that part. The completion handler has
/// the signature `void(error_code)`; the errors are those of the stream and the
/// parser, `end_of_stream` if the peer has closed before the response, and
/// `buffer_overflow` if a part to be parsed at once exceeds the buffer.
///
/// The arguments must live until the operation has completed.
/// Thread safety: loop thread.
template<class Stream, class Token>
auto
asyncReadResponsePart(Stream& aStream,
                      beast::flat_buffer& aBuffer,
                      ResponseParser& aParser,
                      Token&& aToken)
{
  return asio::async_compose<Token, void(boost::system::error_code)>(
    ReadResponsePart<Stream>(aStream, aBuffer, aParser), aToken, aStream);
}

} // namespace laburnum::http
