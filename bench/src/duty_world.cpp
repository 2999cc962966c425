#include "laburnum/bench/duty_world.hpp"

namespace laburnum::bench {
namespace {

constexpr Duration kTick = milliseconds(250);
constexpr char kDuty[] = "experts/group-1";

} // namespace

DutyWorld::DutyWorld(std::uint64_t aSeed, DutyOptions aOptions)
  : mQueue(aSeed)
  , mOptions(aOptions)
  , mCandidates(aOptions.candidates)
  , mGate(std::make_unique<experts::OrderGate>())
{
  for (std::size_t i = 0; i < mCandidates.size(); ++i) {
    mCandidates[i].lease = std::make_unique<coordination::Lease>(
      "daemon-" + std::to_string(i), mOptions.lease);
  }
}

Duration
DutyWorld::delay()
{
  Random& random = mQueue.random();
  if (mOptions.faults && random.chance(0.05)) {
    return milliseconds(random.below(12'000));
  }
  return milliseconds(1 + random.below(10));
}

void
DutyWorld::whenAwake(std::size_t aIndex, std::function<void()> aTask)
{
  Candidate& candidate = mCandidates[aIndex];
  if (candidate.dead) {
    return;
  }
  if (candidate.pausedUntil > mQueue.now()) {
    mQueue.after(candidate.pausedUntil - mQueue.now(),
                 [this, aIndex, aTask] { whenAwake(aIndex, aTask); });
    return;
  }
  aTask();
}

void
DutyWorld::tick(std::size_t aIndex)
{
  whenAwake(aIndex, [this, aIndex] {
    Candidate& candidate = mCandidates[aIndex];
    for (const auto& action :
         candidate.lease->tick(mQueue.now(), mQueue.random().next())) {
      call(aIndex, action);
    }
    if (!candidate.lease->holds(mQueue.now())) {
      return;
    }
    const std::uint64_t fence = candidate.lease->fence();
    // A pause may come between the look at the lease and the order's leaving.
    const bool pausesHere = mOptions.faults && mQueue.random().chance(0.01);
    const Duration pause =
      pausesHere ? milliseconds(mQueue.random().below(15'000)) : Duration(0);
    candidate.pausedUntil =
      std::max(candidate.pausedUntil, mQueue.now() + pause);
    mQueue.after(pause + delay(), [this, fence] { reachAgent(fence); });
  });
}

void
DutyWorld::call(std::size_t aIndex, const coordination::LeaseAction& aAction)
{
  const Instant sentAt = mQueue.now();
  const Duration there = delay();
  mQueue.after(there, [this, aIndex, aAction, sentAt] {
    coordination::Lease* lease = mCandidates[aIndex].lease.get();
    const bool lost =
      mOutage || (mOptions.faults && mQueue.random().chance(0.05));
    if (mOutage) {
      mQueue.after(milliseconds(500), [this, aIndex, lease] {
        whenAwake(aIndex, [lease] { lease->onFailed(); });
      });
      return;
    }
    std::function<void()> reply;
    if (const auto* write = std::get_if<coordination::WriteLease>(&aAction)) {
      const bool met = write->expectedVersion == mVersion;
      if (met) {
        mRecord = write->record;
        ++mVersion;
      }
      reply = [this, lease, met, sentAt, version = mVersion, record = mRecord] {
        if (met) {
          lease->onWritten(version, sentAt, mQueue.now());
        } else {
          lease->onConflict(version, record, mQueue.now());
        }
      };
    } else {
      reply = [this, lease, version = mVersion, record = mRecord] {
        lease->onRead(version, record, mQueue.now());
      };
    }
    if (lost) {
      reply = [lease] { lease->onFailed(); };
    }
    mQueue.after(lost ? milliseconds(2000) : delay(),
                 [this, aIndex, reply] { whenAwake(aIndex, reply); });
  });
}

void
DutyWorld::reachAgent(std::uint64_t aFence)
{
  if (!mOptions.gate) {
    apply(aFence);
    return;
  }
  const auto answer = mGate->admit(kDuty, aFence);
  if (answer == experts::GateDecision::Admit) {
    apply(aFence);
  } else if (answer == experts::GateDecision::Unknown && !mOutage) {
    // The agent reads the present number; this order is refused meanwhile.
    const std::uint64_t present = mRecord.fence;
    mQueue.after(milliseconds(5),
                 [this, present] { mGate->observe(kDuty, present); });
  }
}

void
DutyWorld::apply(std::uint64_t aFence)
{
  if (mOptions.engineChecks) {
    if (aFence < mEngineFence) {
      return;
    }
    mEngineFence = aFence;
  }
  ++mCounts.applied;
  mCounts.doubled += aFence < mHighestApplied ? 1 : 0;
  if (aFence > mHighestApplied && mDiedAt != Instant{} &&
      mCounts.takeover == 0) {
    mCounts.takeover = toSeconds(mQueue.now() - mDiedAt);
  }
  mHighestApplied = std::max(mHighestApplied, aFence);
}

void
DutyWorld::injectFaults()
{
  Random& random = mQueue.random();
  for (int i = 0; i < 8; ++i) {
    const auto at = milliseconds(random.below(
      static_cast<std::uint64_t>(mOptions.span / milliseconds(1))));
    mQueue.after(at, [this] {
      Random& later = mQueue.random();
      switch (later.below(3)) {
        case 0:
          mCandidates[later.below(mCandidates.size())].pausedUntil =
            mQueue.now() + milliseconds(later.below(15'000));
          break;
        case 1:
          mOutage = true;
          mQueue.after(milliseconds(later.below(15'000)),
                       [this] { mOutage = false; });
          break;
        default:
          mGate = std::make_unique<experts::OrderGate>(); // The agent restarts.
          break;
      }
    });
  }
}

DutyCounts
DutyWorld::run()
{
  const Instant end = mQueue.now() + mOptions.span;
  for (std::size_t i = 0; i < mCandidates.size(); ++i) {
    mQueue.after(milliseconds(mQueue.random().below(250)), [this, i, end] {
      mQueue.every(kTick, end, [this, i] { tick(i); });
    });
  }
  if (mOptions.faults) {
    injectFaults();
  }
  if (mOptions.killHolder) {
    mQueue.after(seconds(20), [this] {
      for (Candidate& candidate : mCandidates) {
        if (candidate.lease->holds(mQueue.now())) {
          candidate.dead = true;
          mDiedAt = mQueue.now();
        }
      }
    });
  }
  mQueue.runUntil(end);
  return mCounts;
}

} // namespace laburnum::bench
