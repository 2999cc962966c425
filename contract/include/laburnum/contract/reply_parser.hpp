#pragma once

#include <boost/json/value.hpp>
#include <cstddef>
#include <optional>
#include <span>
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
/// that object that cannot be read, such as one that is nested too deeply, does
/// not hide the others: of such an element, members that cannot be read are
/// null, and of members in `aNamingMembers`, which say what the element is,
/// what can be read of them is kept. If the elements of an array have more than
/// `kMaxReplyValues` values together, the largest ones count as not readable.
/// Returns nothing if the reply cannot be parsed for another reason.
/// Thread safety: any thread.
std::optional<boost::json::value>
parseReply(std::string_view aText,
           std::span<const std::string_view> aNamingMembers = {});

} // namespace laburnum::contract
