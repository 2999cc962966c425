#include "laburnum/policy/quarantine.hpp"

#include <algorithm>

namespace laburnum::policy {
namespace {

/// One crash is not enough, since other requests were in progress at it.
constexpr std::uint8_t kCrashesToRefuse = 2;
/// At so many crashes it does not matter whether another request was in
/// progress at all of them.
constexpr std::size_t kCrashesToRefuseAnyway = 3;

/// Factor by which each renewal of a refusal is longer than the one before.
constexpr int kTermGrowth = 10;
constexpr Duration kMaxTerm = seconds(3600);

/// Adds a crash to a list. Returns whether it was not there yet and is needed.
bool
addCrash(std::vector<CrashId>& aCrashIds, CrashId aCrash)
{
  if (aCrashIds.size() >= kCrashesToRefuseAnyway ||
      std::find(aCrashIds.begin(), aCrashIds.end(), aCrash) !=
        aCrashIds.end()) {
    return false;
  }
  aCrashIds.push_back(aCrash);
  return true;
}

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
  return found->second.crashes >= kCrashesToRefuse &&
             !isOnProbation(found->second, aNow)
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
Quarantine::isOnProbation(const Entry& aEntry, Instant aNow)
{
  return aEntry.crashes >= kCrashesToRefuse && aEntry.until <= aNow &&
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
    return mEntries.size() >= mCapacity ? nullptr : &mEntries[aFingerprint];
  }
  if (isExpired(found->second, aNow)) {
    found->second = {};
  }
  return &found->second;
}

bool
Quarantine::isCause(std::uint64_t aFingerprint, const Entry& aEntry) const
{
  if (aEntry.crashIds.size() < kCrashesToRefuse) {
    return false;
  }
  return std::none_of(
    mEntries.begin(), mEntries.end(), [&](const auto& aOther) {
      const auto& [fingerprint, other] = aOther;
      if (fingerprint == aFingerprint ||
          countCommon(other.crashIds, aEntry.crashIds) < kCrashesToRefuse) {
        return false;
      }
      return other.specificity > aEntry.specificity ||
             (other.specificity == aEntry.specificity &&
              aEntry.crashIds.size() < kCrashesToRefuseAnyway);
    });
}

bool
Quarantine::addSuspect(std::uint64_t aFingerprint,
                       std::uint8_t aSpecificity,
                       CrashId aCrash,
                       Instant aNow)
{
  Entry* entry = entryFor(aFingerprint, aNow);
  if (entry == nullptr) {
    return false;
  }
  addCrash(entry->crashIds, aCrash);
  entry->crashes = std::max<std::uint8_t>(entry->crashes, 1);
  entry->specificity = aSpecificity;
  entry->term = isOnProbation(*entry, aNow)
                  ? std::max(mRefusalDuration,
                             std::min(kTermGrowth * entry->term, kMaxTerm))
                  : std::max(entry->term, mRefusalDuration);
  entry->until = aNow + entry->term;
  return true;
}

SuspicionRecord
Quarantine::record(std::uint64_t aFingerprint,
                   const Entry& aEntry,
                   Instant aNow)
{
  return { .fingerprint = aFingerprint,
           .crashes = aEntry.crashes,
           .remaining = aEntry.until - aNow,
           .crashIds = aEntry.crashIds,
           .specificity = aEntry.specificity };
}

std::vector<SuspicionRecord>
Quarantine::recordCrash(CrashId aCrash,
                        std::span<const RequestContent> aInProgress,
                        Instant aNow)
{
  std::vector<std::uint64_t> suspects;
  const auto add = [&](std::uint64_t aFingerprint, std::size_t aSpecificity) {
    if (addSuspect(aFingerprint,
                   static_cast<std::uint8_t>(aSpecificity),
                   aCrash,
                   aNow)) {
      suspects.push_back(aFingerprint);
    }
  };
  for (const RequestContent& request : aInProgress) {
    const bool isRepeated =
      suspicion(request.fingerprint, aNow) != Suspicion::None;
    add(request.fingerprint, kWholeRequest);
    for (std::size_t i = 0; !isRepeated && i < request.parts.size(); ++i) {
      add(request.parts[i], std::min<std::size_t>(i, kWholeRequest - 1));
    }
  }
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  refuseCauses(suspects);
  std::vector<SuspicionRecord> changed;
  for (const std::uint64_t fingerprint : suspects) {
    changed.push_back(record(fingerprint, mEntries[fingerprint], aNow));
  }
  return changed;
}

void
Quarantine::refuseCauses(std::span<const std::uint64_t> aSuspects)
{
  for (const std::uint64_t fingerprint : aSuspects) {
    const auto found = mEntries.find(fingerprint);
    if (found != mEntries.end() && isCause(fingerprint, found->second)) {
      found->second.crashes = std::max(found->second.crashes, kCrashesToRefuse);
    }
  }
}

bool
Quarantine::clearSuspect(std::uint64_t aFingerprint, Instant aNow)
{
  return suspicion(aFingerprint, aNow) != Suspicion::Refused &&
         mEntries.erase(aFingerprint) > 0;
}

std::vector<SuspicionRecord>
Quarantine::merge(std::span<const SuspicionRecord> aRecords, Instant aNow)
{
  std::vector<SuspicionRecord> changed;
  std::vector<std::uint64_t> suspects;
  for (const SuspicionRecord& each : aRecords) {
    if (join(each, aNow)) {
      changed.push_back(each);
      suspects.push_back(each.fingerprint);
    }
  }
  refuseCauses(suspects);
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
  Entry* entry = entryFor(aRecord.fingerprint, aNow);
  if (entry == nullptr) {
    return false;
  }
  bool isNew =
    aRecord.crashes > entry->crashes ||
    (aRecord.crashes >= kCrashesToRefuse && isOnProbation(*entry, aNow));
  for (const CrashId crash : aRecord.crashIds) {
    isNew = addCrash(entry->crashIds, crash) || isNew;
  }
  if (!isNew) {
    return false;
  }
  entry->crashes = std::max(entry->crashes, aRecord.crashes);
  entry->specificity = aRecord.specificity;
  const Duration remaining =
    std::min(aRecord.remaining, std::max(mRefusalDuration, kMaxTerm));
  entry->term = std::max({ entry->term, mRefusalDuration, remaining });
  entry->until = std::max(entry->until, aNow + remaining);
  return true;
}

std::vector<SuspicionRecord>
Quarantine::records(Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return isExpired(aEntry.second, aNow);
  });
  std::vector<SuspicionRecord> all;
  for (const auto& [fingerprint, entry] : mEntries) {
    if (entry.until > aNow) {
      all.push_back(record(fingerprint, entry, aNow));
    }
  }
  return all;
}

} // namespace laburnum::policy
