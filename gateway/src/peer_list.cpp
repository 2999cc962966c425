#include "laburnum/gateway/peer_list.hpp"

#include <algorithm>

namespace laburnum::gateway {

void
PeerList::replace(std::vector<Peer> aPeers)
{
  mPeers = std::move(aPeers);
  std::sort(
    mPeers.begin(), mPeers.end(), [](const Peer& aLeft, const Peer& aRight) {
      return std::tie(aLeft.registeredMs, aLeft.instance) <
             std::tie(aRight.registeredMs, aRight.instance);
    });
  std::erase_if(mBackoffs, [this](const auto& aEntry) {
    return std::find(mPeers.begin(), mPeers.end(), aEntry.first) ==
           mPeers.end();
  });
}

const Peer*
PeerList::issuer(Instant aNow) const
{
  for (const Peer& peer : mPeers) {
    if (peer.instance == mOwnInstance) {
      if (mIsOwnLeaving) {
        continue;
      }
      return &peer;
    }
    const auto found = mBackoffs.find(peer);
    if (found == mBackoffs.end() || found->second.until <= aNow) {
      return &peer;
    }
  }
  return nullptr;
}

void
PeerList::recordReached(const Peer& aPeer)
{
  mBackoffs.erase(aPeer);
}

void
PeerList::recordUnreachable(const Peer& aPeer, Instant aNow)
{
  Backoff& backoff = mBackoffs[aPeer];
  const int doublings = std::min(backoff.failures++, 10);
  backoff.until = aNow + std::min(mOptions.initialBackoff * (1 << doublings),
                                  mOptions.maxBackoff);
}

std::vector<Peer>
PeerList::others() const
{
  std::vector<Peer> others = mPeers;
  std::erase_if(others, [this](const Peer& aPeer) {
    return aPeer.instance == mOwnInstance;
  });
  return others;
}

std::vector<Peer>
PeerList::gonePeers() const
{
  std::vector<Peer> gone;
  for (const auto& [peer, backoff] : mBackoffs) {
    if (backoff.failures >= mOptions.maxFailures) {
      gone.push_back(peer);
    }
  }
  return gone;
}

} // namespace laburnum::gateway
