#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace laburnum::policy {

/// How strongly a request is suspected of crashing backend servers.
enum class Suspicion : std::uint8_t
{
  None,
  Suspect, ///< In progress at one crash, or refused until lately; may be
           ///< retried, but not concurrently with another suspect on the same
           ///< server.
  Refused  ///< Identified by a second crash; refused everywhere for a time.
};

/// Identifies the crash of one server process. Daemons that observe the same
/// crash use the same number.
using CrashId = std::uint64_t;

/// What identifies the content of a request, as hashes.
struct RequestContent
{
  std::uint64_t fingerprint = 0; ///< Equal for equal requests.
  /// Parts of the prompt that other requests may share, broadest first.
  std::vector<std::uint64_t> parts;

  bool operator==(const RequestContent&) const = default;
};

/// A request that was in progress when a backend server crashed.
struct RequestInProgress
{
  RequestContent content;
  /// Its response had begun, so that the server had run it for a while, or it
  /// is not certain that the server has crashed.
  bool hasBegun = false;

  bool operator==(const RequestInProgress&) const = default;
};

/// Specificity of a fingerprint; a part of a prompt has its index.
inline constexpr std::uint8_t kWholeRequest = 255;

/// A suspicion as exchanged between daemons.
struct SuspicionRecord
{
  std::uint64_t fingerprint = 0; ///< Of a request or a part of prompts.
  /// 0 if the request ended without a crash, 1 for a suspect, 2 or more if
  /// refused.
  std::uint8_t crashes = 0;
  Duration remaining{ 0 };       ///< Time until the suspicion expires.
  std::vector<CrashId> crashIds; ///< Crashes at which it was in progress.
  std::uint8_t specificity = kWholeRequest;
  /// Some daemon served it shortly before the crashes.
  bool wasServed = false;
  Duration sinceFirstCrash{ 0 };
  Duration sinceLastCrash{ 0 };
  /// The response had begun at each of the crashes.
  bool hadBegun = false;
};

/// Identifies requests that crash backend servers, so that retries of one do
/// not take down one server after another. All requests in progress at a crash
/// become suspects. A request that was in progress at two crashes is taken to
/// be the cause and refused, unless another one was in progress at both. Three
/// crashes are needed if its response had begun at each of them, as such a
/// request may have been moved from one server of a failing rack to another, or
/// if none of them is certain.
///
/// Parts of prompts are suspected likewise. A part counts a crash only if
/// another request with it crashed a server before, so that a request that is
/// sent again does not incriminate its parts. If two suspects were in progress
/// at the same crashes, the more specific one is the cause: all requests of a
/// kind share the first part of their prompts.
///
/// Servers may also end at one moment for another reason while many requests
/// share a part. Content that was served shortly before the crashes is
/// therefore refused only after three crashes over four seconds, and only if no
/// content that was not served explains them. Content that is served after a
/// crash is exonerated.
///
/// A verdict depends only on the records that are known, not on their order or
/// on which daemon observed which crash.
///
/// A refusal expires, since the server software may have been replaced. For as
/// long again, a single crash renews it for ten times as long.
///
/// Not thread-safe; timestamps must not decrease between calls.
class Quarantine
{
public:
  /// @param aRefusalDuration How long a suspicion lasts.
  /// @param aCapacity Number of fingerprints at which crashes stop adding new
  /// suspects.
  explicit Quarantine(Duration aRefusalDuration = seconds(600),
                      std::size_t aCapacity = 10000)
    : mRefusalDuration(aRefusalDuration)
    , mCapacity(aCapacity)
  {
  }

  /// Returns the current suspicion of a request.
  Suspicion suspicion(std::uint64_t aFingerprint, Instant aNow) const;

  /// Returns for how long a request is refused; 0 if it is not.
  Duration remainingRefusal(std::uint64_t aFingerprint, Instant aNow) const;

  /// Returns whether a request or part was served recently.
  using WasServed = std::function<bool(std::uint64_t)>;

  /// Records a crash of a backend server.
  /// @param aInProgress The requests it was running.
  /// @param aSinceCrash How long ago it crashed.
  /// @return The suspicions that were added or renewed.
  std::vector<SuspicionRecord> recordCrash(
    CrashId aCrash,
    std::span<const RequestInProgress> aInProgress,
    Instant aNow,
    const WasServed& aWasServed = [](std::uint64_t) { return false; },
    Duration aSinceCrash = Duration(0));

