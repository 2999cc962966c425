// Which group a request goes to, and where its stream counts.

#include "laburnum/gateway/request_forwarder.hpp"

#include <algorithm>

namespace laburnum::gateway {

GroupDemand
RequestForwarder::groupDemand(const GroupKey& aGroup,
                              bool aHasOtherGroups) const
{
  return { .ownStreams = mContext.directory.load(aGroup).streams,
           .maxGap = mRoute->gapObjective,
           .emptyPass = mService->runtime->emptyPassTime(),
           .slotsPerRank = mService->runtime->slots,
           .limitShare = mLimitShare,
           .hasOtherGroups = aHasOtherGroups,
           .offeredShare = mContext.servers.offeredShare(mService->name),
           .turnover =
             aHasOtherGroups ? mContext.arrivalEstimate.turnover() : 0 };
}

std::vector<GroupOption>
RequestForwarder::groupOptions(
  const std::vector<GroupDirectory::Members>& aGroups,
  Instant aNow) const
{
  std::vector<GroupOption> options;
  for (const auto& [key, servers] : aGroups) {
    const GroupAdmission& admission = mContext.admissions[key];
    const GroupDemand demand = groupDemand(key, aGroups.size() > 1);
    options.push_back({ .refusal = admission.checkAdmission(demand, aNow) });
    if (aGroups.size() == 1) {
      break; // Nothing to choose.
    }
    GroupOption& option = options.back();
    option.room = admission.room(demand, aNow);
    option.ranks = static_cast<int>(servers.size());
    option.slotsPerRank = demand.slotsPerRank;
    option.waitingRequests = mContext.directory.load(key).promptTokens /
                             mContext.selector.options().tokensPerRequest;
    const auto remote =
      std::count_if(servers.begin(), servers.end(), [this](const auto* aEntry) {
        return aEntry->failureDomain !=
               mContext.selector.options().failureDomain;
      });
    option.remoteShare = static_cast<double>(remote) /
                         static_cast<double>(std::max(1, option.ranks));
  }
  return options;
}

bool
RequestForwarder::isHeldBack(
  const std::vector<GroupDirectory::Members>& aGroups) const
{
  const UrgencyShares& shares = mContext.urgencyShares[mService->name];
  if (!shares.hasSeveralRoutePriorities(mStartedAt)) {
    return false;
  }
  UrgencyRoom all;
  for (const auto& [key, servers] : aGroups) {
    const GroupRoom room = mContext.admissions[key].room(
      groupDemand(key, aGroups.size() > 1), mStartedAt);
    if (room.state == GroupState::Stalled ||
        room.state == GroupState::Forming) {
      continue;
    }
    if (!room.bears) {
      return false;
    }
    // While no status is recent, the other gateways are taken to have as much
    // there.
    const double factor = room.state == GroupState::Untold ? room.gateways : 1;
    all.streams += room.streams * factor;
    all.places += *room.bears * factor;
    all.gateways = std::max(all.gateways, room.gateways);
    all.turnover = std::max(
      all.turnover, mService->runtime->passesPerStream() * room.nextPass);
  }
  return shares.holdsBack(mUrgency, all, mContext.random.unit(), mStartedAt);
}

const ServerRecord*
RequestForwarder::selectServer(const std::set<std::string>& aExcluded,
                               Instant aNow)
{
  auto servers = mContext.servers.readyServers(mService->name, aNow);
  if (mIsColdDenied) {
    excludeColdServers(servers, aNow);
  }
  if (!mDemand.isGeneration) {
    return mContext.selector.select(servers, mDemand, aExcluded, aNow);
  }
  std::erase_if(servers, [&aExcluded](const ServerRecord* aServer) {
    return aExcluded.contains(aServer->id);
  });
  const auto groups = mContext.directory.partition(mService->name, servers);
  if (groups.empty()) {
    return nullptr;
  }
  std::size_t chosen = 0;
  if (groups.size() > 1) {
    const auto options = groupOptions(groups, aNow);
    double started = 0;
    for (const auto& group : groups) {
      started += mContext.selector.expectedArrivals(group.key, aNow);
    }
    chosen = chooseGroup(
      options,
      1 + std::max(started, mContext.arrivalEstimate.arrivals(options)),
      mContext.arrivalEstimate.nextUnit());
  }
  mDemand.group = groups[chosen].key;
  return mContext.selector.select(groups[chosen].servers, mDemand, {}, aNow);
}

GroupKey
RequestForwarder::currentGroup() const
{
  return mContext.directory.groupOf(mService->name, mServerId);
}

void
RequestForwarder::placeStream(Instant aNow)
{
  if (!isStream()) {
    return;
  }
  const bool wasPlaced = !mPlacedAt.empty();
  const GroupKey former = mGroup;
  unplaceStream();
  mPlacedAt = mServerId;
  mGroup = currentGroup();
  mWaitingTokens = mDemand.promptTokens;
  if (!wasPlaced || former != mGroup) {
    mContext.admissions[mGroup].streamStarted(
      mContext.directory.load(mGroup).streams, aNow);
  }
  mContext.directory.add(mService->name,
                         mPlacedAt,
                         { .streams = 1, .promptTokens = mWaitingTokens });
}

void
RequestForwarder::promptRead()
{
  if (mWaitingTokens > 0 && !mPlacedAt.empty()) {
    mContext.directory.add(
      mService->name, mPlacedAt, { .promptTokens = -mWaitingTokens });
  }
  mWaitingTokens = 0;
}

void
RequestForwarder::unplaceStream()
{
  if (!mPlacedAt.empty()) {
    mContext.directory.add(mService->name,
                           mPlacedAt,
                           { .streams = -1, .promptTokens = -mWaitingTokens });
  }
  mPlacedAt.clear();
  mWaitingTokens = 0;
}

} // namespace laburnum::gateway
