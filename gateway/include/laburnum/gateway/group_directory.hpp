#pragma once

#include "laburnum/gateway/group_status.hpp"
#include "laburnum/gateway/server_list.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnum::gateway {

/// Which server is in which group now, by what the groups tell, and the streams
/// of this gateway in each group. A server that several groups name belongs to
/// the one that named it last for the first time in an epoch: its former group
/// may still tell it for a while. Servers that no group names belong to the
/// group without a name of their service.
///
/// Performs no I/O. Thread safety: loop thread only.
class GroupDirectory
{
public:
  /// Servers of one group.
  struct Members
  {
    GroupKey key;
    std::vector<const ServerRecord*> servers;
  };
  /// What this gateway has in progress at a server or in a group.
  struct OwnLoad
  {
    int streams = 0;
    double promptTokens = 0; ///< Of streams without an event yet.
  };

  /// Records the servers that a group names. Returns whether a server now
  /// belongs to another group than before.
  bool record(const GroupKey& aGroup,
              std::uint64_t aEpoch,
              const std::set<std::string>& aServers);

  /// Forgets a group of which no status has been received for long.
  void remove(const GroupKey& aGroup);

  /// The group of a server of a service.
  GroupKey groupOf(const std::string& aService,
                   const std::string& aServerId) const;

  /// The groups of a service that have a name and at least one server.
  std::vector<GroupKey> groups(const std::string& aService) const;

  /// Distributes servers of one service over their groups. Servers without a
  /// known group that are few beside a known one are rather about to start or
  /// to stop than a group of their own: they are added to the only known group,
  /// as before there were several, and are left out if there are more.
  std::vector<Members> partition(
    const std::string& aService,
    const std::vector<const ServerRecord*>& aServers) const;

  /// Records that a stream of this gateway is at a server, or no longer is.
  void add(const std::string& aService,
           const std::string& aServerId,
           const OwnLoad& aLoad);

  /// In progress in a group.
  OwnLoad load(const GroupKey& aGroup) const;

private:
  struct Group
  {
    std::uint64_t epoch = 0;
    /// Ordinal of the claim to each server.
    std::map<std::string, std::uint64_t> claims;
    std::set<std::string> owned; ///< Servers that belong to the group.
  };
  struct Placed
  {
    std::string service;
    OwnLoad load;
  };

  void assign(const std::string& aServerId, const GroupKey* aGroup);
  void reassign(const std::string& aServerId);

  std::map<GroupKey, Group> mGroups;
  std::unordered_map<std::string, GroupKey> mGroupOf; ///< By server id.
  std::unordered_map<std::string, Placed> mPlaced;    ///< By server id.
  std::map<GroupKey, OwnLoad> mLoads;
  std::uint64_t mClaims = 0; ///< Made so far.
};

} // namespace laburnum::gateway
