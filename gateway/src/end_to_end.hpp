#pragma once

#include "laburnum/http/messages.hpp"
#include "laburnum/kernel/time.hpp"

#include <boost/beast/http/rfc7230.hpp>
#include <string_view>

namespace laburnum::gateway {

namespace bhttp = http::beast::http;

/// Retry time sent to clients if no server is available: a group that lost a
/// rank takes about this long to re-form.
inline constexpr Duration kNoServerRetryAfter = milliseconds(600);

/// Retry time sent to clients while shutting down; a retry reaches another
/// gateway.
inline constexpr Duration kStoppingRetryAfter = milliseconds(50);

/// True for header fields that apply to a single connection (RFC 9110, 7.6.1).
/// `aConnectionTokens` is the value of the `Connection` field.
inline bool
isHopByHop(const bhttp::fields::value_type& aField,
           std::string_view aConnectionTokens)
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
      return !aConnectionTokens.empty() &&
             bhttp::token_list(aConnectionTokens).exists(aField.name_string());
  }
}

/// Copies all header fields that are not hop-by-hop.
template<class From, class To>
void
copyEndToEnd(const From& aFrom, To& aTo)
{
  const std::string_view connectionTokens = aFrom[bhttp::field::connection];
  for (const auto& field : aFrom) {
    if (!isHopByHop(field, connectionTokens)) {
      aTo.insert(field.name(), field.name_string(), field.value());
    }
  }
}

} // namespace laburnum::gateway
