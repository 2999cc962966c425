#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace laburnum::membership {

/// A daemon in the overlay network.
struct OverlayNode
{
  std::string name;   ///< Unique in the overlay.
  std::string domain; ///< Failure domain.
};

/// Returns the names of the daemons that aSelf keeps overlay links to.
///
/// The overlay carries heartbeats, membership updates and configuration.
/// Within a failure domain it is a ring ordered by hash, with chords at powers
/// of four in both directions. Each pair of domains is joined by a few bridge
/// nodes on either side, chosen by rendezvous hashing. Degree and diameter grow
/// with the logarithm of the domain size. Links are mutual, and every daemon
/// with the same node list computes the same graph, so that no coordination is
/// needed.
///
/// @pre aNodes contains aSelf.
///
/// Thread safety: any thread. Complexity: O(n log n).
std::vector<std::string>
overlayNeighbours(const OverlayNode& aSelf, std::vector<OverlayNode> aNodes);

/// Returns true if aSelf is one of the few daemons of its failure domain that
/// watch the platform for configuration changes. The others receive these over
/// the overlay, which limits the load on the platform.
///
/// @pre aNodes contains aSelf.
///
/// Thread safety: any thread. Complexity: O(n log n).
bool
isWatcher(const OverlayNode& aSelf, const std::vector<OverlayNode>& aNodes);

} // namespace laburnum::membership
