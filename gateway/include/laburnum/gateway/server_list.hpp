#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/kernel/hash.hpp"
#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnum::gateway {

/// Identifies a process of a server, by the Unix time at which it started; the
/// same in each gateway.
inline std::uint64_t
processId(const std::string& aServerId, std::int64_t aStartedMs)
{
  return mix(hash64(aServerId), static_cast<std::uint64_t>(aStartedMs));
}

/// A backend server as described by the server list.
struct ServerRecord
{
  std::string id;
  std::string service;
  contract::Address address;
  std::string failureDomain;
  int slots = 1;          ///< Requests processed concurrently.
  bool isLeaving = false; ///< Draining: accepts no new requests.
  /// Unix time at which the process started; distinguishes restarts.
  std::int64_t startedMs = 0;
  /// Counts the writes of the process to its entry; 0 if unknown.
  std::int64_t sequence = 0;
  /// Differs if the entry was removed and created again; 0 if unknown.
  std::uint64_t entryCreated = 0;
  double slowdown = 1; ///< Factor by which its work exceeds the usual time.
  /// Time for which it stays cold, from when its entry was read; nothing if the
  /// entry does not say.
  std::optional<Duration> coldTime;

  /// Identifies the process; the same in each gateway.
  std::uint64_t processId() const { return gateway::processId(id, startedMs); }
};

/// What the servers of a service tolerate while they are cold.
struct ColdLimit
{
  double rate = 0;    ///< Requests per second, from all gateways together.
  Duration time{ 0 }; ///< For which a server is cold after its start.

  auto operator<=>(const ColdLimit&) const = default;
};

/// The rate of requests that a server accepts from all gateways together.
struct ServerRate
{
  double perSecond = 0;
  /// Set while the server is cold; the bound then holds for each second.
  std::optional<Instant> coldUntil;
};

/// Slowdown from which moving a stream is worth processing its prompt again: a
/// pass of the group then exceeds the maximum gap between events.
inline constexpr double kMinMigrationSlowdown = 3;

/// A change to the server list; without a record, the server was removed.
struct ServerChange
{
  std::string id;
  std::optional<ServerRecord> record;
  /// The entry as it was when it was removed, if the source tells.
  std::optional<ServerRecord> removed;
};

/// Settings of a `ServerList`.
struct ServerListOptions
{
  /// A live server whose entry expired during an outage of the list is
  /// registered again within two seconds of its end (protocol of the platform).
  Duration expiryGracePeriod = seconds(2);
  /// Time for which a server that refused a connection is treated as cold: its
  /// next process is back after some seconds, and its entry is read then.
  Duration restartTime = seconds(10);
  /// Time after which an entry is taken that may be a late write: entries are
  /// removed after three missing heartbeats, so one that remains is that of a
  /// live process.
  Duration lastingTime = seconds(5);
};

