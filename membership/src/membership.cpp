#include "laburnum/membership/membership.hpp"

#include <algorithm>
#include <tuple>

namespace laburnum::membership {
namespace {

/// Time that the side with the higher name leaves the other to open a link.
constexpr Duration kLinkOpenGrace = milliseconds(700);

/// Of two records of a member, the one with the higher precedence wins.
auto
precedence(const Member& aMember)
{
  return std::make_tuple(
    aMember.incarnation, aMember.revision, static_cast<int>(aMember.state));
}

/// Fingerprint of a record in the digest.
std::uint64_t
fingerprint(const Member& aMember)
{
  return mix(mix(aMember.incarnation, aMember.revision),
             static_cast<std::uint64_t>(aMember.state));
}

/// Returns the record to send for a changed member: the full record, or a
/// state-only update if nothing else changed.
Member
updateFor(const Member* aBefore, const Member& aMember)
{
  if (aBefore == nullptr || aBefore->incarnation != aMember.incarnation ||
      aBefore->offers != aMember.offers ||
      aBefore->address != aMember.address ||
      aBefore->loading != aMember.loading ||
      aBefore->takesOrders != aMember.takesOrders ||
      aBefore->group != aMember.group || aBefore->slots != aMember.slots) {
    return aMember;
  }
  return { .name = aMember.name,
           .incarnation = aMember.incarnation,
           .revision = aMember.revision,
           .state = aMember.state,
           .stateOnly = true };
}

void
append(Membership::Actions& aActions, Membership::Actions aAdded)
{
  std::move(aAdded.begin(), aAdded.end(), std::back_inserter(aActions));
}

} // namespace

Membership::Membership(Member aSelf,
                       MembershipOptions aOptions,
                       std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
  , mRandom(aSeed)
{
  mDigest.toggle(mSelf.name, fingerprint(mSelf));
}

const Member*
Membership::find(const std::string& aName) const
{
  const auto found = mMembers.find(aName);
  return found == mMembers.end() ? nullptr : &found->second;
}

std::vector<OverlayNode>
Membership::overlayNodes() const
{
  std::vector<OverlayNode> nodes{ { .name = mSelf.name,
                                    .domain = mSelf.domain } };
  for (const auto& [name, member] : mMembers) {
    if (member.state != MemberState::Dead) {
      nodes.push_back({ .name = name, .domain = member.domain });
    }
  }
  return nodes;
}

void
Membership::storeRecord(const Member& aMember, Instant aNow)
{
  const auto found = mMembers.find(aMember.name);
  const bool wasKnown = found != mMembers.end();
  const bool wasDead = wasKnown && found->second.state == MemberState::Dead;
  if (wasKnown) {
    mDigest.toggle(aMember.name, fingerprint(found->second));
  }
  mDigest.toggle(aMember.name, fingerprint(aMember));
  mMembers[aMember.name] = aMember;
  const bool isDead = aMember.state == MemberState::Dead;
  if (!wasKnown || wasDead != isDead) {
    mNeighboursOutdated = true;
  }
  if (isDead) {
    mDeadSince.try_emplace(aMember.name, aNow);
  } else {
    mDeadSince.erase(aMember.name);
  }
}

void
Membership::broadcast(const std::string& aExcept,
                      const Member& aMember,
                      Actions& aActions)
{
  for (const std::string& name : mLinkedMembers) {
    if (name != aExcept && name != aMember.name) {
      aActions.push_back(SendMembers{ .to = name, .members = { aMember } });
    }
  }
}

Membership::Actions
Membership::mergeSelf(const Member& aMember)
{
  Actions actions;
  const bool sameIncarnation = aMember.incarnation == mSelf.incarnation;
  const bool refutable =
    aMember.state == MemberState::Suspect || aMember.state == MemberState::Dead;
  if (sameIncarnation && refutable && aMember.revision >= mSelf.revision) {
    // Refute: a higher revision of the same incarnation takes precedence.
    mDigest.toggle(mSelf.name, fingerprint(mSelf));
    mSelf.revision = aMember.revision + 1;
    mDigest.toggle(mSelf.name, fingerprint(mSelf));
    broadcast("", mSelf, actions);
  }
  if (aMember.incarnation > mSelf.incarnation) {
    // An earlier run of this daemon took its incarnation from a clock that was
    // ahead.
    mDigest.toggle(mSelf.name, fingerprint(mSelf));
    mSelf.incarnation = aMember.incarnation + 1;
    mDigest.toggle(mSelf.name, fingerprint(mSelf));
    broadcast("", mSelf, actions);
  }
  if (sameIncarnation && aMember.state == MemberState::Leaving &&
      mSelf.state == MemberState::Alive) {
    actions.push_back(MemberChanged{ aMember });
  }
  return actions;
}

Membership::Actions
Membership::merge(const std::string& aFrom, const Member& aMember, Instant aNow)
{
  if (aMember.name == mSelf.name) {
    return mergeSelf(aMember);
  }
  const Member* held = find(aMember.name);
  Member member = aMember;
  if (aMember.stateOnly) {
    if (held == nullptr || held->incarnation != aMember.incarnation) {
      return {}; // Digest repair delivers the full record.
    }
    member = *held;
    member.revision = aMember.revision;
    member.state = aMember.state;
  }
  if (held != nullptr && precedence(*held) >= precedence(member)) {
    return {};
  }
  const Member update =
    mOptions.stateOnlyUpdates ? updateFor(held, member) : member;
  storeRecord(member, aNow);
  const auto neighbour = mNeighbours.find(member.name);
  if (neighbour != mNeighbours.end() && member.state == MemberState::Alive) {
    neighbour->second.suspected = false;
  }
  Actions actions{ MemberChanged{ member } };
  broadcast(aFrom, update, actions);
  return actions;
}

Membership::Actions
Membership::onMembers(const std::string& aFrom,
                      const std::vector<Member>& aMembers,
                      Instant aNow)
{
  Actions actions;
  for (const Member& member : aMembers) {
    append(actions, merge(aFrom, member, aNow));
  }
  return actions;
}

Membership::Actions
Membership::declareState(const std::string& aName,
                         MemberState aState,
                         Instant aNow)
{
  const Member* held = find(aName);
  if (held == nullptr) {
    return {};
  }
  Member changed = *held;
  changed.state = aState;
  return merge("", changed, aNow);
}

Membership::Actions
Membership::onLinkUp(const std::string& aName, Instant aNow)
{
  mLinkedMembers.insert(aName);
  const auto neighbour = mNeighbours.find(aName);
  if (neighbour != mNeighbours.end()) {
    neighbour->second.lastHeard = aNow;
    neighbour->second.suspected = false;
  }
  // Sending this daemon's own record first makes a new daemon known at once;
  // digest repair delivers the rest.
  return { SendMembers{ .to = aName, .members = { mSelf } },
           SendDigest{ .to = aName, .buckets = mDigest.buckets() } };
}

Membership::Actions
Membership::onLinkDown(const std::string& aName, Instant)
{
  mLinkedMembers.erase(aName);
  return {};
}

void
Membership::onTraffic(const std::string& aName, Instant aNow)
{
  const auto found = mNeighbours.find(aName);
  if (found != mNeighbours.end()) {
    found->second.lastHeard = aNow;
    found->second.suspected = false;
  }
}

Membership::Actions
Membership::onDigest(const std::string& aName,
                     std::uint64_t aDigest,
                     Instant aNow)
{
  RepairState& repair = mRepairs[aName];
  const bool unchanged =
    repair.peerDigest == aDigest && repair.ownDigest == mDigest.combinedHash();
  repair.peerDigest = aDigest;
  repair.ownDigest = mDigest.combinedHash();
  if (aDigest == mDigest.combinedHash()) {
    repair.differsSince = Instant{};
    return {};
  }
  if (repair.differsSince == Instant{}) {
    repair.differsSince = aNow;
  }
  // Tables differ while updates are in flight. Repairing only once both digests
  // are unchanged between two heartbeats avoids sending these records twice;
  // maxRepairDelay bounds the delay when tables keep changing.
  const bool deferred = !unchanged && mOptions.stateOnlyUpdates &&
                        aNow - repair.differsSince < mOptions.maxRepairDelay;
  if (deferred || aNow - repair.lastRepair < mOptions.repairInterval) {
    return {};
  }
  repair.lastRepair = aNow;
  return { SendDigest{ .to = aName, .buckets = mDigest.buckets() } };
}

Membership::Actions
Membership::onDigestBuckets(const std::string& aName,
                            const BucketDigest::Buckets& aBuckets)
{
  SendMembers reply{ .to = aName };
  const auto differs = [&](const std::string& aMember) {
    const std::size_t bucket = BucketDigest::bucketIndex(aMember);
    return aBuckets[bucket] != mDigest.buckets()[bucket];
  };
  if (differs(mSelf.name)) {
    reply.members.push_back(mSelf);
  }
  for (const auto& [name, member] : mMembers) {
    if (differs(name)) {
      reply.members.push_back(member);
    }
  }
  if (reply.members.empty()) {
    return {};
  }
  return { std::move(reply) };
}

Membership::Actions
Membership::onProbeResult(const std::string& aTarget,
                          bool aReached,
                          Instant aNow)
{
  const auto found = mNeighbours.find(aTarget);
  if (!aReached || found == mNeighbours.end()) {
    return {};
  }
  found->second.suspected = false;
  found->second.lastHeard = aNow;
  return {};
}

Membership::Actions
Membership::onListedLeaving(const std::string& aName, Instant aNow)
{
  if (aName == mSelf.name) {
    Member listed = mSelf;
    listed.state = MemberState::Leaving;
    return merge("", listed, aNow);
  }
  const Member* held = find(aName);
  if (held == nullptr || held->state != MemberState::Alive) {
    return {};
  }
  return declareState(aName, MemberState::Leaving, aNow);
}

Membership::Actions
Membership::announceLeaving(Instant aNow)
{
  Member changed = mSelf;
  changed.state = MemberState::Leaving;
  return updateSelf(changed, aNow);
}

Membership::Actions
Membership::updateSelf(const Member& aSelf, Instant)
{
  mDigest.toggle(mSelf.name, fingerprint(mSelf));
  const std::uint64_t revision = mSelf.revision;
  mSelf = aSelf;
  mSelf.revision = revision + 1;
  mDigest.toggle(mSelf.name, fingerprint(mSelf));
  Actions actions;
  broadcast("", mSelf, actions);
  return actions;
}

void
Membership::updateNeighbours(Actions& aActions)
{
  mNeighboursOutdated = false;
  const auto nodes = overlayNodes();
  const OverlayNode self{ .name = mSelf.name, .domain = mSelf.domain };
  mIsWatcher = membership::isWatcher(self, nodes);
  const auto neighbours = overlayNeighbours(self, nodes);
  const std::set<std::string> names(neighbours.begin(), neighbours.end());
  for (auto it = mNeighbours.begin(); it != mNeighbours.end();) {
    if (names.contains(it->first)) {
      ++it;
      continue;
    }
    aActions.push_back(DisconnectFrom{ it->first });
    it = mNeighbours.erase(it);
  }
  for (const std::string& name : names) {
    mNeighbours.try_emplace(name);
  }
}

void
Membership::checkNeighbour(const std::string& aName,
                           NeighbourState& aNeighbour,
                           Instant aNow,
                           Actions& aActions)
{
  const Member* member = find(aName);
  if (member == nullptr) {
    return;
  }
  if (aNeighbour.lastHeard == Instant{}) {
    aNeighbour.lastHeard = aNow;
    aNeighbour.neighbourSince = aNow;
  }
  // The side with the lower name opens the link, to avoid duplicate links; the
  // other side opens it only after a grace period.
  const bool mayOpen =
    mSelf.name < aName || aNow - aNeighbour.neighbourSince > kLinkOpenGrace;
  if (!mLinkedMembers.contains(aName) && mayOpen) {
    aActions.push_back(ConnectTo{ .name = aName, .address = member->address });
  }
  if (!aNeighbour.suspected) {
    if (aNow - aNeighbour.lastHeard < mOptions.suspectAfter) {
      return;
    }
    aNeighbour.suspected = true;
    aNeighbour.suspectedAt = aNow;
    aNeighbour.lastProbe = aNow;
    requestProbes(*member, aNow, aActions);
    return;
  }
  if (aNow - aNeighbour.suspectedAt >= mOptions.probeTimeout) {
    append(aActions, declareState(aName, MemberState::Dead, aNow));
  } else if (aNow - aNeighbour.lastProbe >= mOptions.probeInterval) {
    aNeighbour.lastProbe = aNow;
    requestProbes(*member, aNow, aActions);
  }
}

void
Membership::forgetAndRetryDead(Instant aNow, Actions& aActions)
{
  for (auto it = mDeadSince.begin(); it != mDeadSince.end();) {
    if (aNow - it->second < mOptions.deadRetention) {
      ++it;
      continue;
    }
    mDigest.toggle(it->first, fingerprint(mMembers[it->first]));
    mMembers.erase(it->first);
    it = mDeadSince.erase(it);
  }
  if (mDeadSince.empty() ||
      aNow - mLastDeadRetry < mOptions.deadRetryInterval) {
    return;
  }
  // Reconnecting to a random dead member rejoins a failure domain that was
  // partitioned from the others.
  mLastDeadRetry = aNow;
  auto chosen = mDeadSince.begin();
  std::advance(chosen, static_cast<long>(mRandom.below(mDeadSince.size())));
  aActions.push_back(ConnectTo{ .name = chosen->first,
                                .address = mMembers[chosen->first].address });
}

Membership::Actions
Membership::tick(Instant aNow)
{
  Actions actions;
  if (mNeighboursOutdated) {
    updateNeighbours(actions);
  }
  std::vector<std::string> names;
  for (const auto& [name, neighbour] : mNeighbours) {
    names.push_back(name);
  }
  for (const std::string& name : names) {
    checkNeighbour(name, mNeighbours[name], aNow, actions);
  }
  forgetAndRetryDead(aNow, actions);
  closeProbeLinks(aNow, actions);
  return actions;
}

} // namespace laburnum::membership
