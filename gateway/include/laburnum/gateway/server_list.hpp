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

/// A backend server as the list tells of it.
struct ServerRecord
{
  std::string id;
  std::string service;
  contract::Address address;
  std::string failureDomain;
  int slots = 1;
  bool isLeaving = false;
  std::int64_t bornMs = 0; ///< Unix time of its start; tells lives apart.
  double pace = 1;         ///< How many times as long as usual its work takes.
};

/// From this pace on it pays to read prompts once more at another server: a
/// pass of its group takes longer than the pause that callers are promised.
inline constexpr double kPaceToLeave = 3;

/// A change of what the list holds; no record means that the entry is gone.
struct ServerChange
{
  std::string id;
  std::optional<ServerRecord> record;
};

struct ServerListOptions
{
  /// A live server whose entry lapsed in an outage of the list is back within
  /// two seconds of its end (the platform's protocol).
  Duration lapseGrace = seconds(2);
};

/// Which servers may get work. Answers entries that lapse by themselves while
/// the list is away: they stay usable until the list has been back for the
/// grace. Free of I/O. Thread safety: loop thread.
class ServerList
{
public:
  explicit ServerList(ServerListOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// The whole list as read. Returns the ids of servers that may get no more
  /// work. Pre: times never go back.
  std::vector<std::string> replace(const std::vector<ServerRecord>& aAll,
                                   Instant aNow);

  /// Changes since the last reading. Returns ids as `replace`. Pre: as above.
  std::vector<std::string> apply(const std::vector<ServerChange>& aChanges,
                                 Instant aNow);

  /// The list doesn't answer, or does again. Pre: as above.
  void lost(Instant aNow);
  void regained(Instant aNow);

  /// Drops lapsed entries whose grace is over; returns their ids.
  std::vector<std::string> expire(Instant aNow);

  /// All usable servers of a service. Pre: none. Complexity: linear.
  std::vector<const ServerRecord*> usable(const std::string& aService) const;

  /// The record of a server, or null. Pre: none.
  const ServerRecord* find(const std::string& aId) const;

  /// A server said itself that it is leaving, or another has its address.
  /// Pre: none.
  void leftByItself(const std::string& aId, std::int64_t aBornMs);

  std::size_t size() const { return mRecords.size(); }

private:
  struct Held
  {
    ServerRecord record;
    std::optional<Instant> lapsedAt;
    bool saidLeaving = false;
  };
  bool inGrace(Instant aNow) const;
  bool removeOrLapse(const std::string& aId, Instant aNow);
  bool put(const ServerRecord& aRecord);

  ServerListOptions mOptions;
  std::map<std::string, Held> mRecords;
  bool mIsLost = false;
  std::optional<Instant> mRegainedAt;
};

} // namespace laburnum::gateway
