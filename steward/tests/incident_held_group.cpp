// Replays changes of the expert map by a keeper whose processor is slow.

#include "laburnum/experts/map_versions.hpp"
#include "laburnum/steward/map_duty.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <utility>

using namespace laburnum;
using namespace laburnum::steward;

namespace {

constexpr Duration kPass = milliseconds(60);
/// The shortest pause between events that data sheets allow to large groups.
constexpr Duration kMaxGap = milliseconds(150);
constexpr Duration kNetworkDelay = milliseconds(2);
constexpr Duration kRankTime =
  milliseconds(10); ///< From an order to its report.
constexpr Duration kCopyTime = milliseconds(100);
constexpr Duration kReadPeriod = milliseconds(100);
constexpr Duration kShiftPeriod = milliseconds(2500);

Duration
loadPeriod(std::size_t aRanks)
{
  return std::max<Duration>(
    milliseconds(200), milliseconds(2) * static_cast<std::int64_t>(aRanks));
}

struct GroupOptions
{
  std::size_t ranks = 16;
  Duration messageTime{ 0 };  ///< For the keeper to send or process a message.
  Duration reportPeriod{ 0 }; ///< Of the load of a rank.
  double lossShare = 0;       ///< Orders that are not answered at first.
};

/// A group whose passes take `kPass`, its ranks and their keeper. The keeper
/// handles one message or tick after the other.
class HeldGroup
{
public:
  explicit HeldGroup(GroupOptions aOptions)
    : mOptions(aOptions)
    , mController(0,
                  aOptions.ranks,
                  mHoldSteps,
                  { .slotsPerRank = 3, .standbySlotsPerRank = 1 })
  {
    mHoldSteps.observe(0, 0);
    mHoldSteps.observe(1, 0);
    const auto ranks = static_cast<std::uint16_t>(mOptions.ranks);
    for (std::uint16_t rank = 0; rank < ranks; ++rank) {
      RankUpdate update{ .rank = rank, .groupSize = ranks, .isOpen = true };
      update.state = { .epoch = 1, .step = 1 };
      update.experts = { { rank, static_cast<std::uint16_t>(rank + ranks) } };
      mRanks.push_back(update);
      const Duration offset = mOptions.reportPeriod * rank / ranks;
      at(offset, [this, rank] { reportLoad(rank); });
    }
    at(kPass, [this] { beginPass(); });
    at(kShiftPeriod, [this] { shift(); });
    at(milliseconds(500), [this] { requestTick(); });
  }

  void run(Duration aTime)
  {
    while (!mEvents.empty() && mEvents.begin()->first < mStart + aTime) {
      const auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      event.mapped()();
    }
  }

  /// Time for which the group stood at the held step, by change of the map.
  const std::vector<Duration>& held() const { return mHeld; }
  std::size_t armOrders() const { return mArmOrders; }
  Duration toldPass() const { return mLongestToldPass; }

private:
  using Event = std::function<void()>;

  void at(Duration aDelay, Event aEvent)
  {
    mEvents.emplace(mNow + aDelay, std::move(aEvent));
  }

  /// Queues work of the keeper, which returns the time that it takes.
  void queue(std::function<Duration()> aWork)
  {
    mWork.push_back(std::move(aWork));
    if (mWork.size() == 1) {
      work();
    }
  }

  void work()
  {
    at(mWork.front()(), [this] {
      mWork.pop_front();
      if (!mWork.empty()) {
        work();
      }
    });
  }

  void report(std::size_t aRank, bool aWithCounts)
  {
    RankUpdate update = mRanks[aRank];
    if (aWithCounts) {
      update.counts.assign(2 * mOptions.ranks, 10);
      for (std::size_t hot = 0; hot < mOptions.ranks / 4; ++hot) {
        update.counts[(mHotExpert + 3 * hot) % update.counts.size()] +=
          400.0 / static_cast<double>(1 + hot);
      }
    }
    at(kNetworkDelay, [this, update] {
      queue([this, update] {
        mVersions.observe(update.state.prepared.value_or(0));
        mController.update(update, mNow);
        if (update.rank == 0 && mShifts > 0) {
          mLongestToldPass = std::max(mLongestToldPass, mController.passTime());
        }
        return mOptions.messageTime;
      });
    });
  }

  void reportLoad(std::size_t aRank)
  {
    report(aRank, true);
    const Duration period =
      aRank == 0 ? kReadPeriod
                 : std::max(kReadPeriod + Duration(0), mOptions.reportPeriod);
    at(period, [this, aRank] { reportLoad(aRank); });
  }

  void requestTick()
  {
    queue([this] {
      const auto orders = mController.tick(
        mNow,
        mVersions.next(
          std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch())));
      Duration time{ 0 };
      for (const experts::RankOrder& order : orders) {
        time += mOptions.messageTime;
        mArmOrders += std::holds_alternative<experts::ArmOrder>(order.order);
        const bool isLost =
          order.rank != 0 &&
          mRandom() % 1000 < static_cast<unsigned>(1000 * mOptions.lossShare);
        if (!isLost) {
          at(time + kNetworkDelay, [this, order] { execute(order); });
        }
      }
      at(time +
           (mController.isSwitching() ? milliseconds(15) : milliseconds(50)),
         [this] { requestTick(); });
      return time;
    });
  }

