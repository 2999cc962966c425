#include "laburnum/policy/prefix_index.hpp"

#include "laburnum/kernel/hash.hpp"

#include <algorithm>

namespace laburnum::policy {
namespace {

/// Maximum number of servers per block; more do not improve routing.
constexpr std::size_t kMaxHolders = 8;

} // namespace

std::vector<std::uint64_t>
hashPrefixBlocks(std::string_view aPrompt, std::size_t aMaxBlocks)
{
  std::vector<std::uint64_t> blocks;
  std::uint64_t chainedHash = 0;
  for (std::size_t offset = 0; offset + kPrefixBlockBytes <= aPrompt.size() &&
                               blocks.size() < aMaxBlocks;
       offset += kPrefixBlockBytes) {
    chainedHash =
      hash64(aPrompt.substr(offset, kPrefixBlockBytes), chainedHash);
    blocks.push_back(chainedHash);
  }
  return blocks;
}

void
PrefixIndex::addBlocks(std::uint64_t aServer,
                       std::span<const std::uint64_t> aBlocks)
{
  for (const std::uint64_t block : aBlocks) {
    const auto [found, isNew] = mHolders.try_emplace(block);
    auto& holders = found->second;
    if (isNew) {
      mInsertionOrder.push_back(block);
    }
    if (std::find(holders.begin(), holders.end(), aServer) != holders.end()) {
      continue;
    }
    if (holders.size() >= kMaxHolders) {
      holders.erase(holders.begin());
    }
    holders.push_back(aServer);
  }
  while (mInsertionOrder.size() > mCapacity) {
    mHolders.erase(mInsertionOrder.front());
    mInsertionOrder.pop_front();
  }
}

void
PrefixIndex::removeBlock(std::uint64_t aServer, std::uint64_t aBlock)
{
  const auto found = mHolders.find(aBlock);
  if (found != mHolders.end()) {
    std::erase(found->second, aServer);
  }
}

void
PrefixIndex::removeServer(std::uint64_t aServer)
{
  for (auto& [block, holders] : mHolders) {
    std::erase(holders, aServer);
  }
}

std::size_t
PrefixIndex::countLeadingBlocks(std::uint64_t aServer,
                                std::span<const std::uint64_t> aBlocks) const
{
  std::size_t count = 0;
  for (const std::uint64_t block : aBlocks) {
    const auto found = mHolders.find(block);
    if (found == mHolders.end() ||
        std::find(found->second.begin(), found->second.end(), aServer) ==
          found->second.end()) {
      break;
    }
    ++count;
  }
  return count;
}

} // namespace laburnum::policy
