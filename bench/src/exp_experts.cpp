#include "laburnum/bench/event_queue.hpp"
#include "laburnum/bench/report.hpp"
#include "laburnum/experts/map_planner.hpp"
#include "laburnum/experts/map_switch.hpp"
#include "laburnum/kernel/registry.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <set>

namespace laburnum::bench {
namespace {

constexpr std::size_t kExperts = 128;
constexpr int kIntervals = 288; // A day in steps of five minutes.

/// Zipf popularity whose ranks drift over the day: experts' loads swing with
/// phases of their own, and now and then two change places.
class Popularity
{
public:
  explicit Popularity(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t i = 0; i < kExperts; ++i) {
      mBase.push_back(1 / std::pow(static_cast<double>(i + 1), 0.7));
      mPhase.push_back(mRandom.unit() * 2 * std::numbers::pi);
    }
    for (std::size_t i = kExperts - 1; i > 0; --i) {
      std::swap(mBase[i], mBase[mRandom.below(i + 1)]);
    }
  }

  std::vector<double> at(int aInterval)
  {
    if (aInterval % 24 == 12) {
      std::swap(mBase[mRandom.below(kExperts)], mBase[mRandom.below(kExperts)]);
    }
    std::vector<double> loads;
    const double turn = 2 * std::numbers::pi * aInterval / kIntervals;
    for (std::size_t i = 0; i < kExperts; ++i) {
      loads.push_back(mBase[i] * (1 + 0.5 * std::sin(turn + mPhase[i])));
    }
    return loads;
  }

private:
  Random mRandom;
  std::vector<double> mBase;
  std::vector<double> mPhase;
};

double
mean(const std::vector<double>& aValues)
{
  double sum = 0;
  for (const double value : aValues) {
    sum += value;
  }
  return sum / static_cast<double>(aValues.size());
}

void
planning(std::uint64_t aSeed, Report& aReport)
{
  const experts::PlannerOptions options;
  Popularity popularity(aSeed);
  const auto first = popularity.at(0);
  const experts::ExpertMap fixed = planFromScratch(first, options);
  experts::ExpertMap ours = fixed;
  experts::ExpertMap full = fixed;
  std::vector<double> oursSkew;
  std::vector<double> fixedSkew;
  std::vector<double> fullSkew;
  double oursMoves = 0;
  double fullMoves = 0;
  std::vector<double> measured = first;
  for (int interval = 1; interval < kIntervals; ++interval) {
    // Plans are made from the last interval's loads and meet the next one's.
    const auto plan = improveMap(ours, measured, options);
    oursMoves += static_cast<double>(plan.moves);
    ours = plan.map;
    const auto anew = planFromScratch(measured, options);
    fullMoves += static_cast<double>(countMoves(full, anew));
    full = anew;
    const auto loads = popularity.at(interval);
    oursSkew.push_back(skewOf(ours, loads));
    fixedSkew.push_back(skewOf(fixed, loads));
    fullSkew.push_back(skewOf(full, loads));
    measured = loads;
  }
  aReport.add({ .experiment = "experts",
                .name = "experts.skew_max_over_mean",
                .unit = "ratio",
                .value = mean(oursSkew),
                .baseline = mean(fixedSkew),
                .bound = 1.10,
                .goal = Goal::AtMost,
                .seed = aSeed });
  aReport.add({ .experiment = "experts",
                .name = "experts.skew_max_over_mean.p99",
                .unit = "ratio",
                .value = percentile(oursSkew, 0.99),
                .baseline = percentile(fixedSkew, 0.99),
                .bound = 1.10,
                .goal = Goal::AtMost,
                .seed = aSeed });
  aReport.add({ .experiment = "experts",
                .name = "experts.skew_max_over_mean.full",
                .unit = "ratio",
                .value = mean(fullSkew),
                .seed = aSeed });
  aReport.add({ .experiment = "experts",
                .name = "experts.moved_share",
                .unit = "share",
                .value = oursMoves / fullMoves,
                .baseline = 1,
                .bound = 0.1,
                .goal = Goal::AtMost,
                .seed = aSeed });
}

/// A group of 32 ranks in lock-step on the event queue that changes its map
/// again and again, under delay and loss.
struct SwitchWorld
{
  EventQueue queue;
  std::size_t count;
  experts::SwitchRules rules;
  double loss;
  std::vector<experts::RankVote> ranks;
  experts::SwitchCoordinator coordinator;
  std::vector<experts::StepNumber> steps;
  std::map<experts::StepNumber, experts::Epoch> epochs;
  std::uint64_t mixed = 0;
  std::uint64_t stalled = 0; ///< Longest run of step times without a step.
  std::uint64_t switches = 0;
  experts::Epoch epoch = 0;

