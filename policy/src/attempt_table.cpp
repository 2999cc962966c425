#include "laburnum/policy/attempt_table.hpp"

#include <algorithm>

namespace laburnum::policy {

AttemptTable::AttemptTable(AttemptTableOptions aOptions)
  : mOptions(aOptions)
{
}

void
AttemptTable::updateFence(std::uint64_t aEntry, std::uint64_t aFence)
{
  std::uint64_t& fence = mFences[aEntry];
  fence = std::max(fence, aFence);
  if (!mOptions.fences) {
    return;
  }
  const auto found = mTombstones.find(aEntry);
  if (found == mTombstones.end()) {
    return;
  }
  // A tombstone guards against dispatches on connections older than the one
  // that queried. Once all of those are fenced, none can arrive any more.
  std::erase_if(found->second, [&](const Tombstone& aTombstone) {
    if (aTombstone.ordinal > fence) {
      return false;
    }
    mRows.erase(aTombstone.id);
    return true;
  });
  if (found->second.empty()) {
    mTombstones.erase(found);
  }
}

bool
AttemptTable::isFenced(std::uint64_t aEntry, std::uint64_t aOrdinal) const
{
  if (!mOptions.fences) {
    return false;
  }
  const auto found = mFences.find(aEntry);
  return found != mFences.end() && aOrdinal < found->second;
}

bool
AttemptTable::mayHaveBeenEvicted(AttemptId aId) const
{
  const auto found = mMaxEvicted.find(aId.entry);
  return found != mMaxEvicted.end() && aId.number <= found->second;
}

bool
AttemptTable::ensureCapacity(Instant aNow)
{
  if (mRows.size() >= mOptions.capacity) {
    expire(aNow);
  }
  return mRows.size() < mOptions.capacity;
}

Error
AttemptTable::enqueue(AttemptId aId, std::uint64_t aOrdinal, Instant aNow)
{
  if (isFenced(aId.entry, aOrdinal)) {
    return Error::AttemptRevoked;
  }
  const auto found = mRows.find(aId);
  if (found != mRows.end()) {
    return found->second.state == AttemptState::Revoked ? Error::AttemptRevoked
                                                        : Error::Conflict;
  }
  if (mayHaveBeenEvicted(aId)) {
    return Error::Conflict;
  }
  if (!ensureCapacity(aNow)) {
    return Error::AttemptsFull;
  }
  mRows.emplace(aId, Row{});
  return Error::None;
}

bool
AttemptTable::start(AttemptId aId)
{
  const auto found = mRows.find(aId);
  if (found == mRows.end() || found->second.state != AttemptState::Queued) {
    return false;
  }
  found->second.state = AttemptState::Started;
  return true;
}

void
AttemptTable::recordEnded(AttemptId aId, Instant aNow)
{
  mEnded.push_back({ .at = aNow, .id = aId });
}

void
AttemptTable::end(AttemptId aId, AttemptState aState, Instant aNow)
{
  const auto found = mRows.find(aId);
  if (found == mRows.end()) {
    return;
  }
  const bool started = found->second.state == AttemptState::Started;
  const bool queued = found->second.state == AttemptState::Queued;
  if (!started && !queued) {
    return;
  }
  found->second.state = aState;
  recordEnded(aId, aNow);
}

AttemptState
AttemptTable::queryState(AttemptId aId, std::uint64_t aOrdinal, Instant aNow)
{
  const auto found = mRows.find(aId);
  if (found == mRows.end()) {
    if (!mOptions.tombstones) {
      return AttemptState::Revoked;
    }
    if (mayHaveBeenEvicted(aId) || !ensureCapacity(aNow)) {
      return AttemptState::Unknown;
    }
    mRows.emplace(aId, Row{ .state = AttemptState::Revoked });
    mTombstones[aId.entry].push_back({ .ordinal = aOrdinal, .id = aId });
    return AttemptState::Revoked;
  }
  if (found->second.state == AttemptState::Queued) {
    found->second.state = AttemptState::Revoked;
    recordEnded(aId, aNow);
  }
  return found->second.state;
}

AttemptState
AttemptTable::queryStateForOther(AttemptId aId, Instant aNow)
{
  if (mRows.contains(aId)) {
    return queryState(aId, 0, aNow);
  }
  if (!mOptions.tombstones) {
    return AttemptState::Revoked;
  }
  if (mayHaveBeenEvicted(aId) || !ensureCapacity(aNow)) {
    return AttemptState::Unknown;
  }
  // Unlike a tombstone, this row expires. Its number is then covered by
  // mMaxEvicted, so that a later dispatch is still refused.
  mRows.emplace(aId, Row{ .state = AttemptState::Revoked });
  recordEnded(aId, aNow);
  return AttemptState::Revoked;
}

AttemptState
AttemptTable::state(AttemptId aId) const
{
  const auto found = mRows.find(aId);
  return found == mRows.end() ? AttemptState::Unknown : found->second.state;
}

void
AttemptTable::markAcknowledged(AttemptId aId, Instant aNow)
{
  mAcknowledged.push_back({ .at = aNow, .id = aId });
}

void
AttemptTable::evictOlder(std::deque<EndedAttempt>& aEnded,
                         Duration aRetention,
                         Instant aNow)
{
  while (!aEnded.empty() && aNow - aEnded.front().at >= aRetention) {
    const AttemptId id = aEnded.front().id;
    if (mRows.erase(id) > 0) {
      std::uint64_t& maxEvicted = mMaxEvicted[id.entry];
      maxEvicted = std::max(maxEvicted, id.number);
    }
    aEnded.pop_front();
  }
}

void
AttemptTable::expire(Instant aNow)
{
  evictOlder(mEnded, mOptions.endedRetention, aNow);
  evictOlder(mAcknowledged, mOptions.acknowledgedRetention, aNow);
}

} // namespace laburnum::policy
