// What a gateway does with the groups of a service.

#include "laburnum/gateway/gateway.hpp"
#include "laburnum/gateway/group_moves.hpp"
#include "laburnum/gateway/request_forwarder.hpp"
#include "laburnum/kernel/log.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// Streams that a group had before it formed anew are moved for this long; by
/// then its servers have ended or resumed them.
constexpr Duration kReformedTime = milliseconds(1000);

} // namespace

void
Gateway::applyGroupStatus(const GroupKey& aGroup, const GroupStatus& aStatus)
{
  const Instant now = mLoop.now();
  const Service* service = mContext.configuration
                             ? mContext.configuration->service(aGroup.service)
                             : nullptr;
  if (service == nullptr || !service->runtime) {
    return;
  }
  Instant& statusAt = mStatusAt.try_emplace(aGroup, now).first->second;
  mLongestStatusGap = std::max<Duration>(mLongestStatusGap, now - statusAt);
  statusAt = now;
  recordHealth(aGroup, aStatus, now);
  if (mContext.directory.record(aGroup, aStatus.epoch, aStatus.servers)) {
    log(LogLevel::Info,
        "group_formed",
        { { "service", aGroup.service },
          { "group", aGroup.group },
          { "epoch", aStatus.epoch },
          { "servers", aStatus.servers.size() } });
  }
  mContext.selector.setGroupLoads(aGroup, aStatus, now);
  mContext.admissions[aGroup].recordStatus(
    aStatus,
    mContext.directory.load(aGroup).streams,
    service->runtime->emptyPassTime(),
    now);
  for (const auto& [name, other] : mContext.configuration->services) {
    mContext.retryBudget(name).setGateways(aStatus.gateways, now);
  }
}

void
Gateway::removeGroup(const GroupKey& aGroup)
{
  log(LogLevel::Info,
      "group_gone",
      { { "service", aGroup.service }, { "group", aGroup.group } });
  mContext.directory.remove(aGroup);
  mContext.selector.removeGroup(aGroup);
  mContext.admissions.erase(aGroup);
  mStatusAt.erase(aGroup);
  mHealth.erase(aGroup);
}

void
Gateway::recordHealth(const GroupKey& aGroup,
                      const GroupStatus& aStatus,
                      Instant aNow)
{
  const auto [found, isNew] = mHealth.try_emplace(aGroup);
  GroupHealth& health = found->second;
  if (isNew) {
    addGauges(aGroup);
  }
  if (!isNew && aStatus.epoch != health.epoch) {
    health.reformedAt = aNow;
  } else if (aStatus.isOpen) {
    health.streams = aStatus.totalLoad();
  }
  health.epoch = aStatus.epoch;
}

GroupRoom
Gateway::roomOf(const GroupKey& aGroup) const
{
  const auto admission = mContext.admissions.find(aGroup);
  const Service* service = mContext.configuration
                             ? mContext.configuration->service(aGroup.service)
                             : nullptr;
  if (admission == mContext.admissions.end() || service == nullptr ||
      !service->runtime) {
    return {};
  }
  return admission->second.room(strictestDemand(*service, aGroup), mLoop.now());
}

void
Gateway::addGauges(const GroupKey& aGroup)
{
  const std::string labels =
    "{service=\"" + aGroup.service + "\",group=\"" + aGroup.group + "\"}";
  mContext.metrics.gauge("laburnum_gateway_group_streams" + labels,
                         [this, aGroup] { return roomOf(aGroup).streams; });
  mContext.metrics.gauge(
    "laburnum_gateway_group_bears" + labels,
    [this, aGroup] { return roomOf(aGroup).bears.value_or(0); });
  mContext.metrics.gauge(
    "laburnum_gateway_group_open" + labels, [this, aGroup] {
      return roomOf(aGroup).state == GroupState::Open ? 1.0 : 0.0;
    });
}

void
Gateway::findStrictestGaps()
{
  mStrictestGaps.clear();
  for (const Route& route : mContext.configuration->routes) {
    for (const RouteTarget& target : route.targets) {
      Duration& gap = mStrictestGaps[target.service];
      if (route.gapObjective > Duration(0) &&
          (gap == Duration(0) || route.gapObjective < gap)) {
        gap = route.gapObjective;
      }
    }
  }
}

GroupDemand
Gateway::strictestDemand(const Service& aService, const GroupKey& aGroup) const
{
  const auto gap = mStrictestGaps.find(aService.name);
  return { .ownStreams = mContext.directory.load(aGroup).streams,
           .maxGap = gap == mStrictestGaps.end() ? Duration(0) : gap->second,
           .emptyPass = aService.runtime->emptyPassTime(),
           .slotsPerRank = aService.runtime->slots,
           .hasOtherGroups = true,
           .turnover = mContext.arrivalEstimate.turnover() };
}

void
Gateway::moveStrandedStreams()
{
  if (!mContext.configuration) {
    return;
  }
  for (const auto& [name, service] : mContext.configuration->services) {
    const auto groups = mContext.directory.groups(name);
    if (groups.size() < 2 || !service.runtime) {
      continue;
    }
    std::vector<GroupKey> broken;
    std::vector<GroupRoom> rooms;
    const Instant now = mLoop.now();
    for (const GroupKey& group : groups) {
      const GroupRoom room =
        mContext.admissions[group].room(strictestDemand(service, group), now);
      const Instant reformedAt = mHealth[group].reformedAt;
      const bool hasReformed =
        reformedAt != Instant{} && now - reformedAt <= kReformedTime;
      if (hasReformed || room.state == GroupState::Stalled ||
          room.state == GroupState::Forming) {
        broken.push_back(group);
      } else {
        rooms.push_back(room);
      }
    }
    for (const GroupKey& group : broken) {
      moveFromGroup(group, rooms);
    }
  }
}

void
Gateway::moveFromGroup(const GroupKey& aGroup,
                       const std::vector<GroupRoom>& aRooms)
{
  std::vector<std::shared_ptr<RequestForwarder>> requests;
  std::vector<StrandedStream> streams;
  for (const auto& client : openClients()) {
    const auto request = client->request();
    const auto stream = request ? request->stranded(aGroup) : std::nullopt;
    if (stream) {
      requests.push_back(request);
      streams.push_back(*stream);
    }
  }
  if (streams.empty()) {
    return;
  }
  const double quota = moveQuota(
    aRooms, static_cast<int>(streams.size()), mHealth[aGroup].streams);
  int moved = 0;
  for (const std::size_t index :
       chooseMoves(streams, quota, mContext.random.unit())) {
    moved += requests[index]->moveFrom(aGroup) ? 1 : 0;
  }
  log(LogLevel::Info,
      "group_streams_moved",
      { { "service", aGroup.service },
        { "group", aGroup.group },
        { "stranded", streams.size() },
        { "quota", quota },
        { "moved", moved } });
}

void
Gateway::logGroups()
{
  if (!mContext.configuration) {
    return;
  }
  for (const auto& [key, statusAt] : mStatusAt) {
    const GroupRoom room = roomOf(key);
    log(LogLevel::Info,
        "group_room",
        { { "service", key.service },
          { "group", key.group },
          { "epoch", mHealth[key].epoch },
          { "state", nameIn(kGroupStateNames, room.state) },
          { "streams", room.streams },
          { "bears", room.bears.value_or(0) },
          { "next_pass_ms", toSeconds(room.nextPass) * 1000 },
          { "own", mContext.directory.load(key).streams } });
  }
}

} // namespace laburnum::gateway
