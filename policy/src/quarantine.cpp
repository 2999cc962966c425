#include "laburnum/policy/quarantine.hpp"

#include <algorithm>

namespace laburnum::policy {
namespace {

/// One crash is not enough, since other requests were in progress at it.
constexpr std::uint8_t kCrashesToRefuse = 2;
/// From this number of crashes on, it does not matter whether another request
/// was in progress at all of them, and content that was served before is not
/// protected.
constexpr std::size_t kCrashesToRefuseAnyway = 3;
/// Crashes that are remembered of a suspect.
constexpr std::size_t kMaxCrashes = 8;
/// Crashes that are remembered as retracted.
constexpr std::size_t kMaxRetracted = 1024;

/// Crashes within this time may have one cause other than a request, such as
/// the loss of a rack and then of the servers that took over.
constexpr Duration kConcurrentCrashes = seconds(4);
/// Factor by which each renewal of a refusal is longer than the one before.
constexpr int kTermGrowth = 10;
constexpr Duration kMaxTerm = seconds(3600);

std::size_t
countCommon(const std::vector<CrashId>& aLeft,
            const std::vector<CrashId>& aRight)
{
  return static_cast<std::size_t>(
    std::count_if(aLeft.begin(), aLeft.end(), [&aRight](CrashId aCrash) {
      return std::find(aRight.begin(), aRight.end(), aCrash) != aRight.end();
    }));
}

} // namespace

Suspicion
Quarantine::suspicion(std::uint64_t aFingerprint, Instant aNow) const
{
  const auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end() || isExpired(found->second, aNow)) {
    return Suspicion::None;
  }
  return found->second.isRefused && !isOnProbation(found->second, aNow)
           ? Suspicion::Refused
           : Suspicion::Suspect;
}

Duration
Quarantine::remainingRefusal(std::uint64_t aFingerprint, Instant aNow) const
{
  return suspicion(aFingerprint, aNow) == Suspicion::Refused
           ? mEntries.at(aFingerprint).until - aNow
           : Duration(0);
}

bool
Quarantine::Entry::hasEnoughCrashes() const
{
  if (wasServed) {
    return crashIds.size() >= kCrashesToRefuseAnyway &&
           lastCrashAt - firstCrashAt >= kConcurrentCrashes;
  }
  const bool hadBegun = specificity == kWholeRequest && !hasEarlyCrash;
  return crashIds.size() >=
         (hadBegun ? kCrashesToRefuseAnyway : kCrashesToRefuse);
}

bool
Quarantine::Entry::addCrash(CrashId aCrash)
{
  if (crashIds.size() >= kMaxCrashes ||
      std::find(crashIds.begin(), crashIds.end(), aCrash) != crashIds.end()) {
    return false;
  }
  crashIds.push_back(aCrash);
  return true;
}

void
Quarantine::Entry::addCrashAt(Instant aTime)
{
  const bool isFirst = firstCrashAt == Instant{};
  firstCrashAt = isFirst ? aTime : std::min(firstCrashAt, aTime);
  lastCrashAt = std::max(lastCrashAt, aTime);
}

bool
Quarantine::isOnProbation(const Entry& aEntry, Instant aNow)
{
  return aEntry.isRefused && aEntry.until <= aNow &&
         aNow < aEntry.until + aEntry.term;
}

bool
Quarantine::isExpired(const Entry& aEntry, Instant aNow)
{
  return aEntry.until <= aNow && !isOnProbation(aEntry, aNow);
}

Quarantine::Entry*
Quarantine::entryFor(std::uint64_t aFingerprint, Instant aNow)
{
  const auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end()) {
    if (mEntries.size() >= mCapacity) {
      removeExpired(aNow);
    }
    return mEntries.size() >= mCapacity ? nullptr : &mEntries[aFingerprint];
  }
  if (isExpired(found->second, aNow)) {
    found->second = {};
  }
  return &found->second;
}

bool
Quarantine::isBetterExplained(const Entry& aEntry, const Entry& aOther)
{
  // To refuse what was served before takes more than a part of the evidence.
  const std::size_t needed =
    aEntry.wasServed ? kCrashesToRefuse : aEntry.crashIds.size();
  if (countCommon(aOther.crashIds, aEntry.crashIds) < needed) {
    return false;
  }
  if (aOther.specificity != aEntry.specificity) {
    return aOther.specificity > aEntry.specificity;
  }
  if (aOther.wasServed != aEntry.wasServed) {
    return aEntry.wasServed;
  }
  return aEntry.crashIds.size() < kCrashesToRefuseAnyway;
}

