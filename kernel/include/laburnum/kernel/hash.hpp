#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum {

/// XXH64 of a text. Pre: none. Thread safety: any thread.
std::uint64_t
hash64(std::string_view aText, std::uint64_t aSeed = 0);

/// Mixes two hashes into one; the order matters.
/// Pre: none. Thread safety: any thread.
std::uint64_t
mix(std::uint64_t aLeft, std::uint64_t aRight);

/// "sha256:" and the hexadecimal SHA-256 of a text.
/// Pre: none. Thread safety: any thread.
std::string
sha256Label(std::string_view aText);

/// HMAC-SHA256, hexadecimal. Pre: none. Thread safety: any thread.
std::string
hmacSha256(std::string_view aKey, std::string_view aText);

/// Ranks candidates for a key by highest random weight (Thaler and Ravishankar,
/// 1998) and returns the indices of the first aCount. Complexity: n log n.
/// Pre: none. Thread safety: any thread.
std::vector<std::size_t>
rendezvous(std::uint64_t aKey,
           const std::vector<std::uint64_t>& aCandidates,
           std::size_t aCount);

} // namespace laburnum
