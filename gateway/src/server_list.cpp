#include "laburnum/gateway/server_list.hpp"

namespace laburnum::gateway {

bool
ServerList::inGrace(Instant aNow) const
{
  return mIsLost || (mRegainedAt && aNow < *mRegainedAt + mOptions.lapseGrace);
}

bool
ServerList::put(const ServerRecord& aRecord)
{
  Held& held = mRecords[aRecord.id];
  const bool isNewLife = held.record.bornMs != aRecord.bornMs;
  const bool wasUsable = !held.record.id.empty() && !held.record.isLeaving;
  held.record = aRecord;
  held.lapsedAt.reset();
  if (isNewLife) {
    held.saidLeaving = false;
  }
  return wasUsable && aRecord.isLeaving;
}

bool
ServerList::removeOrLapse(const std::string& aId, Instant aNow)
{
  const auto found = mRecords.find(aId);
  if (found == mRecords.end()) {
    return false;
  }
  if (inGrace(aNow) && !found->second.record.isLeaving) {
    if (!found->second.lapsedAt) {
      found->second.lapsedAt = aNow;
    }
    return false;
  }
  mRecords.erase(found);
  return true;
}

std::vector<std::string>
ServerList::replace(const std::vector<ServerRecord>& aAll, Instant aNow)
{
  std::set<std::string> present;
  std::vector<std::string> ended;
  for (const ServerRecord& record : aAll) {
    present.insert(record.id);
    if (put(record)) {
      ended.push_back(record.id);
    }
  }
  std::vector<std::string> missing;
  for (const auto& [id, held] : mRecords) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    if (removeOrLapse(id, aNow)) {
      ended.push_back(id);
    }
  }
  return ended;
}

std::vector<std::string>
ServerList::apply(const std::vector<ServerChange>& aChanges, Instant aNow)
{
  std::vector<std::string> ended;
  for (const ServerChange& change : aChanges) {
    const bool isEnded =
      change.record ? put(*change.record) : removeOrLapse(change.id, aNow);
    if (isEnded) {
      ended.push_back(change.id);
    }
  }
  return ended;
}

void
ServerList::lost(Instant)
{
  mIsLost = true;
}

void
ServerList::regained(Instant aNow)
{
  if (mIsLost) {
    mIsLost = false;
    mRegainedAt = aNow;
  }
}

std::vector<std::string>
ServerList::expire(Instant aNow)
{
  std::vector<std::string> ended;
  if (inGrace(aNow)) {
    return ended;
  }
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    if (it->second.lapsedAt) {
      ended.push_back(it->first);
      it = mRecords.erase(it);
    } else {
      ++it;
    }
  }
  return ended;
}

std::vector<const ServerRecord*>
ServerList::usable(const std::string& aService) const
{
  std::vector<const ServerRecord*> all;
  for (const auto& [id, held] : mRecords) {
    if (held.record.service == aService && !held.record.isLeaving &&
        !held.saidLeaving) {
      all.push_back(&held.record);
    }
  }
  return all;
}

const ServerRecord*
ServerList::find(const std::string& aId) const
{
  const auto found = mRecords.find(aId);
  return found == mRecords.end() ? nullptr : &found->second.record;
}

void
ServerList::leftByItself(const std::string& aId, std::int64_t aBornMs)
{
  const auto found = mRecords.find(aId);
  if (found != mRecords.end() && found->second.record.bornMs == aBornMs) {
    found->second.saidLeaving = true;
  }
}

} // namespace laburnum::gateway
