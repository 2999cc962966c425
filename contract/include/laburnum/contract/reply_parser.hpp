#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string_view>

namespace laburnum::contract {

/// Parses a reply of an object store, a JSON object. An element of an array of
/// that object that cannot be parsed by itself, such as one that is nested too
/// deeply, reads as null, so that one entry of another writer does not hide the
/// others. Returns nothing if the reply cannot be parsed for another reason.
/// Thread safety: any thread.
std::optional<boost::json::value>
parseReply(std::string_view aText);

} // namespace laburnum::contract
