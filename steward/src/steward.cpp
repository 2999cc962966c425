#include "laburnum/steward/steward.hpp"

#include "constants.hpp"
#include "frames.hpp"

#include "laburnum/kernel/log.hpp"

#include <algorithm>

namespace laburnum::steward {
namespace {

/// While experts are copied, so that the last copy does not wait to be seen
/// for longer than a pass takes, 18 ms at least.
constexpr Duration kPreparedPeriod = milliseconds(20);
/// A copy takes less than half a second, and the usual reading goes on.
constexpr Duration kPrepareWait = milliseconds(700);
/// Maps kept to apply changes to: in force, prepared, and two given up.
constexpr std::size_t kMapsKept = 4;
/// Between two looks at a switch that is under way.
constexpr Duration kSwitchPeriod = milliseconds(15);
/// Between two looks for a better map.
constexpr Duration kTickPeriod = milliseconds(50);
/// Longer than the age of any state that a new keeper acts on, five readings;
/// a step that its former life held stalls the group meanwhile.
constexpr Duration kQuietStart = milliseconds(500);

} // namespace

Steward::Steward(Loop& aLoop,
                 const contract::Settings& aSettings,
                 Engine& aEngine,
                 EngineOpener aOpener)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mEngine(aEngine)
  , mOpener(std::move(aOpener))
  , mIdentity{ .instance = aSettings.instance,
               .incarnation = entropySeed(),
               .role = aSettings.role,
               .domain = aSettings.failureDomain,
               .controlKey = aSettings.controlKey }
  , mKeeper(aSettings.server.address)
{
}

void
Steward::start()
{
  mListener.emplace(
    mLoop,
    mSettings.control,
    mIdentity,
    wire::LinkEvents{
      .ready = [](const LinkPtr&) {},
      .message =
        [this](const LinkPtr& aLink, wire::AnyMessage&& aMessage) {
          received(aLink, std::move(aMessage));
        },
      .closed = [this](const LinkPtr& aLink,
                       const Failure&) { closed(aLink); } });
  log(LogLevel::Info,
      "started",
      { { "control", mSettings.control.text() },
        { "engine", mSettings.server.address.text() } });
  mLoop.spawn(follow());
  mLoop.spawn(keepMap());
}

void
Steward::stop()
{
  log(LogLevel::Info, "stopped");
  mLoop.stop();
}

std::uint64_t
Steward::nextVersion()
{
  // Unix ms: larger than what any steward gave before, in this life or one
  // before it, unless the clock goes back; then the states tell.
  const auto now = std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  const auto& state = mReport.state;
  mVersion = std::max({ mVersion + 1,
                        static_cast<std::uint64_t>(now.count()),
                        state.inForce + 1,
                        state.prepared.value_or(0) + 1 });
  return mVersion;
}

void
Steward::setEngines(const std::vector<contract::Address>& aEngines,
                    MapDutyOptions aOptions)
{
  mOptions = aOptions;
  if (mDuty && mDuty->isBusy()) {
    return; // What was begun is ended first; the next reading asks again.
  }
  const contract::Address former = mKeeper.keeper();
  if (!mKeeper.choose(aEngines, mLoop.now())) {
    return;
  }
  log(LogLevel::Info,
      "map_keeper_changed",
      { { "former", former.text() },
        { "keeper", mKeeper.keeper().text() },
        { "engines", aEngines.size() } });
  mDuty.reset();
  if (mToKeeper) {
    mToKeeper->close(Error::ServerLost, "another steward keeps the map");
    mToKeeper.reset();
  }
}

void
Steward::connect()
{
  if (isKeeper() || !mKeeper.isKnown() || mToKeeper || mIsConnecting) {
    return;
  }
  mIsConnecting = true;
  // Stewards listen on the same port on every instance.
  const contract::Address address{ .host = mKeeper.keeper().host,
                                   .port = mSettings.control.port };
  wire::connectLink(
    mLoop,
    address,
    mIdentity,
    {},
    { .ready =
        [this](const LinkPtr& aLink) {
          mIsConnecting = false;
          mToKeeper = aLink;
          mKeeper.linked();
          mHasToldExperts = false;
          report();
        },
      .message =
        [this](const LinkPtr& aLink, wire::AnyMessage&& aMessage) {
          received(aLink, std::move(aMessage));
        },
      .closed =
        [this](const LinkPtr& aLink, const Failure&) {
          mIsConnecting = false;
          if (aLink == mToKeeper) {
            mToKeeper.reset();
          }
          mKeeper.unlinked(mLoop.now());
        } });
}

asio::awaitable<void>
Steward::follow()
{
  for (;;) {
    connect();
    const bool isRead = co_await readEngine(true);
    if (isRead) {
      noteEngine();
      report();
    }
    co_await mLoop.sleep(kReadPeriod);
  }
}

void
Steward::noteEngine()
{
  const auto& state = mReport.state;
  const double former = mSlowness.pace();
  mSlowness.seen(mReport.pace, mLoop.now());
  if (mSlowness.pace() != former) {
    log(LogLevel::Info,
        "engine_pace",
        { { "pace", mSlowness.pace() }, { "former", former } });
  }
  if (mReport.isOpen != mWasOpen) {
    mWasOpen = mReport.isOpen;
    log(LogLevel::Info,
        mWasOpen ? "group_open" : "group_broken",
        { { "group", mReport.group },
          { "rank", mReport.rank },
          { "epoch", state.epoch } });
  }
  if (state.epoch != mEpoch) {
    mEpoch = state.epoch;
    mKeeper.groupFormed();
  }
  const bool isStalled = mStall.look(state.epoch,
                                     state.step,
                                     mReport.isOpen && mReport.requests > 0,
                                     mKeeper.place(),
                                     mLoop.now());
  if (isStalled && mOpener && !mIsRescuing) {
    mIsRescuing = true;
    mLoop.spawn(rescue());
  }
}

asio::awaitable<bool>
Steward::readEngine(bool aWithCounts)
{
  // Reads overlap; an older one must not take the place of a newer one.
  const std::uint64_t read = ++mReads;
  const auto report = co_await mEngine.report();
  if (!report || report->group.empty() || read < mLastRead) {
    co_return false;
  }
  mLastRead = read;
  const bool isNewLife = report->bornMs != mReport.bornMs;
  mReport = *report;
  if (isNewLife || mHolding.experts.empty() ||
      mHolding.version != mReport.state.inForce) {
    const auto holding = co_await mEngine.holding();
    if (holding) {
      mHolding = *holding;
    }
  }
  if (!aWithCounts) {
    co_return true;
  }
  const auto counts = co_await mEngine.counts();
  if (!counts) {
    co_return true;
  }
  const bool goesOn =
    !isNewLife && counts->counts.size() == mLast.counts.size();
  mFresh.resize(counts->counts.size(), 0);
  for (std::size_t i = 0; i < counts->counts.size(); ++i) {
    const std::uint64_t last = goesOn ? mLast.counts[i] : 0;
    if (counts->counts[i] >= last) {
      mFresh[i] += static_cast<std::uint32_t>(counts->counts[i] - last);
    }
  }
  mLast = *counts;
  const std::size_t sets = mHolding.experts.size();
  if (mReport.state.inForce == 0 && sets > 0 &&
      mLast.counts.size() % sets == 0 && mReport.size > 0) {
    auto first = firstMap(sets, mLast.counts.size() / sets, mReport.size);
    if (first[0].slots[mReport.rank] == mHolding.experts[0]) {
      mMaps[0] = std::move(first);
    }
  }
  co_return true;
}

std::optional<experts::GroupMap>
Steward::mapOf(const wire::RankOrderT& aFrame)
{
  if (!aFrame.places.empty()) {
    return mapIn(aFrame);
  }
  const auto base = mMaps.find(aFrame.base);
  if (base == mMaps.end()) {
    return std::nullopt;
  }
  experts::GroupMap map = base->second;
  return applyChanges(aFrame.changes, map) ? std::optional(std::move(map))
                                           : std::nullopt;
}

asio::awaitable<void>
Steward::awaitPrepared(std::uint64_t aVersion)
{
  mPreparing = aVersion;
  const Instant end = mLoop.now() + kPrepareWait;
  while (mPreparing == aVersion && mReport.state.prepared != aVersion &&
         mLoop.now() < end) {
    co_await mLoop.sleep(kPreparedPeriod);
    if (co_await readEngine(false)) {
      report();
    }
  }
}

asio::awaitable<void>
Steward::carryOut(std::uint64_t aEpoch, experts::EngineOrder aOrder)
{
  const std::size_t kind = aOrder.index();
  const auto* prepare = std::get_if<experts::PrepareOrder>(&aOrder);
  const auto prepared =
    prepare ? std::optional(prepare->version) : std::nullopt;
  const auto done = co_await mEngine.order(aEpoch, std::move(aOrder));
  if (!done || !*done) {
    log(LogLevel::Info,
        "order_not_taken",
        { { "kind", kind },
          { "epoch", aEpoch },
          { "reason", done ? "does not fit" : done.failure().detail } });
  }
  if (co_await readEngine(false)) {
    report();
  }
  if (prepared && done && *done && mPreparing != *prepared) {
    co_await awaitPrepared(*prepared);
  }
}

void
Steward::received(const LinkPtr& aLink, wire::AnyMessage&& aMessage)
{
  if (const auto* news = std::get_if<wire::RankReportT>(&aMessage)) {
    takeNews(aLink, *news);
  } else if (const auto* order = std::get_if<wire::RankOrderT>(&aMessage)) {
    if (aLink != mToKeeper) {
      return;
    }
    if (order->kind != wire::RankOrderKind::Prepare) {
      mLoop.spawn(carryOut(order->epoch, toOrder(*order)));
    } else if (auto map = mapOf(*order)) {
      mMaps[order->version] = *map;
      while (mMaps.size() > kMapsKept) {
        mMaps.erase(mMaps.begin());
      }
      mLoop.spawn(
        carryOut(order->epoch, experts::PrepareOrder{ order->version, *map }));
    } else {
      log(LogLevel::Warn,
          "order_unreadable",
          { { "version", order->version }, { "base", order->base } });
    }
  }
}

void
Steward::closed(const LinkPtr& aLink)
{
  for (auto it = mRanks.begin(); it != mRanks.end();) {
    if (it->second == aLink) {
      if (mDuty) {
        mDuty->lost(it->first);
      }
      it = mRanks.erase(it);
    } else {
      ++it;
    }
  }
}

void
Steward::askAgain(const LinkPtr& aLink, std::string_view aReason)
{
  log(LogLevel::Info, "rank_asked_again", { { "reason", aReason } });
  if (aLink) {
    aLink->close(Error::ServerLost, std::string(aReason));
  } else {
    mHasToldExperts = false; // The own rank tells without a link.
  }
}

void
Steward::takeNews(const LinkPtr& aLink, const wire::RankReportT& aReport)
{
  if (!isKeeper() || mReport.group.empty()) {
    // What is told once a link would be lost; over a new one all is told.
    askAgain(aLink, "not the keeper of a map");
    return;
  }
  if (aReport.group != mReport.group || aReport.rank >= aReport.size ||
      aReport.size != mReport.size) {
    return;
  }
  if (!mDuty || mDutyGroup != mReport.group) {
    mDuty.emplace(mReport.rank, mReport.size, mOptions);
    mDutyGroup = mReport.group;
  }
  const RankNews news = newsOf(aReport);
  if (!mDuty->knowsExperts(news)) {
    askAgain(aLink, "experts of the rank not known");
    return;
  }
  if (aLink) {
    mRanks[aReport.rank] = aLink;
  }
  mDuty->news(news, mLoop.now());
}

const std::vector<wire::RankChange>&
Steward::changesTo(const experts::PrepareOrder& aPrepare)
{
  const auto versions = std::pair(mReport.state.inForce, aPrepare.version);
  if (mChangesOf != versions) {
    mChangesOf = versions;
    mChanges = changesBetween(mDuty->present(), aPrepare.map);
  }
  return mChanges;
}

void
Steward::send(const experts::RankOrder& aOrder)
{
  if (aOrder.rank == mReport.rank) {
    mLoop.spawn(carryOut(mReport.state.epoch, aOrder.order));
    return;
  }
  const auto found = mRanks.find(aOrder.rank);
  if (found == mRanks.end()) {
    return; // Its state is unknown too; the switch waits for it.
  }
  const auto* prepare = std::get_if<experts::PrepareOrder>(&aOrder.order);
  if (prepare != nullptr && found->second->unsent() > 0) {
    return; // Another one behind it would only delay the arming.
  }
  wire::RankOrderT frame;
  frame.epoch = mReport.state.epoch;
  const auto& present = mDuty->present();
  if (prepare != nullptr && mDuty->knowsMap(aOrder.rank) &&
      present.size() == prepare->map.size()) {
    frame.kind = wire::RankOrderKind::Prepare;
    frame.version = prepare->version;
    frame.base = mReport.state.inForce;
    frame.changes = changesTo(*prepare);
  } else {
    fill(frame, aOrder.order);
  }
  found->second->send(std::move(frame));
}

void
Steward::tickDuty()
{
  for (const experts::RankOrder& order :
       mDuty->tick(mLoop.now(), nextVersion())) {
    send(order);
  }
  if (mDuty->phase() != mLogged) {
    mLogged = mDuty->phase();
    log(LogLevel::Info,
        "map_change",
        { { "phase", nameIn(experts::kSwitchPhaseNames, mLogged) },
          { "skew", mDuty->skew() },
          { "copies", mDuty->copies() },
          { "in_force", mReport.state.inForce },
          { "step", mReport.state.step } });
  }
}

asio::awaitable<void>
Steward::keepMap()
{
  co_await mLoop.sleep(kQuietStart);
  for (;;) {
    if (mDuty && isKeeper()) {
      tickDuty();
    }
    const bool isBusy = mDuty && mDuty->isBusy();
    co_await mLoop.sleep(isBusy ? kSwitchPeriod : kTickPeriod);
  }
}

} // namespace laburnum::steward
