#pragma once

#include "laburnum/kernel/registry.hpp"
#include "laburnum/kernel/time.hpp"
#include "laburnum/policy/attempt.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnum::policy {

/// A request attempt that waits for, or occupies, a slot of a backend server.
struct WorkItem
{
  AttemptId id;
  std::string account;
  double weight = 1; ///< Fair-share weight of the account, by contract.
  int priority = 5;  ///< From 0, the lowest, to 9.
  double cost = 1;   ///< Predicted output in tokens.
  Instant arrived;
  Instant startBy;        ///< A later start cannot meet the caller's deadline.
  double priorTokens = 0; ///< Tokens produced before it was paused.
  bool resumable = false; ///< Can be paused and resumed later.
  bool suspect = false;   ///< May crash the server; at most one runs at a time.
};

/// Occupancy of a backend server's slots.
struct SlotState
{
  int total = 1;
  int busy = 0;
  int busyLong = 0;    ///< Slots occupied by long work.
  int busySuspect = 0; ///< Slots occupied by suspects.
};

/// Holds the work that waits for a slot and decides which runs next. Scheduling
/// disciplines implement this interface and are registered by name. Costs are
/// in tokens. Not thread-safe.
class WorkQueue
{
public:
  virtual ~WorkQueue() = default;

  /// Adds a work item.
  /// @pre Its id is not in the queue.
  virtual void add(WorkItem aWork) = 0;

  /// Removes and returns the work to run next; nothing if none may take a slot.
  /// @pre A slot is free.
  virtual std::optional<WorkItem> take(Instant aNow,
                                       const SlotState& aSlots) = 0;

  /// Removes a work item; returns false if it is not in the queue.
  virtual bool remove(AttemptId aId) = 0;

  /// Removes and returns the work whose `startBy` has passed.
  virtual std::vector<WorkItem> takeExpired(Instant aNow) = 0;

  /// Removes and returns all work.
  virtual std::vector<WorkItem> takeAll() = 0;

  /// Corrects the account's fair-share accounting by the difference between
  /// the predicted and the actual cost of work that has ended.
  virtual void recordActualCost(const std::string& aAccount,
                                double aPredicted,
                                double aActual) = 0;

  /// Returns true if the queue classifies the work as long.
  virtual bool isLong(const WorkItem& aWork) const = 0;

  /// Returns the costs of the waiting work that would start before aWork, in
  /// order.
  virtual std::vector<double> costsAhead(const WorkItem& aWork) const = 0;

  /// Returns true if any waiting work is not long.
  virtual bool hasShortWork() const = 0;

  /// Returns the number of slots reserved for long work, so that short work
  /// cannot starve it.
  virtual int reservedLongSlots(const SlotState& aSlots) const = 0;

  /// Returns the number of waiting work items.
  virtual std::size_t size() const = 0;

  /// Returns the total cost of the waiting work.
  virtual double cost() const = 0;
};

/// Creates a queue; registered by name: "fcfs", "short_first".
using WorkQueueFactory = std::unique_ptr<WorkQueue> (*)();

/// Creates the queue registered as aName; "short_first" if there is none.
/// Thread-safe.
std::unique_ptr<WorkQueue>
makeWorkQueue(std::string_view aName);

} // namespace laburnum::policy
