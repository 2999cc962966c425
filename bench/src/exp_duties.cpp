#include "laburnum/bench/duty_world.hpp"
#include "laburnum/bench/report.hpp"
#include "laburnum/experts/placement.hpp"
#include "laburnum/kernel/registry.hpp"

#include <algorithm>

namespace laburnum::bench {
namespace {

constexpr std::uint64_t kSchedules = 10'000;
constexpr std::uint64_t kSchedulesOff = 500;

std::uint64_t
doubled(std::uint64_t aSeed,
        std::uint64_t aSchedules,
        bool aGate,
        bool aEngineChecks)
{
  std::uint64_t count = 0;
  for (std::uint64_t i = 0; i < aSchedules; ++i) {
    const DutyOptions options{ .span = seconds(40),
                               .gate = aGate,
                               .engineChecks = aEngineChecks };
    count += DutyWorld(aSeed * 100'003 + i, options).run().doubled;
  }
  return count;
}

void
duties(std::uint64_t aSeed, Report& aReport)
{
  const auto ignoring = doubled(aSeed, kSchedules / 2, true, false);
  const auto checking = doubled(aSeed, kSchedules / 2, true, true);
  const auto off = doubled(aSeed, kSchedulesOff, false, false);
  aReport.add({ .experiment = "duties",
                .name = "duties.double_orders_applied",
                .unit = "count",
                .value = static_cast<double>(ignoring + checking),
                .baseline = static_cast<double>(off),
                .bound = 0,
                .goal = Goal::AtMost,
                .seed = aSeed });
  std::vector<double> takeovers;
  for (std::uint64_t i = 0; i < 200; ++i) {
    const DutyOptions options{ .span = seconds(60),
                               .faults = false,
                               .killHolder = true };
    takeovers.push_back(DutyWorld(aSeed * 1009 + i, options).run().takeover);
  }
  const double least = *std::min_element(takeovers.begin(), takeovers.end());
  aReport.add(
    { .experiment = "duties",
      .name = "duties.takeover_s",
      .unit = "s",
      .value =
        least > 0 ? *std::max_element(takeovers.begin(), takeovers.end()) : 1e9,
      .bound = 10,
      .goal = Goal::AtMost,
      .seed = aSeed });
}

/// Servers of one of eight domains are lost; the rest is filled anew.
double
refillSeconds(std::uint64_t aSeed, double& aLimit, std::uint64_t& aFlapOrders)
{
  constexpr double kRate = 4; // gigabytes a second
  constexpr int kServers = 96;
  constexpr int kModels = 6;
  Random random(aSeed);
  std::vector<experts::PlacementServer> servers;
  std::vector<experts::PlacementDemand> demands;
  for (int i = 0; i < kModels; ++i) {
    demands.push_back({ .model = "m" + std::to_string(i) + "@1",
                        .servers = 14,
                        .gigabytes = 20.0 + 10 * i });
  }
  for (int i = 0; i < kServers; ++i) {
    // 84 of 96 are in use; each model's servers lie in all domains.
    servers.push_back(
      { .name = "s" + std::to_string(i),
        .domain = std::to_string(i % 8),
        .model =
          i < 84 ? demands[static_cast<std::size_t>(i / 14)].model : "" });
  }
  const experts::PlacementOptions options{ .storeGigabytesPerSecond = kRate };
  experts::PlacementPlanner planner(options);
  EventQueue queue(aSeed);
  std::size_t loading = 0;
  double gigabytes = 0;
  Instant done{};
  bool lost = false;
  const auto tick = [&] {
    for (const auto& order : planner.tick(queue.now(), servers, demands)) {
      if (!lost) {
        ++aFlapOrders;
      }
      ++loading;
      gigabytes += order.gigabytes;
      // The parallel loads share the store's rate.
      const double span =
        order.gigabytes / (kRate / static_cast<double>(options.parallelLoads));
      queue.after(fromSeconds(span), [&, order] {
        planner.endLoad(order.server);
        for (auto& server : servers) {
          if (server.name == order.server) {
            server.model = order.model;
          }
        }
        --loading;
        done = queue.now();
      });
    }
  };
  queue.every(milliseconds(500), queue.now() + seconds(2000), tick);
  // For a minute, servers flap without being lost.
  for (int i = 0; i < 60; ++i) {
    auto& server = servers[random.below(84)];
    server.live = false;
    queue.runUntil(queue.now() + seconds(1));
    server.live = true;
  }
  lost = true;
  const Instant lostAt = queue.now();
  for (auto& server : servers) {
    server.live = server.domain != "3";
  }
  queue.runUntil(queue.now() + seconds(1500));
  aLimit = gigabytes / kRate;
  return toSeconds(done - lostAt - options.lossDelay);
}

void
placement(std::uint64_t aSeed, Report& aReport)
{
  double limit = 0;
  std::uint64_t flapOrders = 0;
  const double took = refillSeconds(aSeed, limit, flapOrders);
  aReport.add({ .experiment = "placement",
                .name = "placement.refill_time_ratio",
                .unit = "ratio",
                .value = took / limit,
                .bound = 1.2,
                .goal = Goal::AtMost,
                .seed = aSeed });
  aReport.add({ .experiment = "placement",
                .name = "placement.orders_for_flapping",
                .unit = "count",
                .value = static_cast<double>(flapOrders),
                .bound = 0,
                .goal = Goal::AtMost,
                .seed = aSeed });
}

const Registry<Experiment>::Registrar kDuties("duties", duties);
const Registry<Experiment>::Registrar kPlacement("placement", placement);

} // namespace
} // namespace laburnum::bench
