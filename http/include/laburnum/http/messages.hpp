#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>

namespace laburnum::http {

namespace beast = boost::beast;

/// A whole request and a whole response, held in memory.
using Request = beast::http::request<beast::http::string_body>;
using Response = beast::http::response<beast::http::string_body>;

/// Limit of the bytes of a message that are kept until they can be parsed: its
/// head, a chunk's size with the extensions, or its trailer. A faulty peer may
/// send them without end.
inline constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;
/// Limit of a response that is kept whole. Longer ones are treated as invalid.
inline constexpr std::size_t kMaxReplyBytes = 4 * 1024 * 1024;
/// Interim responses before the final one; a faulty server may send them
/// without end.
inline constexpr int kMaxInterimResponses = 8;

/// True for the status of a response that another one follows. No peer is asked
/// to switch protocols, so 101 is none.
constexpr bool
isInterimStatus(unsigned aStatus)
{
  return aStatus / 100 == 1 && aStatus != 101;
}

/// True for the status of a final response. HTTP has no other ones (RFC 9110,
/// section 15); a server that sends one is faulty.
constexpr bool
isFinalStatus(unsigned aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

} // namespace laburnum::http
