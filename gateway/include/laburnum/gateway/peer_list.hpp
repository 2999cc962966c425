#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnum::gateway {

/// A gateway process as registered in the store that all gateways share.
struct Peer
{
  std::string instance;
  contract::Address address; ///< For requests of other gateways.
  /// Unix time at which the process registered; distinguishes restarts.
  std::int64_t registeredMs = 0;

  auto operator<=>(const Peer&) const = default;
};

/// Settings of a `PeerList`.
struct PeerListOptions
{
  /// Time for which a gateway that did not answer is passed over; doubled with
  /// each further failure, up to the maximum.
  Duration initialBackoff = seconds(1);
  Duration maxBackoff = seconds(16);
  /// Consecutive failures after which a gateway is taken to be gone for good.
  int maxFailures = 8;
};

/// The gateways of the deployment, and which of them issues the permits to send
/// requests to servers with a rate limit: the one that has been registered for
/// longest, so that newcomers do not take over from an issuer in use.
///
/// All times passed in must be non-decreasing. Performs no I/O. Thread safety:
/// loop thread only.
class PeerList
{
public:
  /// `aOwnInstance`: name of this gateway, which is always reachable.
  explicit PeerList(std::string aOwnInstance, PeerListOptions aOptions = {})
    : mOwnInstance(std::move(aOwnInstance))
    , mOptions(aOptions)
  {
  }

  /// Replaces the list by a complete one.
  void replace(std::vector<Peer> aPeers);

  /// Returns the issuer of permits, or null if no peer is known or reachable.
  const Peer* issuer(Instant aNow) const;

  /// True for the first of the gateways that may be the issuer. Another issuer
  /// only stands in for it, and may not be the only one.
  bool isFirst(const Peer& aPeer) const
  {
    return !mPeers.empty() && mPeers.front() == aPeer;
  }

  /// Records whether a peer answered a request.
  void recordReached(const Peer& aPeer);
  void recordUnreachable(const Peer& aPeer, Instant aNow);

  /// Returns the gateways that have not answered for so long that their
  /// registrations can be removed.
  std::vector<Peer> gonePeers() const;

  /// Called when this gateway begins to stop. It is no longer the issuer.
  void setOwnLeaving() { mIsOwnLeaving = true; }

  /// The registered gateways without this one.
  std::vector<Peer> others() const;

  /// Number of registered gateways.
  std::size_t size() const { return mPeers.size(); }

private:
  struct Backoff
  {
    int failures = 0; ///< Consecutive.
    Instant until{};
  };

  std::string mOwnInstance;
  bool mIsOwnLeaving = false;
  PeerListOptions mOptions;
  std::vector<Peer> mPeers; ///< In the order in which they become issuer.
  std::map<Peer, Backoff> mBackoffs;
};

} // namespace laburnum::gateway
