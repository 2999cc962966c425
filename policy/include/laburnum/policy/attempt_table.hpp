#pragma once

#include "laburnum/kernel/time.hpp"
#include "laburnum/policy/attempt.hpp"

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace laburnum::policy {

/// Limits of an attempt table. The switches disable one safety mechanism each,
/// so that experiments can show which failure it prevents.
struct AttemptTableOptions
{
  /// Maximum number of rows; new attempts are refused while it is reached.
  std::size_t capacity = 100000;
  /// How long the state of an ended attempt can be queried.
  Duration endedRetention = seconds(120);
  /// The same once the entry has acknowledged the whole response.
  Duration acknowledgedRetention = seconds(5);
  /// Off: a query for an unknown attempt leaves no record, so a delayed
  /// dispatch of it can still start.
  bool tombstones = true;
  /// Off: frames from superseded connections are still accepted.
  bool fences = true;
};

/// An agent's record of attempts, which decides what may run on its backend
/// server. It takes dispatches and state queries from entries. It guarantees
/// that an attempt starts at most once, and that an attempt reported as revoked
/// never starts, so that the entry can safely retry the request elsewhere.
///
/// Each connection of an entry has an ordinal that increases with every
/// reconnect. The fence is the lowest ordinal that is still valid.
///
/// Not thread-safe; all calls come from the event loop's thread.
class AttemptTable
{
public:
  explicit AttemptTable(AttemptTableOptions aOptions = {});

  // Connections.

  /// Invalidates the entry's connections with ordinals below aFence, and
  /// removes the tombstones that only guarded against frames from them.
  void updateFence(std::uint64_t aEntry, std::uint64_t aFence);

  /// Returns true if frames from this connection must be dropped.
  bool isFenced(std::uint64_t aEntry, std::uint64_t aOrdinal) const;

  // Life cycle of an attempt.

  /// Adds a dispatched attempt as queued. O(1) on average.
  /// @return Error::None if it was added. Error::Conflict if the attempt is
  /// already known or may have been evicted: the duplicate must be ignored.
  /// With any other error the attempt is refused and certainly has not run.
  Error enqueue(AttemptId aId, std::uint64_t aOrdinal, Instant aNow);

  /// Marks a queued attempt as started; returns false if it must not start.
  bool start(AttemptId aId);

  /// Ends an attempt; does nothing if it has ended already.
  /// @param aState Finished or Failed; Revoked if it never started.
  /// @pre The attempt was added by `enqueue`.
  void end(AttemptId aId, AttemptState aState, Instant aNow);

  /// Shortens the retention of an attempt whose response the entry has
  /// acknowledged in full, since the entry will not query it again.
  /// @pre The attempt has ended.
  void markAcknowledged(AttemptId aId, Instant aNow);

  /// Returns the state of an attempt to the entry that created it. A queued
  /// attempt is revoked first; an unknown one gets a tombstone and is revoked,
  /// so that a delayed dispatch cannot start it.
  /// @param aOrdinal The connection that the query came by.
  /// @return The resulting state; Unknown if the row may have been evicted or
  /// the table is full.
  AttemptState queryState(AttemptId aId, std::uint64_t aOrdinal, Instant aNow);

  /// Like `queryState`, for an entry that takes over from the attempt's own,
  /// which is gone or appears to be. An unknown attempt never starts after
  /// this, whichever connection its dispatch arrives by.
  AttemptState queryStateForOther(AttemptId aId, Instant aNow);

  /// Returns the current state without changing it.
  AttemptState state(AttemptId aId) const;

  /// Evicts ended rows whose retention has passed.
  void expire(Instant aNow);

  /// Returns the number of rows, tombstones included.
  std::size_t size() const { return mRows.size(); }

private:
  struct Row
  {
    AttemptState state = AttemptState::Queued;
  };
  struct EndedAttempt
  {
    Instant at;
    AttemptId id;
  };
  struct Tombstone
  {
    std::uint64_t ordinal;
    AttemptId id;
  };

  void recordEnded(AttemptId aId, Instant aNow);
  void evictOlder(std::deque<EndedAttempt>& aEnded,
                  Duration aRetention,
                  Instant aNow);
  bool mayHaveBeenEvicted(AttemptId aId) const;
  bool ensureCapacity(Instant aNow);

  AttemptTableOptions mOptions;
  std::unordered_map<AttemptId, Row> mRows;
  std::deque<EndedAttempt> mEnded;
  std::deque<EndedAttempt> mAcknowledged;
  /// Lowest valid connection ordinal, by entry.
  std::unordered_map<std::uint64_t, std::uint64_t> mFences;
  /// Highest number of an evicted attempt, by entry.
  std::unordered_map<std::uint64_t, std::uint64_t> mMaxEvicted;
  /// Tombstones by entry.
  std::unordered_map<std::uint64_t, std::vector<Tombstone>> mTombstones;
};

} // namespace laburnum::policy
