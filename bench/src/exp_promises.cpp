#include "laburnum/bench/promise_world.hpp"
#include "laburnum/bench/report.hpp"
#include "laburnum/kernel/registry.hpp"

namespace laburnum::bench {
namespace {

constexpr std::uint64_t kSchedules = 100'000;

/// Fewer schedules show what a mechanism prevents when it is off.
constexpr std::uint64_t kSchedulesOff = 10'000;

PromiseCounts
sum(std::uint64_t aSeed,
    std::uint64_t aSchedules,
    const PromiseOptions& aOptions)
{
  PromiseCounts all;
  for (std::uint64_t i = 0; i < aSchedules; ++i) {
    const PromiseCounts one =
      PromiseWorld(aSeed * 1'000'003 + i, aOptions).run();
    all.falseNotRun += one.falseNotRun;
    all.doubleRun += one.doubleRun;
    all.incompleteTold += one.incompleteTold;
    all.wrongAnswer += one.wrongAnswer;
    all.completed += one.completed;
    all.failed += one.failed;
  }
  return all;
}

void
promises(std::uint64_t aSeed, Report& aReport)
{
  const PromiseCounts ours = sum(aSeed, kSchedules, {});
  const PromiseCounts noAsk =
    sum(aSeed, kSchedulesOff, { .request = { .queryBeforeRetry = false } });
  const PromiseCounts noTombstone =
    sum(aSeed,
        kSchedulesOff,
        { .table = { .tombstones = false, .fences = false } });
  const PromiseCounts noCheck =
    sum(aSeed, kSchedulesOff, { .request = { .requireAllParts = false } });
  const auto add =
    [&](std::string aName, std::uint64_t aValue, std::uint64_t aOff) {
      aReport.add({ .experiment = "promises",
                    .name = std::move(aName),
                    .unit = "count",
                    .value = static_cast<double>(aValue),
                    .baseline = static_cast<double>(aOff),
                    .bound = 0,
                    .goal = Goal::AtMost,
                    .seed = aSeed });
    };
  // The baselines are the counts with the mechanism switched off.
  add("verdict.false_not_run",
      ours.falseNotRun,
      noTombstone.falseNotRun + noAsk.falseNotRun);
  add("verdict.double_run", ours.doubleRun, noAsk.doubleRun);
  add("answers.incomplete_told_complete",
      ours.incompleteTold,
      noCheck.incompleteTold);
  add("answers.wrong_part", ours.wrongAnswer, noCheck.wrongAnswer);
  aReport.add({ .experiment = "promises",
                .name = "verdict.false_not_run_without_tombstone",
                .unit = "count",
                .value = static_cast<double>(noTombstone.falseNotRun),
                .seed = aSeed });
  aReport.add({ .experiment = "promises",
                .name = "verdict.completed_share",
                .unit = "share",
                .value = static_cast<double>(ours.completed) /
                         static_cast<double>(ours.completed + ours.failed),
                .seed = aSeed });
}

const Registry<Experiment>::Registrar kPromises("promises", promises);

} // namespace
} // namespace laburnum::bench
