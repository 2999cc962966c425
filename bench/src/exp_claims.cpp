#include "laburnum/bench/claim_world.hpp"
#include "laburnum/bench/keyed_world.hpp"
#include "laburnum/bench/report.hpp"
#include "laburnum/kernel/registry.hpp"

namespace laburnum::bench {
namespace {

double
callsPerBooking(const ClaimWorldCounts& aCounts)
{
  return static_cast<double>(aCounts.calls) /
         static_cast<double>(aCounts.bookings);
}

void
claims(std::uint64_t aSeed, Report& aReport)
{
  // A crest of bookings: a weekend morning or a storm, beyond the write limit
  // that one object for each key would need.
  const ClaimWorldOptions crest{ .bookingsPerSecond = 500 };
  ClaimWorldOptions perKey = crest;
  perKey.onePerKey = true;
  ClaimWorldOptions local = crest;
  local.ownerForwards = false;
  const auto ours = ClaimWorld(aSeed, crest).run();
  const auto baseline = ClaimWorld(aSeed, perKey).run();
  const auto unforwarded = ClaimWorld(aSeed, local).run();
  aReport.add({ .experiment = "claims",
                .name = "platform.calls_per_booking",
                .unit = "calls",
                .value = callsPerBooking(ours),
                .baseline = callsPerBooking(baseline),
                .bound = callsPerBooking(baseline),
                .goal = Goal::AtMost,
                .seed = aSeed });
  aReport.add({ .experiment = "claims",
                .name = "platform.calls_per_booking_unforwarded",
                .unit = "calls",
                .value = callsPerBooking(unforwarded),
                .baseline = callsPerBooking(baseline),
                .seed = aSeed });
  aReport.add({ .experiment = "claims",
                .name = "platform.claim_p99_s",
                .unit = "s",
                .value = percentile(ours.latencies, 0.99),
                .baseline = percentile(baseline.latencies, 0.99),
                .seed = aSeed });
  ClaimWorldOptions quiet{ .bookingsPerSecond = 20 };
  ClaimWorldOptions quietPerKey = quiet;
  quietPerKey.onePerKey = true;
  aReport.add(
    { .experiment = "claims",
      .name = "platform.calls_per_booking_quiet",
      .unit = "calls",
      .value = callsPerBooking(ClaimWorld(aSeed, quiet).run()),
      .baseline = callsPerBooking(ClaimWorld(aSeed, quietPerKey).run()),
      .seed = aSeed });
  // Faults: replies lost, calls failing, and entries that disagree on owners.
  std::uint64_t doubles = 0;
  std::uint64_t doublesOff = 0;
  for (std::uint64_t i = 0; i < 200; ++i) {
    ClaimWorldOptions faulty{ .shards = 4,
                              .bookingsPerSecond = 200,
                              .span = seconds(1),
                              .resendShare = 0.5,
                              .loseShare = 0.1,
                              .outageShare = 0.05,
                              .ownerForwards = i % 2 == 0 };
    doubles += ClaimWorld(aSeed * 1000 + i, faulty).run().doubleGrants;
    faulty.conditional = false;
    faulty.ownerForwards = false;
    doublesOff +=
      i < 20 ? ClaimWorld(aSeed * 1000 + i, faulty).run().doubleGrants : 0;
  }
  aReport.add({ .experiment = "claims",
                .name = "verdict.double_claims",
                .unit = "count",
                .value = static_cast<double>(doubles),
                .baseline = static_cast<double>(doublesOff),
                .bound = 0,
                .goal = Goal::AtMost,
                .seed = aSeed });
}

KeyedCounts
keyedSum(std::uint64_t aSeed, std::uint64_t aSchedules, KeyedOptions aOptions)
{
  KeyedCounts all;
  for (std::uint64_t i = 0; i < aSchedules; ++i) {
    const KeyedCounts one = KeyedWorld(aSeed * 1'000'003 + i, aOptions).run();
    all.doubleRun += one.doubleRun;
    all.falseNotRun += one.falseNotRun;
    all.wrongAnswer += one.wrongAnswer;
    all.ran += one.ran;
    all.answered += one.answered;
    all.adopted += one.adopted;
  }
  return all;
}

double
answeredShare(const KeyedCounts& aCounts)
{
  return static_cast<double>(aCounts.answered) /
         static_cast<double>(aCounts.ran);
}

/// Bookings with keys while entries, agents and the platform fail.
void
keyed(std::uint64_t aSeed, Report& aReport)
{
  constexpr std::uint64_t kSchedules = 100'000;
  constexpr std::uint64_t kSchedulesOff = 20'000;
  const KeyedCounts ours = keyedSum(aSeed, kSchedules, {});
  const KeyedCounts noAsk = keyedSum(aSeed, kSchedulesOff, { .asks = false });
  const KeyedCounts unnamed =
    keyedSum(aSeed, kSchedulesOff, { .namesAttempts = false });
  const KeyedCounts noTombstone =
    keyedSum(aSeed, kSchedulesOff, { .table = { .tombstones = false } });
  const KeyedCounts noCheck =
    keyedSum(aSeed, kSchedulesOff, { .request = { .requireAllParts = false } });
  const KeyedCounts stays = keyedSum(aSeed, kSchedulesOff, { .adopts = false });
  const auto add = [&](std::string aName, double aValue, double aOff) {
    aReport.add({ .experiment = "keyed",
                  .name = std::move(aName),
                  .unit = "count",
                  .value = aValue,
                  .baseline = aOff,
                  .bound = 0,
                  .goal = Goal::AtMost,
                  .seed = aSeed });
  };
  add("verdict.keyed_double_run",
      static_cast<double>(ours.doubleRun),
      static_cast<double>(noAsk.doubleRun));
  add("verdict.keyed_double_run_unnamed",
      static_cast<double>(ours.doubleRun),
      static_cast<double>(unnamed.doubleRun));
  add("verdict.keyed_double_run_no_tombstone",
      static_cast<double>(ours.doubleRun),
      static_cast<double>(noTombstone.doubleRun));
  add("verdict.keyed_false_not_run",
      static_cast<double>(ours.falseNotRun),
      static_cast<double>(noTombstone.falseNotRun));
  add("answers.keyed_wrong",
      static_cast<double>(ours.wrongAnswer),
      static_cast<double>(noCheck.wrongAnswer));
  aReport.add({ .experiment = "keyed",
                .name = "answers.resend_answered_share",
                .unit = "share",
                .value = answeredShare(ours),
                .baseline = answeredShare(stays),
                .seed = aSeed });
  aReport.add({ .experiment = "keyed",
                .name = "verdict.keyed_adopted",
                .unit = "count",
                .value = static_cast<double>(ours.adopted),
                .seed = aSeed });
}

const Registry<Experiment>::Registrar kKeyed("keyed", keyed);
const Registry<Experiment>::Registrar kClaims("claims", claims);

} // namespace
} // namespace laburnum::bench
