#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace laburnum::gateway {

/// Parses the integer at the start of a text. Returns nothing if there is none
/// or if it is out of range.
template<class Number>
std::optional<Number>
leadingNumber(std::string_view aText)
{
  Number value{};
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return error == std::errc() ? std::optional(value) : std::nullopt;
}

} // namespace laburnum::gateway
