#include "laburnum/gateway/group_directory.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// Fraction of the servers of the smallest known group from which servers
/// without a known group count as a group.
constexpr double kMinGroupShare = 0.5;

void
addTo(GroupDirectory::OwnLoad& aLoad, const GroupDirectory::OwnLoad& aMore)
{
  aLoad.streams += aMore.streams;
  aLoad.promptTokens += aMore.promptTokens;
}

GroupDirectory::OwnLoad
negated(const GroupDirectory::OwnLoad& aLoad)
{
  return { .streams = -aLoad.streams, .promptTokens = -aLoad.promptTokens };
}

} // namespace

bool
GroupDirectory::record(const GroupKey& aGroup,
                       std::uint64_t aEpoch,
                       const std::set<std::string>& aServers)
{
  if (aGroup.group.empty()) {
    return false;
  }
  Group& group = mGroups[aGroup];
  const bool isNewEpoch = group.epoch != aEpoch;
  group.epoch = aEpoch;
  bool isChanged = false;
  for (const std::string& id : aServers) {
    const auto [claim, isNew] = group.claims.try_emplace(id, 0);
    if (isNew || isNewEpoch) {
      claim->second = ++mClaims;
      isChanged = isChanged || !group.owned.contains(id);
      assign(id, &aGroup);
    }
  }
  std::vector<std::string> gone;
  for (const auto& [id, claim] : group.claims) {
    if (!aServers.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    group.claims.erase(id);
    if (group.owned.contains(id)) {
      isChanged = true;
      reassign(id);
    }
  }
  return isChanged;
}

void
GroupDirectory::remove(const GroupKey& aGroup)
{
  const auto found = mGroups.find(aGroup);
  if (found == mGroups.end()) {
    return;
  }
  found->second.claims.clear();
  const std::set<std::string> owned = found->second.owned;
  for (const std::string& id : owned) {
    reassign(id);
  }
  mGroups.erase(aGroup);
}

void
GroupDirectory::reassign(const std::string& aServerId)
{
  const GroupKey* latest = nullptr;
  std::uint64_t latestClaim = 0;
  for (const auto& [key, group] : mGroups) {
    const auto claim = group.claims.find(aServerId);
    if (claim != group.claims.end() && claim->second > latestClaim) {
      latest = &key;
      latestClaim = claim->second;
    }
  }
  assign(aServerId, latest);
}

void
GroupDirectory::assign(const std::string& aServerId, const GroupKey* aGroup)
{
  const auto placed = mPlaced.find(aServerId);
  if (placed != mPlaced.end()) {
    addTo(mLoads[groupOf(placed->second.service, aServerId)],
          negated(placed->second.load));
  }
  const auto former = mGroupOf.find(aServerId);
  if (former != mGroupOf.end()) {
    mGroups[former->second].owned.erase(aServerId);
  }
  if (aGroup != nullptr) {
    mGroups[*aGroup].owned.insert(aServerId);
    mGroupOf.insert_or_assign(aServerId, *aGroup);
  } else {
    mGroupOf.erase(aServerId);
  }
  if (placed != mPlaced.end()) {
    addTo(mLoads[groupOf(placed->second.service, aServerId)],
          placed->second.load);
  }
}

GroupKey
GroupDirectory::groupOf(const std::string& aService,
                        const std::string& aServerId) const
{
  const auto found = mGroupOf.find(aServerId);
  return found != mGroupOf.end() && found->second.service == aService
           ? found->second
           : GroupKey{ .service = aService };
}

std::vector<GroupKey>
GroupDirectory::groups(const std::string& aService) const
{
  std::vector<GroupKey> keys;
  for (const auto& [key, group] : mGroups) {
    if (key.service == aService && !group.owned.empty()) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<GroupDirectory::Members>
GroupDirectory::partition(
  const std::string& aService,
  const std::vector<const ServerRecord*>& aServers) const
{
  std::vector<Members> known;
  std::map<std::string_view, std::size_t> indices;
  Members unknown{ .key = { .service = aService } };
  for (const ServerRecord* server : aServers) {
    const auto found = mGroupOf.find(server->id);
    if (found == mGroupOf.end() || found->second.service != aService) {
      unknown.servers.push_back(server);
      continue;
    }
    const auto [index, isNew] =
      indices.try_emplace(found->second.group, known.size());
    if (isNew) {
      known.push_back({ .key = found->second });
    }
    known[index->second].servers.push_back(server);
  }
  if (unknown.servers.empty()) {
    return known;
  }
  std::size_t smallest = 0;
  for (const auto& [key, group] : mGroups) {
    if (key.service == aService && !group.owned.empty()) {
      smallest = smallest == 0 ? group.owned.size()
                               : std::min(smallest, group.owned.size());
    }
  }
  if (known.empty() || static_cast<double>(unknown.servers.size()) >=
                         kMinGroupShare * static_cast<double>(smallest)) {
    known.push_back(std::move(unknown));
  } else if (known.size() == 1 && groups(aService).size() == 1) {
    known.front().servers = aServers;
  }
  return known;
}

void
GroupDirectory::add(const std::string& aService,
                    const std::string& aServerId,
                    const OwnLoad& aLoad)
{
  Placed& placed = mPlaced[aServerId];
  placed.service = aService;
  addTo(placed.load, aLoad);
  addTo(mLoads[groupOf(aService, aServerId)], aLoad);
  if (placed.load.streams == 0) {
    addTo(mLoads[groupOf(aService, aServerId)], negated(placed.load));
    mPlaced.erase(aServerId);
  }
}

GroupDirectory::OwnLoad
GroupDirectory::load(const GroupKey& aGroup) const
{
  const auto found = mLoads.find(aGroup);
  return found == mLoads.end() ? OwnLoad{} : found->second;
}

} // namespace laburnum::gateway
