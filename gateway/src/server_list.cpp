#include "laburnum/gateway/server_list.hpp"

namespace laburnum::gateway {

bool
ServerList::inGracePeriod(Instant aNow) const
{
  return mIsSourceLost ||
         (mSourceRestoredAt &&
          aNow < *mSourceRestoredAt + mOptions.expiryGracePeriod);
}

bool
ServerList::upsert(const ServerRecord& aRecord)
{
  Entry& entry = mRecords[aRecord.id];
  const bool isRestarted = entry.record.startedMs != aRecord.startedMs;
  const bool wasAvailable = !entry.record.id.empty() && !entry.record.isLeaving;
  entry.record = aRecord;
  entry.missingSince.reset();
  if (isRestarted) {
    entry.reportedLeaving = false;
  }
  return wasAvailable && aRecord.isLeaving;
}

bool
ServerList::removeOrMarkMissing(const std::string& aServerId, Instant aNow)
{
  const auto found = mRecords.find(aServerId);
  if (found == mRecords.end()) {
    return false;
  }
  if (inGracePeriod(aNow) && !found->second.record.isLeaving) {
    if (!found->second.missingSince) {
      found->second.missingSince = aNow;
    }
    return false;
  }
  mRecords.erase(found);
  return true;
}

std::vector<std::string>
ServerList::replace(const std::vector<ServerRecord>& aRecords, Instant aNow)
{
  std::set<std::string> present;
  std::vector<std::string> retired;
  for (const ServerRecord& record : aRecords) {
    present.insert(record.id);
    if (upsert(record)) {
      retired.push_back(record.id);
    }
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : mRecords) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    if (removeOrMarkMissing(id, aNow)) {
      retired.push_back(id);
    }
  }
  return retired;
}

std::vector<std::string>
ServerList::apply(const std::vector<ServerChange>& aChanges, Instant aNow)
{
  std::vector<std::string> retired;
  for (const ServerChange& change : aChanges) {
    const bool isRetired = change.record ? upsert(*change.record)
                                         : removeOrMarkMissing(change.id, aNow);
    if (isRetired) {
      retired.push_back(change.id);
    }
  }
  return retired;
}

void
ServerList::sourceLost(Instant)
{
  mIsSourceLost = true;
}

void
ServerList::sourceRestored(Instant aNow)
{
  if (mIsSourceLost) {
    mIsSourceLost = false;
    mSourceRestoredAt = aNow;
  }
}

std::vector<std::string>
ServerList::removeExpired(Instant aNow)
{
  std::vector<std::string> retired;
  if (inGracePeriod(aNow)) {
    return retired;
  }
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    if (it->second.missingSince) {
      retired.push_back(it->first);
      it = mRecords.erase(it);
    } else {
      ++it;
    }
  }
  return retired;
}

std::vector<const ServerRecord*>
ServerList::availableServers(const std::string& aService) const
{
  std::vector<const ServerRecord*> available;
  for (const auto& [id, entry] : mRecords) {
    if (entry.record.service == aService && !entry.record.isLeaving &&
        !entry.reportedLeaving) {
      available.push_back(&entry.record);
    }
  }
  return available;
}

const ServerRecord*
ServerList::find(const std::string& aServerId) const
{
  const auto found = mRecords.find(aServerId);
  return found == mRecords.end() ? nullptr : &found->second.record;
}

void
ServerList::markLeaving(const std::string& aServerId, std::int64_t aStartedMs)
{
  const auto found = mRecords.find(aServerId);
  if (found != mRecords.end() && found->second.record.startedMs == aStartedMs) {
    found->second.reportedLeaving = true;
  }
}

} // namespace laburnum::gateway