void
Quarantine::updateRefusals()
{
  // What explains the crashes of an entry was in progress at some of them.
  std::unordered_map<CrashId, std::vector<const Entry*>> byCrash;
  for (auto& [fingerprint, entry] : mEntries) {
    entry.isRefused = entry.isRefusedElsewhere;
    if (entry.crashIds.size() >= kCrashesToRefuse) {
      for (const CrashId crash : entry.crashIds) {
        byCrash[crash].push_back(&entry);
      }
    }
  }
  const auto hasOtherCause = [&byCrash](const Entry& aEntry, CrashId aCrash) {
    const auto& others = byCrash[aCrash];
    return std::any_of(
      others.begin(), others.end(), [&aEntry](const Entry* aOther) {
        return aOther != &aEntry && isBetterExplained(aEntry, *aOther);
      });
  };
  for (auto& each : mEntries) {
    Entry& entry = each.second;
    if (entry.hasEnoughCrashes() &&
        std::none_of(
          entry.crashIds.begin(), entry.crashIds.end(), [&](CrashId aCrash) {
            return hasOtherCause(entry, aCrash);
          })) {
      entry.isRefused = true;
    }
  }
}

Quarantine::Entry*
Quarantine::addSuspect(std::uint64_t aFingerprint, CrashId aCrash, Instant aNow)
{
  Entry* entry = entryFor(aFingerprint, aNow);
  if (entry == nullptr) {
    return nullptr;
  }
  entry->addCrash(aCrash);
  entry->term = isOnProbation(*entry, aNow)
                  ? std::max(mRefusalDuration,
                             std::min(kTermGrowth * entry->term, kMaxTerm))
                  : std::max(entry->term, mRefusalDuration);
  entry->until = aNow + entry->term;
  return entry;
}

SuspicionRecord
Quarantine::record(std::uint64_t aFingerprint,
                   const Entry& aEntry,
                   Instant aNow)
{
  return { .fingerprint = aFingerprint,
           .crashes = aEntry.isRefused ? kCrashesToRefuse : std::uint8_t{ 1 },
           .remaining = aEntry.until - aNow,
           .crashIds = aEntry.crashIds,
           .specificity = aEntry.specificity,
           .wasServed = aEntry.wasServed,
           .sinceFirstCrash = aNow - aEntry.firstCrashAt,
           .sinceLastCrash = aNow - aEntry.lastCrashAt,
           .hadBegun = !aEntry.hasEarlyCrash };
}

std::vector<SuspicionRecord>
Quarantine::recordCrash(CrashId aCrash,
                        std::span<const RequestInProgress> aInProgress,
                        Instant aNow,
                        const WasServed& aWasServed,
                        Duration aSinceCrash)
{
  std::erase(mRetracted, aCrash);
  std::vector<std::uint64_t> suspects;
  const auto add =
    [&](std::uint64_t aFingerprint, std::size_t aSpecificity, bool aHasBegun) {
      if (Entry* entry = addSuspect(aFingerprint, aCrash, aNow)) {
        entry->hasEarlyCrash = entry->hasEarlyCrash || !aHasBegun;
        entry->addCrashAt(aNow - aSinceCrash);
        entry->specificity = static_cast<std::uint8_t>(aSpecificity);
        entry->wasServed = entry->wasServed || aWasServed(aFingerprint);
        suspects.push_back(aFingerprint);
      }
    };
  for (const auto& [request, hasBegun] : aInProgress) {
    const bool isRepeated =
      suspicion(request.fingerprint, aNow) != Suspicion::None;
    add(request.fingerprint, kWholeRequest, hasBegun);
    for (std::size_t i = 0; !isRepeated && i < request.parts.size(); ++i) {
      add(request.parts[i],
          std::min<std::size_t>(i, kWholeRequest - 1),
          hasBegun);
    }
  }
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  updateRefusals();
  std::vector<SuspicionRecord> changed;
  for (const std::uint64_t fingerprint : suspects) {
    changed.push_back(record(fingerprint, mEntries[fingerprint], aNow));
  }
  return changed;
}

std::vector<SuspicionRecord>
Quarantine::recordCrash(CrashId aCrash,
                        std::span<const RequestContent> aInProgress,
                        Instant aNow,
                        const WasServed& aWasServed,
                        Duration aSinceCrash)
{
  std::vector<RequestInProgress> requests;
  for (const RequestContent& content : aInProgress) {
    requests.push_back({ .content = content });
  }
  return recordCrash(aCrash,
                     std::span<const RequestInProgress>(requests),
                     aNow,
                     aWasServed,
                     aSinceCrash);
}