  SwitchWorld(std::uint64_t aSeed,
              std::size_t aRanks,
              experts::SwitchRules aRules,
              double aLoss)
    : queue(aSeed)
    , count(aRanks)
    , rules(aRules)
    , loss(aLoss)
    , coordinator(aRanks, aRules)
    , steps(aRanks, 0)
  {
    for (experts::Rank rank = 0; rank < aRanks; ++rank) {
      ranks.emplace_back(rank, aRanks, aRules);
    }
  }

  void send(const experts::Endpoint& aFrom,
            const std::vector<experts::OutgoingMessage>& aOut)
  {
    for (const auto& out : aOut) {
      if (queue.random().chance(loss)) {
        continue;
      }
      queue.after(
        microseconds(100 + queue.random().below(2000)), [this, aFrom, out] {
          if (const auto* rank = std::get_if<experts::Rank>(&out.to)) {
            send(*rank, ranks[*rank].handle(aFrom, out.message));
          } else if (const auto* from = std::get_if<experts::Rank>(&aFrom)) {
            const bool was = coordinator.isDone();
            send(experts::CoordinatorEndpoint{},
                 coordinator.handle(*from, out.message));
            switches += !was && coordinator.isDone() ? 1 : 0;
          }
        });
    }
  }

  void step()
  {
    bool advanced = true;
    for (experts::Rank rank = 0; rank < count; ++rank) {
      const auto least = *std::min_element(steps.begin(), steps.end());
      if (steps[rank] > least) {
        continue;
      }
      const auto used = ranks[rank].epochFor(steps[rank]);
      if (!used) {
        advanced = false;
        send(rank, ranks[rank].requestOutcome());
        continue;
      }
      const auto [found, isFirst] = epochs.emplace(steps[rank], *used);
      mixed += found->second != *used ? 1 : 0;
      ++steps[rank];
    }
    mWaited = advanced ? 0 : mWaited + 1;
    stalled = std::max(stalled, mWaited);
  }

  void run(Duration aSpan)
  {
    const Instant end = queue.now() + aSpan;
    queue.every(milliseconds(20), end, [this] { step(); });
    queue.every(milliseconds(500), end, [this] {
      if (!coordinator.isDone()) {
        send(experts::CoordinatorEndpoint{}, coordinator.giveUp());
        return;
      }
      // The first step lies far enough ahead for all votes to arrive.
      const auto next = *std::max_element(steps.begin(), steps.end()) + 10;
      send(
        experts::CoordinatorEndpoint{},
        coordinator.begin({ .epoch = ++epoch, .firstStep = next, .fence = 1 }));
    });
    queue.every(milliseconds(30), end, [this] {
      send(experts::CoordinatorEndpoint{}, coordinator.repeat());
    });
    queue.runUntil(end);
  }

private:
  std::uint64_t mWaited = 0;
};

void
switching(std::uint64_t aSeed, Report& aReport)
{
  std::uint64_t mixed = 0;
  std::uint64_t off = 0;
  SwitchWorld clean(aSeed, 32, {}, 0);
  clean.run(seconds(120));
  for (std::uint64_t i = 0; i < 20; ++i) {
    SwitchWorld lossy(aSeed * 31 + i, 32, {}, 0.1);
    lossy.run(seconds(30));
    mixed += lossy.mixed;
    SwitchWorld broken(aSeed * 31 + i, 32, { .armedRankWaits = false }, 0.1);
    broken.run(seconds(30));
    off += broken.mixed;
  }
  aReport.add({ .experiment = "experts",
                .name = "experts.switch_stall_steps",
                .unit = "steps",
                .value = static_cast<double>(clean.stalled),
                .bound = 1,
                .goal = Goal::AtMost,
                .seed = aSeed });
  aReport.add({ .experiment = "experts",
                .name = "experts.switches_done",
                .unit = "count",
                .value = static_cast<double>(clean.switches),
                .seed = aSeed });
  aReport.add({ .experiment = "experts",
                .name = "experts.mixed_steps",
                .unit = "count",
                .value = static_cast<double>(mixed + clean.mixed),
                .baseline = static_cast<double>(off),
                .bound = 0,
                .goal = Goal::AtMost,
                .seed = aSeed });
}

void
expertMaps(std::uint64_t aSeed, Report& aReport)
{
  planning(aSeed, aReport);
  switching(aSeed, aReport);
}

const Registry<Experiment>::Registrar kExpertMaps("experts", expertMaps);

} // namespace
} // namespace laburnum::bench
