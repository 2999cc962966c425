#include "laburnum/gateway/server_list.hpp"

#include "laburnum/kernel/log.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

/// Notices from which those of servers that are no longer listed are dropped.
constexpr std::size_t kMaxNotices = 2048;

void
logOutdated(const ServerRecord& aRecord,
            std::int64_t aKnownStartedMs,
            std::int64_t aKnownSequence)
{
  log(LogLevel::Info,
      "server_entry_outdated",
      { { "server", aRecord.id },
        { "started_ms", aRecord.startedMs },
        { "known_started_ms", aKnownStartedMs },
        { "sequence", aRecord.sequence },
        { "known_sequence", aKnownSequence },
        { "leaving", aRecord.isLeaving } });
}

} // namespace

bool
ServerList::inGracePeriod(Instant aNow) const
{
  return mIsSourceLost ||
         (mSourceRestoredAt &&
          aNow < *mSourceRestoredAt + mOptions.expiryGracePeriod);
}

bool
ServerList::upsert(const ServerRecord& aRecord, Instant aNow)
{
  Notice* notice = noticeOf(aRecord.id, aRecord.startedMs);
  if (notice == nullptr) {
    putAside(aRecord, aNow);
    return false;
  }
  const bool isRecreated = wasRecreated(aRecord);
  const bool isMissing = !mRecords.contains(aRecord.id);
  if ((isRecreated || (isMissing && notice->isGone)) &&
      isLateWrite(aRecord, *notice)) {
    notice->isLeaving = notice->isLeaving || aRecord.isLeaving;
    notice->isGone = true;
    putAside(aRecord, aNow);
    return mRecords.erase(aRecord.id) > 0;
  }
  mDoubtfulEntries.erase(aRecord.id);
  return store(aRecord, *notice, aNow);
}

bool
ServerList::isLateWrite(const ServerRecord& aRecord, const Notice& aNotice)
{
  return aRecord.sequence > 0 && aRecord.sequence < aNotice.sequence;
}

bool
ServerList::wasRecreated(const ServerRecord& aRecord) const
{
  const auto entry = mRecords.find(aRecord.id);
  if (entry == mRecords.end() ||
      entry->second.record.startedMs != aRecord.startedMs) {
    return false;
  }
  const std::uint64_t created = entry->second.record.entryCreated;
  return entry->second.missingSince.has_value() ||
         (created != 0 && aRecord.entryCreated != 0 &&
          created != aRecord.entryCreated);
}

void
ServerList::putAside(const ServerRecord& aRecord, Instant aNow)
{
  const auto [doubtful, isNew] =
    mDoubtfulEntries.try_emplace(aRecord.id, DoubtfulEntry{ .since = aNow });
  if (!isNew && doubtful->second.record.startedMs != aRecord.startedMs) {
    doubtful->second.since = aNow;
  }
  doubtful->second.record = aRecord;
  if (isNew) {
    const Notice& known = mNotices[aRecord.id];
    logOutdated(aRecord, known.startedMs, known.sequence);
  }
}

bool
ServerList::store(const ServerRecord& aRecord, Notice& aNotice, Instant aNow)
{
  Entry& entry = mRecords[aRecord.id];
  const bool isSameProcess =
    !entry.record.id.empty() && entry.record.startedMs == aRecord.startedMs;
  const bool wasAvailable = !entry.record.id.empty() && !entry.record.isLeaving;
  const bool isOlder = isLateWrite(aRecord, aNotice);
  if (isOlder) {
    logOutdated(aRecord, aNotice.startedMs, aNotice.sequence);
  }
  // The rest of the entry is of the process, the slowdown of another writer.
  ServerRecord record = isSameProcess && isOlder ? entry.record : aRecord;
  record.slowdown = aRecord.slowdown;
  record.isLeaving =
    aRecord.isLeaving || (isSameProcess && entry.record.isLeaving);
  aNotice.sequence = std::max(aNotice.sequence, aRecord.sequence);
  aNotice.isLeaving = aNotice.isLeaving || record.isLeaving;
  aNotice.isGone = false;
  // An entry that is read once more says nothing new.
  if (!isSameProcess || entry.record.coldTime != record.coldTime) {
    const auto limit = mColdLimits.find(record.service);
    const Duration unstated = isSameProcess || limit == mColdLimits.end()
                                ? Duration(0)
                                : limit->second.time;
    entry.coldUntil = aNow + record.coldTime.value_or(unstated);
  }
  entry.record = std::move(record);
  entry.missingSince.reset();
  return wasAvailable && entry.record.isLeaving;
}

