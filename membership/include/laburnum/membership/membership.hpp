#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/kernel/random.hpp"
#include "laburnum/kernel/time.hpp"
#include "laburnum/membership/bucket_digest.hpp"
#include "laburnum/membership/overlay.hpp"

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace laburnum::membership {

/// Liveness of a daemon, in ascending order of precedence when records merge.
enum class MemberState : std::uint8_t
{
  Alive,
  Suspect, ///< Not heard by a neighbour; being probed through other members.
  Leaving, ///< Shutting down; accepts no new work.
  Dead
};

inline constexpr EnumNames<MemberState, 4> kMemberStateNames{
  { { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Leaving, "leaving" },
    { MemberState::Dead, "dead" } }
};

/// Membership record of a daemon. Of two records of the same daemon, the one
/// with the higher incarnation wins, then the one with the higher revision,
/// then the one with the higher state.
struct Member
{
  std::string name;
  std::uint64_t incarnation = 0; ///< Increases with each run of the daemon.
  std::uint64_t revision = 0;    ///< Increases with each change in one run.
  MemberState state = MemberState::Alive;
  contract::Role role = contract::Role::Entry;
  std::string domain; ///< Failure domain.
  std::string region;
  contract::Address address;
  std::vector<std::string> offers; ///< Models and services that it serves.
  int slots = 0;                   ///< Requests that it runs concurrently.
  std::string loading;      ///< Model that the backend server is loading.
  bool takesOrders = false; ///< The backend server can load models on request.
  std::string group;        ///< Group of ranks running in lock-step, or empty.
  int firstRank = 0;        ///< First of the ranks on the backend server.
  int ranks = 0;            ///< Number of ranks on the backend server.
  /// The record is an update of the state: only name, incarnation, revision
  /// and state are set. A receiver without the full record ignores it.
  bool stateOnly = false;
};

/// Timing of Membership, and features that experiments switch off.
struct MembershipOptions
{
  Duration suspectAfter = milliseconds(1600); ///< Silence before probing.
  Duration probeTimeout = milliseconds(1000); ///< From suspicion to death.
  Duration probeInterval = milliseconds(400); ///< Between probe requests.
  Duration deadRetention = seconds(3600);     ///< Until records are dropped.
  Duration deadRetryInterval = seconds(5);    ///< Between reconnect attempts.
  Duration repairInterval = seconds(2); ///< At least, between repairs per peer.
  /// Longest delay of a repair while the digests keep changing.
  Duration maxRepairDelay = seconds(8);
  bool stateOnlyUpdates = true; ///< Disabled only in experiments.
  bool indirectProbe = true;    ///< Disabled only in experiments.
};

// Actions that the caller performs for Membership.

/// Open an overlay link to a member, unless there is one.
struct ConnectTo
{
  std::string name;
  contract::Address address;
};
/// Close the overlay link to a member that is no longer a neighbour.
struct DisconnectFrom
{
  std::string name;
};
/// Send member records to a neighbour.
struct SendMembers
{
  std::string to;
  std::vector<Member> members;
};
/// Ask a member to reach the target over a new connection.
struct RequestProbe
{
  std::string via;
  std::string target;
  contract::Address address;
};
/// Send the digest's buckets to a peer, which replies with the records in
/// those that differ.
struct SendDigest
{
  std::string to;
  BucketDigest::Buckets buckets;
};
/// Report that the record of a member changed.
struct MemberChanged
{
  Member member;
};

using MembershipAction = std::variant<ConnectTo,
                                      DisconnectFrom,
                                      SendMembers,
                                      RequestProbe,
                                      SendDigest,
                                      MemberChanged>;

/// Maintains the list of daemons and detects failures.
///
/// Each daemon monitors its overlay neighbours. It asks other members to probe
/// a silent neighbour before declaring it dead, so that the fault of one link
/// does not remove a healthy daemon. Changes are flooded to linked neighbours;
/// digests in heartbeats find updates that were lost. A daemon that is wrongly
/// declared dead refutes it with a higher revision.
///
/// Input: events of overlay links, messages of neighbours and the time.
/// Output: the member table and actions for the caller, which does all I/O.
///
/// Thread safety: none; used on the event loop's thread.
///
/// @pre The times passed to its methods never decrease.
class Membership
{
public:
  using Actions = std::vector<MembershipAction>;

  Membership(Member aSelf, MembershipOptions aOptions, std::uint64_t aSeed);

  /// Updates the neighbours and checks timeouts; call a few times per second.
  Actions tick(Instant aNow);

  // Events of overlay links.

  Actions onLinkUp(const std::string& aName, Instant aNow);
  Actions onLinkDown(const std::string& aName, Instant aNow);
  /// Records that a message of any kind arrived from a linked neighbour.
  void onTraffic(const std::string& aName, Instant aNow);
  /// Compares the digest in a neighbour's heartbeat with the local one and
  /// starts a repair if needed.
  Actions onDigest(const std::string& aName,
                   std::uint64_t aDigest,
                   Instant aNow);
  /// Replies with the records of the buckets that differ.
  Actions onDigestBuckets(const std::string& aName,
                          const BucketDigest::Buckets& aBuckets);
  /// Merges records and forwards changes to all linked neighbours but aFrom,
  /// which is empty for records that did not come from a neighbour.
  Actions onMembers(const std::string& aFrom,
                    const std::vector<Member>& aMembers,
                    Instant aNow);
  /// Handles the reply to RequestProbe.
  Actions onProbeResult(const std::string& aTarget,
                        bool aReached,
                        Instant aNow);

  /// Handles a member that the platform lists as leaving. For this daemon
  /// itself, only `MemberChanged` is returned and the caller starts draining.
  Actions onListedLeaving(const std::string& aName, Instant aNow);

  /// Announces that this daemon is leaving.
  Actions announceLeaving(Instant aNow);

  /// Replaces this daemon's own record and sends it to the neighbours.
  Actions updateSelf(const Member& aSelf, Instant aNow);

  // Observers.

  const Member& self() const { return mSelf; }
  /// Members by name, without this daemon.
  const std::map<std::string, Member>& members() const { return mMembers; }
  /// Returns null if the member is unknown.
  const Member* find(const std::string& aName) const;
  std::uint64_t digest() const { return mDigest.combinedHash(); }
  /// Nodes of the overlay: all members that are not dead, and this daemon.
  std::vector<OverlayNode> overlayNodes() const;
  bool isWatcher() const { return mIsWatcher; }
  /// Members with an open overlay link.
  const std::set<std::string>& linkedMembers() const { return mLinkedMembers; }
  /// True if the overlay has a link to the member, open or not.
  bool isNeighbour(const std::string& aName) const
  {
    return mNeighbours.contains(aName);
  }

private:
  /// Failure detection for one overlay neighbour.
  struct NeighbourState
  {
    Instant lastHeard;
    Instant suspectedAt{};
    Instant lastProbe{};
    Instant neighbourSince{};
    bool suspected = false;
  };

  /// Digest comparison with one neighbour.
  struct RepairState
  {
    std::uint64_t peerDigest = 0; ///< From the neighbour's last heartbeat.
    std::uint64_t ownDigest = 0;  ///< Of this daemon at that time.
    Instant differsSince{};
    Instant lastRepair{};
  };

  Actions merge(const std::string& aFrom, const Member& aMember, Instant aNow);
  Actions mergeSelf(const Member& aMember);
  void storeRecord(const Member& aMember, Instant aNow);
  void broadcast(const std::string& aExcept,
                 const Member& aMember,
                 Actions& aActions);
  void updateNeighbours(Actions& aActions);
  Actions declareState(const std::string& aName,
                       MemberState aState,
                       Instant aNow);
  void checkNeighbour(const std::string& aName,
                      NeighbourState& aNeighbour,
                      Instant aNow,
                      Actions& aActions);
  void requestProbes(const Member& aMember, Instant aNow, Actions& aActions);
  const Member* randomRemoteMember(const Member& aTarget);
  void closeProbeLinks(Instant aNow, Actions& aActions);
  void forgetAndRetryDead(Instant aNow, Actions& aActions);

  Member mSelf;
  MembershipOptions mOptions;
  Random mRandom;
  std::map<std::string, Member> mMembers; ///< Without this daemon.
  std::map<std::string, Instant> mDeadSince;
  BucketDigest mDigest;
  std::map<std::string, NeighbourState> mNeighbours;
  std::set<std::string> mLinkedMembers;
  std::map<std::string, RepairState> mRepairs;
  std::map<std::string, Instant> mProbeLinks; ///< Opened for a probe.
  Instant mLastDeadRetry{};
  bool mNeighboursOutdated = true;
  bool mIsWatcher = true;
};

} // namespace laburnum::membership
