#include "laburnum/http/response_reader.hpp"

#include <string_view>

namespace laburnum::http {
namespace {

bool
hasFoldedLine(std::string_view aFields)
{
  for (std::size_t end = aFields.find("\r\n"); end != std::string_view::npos;
       end = aFields.find("\r\n", end + 2)) {
    const std::string_view next = aFields.substr(end + 2, 1);
    if (next == " " || next == "\t") {
      return true;
    }
  }
  return false;
}

} // namespace

std::size_t
parseResponsePart(ResponseParser& aParser,
                  asio::const_buffer aBytes,
                  boost::system::error_code& aError)
{
  const bool isHeader = !aParser.is_header_done();
  const std::size_t size = aParser.put(aBytes, aError);
  // The last chunk and the trailer are parsed at once, whole chunks before.
  const bool isTrailer = !isHeader && aParser.chunked() && aParser.is_done();
  const std::string_view parsed(static_cast<const char*>(aBytes.data()), size);
  if ((isHeader || isTrailer) && hasFoldedLine(parsed)) {
    aError = beast::http::error::bad_field;
  }
  return size;
}

} // namespace laburnum::http