void
ServerList::acceptLasting(Instant aNow)
{
  if (mDoubtfulEntries.empty() || inGracePeriod(aNow)) {
    return;
  }
  const Instant restored = mSourceRestoredAt.value_or(Instant{});
  std::vector<ServerRecord> lasting;
  for (const auto& [id, doubtful] : mDoubtfulEntries) {
    if (aNow - std::max(doubtful.since, restored) >= mOptions.lastingTime) {
      lasting.push_back(doubtful.record);
    }
  }
  for (const ServerRecord& record : lasting) {
    Notice& notice = mNotices[record.id];
    if (notice.startedMs > record.startedMs) {
      notice = {};
    } else {
      notice.sequence = record.sequence;
    }
    upsert(record, aNow);
  }
}

bool
ServerList::removeOrMarkMissing(const std::string& aServerId, Instant aNow)
{
  mDoubtfulEntries.erase(aServerId);
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
  erase(found);
  return true;
}

void
ServerList::recordRemoved(const ServerRecord& aRecord)
{
  if (Notice* notice = noticeOf(aRecord.id, aRecord.startedMs)) {
    notice->sequence = std::max(notice->sequence, aRecord.sequence);
    notice->isLeaving = notice->isLeaving || aRecord.isLeaving;
  }
}

std::map<std::string, ServerList::Entry>::iterator
ServerList::erase(std::map<std::string, Entry>::iterator aEntry)
{
  const ServerRecord record = aEntry->second.record;
  const auto next = mRecords.erase(aEntry);
  if (Notice* notice = noticeOf(record.id, record.startedMs)) {
    notice->isGone = true;
  }
  return next;
}

