#include "laburnum/membership/overlay.hpp"

#include "laburnum/kernel/hash.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace laburnum::membership {
namespace {

constexpr std::size_t kChordBase = 4;         ///< Ratio of successive chords.
constexpr std::size_t kBridgesPerSide = 2;    ///< For a pair of domains.
constexpr std::size_t kWatchersPerDomain = 2; ///< Per failure domain.

/// Selects aCount names by rendezvous hashing, with aPurpose as the key.
std::vector<std::string>
selectByRendezvous(const std::vector<std::string>& aNames,
                   std::string_view aPurpose,
                   std::size_t aCount)
{
  std::vector<std::uint64_t> ids;
  for (const std::string& name : aNames) {
    ids.push_back(hash64(name));
  }
  std::vector<std::string> chosen;
  for (const std::size_t index : rendezvous(hash64(aPurpose), ids, aCount)) {
    chosen.push_back(aNames[index]);
  }
  return chosen;
}

bool
contains(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

/// Adds the ring and chord neighbours of aSelf among the nodes of its domain.
void
addRingNeighbours(const std::string& aSelf,
                  std::vector<std::string> aNames,
                  std::set<std::string>& aResult)
{
  std::sort(aNames.begin(),
            aNames.end(),
            [](const std::string& aLeft, const std::string& aRight) {
              return std::make_pair(hash64(aLeft), aLeft) <
                     std::make_pair(hash64(aRight), aRight);
            });
  const std::size_t size = aNames.size();
  const std::size_t self = static_cast<std::size_t>(
    std::find(aNames.begin(), aNames.end(), aSelf) - aNames.begin());
  for (std::size_t chord = 1; chord <= size / 2; chord *= kChordBase) {
    aResult.insert(aNames[(self + chord) % size]);
    aResult.insert(aNames[(self + size - chord) % size]);
  }
}

} // namespace

std::vector<std::string>
overlayNeighbours(const OverlayNode& aSelf, std::vector<OverlayNode> aNodes)
{
  std::map<std::string, std::vector<std::string>> domains;
  for (OverlayNode& node : aNodes) {
    domains[node.domain].push_back(std::move(node.name));
  }
  std::set<std::string> result;
  addRingNeighbours(aSelf.name, domains[aSelf.domain], result);
  for (const auto& [domain, names] : domains) {
    if (domain == aSelf.domain) {
      continue;
    }
    const auto& [low, high] = std::minmax(domain, aSelf.domain);
    const std::string pair = low + "/" + high;
    if (!contains(
          selectByRendezvous(domains[aSelf.domain], pair, kBridgesPerSide),
          aSelf.name)) {
      continue;
    }
    for (const std::string& name :
         selectByRendezvous(names, pair, kBridgesPerSide)) {
      result.insert(name);
    }
  }
  result.erase(aSelf.name);
  return { result.begin(), result.end() };
}

bool
isWatcher(const OverlayNode& aSelf, const std::vector<OverlayNode>& aNodes)
{
  std::vector<std::string> names;
  for (const OverlayNode& node : aNodes) {
    if (node.domain == aSelf.domain) {
      names.push_back(node.name);
    }
  }
  return contains(selectByRendezvous(names, "watch", kWatchersPerDomain),
                  aSelf.name);
}

} // namespace laburnum::membership
