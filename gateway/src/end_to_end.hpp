#pragma once

#include "laburnum/http/messages.hpp"
#include "laburnum/kernel/time.hpp"

#include <boost/beast/http/rfc7230.hpp>
#include <string_view>

namespace laburnum::gateway {

namespace bhttp = http::beast::http;

/// What a caller is told to wait when no server is there: a group that lost a
/// rank forms anew in about so long.
inline constexpr Duration kNoServerWait = milliseconds(600);

/// What a caller is told to wait by an entry that stops: it then reaches
/// another one.
inline constexpr Duration kLeavingWait = milliseconds(50);

/// Headers that concern one connection only (RFC 9110, 7.6.1).
inline bool
isHopByHop(const bhttp::fields::value_type& aField, std::string_view aListed)
{
  switch (aField.name()) {
    case bhttp::field::connection:
    case bhttp::field::keep_alive:
    case bhttp::field::proxy_authenticate:
    case bhttp::field::proxy_authorization:
    case bhttp::field::proxy_connection:
    case bhttp::field::te:
    case bhttp::field::trailer:
    case bhttp::field::transfer_encoding:
    case bhttp::field::upgrade:
    case bhttp::field::content_length:
      return true;
    default:
      return !aListed.empty() &&
             bhttp::token_list(aListed).exists(aField.name_string());
  }
}

template<class From, class To>
void
copyEndToEnd(const From& aFrom, To& aTo)
{
  const std::string_view listed = aFrom[bhttp::field::connection];
  for (const auto& field : aFrom) {
    if (!isHopByHop(field, listed)) {
      aTo.insert(field.name(), field.name_string(), field.value());
    }
  }
}

} // namespace laburnum::gateway
