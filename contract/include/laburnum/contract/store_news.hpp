#pragma once

#include <algorithm>
#include <cstdint>

namespace laburnum::contract {

/// The newest contents of the store that a process has seen. Processes that are
/// told of newer contents than their own read the store again.
struct StoreNews
{
  std::uint64_t configurationVersion = 0;
  std::uint64_t serversRevision = 0; ///< Of the store's present history.
  /// Number of the store's history; it rises when the store has been restored
  /// from a copy, and revisions start anew from that copy.
  std::uint64_t storeEra = 0;

  bool operator==(const StoreNews&) const = default;

  /// True if the other contents are newer in any respect.
  bool isBehind(const StoreNews& aOther) const
  {
    return aOther.configurationVersion > configurationVersion ||
           aOther.storeEra > storeEra ||
           (aOther.storeEra == storeEra &&
            aOther.serversRevision > serversRevision);
  }

  /// Takes over what is newer in the other contents.
  void merge(const StoreNews& aOther)
  {
    configurationVersion =
      std::max(configurationVersion, aOther.configurationVersion);
    if (aOther.storeEra > storeEra) {
      storeEra = aOther.storeEra;
      serversRevision = aOther.serversRevision;
    } else if (aOther.storeEra == storeEra) {
      serversRevision = std::max(serversRevision, aOther.serversRevision);
    }
  }
};

} // namespace laburnum::contract
