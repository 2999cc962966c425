#include "laburnum/membership/membership.hpp"

#include <algorithm>

namespace laburnum::membership {
namespace {

/// Neighbours in the same failure domain that are asked to probe a member.
constexpr std::size_t kLocalProbeCount = 3;

/// Time that a link opened for a probe is kept.
constexpr Duration kProbeLinkLifetime = seconds(10);

} // namespace

/// Asks some neighbours in the same failure domain and one member of another
/// domain to probe aMember. When a domain is partitioned, the neighbours in it
/// may all be on this daemon's side. Without the view from another domain, the
/// two halves would repeatedly declare each other dead.
void
Membership::requestProbes(const Member& aMember,
                          Instant aNow,
                          Actions& aActions)
{
  if (!mOptions.indirectProbe) {
    return;
  }
  const auto request = [&](const std::string& aVia) {
    aActions.push_back(RequestProbe{
      .via = aVia, .target = aMember.name, .address = aMember.address });
  };
  std::vector<std::string> local;
  std::vector<std::string> remote;
  for (const std::string& name : mLinkedMembers) {
    const Member* via = find(name);
    if (via != nullptr && name != aMember.name) {
      (via->domain == mSelf.domain ? local : remote).push_back(name);
    }
  }
  for (std::size_t i = 0; i < std::min(kLocalProbeCount, local.size()); ++i) {
    std::swap(local[i], local[i + mRandom.below(local.size() - i)]);
    request(local[i]);
  }
  if (!remote.empty()) {
    request(remote[mRandom.below(remote.size())]);
  } else if (const Member* helper = randomRemoteMember(aMember)) {
    // The link is open when the next probe is requested, probeInterval later.
    aActions.push_back(
      ConnectTo{ .name = helper->name, .address = helper->address });
    mProbeLinks[helper->name] = aNow;
  }
}

const Member*
Membership::randomRemoteMember(const Member& aTarget)
{
  std::vector<const Member*> candidates;
  for (const auto& [name, member] : mMembers) {
    if (member.state == MemberState::Alive && member.domain != mSelf.domain &&
        name != aTarget.name) {
      candidates.push_back(&member);
    }
  }
  return candidates.empty() ? nullptr
                            : candidates[mRandom.below(candidates.size())];
}

/// Closes links that were opened only for a probe.
void
Membership::closeProbeLinks(Instant aNow, Actions& aActions)
{
  for (auto it = mProbeLinks.begin(); it != mProbeLinks.end();) {
    if (aNow - it->second < kProbeLinkLifetime) {
      ++it;
      continue;
    }
    if (!mNeighbours.contains(it->first)) {
      aActions.push_back(DisconnectFrom{ it->first });
    }
    it = mProbeLinks.erase(it);
  }
}

} // namespace laburnum::membership
