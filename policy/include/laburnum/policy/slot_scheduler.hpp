#pragma once

#include "laburnum/policy/admission.hpp"
#include "laburnum/policy/work_queue.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnum::policy {

struct SlotSchedulerOptions
{
  std::string queue = "short_first"; ///< Name of the work queue.
  int slots = 8;                     ///< Requests the server runs at a time.
  std::size_t maxWaiting = 1000;
  /// Maximum wait of work that is not long for its first token.
  Duration maxFirstTokenWait = milliseconds(1400);
  /// Planned time per output token, to estimate run times against deadlines.
  Duration timePerToken = milliseconds(30);
  /// Throughput of the server until it has been measured.
  double initialTokensPerSecond = 200;
  /// Refuse work that is not expected to start in time; off: let it wait.
  bool admission = true;
  /// Pause long work when short work waits and no slot is free.
  bool pauseLongWork = true;
};

/// Load of a backend server as its scheduler reports it to entries.
struct SchedulerLoad
{
  int running = 0;
  int waiting = 0;
  double cost = 0; ///< Predicted tokens still to produce, waiting or running.
  double tokensPerSecond = 0;
  int pausable = 0; ///< Running work that can be paused for short work.
};

/// Schedules the work of one backend server: decides what to admit, when each
/// work item starts, and which long work to pause for short work. Work that is
/// not expected to start in time is refused at once, so that the caller can
/// retry elsewhere early. Performs no I/O: the caller runs the work that `next`
/// returns and reports its progress. Not thread-safe; timestamps must not
/// decrease between calls, except that `takeExpired` accepts any.
class SlotScheduler
{
public:
  /// Result of `submit`; Error::None if the work was admitted.
  struct Decision
  {
    Error error = Error::None;
    Duration retryAfter{ 0 };
  };

  explicit SlotScheduler(SlotSchedulerOptions aOptions);

  /// Admits or refuses work. Admitted work waits until `next` returns it.
  /// @param aDeadline Time from now within which the response is due.
  Decision submit(WorkItem aWork, Duration aDeadline, Instant aNow);

  /// Returns the work to start now and assigns it a slot; nothing if no slot
  /// is free or no work may start.
  std::optional<WorkItem> next(Instant aNow);

  /// Selects running long work to pause, if short work waits and no slot is
  /// free. It returns to the queue with its remaining cost and resumes later.
  /// The caller must stop it on the server before calling `next`.
  std::optional<AttemptId> pause(Instant aNow);

  /// Records output tokens of running work.
  /// @pre `next` returned the work.
  void recordTokens(AttemptId aId, double aTokens, Instant aNow);

  /// Frees the slot of running work that has ended.
  /// @pre `next` returned the work.
  void recordEnd(AttemptId aId, Instant aNow);

  /// Removes waiting work; returns false if it is not waiting.
  bool removeWaiting(AttemptId aId);

  /// Removes and returns the waiting work that can no longer start in time.
  std::vector<WorkItem> takeExpired(Instant aNow);

  /// Switches the work queue and admission; waiting work moves to the new
  /// queue. Returns false and keeps the queue if there is none named aQueue.
  bool reconfigure(std::string_view aQueue, bool aAdmission);

  // Accessors.

  SchedulerLoad load() const;
  int running() const { return mSlots.busy; }
  std::size_t waiting() const { return mQueue->size(); }
  double tokensPerSecond() const { return mThroughput.tokensPerSecond(); }
  /// Returns the number of running and waiting work items.
  std::size_t inProgress() const { return mRunning.size() + mQueue->size(); }

private:
  struct Running
  {
    WorkItem work;
    double tokensProduced = 0; ///< Since it last started.
    bool isLong = false;
    Instant since;
  };

  Duration plannedRunTime(const WorkItem& aWork) const;
  Duration maxWait(const WorkItem& aWork, Duration aDeadline) const;
  static double remainingCost(const Running& aRunning);
  Duration timeUntilPausable(const Running& aRunning, Instant aNow) const;
  bool canPause(const Running& aRunning, Instant aNow) const;
  void limitByMeanRunTime(std::vector<double>& aSlotSeconds) const;
  Duration estimateWait(const WorkItem& aWork, Instant aNow) const;

  SlotSchedulerOptions mOptions;
  std::unique_ptr<WorkQueue> mQueue;
  ThroughputMeter mThroughput;
  SlotState mSlots;
  std::unordered_map<AttemptId, Running> mRunning;
};

} // namespace laburnum::policy
