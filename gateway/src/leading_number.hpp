#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace laburnum::gateway {

/// The whole number that a text begins with; nothing if there is none or it
/// doesn't fit. Pre: none. Thread safety: any thread.
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
