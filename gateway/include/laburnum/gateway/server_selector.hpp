#pragma once

#include "laburnum/gateway/group_status.hpp"
#include "laburnum/gateway/retry_controller.hpp"
#include "laburnum/gateway/server_list.hpp"
#include "laburnum/kernel/random.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnum::gateway {

/// Parameters of a `ServerSelector`.
struct ServerSelectorOptions
{
  std::string failureDomain; ///< Own domain; preferred among equals.
  /// Cost of a request in another failure domain relative to the own one: a
  /// round trip of 1.4 ms for a request of 30 ms.
  double remoteDomainFactor = 1.1;
  /// Consecutive losses after which a server is avoided temporarily.
  int maxConsecutiveLosses = 2;
  /// Doubled with each further loss, up to `maxBackoff`.
  Duration initialBackoff = milliseconds(500);
  Duration maxBackoff = seconds(4);
  /// Number of prompt tokens that cost a rank as much as one request.
  double tokensPerRequest = 2000;
  /// A rank is silent if it sent nothing for this many times the longest gap
  /// between events that its streams allow, while other ranks of its group did.
  /// Less than the eight gaps after which clients disconnect.
  int silentGaps = 5;
  /// As above, for a rank that has not responded yet, in multiples of the
  /// objective of the first event; clients disconnect after four.
  int silentObjectives = 2;
  /// As above, while the steward beside the rank reports its load: the instance
  /// is not frozen, and the request more likely waits for a slot.
  int silentObjectivesIfReported = 3;
  /// Other ranks count as active if they sent something within this many gaps.
  int activeGaps = 2;
  /// The gap for streams whose route states none.
  Duration defaultGap = milliseconds(150);
  /// Loads that others told are used up to this age.
  Duration maxStatusAge = milliseconds(1000);
  /// Age that told loads have when they arrive.
  Duration statusDelay = milliseconds(200);
  std::uint64_t seed = 1; ///< Of the choice among equally loaded servers.
};

/// Selects the server for each request. Tracks the requests in progress of this
/// gateway at each server, as well as latency and failures, so that slow,
/// failing and highly loaded servers get fewer requests. The ranks of a group
/// are chosen by the loads that their stewards tell, plus what this gateway has
/// sent since; see `drawLevelled`.
///
/// All times passed in must be non-decreasing. Performs no I/O. Thread safety:
/// loop thread only.
class ServerSelector
{
public:
  explicit ServerSelector(ServerSelectorOptions aOptions = {});

  /// What a request requires of a server.
  struct Demand
  {
    double promptTokens = 0;
    bool isGeneration = false;  ///< Runs on ranks that execute passes together.
    GroupKey group;             ///< The group of those ranks.
    Duration gapObjective{ 0 }; ///< Maximum time between events; 0: not stated.
    Duration firstEventObjective{ 0 }; ///< Expected time to the first event.
  };

  /// Returns the server with the lowest estimated cost that is not excluded, or
  /// null.
  const ServerRecord* select(const std::vector<const ServerRecord*>& aServers,
                             const Demand& aDemand,
                             const std::set<std::string>& aExcluded,
                             Instant aNow);

  /// Records that a request was sent to a server.
  void requestStarted(const std::string& aServerId,
                      const Demand& aDemand,
                      Instant aNow);
  /// Records the end of a request and its latency.
  /// @pre `requestStarted` was called with the same server and demand.
  void requestEnded(const std::string& aServerId,
                    const Demand& aDemand,
                    AttemptOutcome aOutcome,
                    Duration aLatency,
                    Instant aNow);

  /// Records that a server sent a part of a response.
  void recordActivity(const std::string& aServerId, Instant aNow);

  /// Returns the ranks whose streams make no progress while those of other
  /// ranks of the group do. This happens if an instance freezes together with
  /// its rank; its clients would disconnect.
  std::vector<std::string> silentServers(Instant aNow) const;

  /// Requests of this gateway in progress at a server, and in total.
  int inFlight(const std::string& aServerId) const;
  int inFlight() const { return mInFlight; }

  /// Sets the loads of the ranks of a group, those of all gateways together.
  void setGroupLoads(const GroupKey& aGroup,
                     const GroupStatus& aStatus,
                     Instant aNow);

  const ServerSelectorOptions& options() const { return mOptions; }

  /// Requests that the other gateways are expected to place in a group by the
  /// loads that were reported last. Zero while no status is recent.
  double expectedArrivals(const GroupKey& aGroup, Instant aNow) const;

  /// Discards the status of a group.
  void removeGroup(const GroupKey& aGroup) { mGroups.erase(aGroup); }

  /// Discards the state of a server. A server with requests in progress keeps
  /// its state.
  void removeServer(const std::string& aServerId);

private:
  struct State
  {
    int inFlight = 0;
    GroupKey group;                    ///< Empty if it is no rank.
    Instant lastActivityAt{};          ///< Or when it last became busy.
    bool hasResponded = false;         ///< Since it became busy.
    Duration gapObjective{ 0 };        ///< Largest of its requests.
    Duration firstEventObjective{ 0 }; ///< Likewise.
    double promptTokens = 0;
    /// Requests of this gateway that started, less those that ended, since the
    /// loads of the group were told.
    int startedSinceStatus = 0;
    double latencyMs = 0; ///< Exponentially smoothed.
    int consecutiveLosses = 0;
    Instant backoffUntil{};
  };
  /// What others told of a group.
  struct Group
  {
    GroupStatus status;
    Instant updatedAt{};
    int started = 0;            ///< By this gateway since then.
    double startsPerSecond = 0; ///< Smoothed, of this gateway.
  };
  using Servers = std::vector<const ServerRecord*>;

  /// Candidates that are not excluded; those that are avoided only if all are.
  Servers eligible(const Servers& aServers,
                   const std::set<std::string>& aExcluded,
                   Instant aNow) const;
  const ServerRecord* selectRank(const Servers& aServers,
                                 const Demand& aDemand,
                                 Instant aNow);
  const ServerRecord* selectPlain(const Servers& aServers);
  double rankLoad(const ServerRecord& aServer, const Group* aGroup) const;
  double latencyScore(const ServerRecord& aServer) const;
  Duration gapOf(const State& aState) const;
  const Group* freshGroup(const GroupKey& aKey, Instant aNow) const;

  ServerSelectorOptions mOptions;
  std::map<std::string, State> mServers;
  std::map<GroupKey, Group> mGroups;
  Random mRandom;
  int mInFlight = 0;
};

} // namespace laburnum::gateway