std::vector<std::string>
ServerList::replace(const std::vector<ServerRecord>& aRecords, Instant aNow)
{
  std::set<std::string> present;
  std::vector<std::string> retired;
  for (const ServerRecord& record : aRecords) {
    present.insert(record.id);
    if (upsert(record, aNow)) {
      retired.push_back(record.id);
    }
  }
  std::erase_if(mDoubtfulEntries, [&present](const auto& aEntry) {
    return !present.contains(aEntry.first);
  });
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
ServerList::replaceByCopy(const std::vector<ServerRecord>& aRecords,
                          Instant aNow)
{
  mSourceRestoredAt = aNow;
  std::vector<ServerRecord> usable;
  for (const ServerRecord& record : aRecords) {
    const Notice* notice = currentNotice(record);
    if (notice != nullptr && notice->isGone) {
      continue;
    }
    const ServerRecord* known = find(record.id);
    if (known != nullptr && known->startedMs > record.startedMs) {
      usable.push_back(*known); // The copy has a former process.
    } else {
      usable.push_back(record);
      usable.back().entryCreated = 0; // The copy may have a former entry.
      usable.back().isLeaving =
        record.isLeaving || (known != nullptr && known->isLeaving &&
                             known->startedMs == record.startedMs);
    }
  }
  return replace(usable, aNow);
}

std::vector<std::string>
ServerList::apply(const std::vector<ServerChange>& aChanges, Instant aNow)
{
  std::vector<std::string> retired;
  for (const ServerChange& change : aChanges) {
    if (change.removed) {
      recordRemoved(*change.removed);
    }
    const bool isRetired = change.record ? upsert(*change.record, aNow)
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
      it = erase(it);
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
    const Notice* notice = currentNotice(entry.record);
    if (entry.record.service == aService && !entry.record.isLeaving &&
        (notice == nullptr || !notice->isLeaving)) {
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

ServerList::Notice*
ServerList::noticeOf(const std::string& aServerId, std::int64_t aStartedMs)
{
  if (mNotices.size() >= kMaxNotices) {
    std::erase_if(mNotices, [this](const auto& aNotice) {
      return !mRecords.contains(aNotice.first);
    });
  }
  Notice& notice = mNotices[aServerId];
  if (notice.startedMs > aStartedMs) {
    return nullptr; // Said by a former process.
  }
  if (notice.startedMs < aStartedMs) {
    notice = { .startedMs = aStartedMs, .hasFormerLeft = notice.isLeaving };
  }
  return &notice;
}

const ServerList::Notice*
ServerList::currentNotice(const ServerRecord& aRecord) const
{
  const auto found = mNotices.find(aRecord.id);
  return found != mNotices.end() && found->second.startedMs == aRecord.startedMs
           ? &found->second
           : nullptr;
}

void
ServerList::markLeaving(const std::string& aServerId, std::int64_t aStartedMs)
{
  if (Notice* notice = noticeOf(aServerId, aStartedMs)) {
    notice->isLeaving = true;
  }
}

void
ServerList::pause(const std::string& aServerId,
                  std::int64_t aStartedMs,
                  Instant aUntil)
{
  if (Notice* notice = noticeOf(aServerId, aStartedMs)) {
    notice->pausedUntil = std::max(notice->pausedUntil, aUntil);
  }
}

bool
ServerList::isServing(const std::string& aServerId,
                      std::int64_t aStartedMs) const
{
  const ServerRecord* current = find(aServerId);
  if (current == nullptr || current->startedMs != aStartedMs ||
      current->isLeaving) {
    return false;
  }
  const Notice* notice = currentNotice(*current);
  return notice == nullptr || !notice->isLeaving;
}

bool
ServerList::hasRestarted(const std::string& aServerId,
                         std::int64_t aStartedMs) const
{
  const ServerRecord* current = find(aServerId);
  if (current == nullptr || current->startedMs <= aStartedMs) {
    return false;
  }
  const Notice* notice = currentNotice(*current);
  return notice != nullptr && !notice->hasFormerLeft;
}

std::optional<std::int64_t>
ServerList::removedProcess(const std::string& aServerId) const
{
  const auto found = mNotices.find(aServerId);
  return found != mNotices.end() && found->second.isGone &&
             !found->second.isLeaving
           ? std::optional(found->second.startedMs)
           : std::nullopt;
}

bool
ServerList::isReady(const ServerRecord& aServer, Instant aNow) const
{
  const ServerRecord* current = find(aServer.id);
  if (!isServing(aServer.id, aServer.startedMs) || isEvacuated(*current)) {
    return false;
  }
  const Notice* notice = currentNotice(*current);
  return notice == nullptr || notice->pausedUntil <= aNow;
}

double
ServerList::offeredShare(const std::string& aService) const
{
  if (mEvacuatedDomains && mEvacuatedDomains->empty()) {
    return 1;
  }
  const auto servers = availableServers(aService);
  const auto offered = std::count_if(
    servers.begin(), servers.end(), [this](const ServerRecord* aServer) {
      return !isEvacuated(*aServer);
    });
  return servers.empty()
           ? 1
           : static_cast<double>(offered) / static_cast<double>(servers.size());
}

std::vector<const ServerRecord*>
ServerList::readyServers(const std::string& aService, Instant aNow) const
{
  auto servers = availableServers(aService);
  std::erase_if(servers, [&](const ServerRecord* aServer) {
    const Notice* notice = currentNotice(*aServer);
    return isEvacuated(*aServer) ||
           (notice != nullptr && notice->pausedUntil > aNow);
  });
  return servers;
}

std::optional<Instant>
ServerList::firstResumption(const std::string& aService, Instant aNow) const
{
  std::optional<Instant> first;
  for (const ServerRecord* server : availableServers(aService)) {
    const Notice* notice = currentNotice(*server);
    if (!isEvacuated(*server) && notice != nullptr &&
        notice->pausedUntil > aNow &&
        (!first || notice->pausedUntil < *first)) {
      first = notice->pausedUntil;
    }
  }
  return first;
}

} // namespace laburnum::gateway