bool
Quarantine::isRetracted(CrashId aCrash) const
{
  return std::find(mRetracted.begin(), mRetracted.end(), aCrash) !=
         mRetracted.end();
}

void
Quarantine::retractCrash(CrashId aCrash)
{
  if (!isRetracted(aCrash)) {
    mRetracted.push_back(aCrash);
    if (mRetracted.size() > kMaxRetracted) {
      mRetracted.pop_front();
    }
  }
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    Entry& entry = it->second;
    const bool isLast = std::erase(entry.crashIds, aCrash) > 0 &&
                        entry.crashIds.empty() && !entry.isRefusedElsewhere;
    it = isLast ? mEntries.erase(it) : std::next(it);
  }
  updateRefusals();
}

bool
Quarantine::clearSuspect(std::uint64_t aFingerprint, Instant aNow)
{
  return suspicion(aFingerprint, aNow) != Suspicion::Refused &&
         mEntries.erase(aFingerprint) > 0;
}

std::optional<SuspicionRecord>
Quarantine::markServed(std::uint64_t aFingerprint, Instant aNow)
{
  const auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end() || found->second.wasServed) {
    return std::nullopt;
  }
  found->second.wasServed = true;
  updateRefusals();
  return record(aFingerprint, found->second, aNow);
}

std::vector<SuspicionRecord>
Quarantine::merge(std::span<const SuspicionRecord> aRecords, Instant aNow)
{
  std::vector<SuspicionRecord> changed;
  for (const SuspicionRecord& each : aRecords) {
    if (join(each, aNow)) {
      changed.push_back(each);
    }
  }
  if (!changed.empty()) {
    updateRefusals();
  }
  return changed;
}

bool
Quarantine::join(const SuspicionRecord& aRecord, Instant aNow)
{
  if (aRecord.remaining <= Duration(0)) {
    return false;
  }
  if (aRecord.crashes == 0) {
    return exonerate(aRecord.fingerprint);
  }
  if (!aRecord.crashIds.empty() &&
      std::all_of(aRecord.crashIds.begin(),
                  aRecord.crashIds.end(),
                  [this](CrashId aCrash) { return isRetracted(aCrash); })) {
    return false;
  }
  const bool isKnown = suspicion(aRecord.fingerprint, aNow) != Suspicion::None;
  Entry* entry = entryFor(aRecord.fingerprint, aNow);
  if (entry == nullptr) {
    return false;
  }
  const bool isRefusal = aRecord.crashes >= kCrashesToRefuse;
  const bool hasNoEvidence = isRefusal && aRecord.crashIds.empty();
  bool isNew = !isKnown || (aRecord.wasServed && !entry->wasServed) ||
               (isRefusal && isOnProbation(*entry, aNow)) ||
               (hasNoEvidence && !entry->isRefusedElsewhere);
  for (const CrashId crash : aRecord.crashIds) {
    isNew = (!isRetracted(crash) && entry->addCrash(crash)) || isNew;
  }
  entry->isRefusedElsewhere = entry->isRefusedElsewhere || hasNoEvidence;
  entry->wasServed = entry->wasServed || aRecord.wasServed;
  entry->hasEarlyCrash = entry->hasEarlyCrash || !aRecord.hadBegun;
  entry->addCrashAt(aNow - aRecord.sinceFirstCrash);
  entry->addCrashAt(aNow - aRecord.sinceLastCrash);
  if (!isNew) {
    return false;
  }
  entry->specificity = aRecord.specificity;
  const Duration remaining =
    std::min(aRecord.remaining, std::max(mRefusalDuration, kMaxTerm));
  entry->term = std::max({ entry->term, mRefusalDuration, remaining });
  entry->until = std::max(entry->until, aNow + remaining);
  return true;
}

void
Quarantine::removeExpired(Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return isExpired(aEntry.second, aNow);
  });
}

std::vector<SuspicionRecord>
Quarantine::records(Instant aNow)
{
  removeExpired(aNow);
  std::vector<SuspicionRecord> all;
  for (const auto& [fingerprint, entry] : mEntries) {
    if (entry.until > aNow) {
      all.push_back(record(fingerprint, entry, aNow));
    }
  }
  return all;
}

} // namespace laburnum::policy
