#include "laburnum/bench/desk_world.hpp"
#include "laburnum/bench/seeds.hpp"
#include "laburnum/contract/object_store.hpp"
#include "laburnum/kernel/hash.hpp"
#include "laburnum/kernel/registry.hpp"
#include "laburnum/membership/membership.hpp"
#include "laburnum/policy/attempt_table.hpp"

#include <chrono>
#include <cmath>
#include <malloc.h>
#include <tuple>

namespace laburnum::bench {
namespace {

constexpr std::uint32_t kPrefixTokens = 512;
constexpr int kPrefixes = 150;

/// Conversations of Zipf popularity that share long prefixes.
std::vector<Arrival>
prefixTrace(std::uint64_t aSeed, double aCapacity, double aLoad)
{
  Random random(aSeed);
  std::vector<double> cumulative;
  double total = 0;
  for (int i = 1; i <= kPrefixes; ++i) {
    total += 1 / std::pow(i, 0.8);
    cumulative.push_back(total);
  }
  std::vector<Arrival> trace;
  const double rate = aLoad * aCapacity / 60;
  for (double at = random.exponential(1 / rate); at < 60;
       at += random.exponential(1 / rate)) {
    const double pick = random.unit() * total;
    const auto prefix =
      std::lower_bound(cumulative.begin(), cumulative.end(), pick) -
      cumulative.begin();
    Arrival arrival{ .at = fromSeconds(at),
                     .account = "account-" + std::to_string(random.below(10)) };
    arrival.prefix = static_cast<std::uint64_t>(prefix) + 1;
    arrival.prefixTokens = kPrefixTokens;
    arrival.promptTokens = 32;
    arrival.outputTokens = static_cast<std::uint32_t>(30 + random.below(60));
    arrival.maxTokens = 120;
    trace.push_back(std::move(arrival));
  }
  return trace;
}

void
prefixRouting(std::uint64_t aSeed, Report& aReport)
{
  std::vector<Pair> hits;
  std::vector<Pair> skew;
  for (std::uint64_t i = 0; i < kSeeds; ++i) {
    const std::uint64_t seed = aSeed * 100 + i;
    DeskOptions ours;
    // Each server holds a fifth of all prefixes.
    ours.engine.cacheBlocks = kPrefixes / 5 * kPrefixTokens / 16;
    DeskOptions blind = ours;
    blind.prefixHints = false;
    DeskOptions two = ours;
    two.routing = "power_of_two";
    two.prefixHints = false;
    const auto trace = prefixTrace(seed, capacityOf(ours), 0.7);
    // The best possible: every request but a prefix's first finds it cached.
    const double asked = static_cast<double>(trace.size()) * kPrefixTokens;
    const double best = asked - static_cast<double>(kPrefixes) * kPrefixTokens;
    const auto play = [&](const DeskOptions& aOptions) {
      DeskWorld world(seed, aOptions);
      world.window(seconds(5), seconds(58));
      world.run(trace);
      return world.totals();
    };
    const auto loadSkew = [](const DeskTotals& aTotals) {
      double most = 0;
      double total = 0;
      for (const double tokens : aTotals.serverTokens) {
        most = std::max(most, tokens);
        total += tokens;
      }
      return most * static_cast<double>(aTotals.serverTokens.size()) / total;
    };
    const DeskTotals mine = play(ours);
    const DeskTotals theirs = play(two);
    hits.push_back({ mine.cachedTokens / best, theirs.cachedTokens / best });
    skew.push_back({ loadSkew(mine), loadSkew(theirs) });
  }
  addSpread(aReport,
            { .experiment = "route",
              .name = "route.prefix_hit_share",
              .unit = "share",
              .bound = 0.9,
              .goal = Goal::AtLeast,
              .seed = aSeed },
            hits);
  addSpread(aReport,
            { .experiment = "route",
              .name = "route.load_skew",
              .unit = "ratio",
              .bound = 1.15,
              .goal = Goal::AtMost,
              .seed = aSeed },
            skew);
}

void
faults(std::uint64_t aSeed, Report& aReport)
{
  std::vector<Pair> goodput;
  std::vector<Pair> amplification;
  std::vector<Pair> slow;
  double poisonLost = 0;
  double poisonLostOff = 0;
  double innocent = 0;
  for (std::uint64_t i = 0; i < kSeeds; ++i) {
    const std::uint64_t seed = aSeed * 100 + i;
    const DeskOptions ours;
    DeskOptions theirs{ .routing = "least_outstanding",
                        .queue = "fcfs",
                        .admission = false,
                        .unlimitedRetry = true,
                        .maxAttempts = 50 };
    const double capacity = capacityOf(ours);
    // A third of the servers goes at the crest.
    const auto storm = stormWarning(
      { .seed = seed, .span = seconds(50), .capacity = capacity, .load = 0.6 },
      1.5,
      seconds(36));
    const auto lose = [&](const DeskOptions& aOptions, double& aAmplification) {
      DeskWorld world(seed, aOptions);
      world.killServers(seconds(20), 5);
      world.window(seconds(23), seconds(45));
      world.run(storm);
      aAmplification = static_cast<double>(world.totals().attempts) /
                       static_cast<double>(world.totals().firstAttempts);
      return world.totals().goodTokens / (capacity * 10 / 15 * 22);
    };
    Pair amplified;
    const double mine = lose(ours, amplified.value);
    goodput.push_back({ mine, lose(theirs, amplified.baseline) });
    amplification.push_back(amplified);
    // One poison request, sent again twenty times.
    auto calm = gardenMorning(
      { .seed = seed, .span = seconds(60), .capacity = capacity, .load = 0.5 });
    for (int n = 0; n < 20; ++n) {
      Arrival poison{ .at = milliseconds(5000 + 2000 * n),
                      .account = "account-1",
                      .prefix = 0 };
      poison.poison = true;
      calm.push_back(poison);
    }
    const auto poisoned = [&](bool aQuarantine, double& aInnocent) {
      DeskOptions options;
      options.quarantine = aQuarantine;
      DeskWorld world(seed, options);
      const auto outcomes = world.run(calm);
      for (std::size_t n = 0; n < calm.size(); ++n) {
        aInnocent += outcomes[n].quarantined && !calm[n].poison ? 1 : 0;
      }
      return static_cast<double>(world.totals().crashes);
    };
    double ignored = 0;
    poisonLost = std::max(poisonLost, poisoned(true, innocent));
    poisonLostOff = std::max(poisonLostOff, poisoned(false, ignored));
    // One server of fifteen with a stalled rank runs at a fifth of its pace.
    const auto steady = gardenMorning({ .seed = seed,
                                        .span = seconds(60),
                                        .capacity = capacity,
                                        .load = 0.7,
                                        .longShare = 0 });
    const auto late = [&](DeskOptions aOptions, double aFactor) {
      DeskWorld world(seed, aOptions);
      world.slowServer(seconds(1), 3, aFactor);
      const auto outcomes = world.run(steady);
      std::vector<double> values;
      for (std::size_t n = 0; n < steady.size(); ++n) {
        if (outcomes[n].done && steady[n].at > seconds(10)) {
          values.push_back(toSeconds(outcomes[n].finished));
        }
      }
      return percentile(values, 0.95);
    };
    slow.push_back({ late({}, 5) / late({}, 1),
                     late(baselineDesk(), 5) / late(baselineDesk(), 1) });
  }
  addSpread(aReport,
            { .experiment = "faults",
              .name = "faults.lost_third_goodput_share",
              .unit = "share",
              .bound = 0.95,
              .goal = Goal::AtLeast,
              .seed = aSeed },
            goodput);
  addSpread(aReport,
            { .experiment = "faults",
              .name = "faults.retry_amplification",
              .unit = "ratio",
              .bound = 1.1,
              .goal = Goal::AtMost,
              .seed = aSeed },
            amplification);
  addSpread(aReport,
            { .experiment = "faults",
              .name = "faults.slow_rank_p95_ratio",
              .unit = "ratio",
              .bound = 1.3,
              .goal = Goal::AtMost,
              .seed = aSeed },
            slow);
  aReport.add({ .experiment = "faults",
                .name = "faults.poison_servers_lost",
                .unit = "count",
                .value = poisonLost,
                .baseline = poisonLostOff,
                .bound = 2,
                .goal = Goal::AtMost,
                .seed = aSeed });
  aReport.add({ .experiment = "faults",
                .name = "faults.innocent_quarantined",
                .unit = "count",
                .value = innocent,
                .bound = 0,
                .goal = Goal::AtMost,
                .seed = aSeed });
}

/// Time of one choice and bytes of state, at a number of servers.
double
decisionMicros(std::size_t aServers)
{
  policy::Router router({ .seed = 3 });
  Random random(9);
  for (std::size_t i = 0; i < aServers; ++i) {
    router.upsert({ .id = mix(i, 1),
                    .domain = "d" + std::to_string(i % 8),
                    .offers = { "m" + std::to_string(i % 18) + "@1" },
                    .slots = 8 });
  }
  const auto prefix = policy::hashPrefixBlocks(std::string(4096, 'x'));
  constexpr int kRounds = 20000;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    const std::string offer = "m" + std::to_string(i % 18);
    const auto chosen = router.choose({ .offer = offer,
                                        .domain = "d1",
                                        .cost = 100,
                                        .prefix = prefix,
                                        .now = Instant(seconds(i)) });
    if (chosen) {
      router.recordSent(*chosen, 100, prefix);
    }
  }
  const auto took = std::chrono::steady_clock::now() - start;
  return std::chrono::duration<double, std::micro>(took).count() / kRounds;
}

/// Heap bytes that a function's result holds.
template<class Make>
double
heapBytes(Make aMake)
{
  const auto before = mallinfo2().uordblks;
  const auto held = aMake();
  const auto after = mallinfo2().uordblks;
  return static_cast<double>(after) - static_cast<double>(before);
}

/// Bytes of state for each account, server, contract and member.
void
stateCost(std::uint64_t aSeed, Report& aReport)
{
  constexpr int kCount = 1600;
  const auto name = [](int aNumber) {
    return "client-account-" + std::to_string(aNumber);
  };
  const double accounts = heapBytes([&] {
    auto state = std::make_unique<std::tuple<policy::EntryRateLimiter,
                                             policy::GlobalRateLimiter,
                                             policy::RetryBudgets>>();
    for (int i = 0; i < kCount; ++i) {
      const Instant now(seconds(1));
      std::get<0>(*state).take(name(i), {}, 1, now);
      std::get<1>(*state).grant(name(i), {}, 1, now);
      std::get<2>(*state).forAccount(name(i));
    }
    return state;
  });
  const double servers = heapBytes([&] {
    auto router = std::make_unique<policy::Router>();
    for (std::uint64_t i = 0; i < kCount; ++i) {
      router->upsert(
        { .id = mix(i, 1),
          .domain = "domain-1",
          .offers = { "model/m" + std::to_string(i % 18) + "@1" } });
    }
    return router;
  });
  const double contracts = heapBytes([&] {
    auto store = std::make_unique<contract::ObjectStore>();
    for (int i = 0; i < kCount; ++i) {
      store->merge(
        { .kind = "contract",
          .name = name(i),
          .version = static_cast<std::uint64_t>(i + 1),
          .value =
            R"({"account":")" + name(i) +
            R"(","share":2,"rate":20,"burst":40,"models":[{"name":"garden-small"},{"name":"garden-large"}],"services":["visits"],"keys":[")" +
            sha256Label(name(i)) + R"("]})" });
    }
    return store;
  });
  const double members = heapBytes([&] {
    auto table = std::make_unique<membership::Membership>(
      membership::Member{ .name = "self" }, membership::MembershipOptions{}, 1);
    std::vector<membership::Member> all;
    for (int i = 0; i < kCount; ++i) {
      all.push_back({ .name = "instance-" + std::to_string(i),
                      .domain = "domain-1",
                      .region = "region-1",
                      .offers = { "model/garden@1" } });
    }
    table->onMembers("", all, Instant(seconds(1)));
    return table;
  });
  const double attempts = heapBytes([&] {
    auto table = std::make_unique<policy::AttemptTable>();
    for (std::uint64_t i = 0; i < kCount; ++i) {
      table->enqueue({ 1, i }, 1, Instant{});
      table->start({ 1, i });
      table->end({ 1, i }, policy::AttemptState::Finished, Instant{});
    }
    return table;
  });
  const auto add = [&](std::string aName, double aBytes) {
    aReport.add({ .experiment = "policy",
                  .name = std::move(aName),
                  .unit = "B",
                  .value = aBytes / kCount,
                  .seed = aSeed });
  };
  add("policy.bytes_per_account", accounts);
  add("policy.bytes_per_server", servers);
  add("state.bytes_per_contract", contracts);
  add("state.bytes_per_member", members);
  add("state.bytes_per_attempt_row", attempts);
}

void
policyCost(std::uint64_t aSeed, Report& aReport)
{
  stateCost(aSeed, aReport);
  for (const std::size_t servers : { 100, 200, 400, 790, 1580 }) {
    aReport.add({ .experiment = "policy",
                  .name = "policy.decision_us." + std::to_string(servers),
                  .unit = "us",
                  .value = decisionMicros(servers),
                  .seed = aSeed });
  }
  aReport.add({ .experiment = "policy",
                .name = "policy.decision_us",
                .unit = "us",
                .value = decisionMicros(790),
                .bound = 20,
                .goal = Goal::AtMost,
                .seed = aSeed });
}

const Registry<Experiment>::Registrar kPrefixRouting("route", prefixRouting);
const Registry<Experiment>::Registrar kFaults("faults", faults);
const Registry<Experiment>::Registrar kPolicyCost("policy", policyCost);

} // namespace
} // namespace laburnum::bench
