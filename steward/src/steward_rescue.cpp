// How a steward releases a step that the steward of another rank holds.

#include "laburnum/steward/steward.hpp"

#include "laburnum/kernel/log.hpp"

namespace laburnum::steward {
namespace {

/// Between two looks at what was read and ordered.
constexpr Duration kRescuePeriod = milliseconds(30);
/// Between two readings of an engine from afar, whose reports are older.
constexpr Duration kAfarPeriod = milliseconds(150);
/// Undoing takes three rounds of reports of half a second.
constexpr Duration kLongestRescue = seconds(3);

} // namespace

asio::awaitable<void>
Steward::rescue()
{
  const auto rescue = std::make_shared<Rescue>(mReport.size);
  const Instant begun = mLoop.now();
  const auto stalled = mReport.state;
  log(LogLevel::Warn,
      "rescue_begun",
      { { "group", mReport.group },
        { "epoch", stalled.epoch },
        { "step", stalled.step },
        { "engines", mKeeper.engines().size() },
        { "place", mKeeper.place() } });
  for (const contract::Address& address : mKeeper.engines()) {
    mLoop.spawn(readFor(rescue, mOpener(address)));
  }
  const auto isStalled = [&] {
    return mReport.state.epoch == stalled.epoch &&
           mReport.state.step == stalled.step;
  };
  while (isStalled() && mLoop.now() - begun < kLongestRescue) {
    for (experts::RankOrder& order : rescue->decisions.tick(
           mLoop.now(), nextVersion(), mapFor(*rescue, stalled.inForce))) {
      mLoop.spawn(orderFor(rescue, std::move(order)));
    }
    co_await mLoop.sleep(kRescuePeriod);
  }
  rescue->hasEnded = true;
  mIsRescuing = false;
  const auto holder = rescue->decisions.holder();
  log(LogLevel::Warn,
      "rescue_ended",
      { { "outcome", isStalled() ? "still_stalled" : "goes_on" },
        { "holder", holder ? static_cast<std::int64_t>(*holder) : -1 },
        { "knows_map", mMaps.contains(stalled.inForce) },
        { "ms", (mLoop.now() - begun).count() / 1000 } });
}

const experts::GroupMap&
Steward::mapFor(const Rescue& aRescue, std::uint64_t aVersion)
{
  static const experts::GroupMap kUnknown;
  const auto known = mMaps.find(aVersion);
  if (known != mMaps.end()) {
    return known->second;
  }
  experts::GroupMap map(mHolding.experts.size());
  for (const EngineHolding& holding : aRescue.holdings) {
    if (holding.version != aVersion || holding.experts.size() != map.size()) {
      return kUnknown;
    }
    for (std::size_t set = 0; set < map.size(); ++set) {
      map[set].slots.push_back(holding.experts[set]);
    }
  }
  return map.empty() ? kUnknown : (mMaps[aVersion] = std::move(map));
}

asio::awaitable<void>
Steward::readFor(RescuePtr aRescue, std::shared_ptr<Engine> aEngine)
{
  const std::uint64_t epoch = mReport.state.epoch;
  bool wasRead = true;
  while (!aRescue->hasEnded) {
    const auto report = co_await aEngine->report();
    if (report && report->group == mReport.group &&
        report->state.epoch == epoch &&
        report->rank < aRescue->engines.size()) {
      aRescue->engines[report->rank] = aEngine;
      aRescue->decisions.seen(report->rank, report->state);
      auto& known = aRescue->holdings[report->rank];
      if (!knowsMap() && known.experts.empty()) {
        // Priced from afar; after all stewards were killed nobody else knows.
        const auto holding = co_await aEngine->holding();
        known = holding ? *holding : EngineHolding{};
      }
    } else if (!report && wasRead) {
      log(LogLevel::Info,
          "engine_not_read",
          { { "reason", report.failure().detail } });
    }
    wasRead = static_cast<bool>(report);
    co_await mLoop.sleep(kAfarPeriod);
  }
}

asio::awaitable<void>
Steward::orderFor(RescuePtr aRescue, experts::RankOrder aOrder)
{
  const auto engine = aRescue->engines[aOrder.rank];
  if (!engine) {
    co_return; // Not read yet; the order is given again.
  }
  const auto done = co_await engine->order(mReport.state.epoch, aOrder.order);
  log(LogLevel::Info,
      "rescue_order",
      { { "rank", aOrder.rank },
        { "kind", aOrder.order.index() },
        { "accepted", done && *done },
        { "reason", done ? "" : done.failure().detail } });
  if (done && *done) {
    aRescue->decisions.accepted(aOrder.rank, aOrder.order, mLoop.now());
  }
}

} // namespace laburnum::steward
