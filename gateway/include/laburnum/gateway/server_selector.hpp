#pragma once

#include "laburnum/gateway/retry_controller.hpp"
#include "laburnum/gateway/server_list.hpp"

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
  /// A rank is silent if it sent nothing for this long while other ranks of its
  /// group did: five passes of the longest allowed gap between events, and less
  /// than half of the time after which clients disconnect.
  Duration silenceTimeout = milliseconds(750);
  /// Other ranks count as active if they sent something within this time: two
  /// passes.
  Duration groupActivityWindow = milliseconds(300);
};

/// Selects the server for each request. Tracks the requests in progress of this
/// gateway and its peers at each server, as well as latency and failures, so
/// that slow, failing and highly loaded servers get fewer requests.
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
    bool isGeneration = false; ///< Runs on ranks that execute passes together.
    std::string group;         ///< Name of the group of those ranks.
  };

  /// Returns the server with the lowest estimated cost that is not excluded, or
  /// null.
  const ServerRecord* select(const std::vector<const ServerRecord*>& aServers,
                             const Demand& aDemand,
                             const std::set<std::string>& aExcluded,
                             Instant aNow) const;

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

  /// Requests of this gateway in progress at each server, to be sent to peers.
  std::map<std::string, int> loads() const;

  /// Sets the requests in progress of a peer at each server.
  void setPeerLoads(const std::string& aPeer,
                    std::map<std::string, int> aLoads);

  /// Discards the state of a server or a peer. A server with requests in
  /// progress keeps its state.
  void removeServer(const std::string& aServerId);
  void removePeer(const std::string& aPeer) { mPeers.erase(aPeer); }

private:
  struct State
  {
    int inFlight = 0;
    std::string group;         ///< Group of the rank; empty if it is no rank.
    Instant lastActivityAt{};  ///< Or when it last became busy.
    bool hasResponded = false; ///< Since it became busy.
    double promptTokens = 0;
    double latencyMs = 0; ///< Exponentially smoothed.
    int consecutiveLosses = 0;
    Instant backoffUntil{};
  };
  double score(const ServerRecord& aServer,
               const Demand& aDemand,
               Instant aNow) const;

  ServerSelectorOptions mOptions;
  std::map<std::string, State> mServers;
  std::map<std::string, std::map<std::string, int>> mPeers;
  int mInFlight = 0;
};

} // namespace laburnum::gateway