  void execute(const experts::RankOrder& aOrder)
  {
    const std::size_t rank = aOrder.rank;
    experts::RankState& state = mRanks[rank].state;
    if (const auto* prepare =
          std::get_if<experts::PrepareOrder>(&aOrder.order)) {
      if (state.armed || prepare->version <= mHighest[rank]) {
        return;
      }
      mHighest[rank] = prepare->version;
      mPreparedMap = *prepare->map;
      at(kCopyTime, [this, rank, version = prepare->version] {
        mRanks[rank].state.prepared = version;
        report(rank, false);
      });
      return;
    }
    if (const auto* arm = std::get_if<experts::ArmOrder>(&aOrder.order)) {
      if (state.prepared == arm->armed.version &&
          state.step < arm->armed.step) {
        state.armed = arm->armed;
      }
    } else if (std::holds_alternative<experts::DisarmOrder>(aOrder.order)) {
      state.armed.reset();
    } else if (const auto* hold =
                 std::get_if<experts::HoldOrder>(&aOrder.order)) {
      state.held =
        hold->step > state.step ? std::optional(hold->step) : state.held;
    } else if (std::get<experts::ReleaseOrder>(aOrder.order).step ==
               state.held) {
      state.held.reset();
    }
    at(kRankTime, [this, rank] { report(rank, false); });
  }

  void beginPass()
  {
    const std::uint64_t step = mRanks[0].state.step + 1;
    if (mRanks[0].state.held && *mRanks[0].state.held <= step) {
      mStoodFor += milliseconds(1);
      at(milliseconds(1), [this] { beginPass(); });
      return;
    }
    const bool hasSwitched =
      mRanks[0].state.armed && mRanks[0].state.armed->step <= step;
    for (RankUpdate& rank : mRanks) {
      rank.state.step = step;
      if (rank.state.armed && rank.state.armed->step <= step) {
        rank.state.inForce = rank.state.armed->version;
        rank.experts = { mPreparedMap[0].slots[rank.rank] };
        rank.state.armed.reset();
        rank.state.prepared.reset();
        at(kRankTime, [this, number = rank.rank] { report(number, false); });
      }
    }
    if (hasSwitched) {
      mHeld.push_back(std::exchange(mStoodFor, Duration(0)));
    }
    at(kPass, [this] { beginPass(); });
  }

  void shift()
  {
    ++mShifts;
    mHotExpert = (mHotExpert + 7) % (2 * mOptions.ranks);
    at(kShiftPeriod, [this] { shift(); });
  }

  GroupOptions mOptions;
  experts::HoldSteps mHoldSteps;
  MapController mController;
  experts::MapVersions mVersions{ 7 };
  std::vector<RankUpdate> mRanks;
  std::map<std::size_t, std::uint64_t> mHighest; ///< Version by rank.
  experts::GroupMap mPreparedMap;
  std::multimap<Instant, Event> mEvents;
  std::deque<std::function<Duration()>> mWork;
  const Instant mStart{ seconds(100) };
  Instant mNow = mStart;
  std::minstd_rand mRandom{ 1 };
  std::size_t mHotExpert = 0;
  std::size_t mArmOrders = 0;
  int mShifts = 0;
  Duration mStoodFor{ 0 };
  std::vector<Duration> mHeld;
  Duration mLongestToldPass{ 0 };
};

} // namespace

TEST_CASE("map_controller_keeperIsSlow_changesDoNotHoldTheGroup")
{
  const std::size_t ranks = GENERATE(16, 72, 192);
  const auto messageTime = microseconds(GENERATE(50, 400, 800));
  CAPTURE(ranks, messageTime.count());
  HeldGroup group({ .ranks = ranks,
                    .messageTime = messageTime,
                    .reportPeriod = loadPeriod(ranks) });
  group.run(seconds(40));
  REQUIRE(group.held().size() >= 8);
  // The controller learns from the first changes how long they take.
  const Duration longest =
    *std::max_element(group.held().begin() + 2, group.held().end());
  CHECK(longest + kPass <= kMaxGap);
  // An order that is not lost is not repeated.
  CHECK(group.armOrders() <= ranks * (group.held().size() + 1) * 11 / 10);
  // The time at a held step is no pass; gateways would refuse streams for it.
  CHECK(group.toldPass() < kPass * 3 / 2);
}

TEST_CASE("map_controller_keeperIsSlowAndOrdersAreLost_changesComplete")
{
  const std::size_t ranks = GENERATE(16, 192);
  CAPTURE(ranks);
  HeldGroup group({ .ranks = ranks,
                    .messageTime = microseconds(400),
                    .reportPeriod = loadPeriod(ranks),
                    .lossShare = 0.35 });
  group.run(seconds(40));
  CHECK(group.held().size() >= 4);
}
