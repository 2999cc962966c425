#include "laburnum/policy/quarantine.hpp"

#include <algorithm>

namespace laburnum::policy {
namespace {

/// One crash is not enough, since other requests were in progress at it.
constexpr std::uint8_t kCrashesToRefuse = 2;

} // namespace

Suspicion
Quarantine::suspicion(std::uint64_t aFingerprint, Instant aNow) const
{
  const auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end() || found->second.until <= aNow) {
    return Suspicion::None;
  }
  return found->second.crashes >= kCrashesToRefuse ? Suspicion::Refused
                                                   : Suspicion::Suspect;
}

std::vector<SuspicionRecord>
Quarantine::recordCrash(std::span<const std::uint64_t> aInProgress,
                        Instant aNow)
{
  std::vector<std::uint64_t> repeated;
  for (const std::uint64_t fingerprint : aInProgress) {
    if (suspicion(fingerprint, aNow) != Suspicion::None) {
      repeated.push_back(fingerprint);
    }
  }
  std::sort(repeated.begin(), repeated.end());
  repeated.erase(std::unique(repeated.begin(), repeated.end()), repeated.end());
  // A request is identified as the cause if it is the only one that was also
  // in progress at an earlier crash.
  std::vector<SuspicionRecord> changed;
  for (const std::uint64_t fingerprint : aInProgress) {
    const bool identified =
      repeated.size() == 1 && repeated.front() == fingerprint;
    if (!identified && mEntries.size() >= mCapacity &&
        !mEntries.contains(fingerprint)) {
      continue;
    }
    Entry& entry = mEntries[fingerprint];
    entry.crashes =
      identified ? kCrashesToRefuse : std::max<std::uint8_t>(entry.crashes, 1);
    entry.until = aNow + mRefusalDuration;
    changed.push_back({ .fingerprint = fingerprint,
                        .crashes = entry.crashes,
                        .remaining = mRefusalDuration });
  }
  return changed;
}

void
Quarantine::clearSuspect(std::uint64_t aFingerprint)
{
  const auto found = mEntries.find(aFingerprint);
  if (found != mEntries.end() && found->second.crashes < kCrashesToRefuse) {
    mEntries.erase(found);
  }
}

bool
Quarantine::merge(const SuspicionRecord& aRecord, Instant aNow)
{
  if (aRecord.remaining <= Duration(0)) {
    return false;
  }
  Entry& entry = mEntries[aRecord.fingerprint];
  const bool isNew = entry.until <= aNow || aRecord.crashes > entry.crashes;
  if (isNew) {
    entry.crashes = std::max(entry.crashes, aRecord.crashes);
    entry.until = std::max(
      entry.until, aNow + std::min(aRecord.remaining, mRefusalDuration));
  }
  return isNew;
}

std::vector<SuspicionRecord>
Quarantine::records(Instant aNow)
{
  std::erase_if(
    mEntries, [&](const auto& aEntry) { return aEntry.second.until <= aNow; });
  std::vector<SuspicionRecord> all;
  for (const auto& [fingerprint, entry] : mEntries) {
    all.push_back({ .fingerprint = fingerprint,
                    .crashes = entry.crashes,
                    .remaining = entry.until - aNow });
  }
  return all;
}

} // namespace laburnum::policy
