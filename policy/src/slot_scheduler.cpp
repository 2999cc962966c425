#include "laburnum/policy/slot_scheduler.hpp"

#include "laburnum/policy/length_predictor.hpp"

#include <algorithm>

namespace laburnum::policy {
namespace {

/// Minimum run time before work can be paused, and its increase per token that
/// would have to be prefilled again on resumption. Shorter runs would cost more
/// prefill than pausing gains.
constexpr Duration kMinRunBeforePause = milliseconds(60);
constexpr Duration kMinRunPerToken = microseconds(200);

/// Fraction of the maximum wait that admission allows for work already queued;
/// the rest is kept for shorter work that arrives later and goes first.
constexpr double kAdmissionWaitShare = 0.35;

constexpr Duration kMinRetryAfter = seconds(1);

} // namespace

SlotScheduler::SlotScheduler(SlotSchedulerOptions aOptions)
  : mOptions(std::move(aOptions))
  , mQueue(makeWorkQueue(mOptions.queue))
  , mThroughput(mOptions.initialTokensPerSecond)
  , mSlots{ .total = mOptions.slots }
{
}

Duration
SlotScheduler::plannedRunTime(const WorkItem& aWork) const
{
  return Duration(static_cast<Duration::rep>(
    aWork.cost * static_cast<double>(mOptions.timePerToken.count())));
}

Duration
SlotScheduler::maxWait(const WorkItem& aWork, Duration aDeadline) const
{
  const Duration slack =
    std::max(Duration(0), aDeadline - plannedRunTime(aWork));
  return mQueue->isLong(aWork)
           ? std::max(slack, std::min(mOptions.maxFirstTokenWait, aDeadline))
           : std::min(mOptions.maxFirstTokenWait, aDeadline);
}

double
SlotScheduler::remainingCost(const Running& aRunning)
{
  return LengthPredictor::revisedPrediction(aRunning.work.cost,
                                            aRunning.tokensProduced) -
         aRunning.tokensProduced;
}

Duration
SlotScheduler::timeUntilPausable(const Running& aRunning, Instant aNow) const
{
  const auto tokens = static_cast<Duration::rep>(aRunning.work.priorTokens +
                                                 aRunning.tokensProduced);
  const Duration minRun = kMinRunBeforePause + kMinRunPerToken * tokens;
  return std::max(Duration(0), aRunning.since + minRun - aNow);
}

bool
SlotScheduler::canPause(const Running& aRunning, Instant aNow) const
{
  return mOptions.pauseLongWork && aRunning.isLong && aRunning.work.resumable &&
         timeUntilPausable(aRunning, aNow) == Duration(0);
}

/// Caps the estimated times until slots become free. Predicted lengths vary and
/// tend to be too high, so with many slots the first one becomes free far
/// sooner than any single prediction suggests. The i-th slot is expected after
/// i times the mean interval between completions at full occupancy.
void
SlotScheduler::limitByMeanRunTime(std::vector<double>& aSlotSeconds) const
{
  double cost = 0;
  for (const auto& [id, running] : mRunning) {
    cost += running.work.cost;
  }
  if (mRunning.empty()) {
    return;
  }
  const double completionInterval =
    cost / static_cast<double>(mRunning.size()) / mThroughput.tokensPerSecond();
  std::sort(aSlotSeconds.begin(), aSlotSeconds.end());
  for (std::size_t i = 0; i < aSlotSeconds.size(); ++i) {
    aSlotSeconds[i] = std::min(aSlotSeconds[i],
                               static_cast<double>(i + 1) * completionInterval);
  }
}

Duration
SlotScheduler::estimateWait(const WorkItem& aWork, Instant aNow) const
{
  const bool isLong = mQueue->isLong(aWork);
  const double slotTokensPerSecond =
    mThroughput.tokensPerSecond() / mSlots.total;
  std::vector<double> slots(
    static_cast<std::size_t>(std::max(0, mSlots.total - mSlots.busy)), 0.0);
  for (const auto& [id, running] : mRunning) {
    const double remaining = remainingCost(running) / slotTokensPerSecond;
    const bool pausable = mOptions.pauseLongWork && running.isLong &&
                          running.work.resumable && !isLong;
    slots.push_back(
      pausable
        ? std::min(remaining, toSeconds(timeUntilPausable(running, aNow)))
        : remaining);
  }
  limitByMeanRunTime(slots);
  std::vector<double> ahead = mQueue->costsAhead(aWork);
  for (double& cost : ahead) {
    cost /= slotTokensPerSecond;
  }
  return expectedWait(std::move(slots), ahead);
}

SlotScheduler::Decision
SlotScheduler::submit(WorkItem aWork, Duration aDeadline, Instant aNow)
{
  if (mQueue->size() >= mOptions.maxWaiting) {
    return { .error = Error::QueueFull, .retryAfter = seconds(1) };
  }
  const Duration limit =
    mOptions.admission ? maxWait(aWork, aDeadline) : aDeadline;
  if (mOptions.admission) {
    const Duration wait = estimateWait(aWork, aNow);
    const auto admissionLimit =
      fromSeconds(toSeconds(limit) * kAdmissionWaitShare);
    if (wait > admissionLimit) {
      return { .error = Error::DeadlineUnreachable,
               .retryAfter = std::max(kMinRetryAfter, wait - admissionLimit) };
    }
  }
  aWork.arrived = aNow;
  // Admitted work expires only once it can no longer finish in time, because a
  // late refusal leaves the caller the least time to retry elsewhere.
  aWork.startBy = aNow + std::max(limit, aDeadline - plannedRunTime(aWork));
  mQueue->add(std::move(aWork));
  return {};
}

std::optional<WorkItem>
SlotScheduler::next(Instant aNow)
{
  if (mSlots.busy >= mSlots.total) {
    return std::nullopt;
  }
  auto work = mQueue->take(aNow, mSlots);
  if (!work) {
    return std::nullopt;
  }
  const bool isLong = mQueue->isLong(*work);
  mRunning[work->id] = { .work = *work, .isLong = isLong, .since = aNow };
  ++mSlots.busy;
  mSlots.busyLong += isLong ? 1 : 0;
  mSlots.busySuspect += work->suspect ? 1 : 0;
  mThroughput.setBusySlots(mSlots.busy, mSlots.total, aNow);
  return work;
}

void
SlotScheduler::recordTokens(AttemptId aId, double aTokens, Instant aNow)
{
  const auto found = mRunning.find(aId);
  if (found == mRunning.end()) {
    return;
  }
  found->second.tokensProduced += aTokens;
  mThroughput.recordTokens(aTokens, aNow);
}

void
SlotScheduler::recordEnd(AttemptId aId, Instant aNow)
{
  const auto found = mRunning.find(aId);
  if (found == mRunning.end()) {
    return;
  }
  const Running& running = found->second;
  --mSlots.busy;
  mSlots.busyLong -= running.isLong ? 1 : 0;
  mSlots.busySuspect -= running.work.suspect ? 1 : 0;
  mQueue->recordActualCost(running.work.account,
                           running.work.cost,
                           std::max(1.0, running.tokensProduced));
  mRunning.erase(found);
  mThroughput.setBusySlots(mSlots.busy, mSlots.total, aNow);
}

std::optional<AttemptId>
SlotScheduler::pause(Instant aNow)
{
  const bool keepsLong = mSlots.busyLong <= mQueue->reservedLongSlots(mSlots);
  if (mSlots.busy < mSlots.total || !mOptions.pauseLongWork || keepsLong ||
      !mQueue->hasShortWork()) {
    return std::nullopt;
  }
  const Running* chosen = nullptr;
  // Prefers the work with the least to prefill again on resumption.
  const auto hasLessToPrefill = [&chosen](const Running& aOther) {
    return chosen == nullptr ||
           aOther.work.priorTokens + aOther.tokensProduced <
             chosen->work.priorTokens + chosen->tokensProduced;
  };
  for (const auto& [id, running] : mRunning) {
    if (canPause(running, aNow) && hasLessToPrefill(running)) {
      chosen = &running;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  WorkItem work = chosen->work;
  work.cost = std::max(1.0, remainingCost(*chosen));
  // The first token was in time, so paused work has no start deadline.
  work.startBy = Instant::max();
  work.priorTokens += chosen->tokensProduced;
  const AttemptId id = work.id;
  recordEnd(id, aNow);
  mQueue->add(std::move(work));
  return id;
}

bool
SlotScheduler::removeWaiting(AttemptId aId)
{
  return mQueue->remove(aId);
}

std::vector<WorkItem>
SlotScheduler::takeExpired(Instant aNow)
{
  return mQueue->takeExpired(aNow);
}

bool
SlotScheduler::reconfigure(std::string_view aQueue, bool aAdmission)
{
  mOptions.admission = aAdmission;
  if (aQueue == mOptions.queue) {
    return true;
  }
  if (Registry<WorkQueueFactory>::find(aQueue) == nullptr) {
    return false;
  }
  auto waiting = mQueue->takeAll();
  mOptions.queue = aQueue;
  mQueue = makeWorkQueue(aQueue);
  for (WorkItem& work : waiting) {
    mQueue->add(std::move(work));
  }
  return true;
}

SchedulerLoad
SlotScheduler::load() const
{
  SchedulerLoad load{ .running = mSlots.busy,
                      .waiting = static_cast<int>(mQueue->size()),
                      .cost = mQueue->cost(),
                      .tokensPerSecond = mThroughput.tokensPerSecond() };
  for (const auto& [id, running] : mRunning) {
    load.cost += remainingCost(running);
    load.pausable +=
      mOptions.pauseLongWork && running.isLong && running.work.resumable ? 1
                                                                         : 0;
  }
  return load;
}

} // namespace laburnum::policy
