// Release of a step that is held by the failed steward of another rank.

#include "laburnum/steward/steward.hpp"

#include "frames.hpp"

#include "laburnum/kernel/log.hpp"

#include <algorithm>

namespace laburnum::steward {
namespace {

/// Interval at which orders are decided from the states read so far.
constexpr Duration kRecoveryTickPeriod = milliseconds(30);
/// Interval of reads of an engine on another instance; its reports are older
/// than this.
constexpr Duration kRemotePollPeriod = milliseconds(150);
/// Time limit of a recovery. Undoing a change takes three rounds of reports of
/// half a second each.
constexpr Duration kMaxRecoveryTime = seconds(3);

} // namespace

asio::awaitable<void>
Steward::recoverHold()
{
  const auto recovery = std::make_shared<Recovery>(mReport.groupSize);
  const Instant startedAt = mLoop.now();
  const auto stalled = mReport.state;
  const std::vector<contract::Address> engines = groupEngines();
  log(LogLevel::Warn,
      "rescue_begun",
      { { "group", mReport.group },
        { "epoch", stalled.epoch },
        { "step", stalled.step },
        { "engines", engines.size() },
        { "place", mReport.rank } });
  for (const contract::Address& address : engines) {
    mLoop.spawn(pollForRecovery(recovery, mEngineFactory(address)));
  }
  const auto isStalled = [&] {
    return mReport.state.epoch == stalled.epoch &&
           mReport.state.step == stalled.step;
  };
  while (isStalled() && mLoop.now() - startedAt < kMaxRecoveryTime) {
    for (experts::RankOrder& order : recovery->holdRecovery.tick(
           mLoop.now(), nextVersion(), findMap(*recovery, stalled.inForce))) {
      mLoop.spawn(sendRecoveryOrder(recovery, std::move(order)));
    }
    co_await mLoop.sleep(kRecoveryTickPeriod);
  }
  recovery->hasEnded = true;
  mIsRecovering = false;
  const auto holder = recovery->holdRecovery.holder();
  log(LogLevel::Warn,
      "rescue_ended",
      { { "group", mReport.group },
        { "outcome", isStalled() ? "still_stalled" : "goes_on" },
        { "holder", holder ? static_cast<std::int64_t>(*holder) : -1 },
        { "knows_map", mMaps.contains(stalled.inForce) },
        { "ms", (mLoop.now() - startedAt).count() / 1000 } });
}

std::vector<contract::Address>
Steward::groupEngines() const
{
  const auto servers = decodeAddresses(mStatusServers);
  const bool areAllKnown =
    mStatusEpoch == mReport.state.epoch &&
    servers.size() == mReport.groupSize &&
    std::none_of(servers.begin(), servers.end(), [](const auto& aServer) {
      return aServer.port == 0;
    });
  return areAllKnown ? servers : mKeeperSelection.engines();
}

const experts::GroupMap&
Steward::findMap(const Recovery& aRecovery, std::uint64_t aVersion)
{
  static const experts::GroupMap kUnknown;
  const auto known = mMaps.find(aVersion);
  if (known != mMaps.end()) {
    return known->second;
  }
  experts::GroupMap map(mLoadedExperts.experts.size());
  for (const LoadedExperts& loadedExperts : aRecovery.loadedExperts) {
    if (loadedExperts.version != aVersion ||
        loadedExperts.experts.size() != map.size()) {
      return kUnknown;
    }
    for (std::size_t set = 0; set < map.size(); ++set) {
      map[set].slots.push_back(loadedExperts.experts[set]);
    }
  }
  return map.empty() ? kUnknown : (mMaps[aVersion] = std::move(map));
}

asio::awaitable<void>
Steward::pollForRecovery(RecoveryPtr aRecovery, std::shared_ptr<Engine> aEngine)
{
  const std::uint64_t epoch = mReport.state.epoch;
  bool wasRead = true;
  while (!aRecovery->hasEnded) {
    const auto report = co_await aEngine->report();
    if (report && report->group == mReport.group &&
        report->state.epoch == epoch &&
        report->rank < aRecovery->engines.size()) {
      aRecovery->engines[report->rank] = aEngine;
      observeVersions(report->state);
      aRecovery->holdRecovery.updateState(report->rank, report->state);
      auto& known = aRecovery->loadedExperts[report->rank];
      if (!hasCurrentMap() && known.experts.empty()) {
        // Charged when called from another instance, so only if needed: after
        // all stewards were killed, none of them knows the map in force.
        const auto loadedExperts = co_await aEngine->loadedExperts();
        known = loadedExperts ? *loadedExperts : LoadedExperts{};
      }
    } else if (!report && wasRead) {
      log(LogLevel::Info,
          "engine_not_read",
          { { "reason", report.failure().detail } });
    }
    wasRead = static_cast<bool>(report);
    if (report && report->group != mReport.group) {
      co_return; // The list of engines has those of other groups too.
    }
    co_await mLoop.sleep(kRemotePollPeriod);
  }
}

asio::awaitable<void>
Steward::sendRecoveryOrder(RecoveryPtr aRecovery, experts::RankOrder aOrder)
{
  const auto engine = aRecovery->engines[aOrder.rank];
  if (!engine) {
    co_return; // Not read yet; the order is sent again.
  }
  const auto accepted = co_await engine->order(aOrder.epoch, aOrder.order);
  log(LogLevel::Info,
      "rescue_order",
      { { "group", mReport.group },
        { "rank", aOrder.rank },
        { "kind", aOrder.order.index() },
        { "accepted", accepted && *accepted },
        { "reason", accepted ? "" : accepted.failure().detail } });
  if (accepted && *accepted) {
    aRecovery->holdRecovery.recordAccepted(
      aOrder.rank, aOrder.order, mLoop.now());
  }
}

} // namespace laburnum::steward