/// The servers that may receive requests. Entries that expire while the source
/// of the list is unavailable remain in use until the source has been available
/// again for a grace period, because live servers cannot renew them meanwhile.
///
/// A write to an entry may be executed late, after newer ones, and even after
/// the entry was removed. A process that has reported that it is leaving
/// therefore stays excluded, entries with a lower sequence change nothing, and
/// those that bring back a removed entry with a lower sequence, or are of a
/// process with an earlier start, count only if they last.
///
/// All times passed in must be non-decreasing. Methods that remove servers
/// return the IDs of those that may receive no further requests. Performs no
/// I/O. Thread safety: loop thread only.
class ServerList
{
public:
  explicit ServerList(ServerListOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Replaces the list by a complete one.
  std::vector<std::string> replace(const std::vector<ServerRecord>& aRecords,
                                   Instant aNow);

  /// Replaces the list by a complete one that is older than what is known: the
  /// source was restored from a copy. Processes known to be leaving or gone
  /// stay excluded until their entry changes; those that are missing remain in
  /// use for a grace period, in which they register again.
  std::vector<std::string> replaceByCopy(
    const std::vector<ServerRecord>& aRecords,
    Instant aNow);

  /// Applies changes since the last update.
  std::vector<std::string> apply(const std::vector<ServerChange>& aChanges,
                                 Instant aNow);

  /// Called when the source of the list becomes unavailable, and when it is
  /// available again.
  void sourceLost(Instant aNow);
  void sourceRestored(Instant aNow);

  /// Removes missing servers whose grace period has ended.
  std::vector<std::string> removeExpired(Instant aNow);

  /// Takes entries that may be late writes and have lasted, see
  /// `ServerListOptions::lastingTime`.
  void acceptLasting(Instant aNow);

  /// Returns the servers of a service that may receive requests, in time linear
  /// in the size of the list.
  std::vector<const ServerRecord*> availableServers(
    const std::string& aService) const;

  /// Returns the record of a server, or null.
  const ServerRecord* find(const std::string& aServerId) const;

  /// Returns the available servers that accept requests of this gateway now.
  std::vector<const ServerRecord*> readyServers(const std::string& aService,
                                                Instant aNow) const;

  /// True if a server process is one of the `readyServers` of its service.
  bool isReady(const ServerRecord& aServer, Instant aNow) const;

  /// True if a server process is listed and not known to be leaving. It may be
  /// paused.
  bool isServing(const std::string& aServerId, std::int64_t aStartedMs) const;

  /// True if a later process of the server is listed, and this one is not known
  /// to have left.
  bool hasRestarted(const std::string& aServerId,
                    std::int64_t aStartedMs) const;

  /// Returns when the latest process of a server started, if its entry was
  /// removed and it had not said that it is leaving.
  std::optional<std::int64_t> removedProcess(
    const std::string& aServerId) const;

  /// Excludes a server process that said that it is leaving, or whose address
  /// now belongs to another server. It stays excluded if its entry lapses and
  /// returns.
  void markLeaving(const std::string& aServerId, std::int64_t aStartedMs);

  /// Excludes a server process from `readyServers` for a time, as it asked for.
  void pause(const std::string& aServerId,
             std::int64_t aStartedMs,
             Instant aUntil);

  /// Records the requests per second that a server process accepts from all
  /// gateways together, as stated in its newest response; nothing if it stated
  /// none. Returns whether this is a change.
  bool setRateLimit(const std::string& aServerId,
                    std::int64_t aStartedMs,
                    std::optional<double> aRate);

  /// Returns the rate that a server accepts, if it is limited: the smaller one
  /// of what it stated and of what it tolerates while it is cold.
  std::optional<ServerRate> rateLimit(const ServerRecord& aServer,
                                      Instant aNow) const;

  /// Sets what cold servers tolerate, by service.
  void setColdLimits(std::map<std::string, ColdLimit> aLimits)
  {
    mColdLimits = std::move(aLimits);
  }

  /// True while a server is cold and its service limits the rate of those.
  bool isCold(const ServerRecord& aServer, Instant aNow) const;

  /// Treats a server as cold that refused a connection: the process that comes
  /// next at its address is, before its entry says so.
  void markRestarting(const std::string& aServerId,
                      std::int64_t aStartedMs,
                      Instant aNow);

  /// Sets the failure domains whose servers receive no requests, or that these
  /// are not known yet, so that no server does. None at first.
  void setEvacuatedDomains(std::optional<std::set<std::string>> aDomains)
  {
    mEvacuatedDomains = std::move(aDomains);
  }

  /// True if a server's failure domain is evacuated, or may be.
  bool isEvacuated(const ServerRecord& aServer) const
  {
    return !mEvacuatedDomains ||
           mEvacuatedDomains->contains(aServer.failureDomain);
  }

  /// Returns the fraction of a service's available servers whose failure domain
  /// is not evacuated: the capacity that is left. 1 if there is no server.
  double offeredShare(const std::string& aService) const;

  /// Returns when the first paused server of a service accepts requests again,
  /// or nothing if none is paused.
  std::optional<Instant> firstResumption(const std::string& aService,
                                         Instant aNow) const;

  std::size_t size() const { return mRecords.size(); }

private:
  struct Entry
  {
    ServerRecord record;
    std::optional<Instant> missingSince; ///< Set in the grace period.
    Instant coldUntil{};
  };
  /// What is known of a server process beside its entry, mostly from its
  /// responses.
  struct Notice
  {
    std::int64_t startedMs = 0; ///< Of the process.
    bool isLeaving = false;
    bool isGone = false;        ///< Its entry was removed.
    bool hasFormerLeft = false; ///< The process before it was leaving.
    std::int64_t sequence = 0;  ///< Highest one of its entries.
    Instant pausedUntil{};
    std::optional<double> rateLimit;
    Instant restartingUntil{}; ///< Until when it is treated as cold.
  };
  /// An entry that may be a late write: of a process with an earlier start than
  /// the known one, or of one whose entry was removed with a higher sequence.
  struct DoubtfulEntry
  {
    ServerRecord record;
    Instant since{};
  };
  /// Returns the notice of a server process for an update, or null if a later
  /// process of the server is known.
  Notice* noticeOf(const std::string& aServerId, std::int64_t aStartedMs);
  /// Returns the notice of the server process in the list, or null.
  const Notice* currentNotice(const ServerRecord& aRecord) const;
  /// Removes an entry and remembers that its process is gone.
  std::map<std::string, Entry>::iterator erase(
    std::map<std::string, Entry>::iterator aEntry);
  /// Returns until when a server is cold, if it is.
  std::optional<Instant> coldEnd(const ServerRecord& aServer,
                                 Instant aNow) const;
  bool inGracePeriod(Instant aNow) const;
  bool removeOrMarkMissing(const std::string& aServerId, Instant aNow);
  /// Keeps the highest sequence of a process whose entry was removed.
  void recordRemoved(const ServerRecord& aRecord);
  bool upsert(const ServerRecord& aRecord, Instant aNow);
  /// True if a process whose entry was removed has written an entry after this
  /// one. An unknown sequence tells nothing.
  static bool isLateWrite(const ServerRecord& aRecord, const Notice& aNotice);
  /// True if the entry in the list was removed and this one created since.
  bool wasRecreated(const ServerRecord& aRecord) const;
  /// Keeps an entry for the case that it lasts.
  void putAside(const ServerRecord& aRecord, Instant aNow);
  /// Stores an entry whose process is the latest one known.
  bool store(const ServerRecord& aRecord, Notice& aNotice, Instant aNow);

  ServerListOptions mOptions;
  std::map<std::string, Entry> mRecords;
  std::map<std::string, Notice> mNotices;                ///< By server.
  std::map<std::string, DoubtfulEntry> mDoubtfulEntries; ///< By server.
  std::map<std::string, ColdLimit> mColdLimits;          ///< By service.
  std::optional<std::set<std::string>> mEvacuatedDomains{ std::in_place };
  bool mIsSourceLost = false;
  std::optional<Instant> mSourceRestoredAt;
};

} // namespace laburnum::gateway
