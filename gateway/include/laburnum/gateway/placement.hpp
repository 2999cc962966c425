#pragma once

#include "laburnum/gateway/request_course.hpp"
#include "laburnum/gateway/server_list.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnum::gateway {

struct PlacementOptions
{
  std::string failureDomain; ///< Own domain, preferred at an equal outcome.
  /// Weight of a request in another domain against one in the own: the hop of
  /// 1.4 ms there and back on a request of 30 ms.
  double foreignFactor = 1.1;
  /// Losses in a row after which a server is left alone for a while.
  int tolerated = 2;
  Duration firstPause = milliseconds(500);
  Duration longestPause = seconds(4);
  /// Requests of one rank cost as much as reading so many tokens.
  double tokensOfRequest = 2000;
  /// A rank that says nothing for so long while others of its group do stands
  /// still: five passes of the longest pause between events that the users'
  /// sheets allow, and less than half of the pause after which callers leave.
  Duration silence = milliseconds(750);
  /// Others of the group do if one has said something since: two passes.
  Duration groupHeard = milliseconds(300);
};

/// How much work of this entry, and of its peers, is at each server, and how
/// the last of it ended. Picks where a request goes. Answers the load in which
/// some servers are slow, fail a part of their requests, or carry more than
/// the others of a group that steps together. Free of I/O. Thread safety: loop
/// thread.
class Placement
{
public:
  explicit Placement(PlacementOptions aOptions = {});

  /// What a request asks of a server.
  struct Demand
  {
    double promptTokens = 0;
    bool isGeneration = false; ///< Its server steps together with others.
    std::string group;         ///< Of those servers.
  };

  /// The best of the servers but the excluded ones, or null. Pre: none.
  const ServerRecord* pick(const std::vector<const ServerRecord*>& aServers,
                           const Demand& aDemand,
                           const std::set<std::string>& aExcluded,
                           Instant aNow) const;

  // Accounting. Pre: `begin` and `end` come in pairs.

  void begin(const std::string& aId, const Demand& aDemand, Instant aNow);
  void end(const std::string& aId,
           const Demand& aDemand,
           AttemptEnd aEnd,
           Duration aTook,
           Instant aNow);

  /// A server has said something of a request. Pre: times never go back.
  void heard(const std::string& aId, Instant aNow);

  /// Ranks whose streams stand still while those of others of the group go on.
  /// Answers the load of an instance that freezes with its rank, whose callers
  /// would leave. Pre: as above.
  std::vector<std::string> silent(Instant aNow) const;

  /// Requests of this entry at a server, and at all. Pre: none.
  int inFlight(const std::string& aId) const;
  int inFlight() const { return mInFlight; }

  /// Requests at each server, for the peers. Pre: none.
  std::map<std::string, int> loads() const;

  /// What a peer has at each server, as of its last word. Pre: none.
  void peerLoads(const std::string& aPeer, std::map<std::string, int> aLoads);

  /// Drops what is known of a server or a peer. Pre: none.
  void forgetServer(const std::string& aId);
  void forgetPeer(const std::string& aPeer) { mPeers.erase(aPeer); }

private:
  struct State
  {
    int inFlight = 0;
    std::string group;      ///< Whose rank it is; empty for a plain server.
    Instant heardAt{};      ///< Or since when it has requests.
    bool hasSpoken = false; ///< Since then.
    double promptTokens = 0;
    double tookMs = 0; ///< Smoothed.
    int losses = 0;    ///< In a row.
    Instant pausedUntil{};
  };
  double score(const ServerRecord& aServer,
               const Demand& aDemand,
               Instant aNow) const;

  PlacementOptions mOptions;
  std::map<std::string, State> mServers;
  std::map<std::string, std::map<std::string, int>> mPeers;
  int mInFlight = 0;
};

} // namespace laburnum::gateway
