#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnum::gateway {

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
  double slowdown = 1; ///< Factor by which its work exceeds the usual time.
};

/// Slowdown from which moving a stream is worth processing its prompt again: a
/// pass of the group then exceeds the maximum gap between events.
inline constexpr double kMinMigrationSlowdown = 3;

/// A change to the server list; without a record, the server was removed.
struct ServerChange
{
  std::string id;
  std::optional<ServerRecord> record;
};

/// Settings of a `ServerList`.
struct ServerListOptions
{
  /// A live server whose entry expired during an outage of the list is
  /// registered again within two seconds of its end (protocol of the platform).
  Duration expiryGracePeriod = seconds(2);
};

/// The servers that may receive requests. Entries that expire while the source
/// of the list is unavailable remain in use until the source has been available
/// again for a grace period, because live servers cannot renew them meanwhile.
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

  /// Returns the requests per second that a server accepts, if it limits them.
  std::optional<double> rateLimit(const ServerRecord& aServer) const;

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
  };
  /// What is known of a server process beside its entry, mostly from its
  /// responses.
  struct Notice
  {
    std::int64_t startedMs = 0; ///< Of the process.
    bool isLeaving = false;
    bool isGone = false; ///< Its entry was removed.
    Instant pausedUntil{};
    std::optional<double> rateLimit;
  };
  /// Returns the notice of a server process for an update, or null if a later
  /// process of the server is known.
  Notice* noticeOf(const std::string& aServerId, std::int64_t aStartedMs);
  /// Returns the notice of the server process in the list, or null.
  const Notice* currentNotice(const ServerRecord& aRecord) const;
  /// Removes an entry and remembers that its process is gone.
  std::map<std::string, Entry>::iterator erase(
    std::map<std::string, Entry>::iterator aEntry);
  bool inGracePeriod(Instant aNow) const;
  bool removeOrMarkMissing(const std::string& aServerId, Instant aNow);
  bool upsert(const ServerRecord& aRecord);

  ServerListOptions mOptions;
  std::map<std::string, Entry> mRecords;
  std::map<std::string, Notice> mNotices; ///< By server.
  bool mIsSourceLost = false;
  std::optional<Instant> mSourceRestoredAt;
};

} // namespace laburnum::gateway