  /// Records a crash of a server whose requests had not begun to respond, or of
  /// which this is unknown.
  std::vector<SuspicionRecord> recordCrash(
    CrashId aCrash,
    std::span<const RequestContent> aInProgress,
    Instant aNow,
    const WasServed& aWasServed = [](std::uint64_t) { return false; },
    Duration aSinceCrash = Duration(0));

  /// Clears a suspect whose request ended without a crash. A refused request
  /// stays refused.
  /// @return True if the request was a suspect.
  bool clearSuspect(std::uint64_t aFingerprint, Instant aNow);

  /// Clears a request or part that was served, even if it is refused.
  /// @return True if it was suspected.
  bool exonerate(std::uint64_t aFingerprint)
  {
    return mEntries.erase(aFingerprint) > 0;
  }

  /// Records that a suspected request or part was served before its crashes.
  /// @return The suspicion if this was not known, to be sent to other daemons.
  std::optional<SuspicionRecord> markServed(std::uint64_t aFingerprint,
                                            Instant aNow);

  /// Merges records from another daemon: joins the crashes, or exonerates.
  /// Records of the same crashes belong into one call, so that all suspects are
  /// compared.
  /// @return The records that changed the local state.
  std::vector<SuspicionRecord> merge(std::span<const SuspicionRecord> aRecords,
                                     Instant aNow);

  /// Returns all current suspicions and drops expired ones. O(n).
  std::vector<SuspicionRecord> records(Instant aNow);

  /// Takes back a crash: its process has not ended. Records of other daemons
  /// that name it are ignored from now on.
  void retractCrash(CrashId aCrash);

  /// Sets how long suspicions from later crashes last.
  /// @pre aRefusalDuration > 0
  void setRefusalDuration(Duration aRefusalDuration)
  {
    mRefusalDuration = aRefusalDuration;
  }

private:
  struct Entry
  {
    std::vector<CrashId> crashIds;
    std::uint8_t specificity = kWholeRequest;
    bool isRefused = false; ///< See `updateRefusals`.
    /// A daemon of an earlier version, which sends no crashes, refuses it.
    bool isRefusedElsewhere = false;
    Duration term{ 0 }; ///< Of the suspicion or refusal.
    Instant until{};    ///< End of the term.
    bool wasServed = false;
    /// At some crash its response had not begun.
    bool hasEarlyCrash = false;
    Instant firstCrashAt{};
    Instant lastCrashAt{};

    /// True if its crashes suffice to refuse it, if nothing else explains them.
    bool hasEnoughCrashes() const;
    /// Returns whether the crash was not known yet.
    bool addCrash(CrashId aCrash);
    void addCrashAt(Instant aTime);
  };
  /// True while a refusal has ended and a single crash renews it.
  static bool isOnProbation(const Entry& aEntry, Instant aNow);
  /// True once a suspicion has no effect any more.
  static bool isExpired(const Entry& aEntry, Instant aNow);
  void removeExpired(Instant aNow);
  /// Merges a record, but for the question of who is the cause. Returns whether
  /// it changed the local state.
  bool join(const SuspicionRecord& aRecord, Instant aNow);
  /// Refuses exactly those that are the cause by all that is known, so that the
  /// order in which records arrive makes no difference.
  void updateRefusals();
  /// Returns the entry of a request for an update, or null at the capacity.
  Entry* entryFor(std::uint64_t aFingerprint, Instant aNow);
  /// True if the cause of the crashes of `aEntry` is rather the other one, or
  /// may as well be.
  static bool isBetterExplained(const Entry& aEntry, const Entry& aOther);
  /// Adds a crash to a suspicion. Returns null at the capacity.
  Entry* addSuspect(std::uint64_t aFingerprint, CrashId aCrash, Instant aNow);
  static SuspicionRecord record(std::uint64_t aFingerprint,
                                const Entry& aEntry,
                                Instant aNow);

  bool isRetracted(CrashId aCrash) const;

  Duration mRefusalDuration;
  std::size_t mCapacity;
  std::deque<CrashId> mRetracted; ///< The oldest one first.
  std::unordered_map<std::uint64_t, Entry> mEntries;
};

} // namespace laburnum::policy
