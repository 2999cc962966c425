#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace laburnum::gateway {

/// Returns hashes of the parts of a prompt that other requests may share: all
/// but the last one of a list of `ID:TOKENS`, 32 at most. IDs are hexadecimal;
/// their letters may be of either case. `aSeed` keeps the parts of different
/// services apart.
/// Thread safety: any thread.
std::vector<std::uint64_t>
sharedPromptParts(std::string_view aList, std::uint64_t aSeed);

} // namespace laburnum::gateway
