#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <deque>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnum::policy {

/// Bytes of prompt text per prefix block, about 16 tokens.
inline constexpr std::size_t kPrefixBlockBytes = 64;

/// Hashes the complete leading blocks of a prompt. Each hash covers all text
/// up to the end of its block, so equal hashes mean equal prefixes.
/// Thread-safe. O(n) in the length of the prompt.
std::vector<std::uint64_t>
hashPrefixBlocks(std::string_view aPrompt, std::size_t aMaxBlocks = 64);

/// Estimates which backend servers have which prompt prefixes in their prefix
/// cache, so that the router can send a request to where it needs the least
/// prefill. Cache events arrive late and incompletely, so an entry is only a
/// hint: a wrong one costs an extra prefill but never affects the response.
/// Not thread-safe.
class PrefixIndex
{
public:
  /// @param aCapacity Maximum number of blocks; the oldest are evicted.
  explicit PrefixIndex(std::size_t aCapacity = 20000)
    : mCapacity(aCapacity)
  {
  }

  /// Records that a server has these blocks, because it reported them as
  /// cached or was sent a request with them.
  void addBlocks(std::uint64_t aServer, std::span<const std::uint64_t> aBlocks);

  /// Records that a server evicted a block from its cache.
  void removeBlock(std::uint64_t aServer, std::uint64_t aBlock);

  /// Removes a server from all blocks. O(n) in the size of the index.
  void removeServer(std::uint64_t aServer);

  /// Returns how many consecutive blocks, from the first, a server has.
  std::size_t countLeadingBlocks(std::uint64_t aServer,
                                 std::span<const std::uint64_t> aBlocks) const;

  /// Returns the number of blocks in the index.
  std::size_t size() const { return mHolders.size(); }

private:
  std::size_t mCapacity;
  /// Servers that have a block, by block hash.
  std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> mHolders;
  std::deque<std::uint64_t> mInsertionOrder;
};

} // namespace laburnum::policy
