#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace laburnum {

/// A table of names for the values of an `enum class`.
template<class Enum, std::size_t Size>
using EnumNames = std::array<std::pair<Enum, std::string_view>, Size>;

/// Returns the name of a value, or "unknown". Complexity: linear in the table.
/// Pre: none. Thread safety: any thread.
template<class Enum, std::size_t Size>
constexpr std::string_view
nameIn(const EnumNames<Enum, Size>& aNames, Enum aValue)
{
  for (const auto& [value, name] : aNames) {
    if (value == aValue) {
      return name;
    }
  }
  return "unknown";
}

/// Returns the value with a name, or nothing. Complexity: linear in the table.
/// Pre: none. Thread safety: any thread.
template<class Enum, std::size_t Size>
constexpr std::optional<Enum>
valueIn(const EnumNames<Enum, Size>& aNames, std::string_view aName)
{
  for (const auto& [value, name] : aNames) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace laburnum
