#pragma once

#include "laburnum/bench/event_queue.hpp"
#include "laburnum/coordination/lease.hpp"
#include "laburnum/experts/order_gate.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace laburnum::bench {

struct DutyOptions
{
  std::size_t candidates = 3;
  Duration span = seconds(60);
  bool faults = true;        ///< Pauses, lost replies, outages, restarts.
  bool gate = true;          ///< Off: agents pass every order.
  bool engineChecks = false; ///< The engine refuses old numbers itself.
  bool killHolder = false;   ///< The holder dies once, for good.
  coordination::LeaseOptions lease;
};

struct DutyCounts
{
  std::uint64_t applied = 0;
  std::uint64_t doubled = 0; ///< Orders of an older holder after a newer one.
  double takeover = 0;       ///< Seconds from the holder's death to an order.
};

/// Candidates for a duty with real leases, the platform's record, an agent
/// with the order gate and an engine. Thread safety: one thread.
class DutyWorld
{
public:
  DutyWorld(std::uint64_t aSeed, DutyOptions aOptions);
  DutyCounts run();

private:
  struct Candidate
  {
    std::unique_ptr<coordination::Lease> lease;
    Instant pausedUntil{};
    bool dead = false;
  };

  void tick(std::size_t aIndex);
  void call(std::size_t aIndex, const coordination::LeaseAction& aAction);
  void order(std::size_t aIndex);
  void reachAgent(std::uint64_t aFence);
  void apply(std::uint64_t aFence);
  void injectFaults();
  Duration delay();
  /// Runs a task when the candidate is not paused; a paused one believes what
  /// it believed before.
  void whenAwake(std::size_t aIndex, std::function<void()> aTask);

  EventQueue mQueue;
  DutyOptions mOptions;
  std::vector<Candidate> mCandidates;
  coordination::LeaseRecord mRecord;
  std::uint64_t mVersion = 0;
  bool mOutage = false;
  std::unique_ptr<experts::OrderGate> mGate;
  std::uint64_t mEngineFence = 0;
  std::uint64_t mHighestApplied = 0;
  Instant mDiedAt{};
  DutyCounts mCounts;
};

} // namespace laburnum::bench
