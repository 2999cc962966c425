#pragma once

#include <boost/json/value.hpp>
#include <cstddef>
#include <optional>
#include <string_view>

namespace laburnum::contract {

/// Limit of the values of a parsed text, each of which takes many times the
/// bytes that it has in the text.
inline constexpr std::size_t kMaxReplyValues = 250000;

/// Parses a text of another system. Returns nothing if it is no JSON or has
/// more than `kMaxReplyValues` values. Thread safety: any thread.
std::optional<boost::json::value>
parseBounded(std::string_view aText);

/// Parses a reply of an object store, a JSON object. An element of an array of
/// that object that cannot be parsed by itself, such as one that is nested too
/// deeply, reads as null, so that one entry of another writer does not hide the
/// others. Returns nothing if the reply cannot be parsed for another reason, or
/// has more than `kMaxReplyValues` values.
/// Thread safety: any thread.
std::optional<boost::json::value>
parseReply(std::string_view aText);

} // namespace laburnum::contract
