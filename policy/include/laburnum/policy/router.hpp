#pragma once

#include "laburnum/kernel/random.hpp"
#include "laburnum/kernel/registry.hpp"
#include "laburnum/kernel/time.hpp"
#include "laburnum/policy/prefix_index.hpp"
#include "laburnum/policy/request_machine.hpp"
#include "laburnum/policy/slot_scheduler.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnum::policy {

/// What an entry knows about one backend server.
struct ServerView
{
  ServerId id = 0;
  std::string domain; ///< Its failure domain.
  std::string region;
  std::vector<std::string> offers; ///< Models as "name@version", or services.
  int slots = 1;
  bool live = true;
  bool leaving = false;
  double pendingCost = 0; ///< Reported tokens still to produce.
  int running = 0;
  int waiting = 0;
  int pausable = 0; ///< Running work that can be paused for short work.
  double tokensPerSecond = 100;
  double sentCost = 0;  ///< Tokens this entry sent since the last report.
  int sentCount = 0;    ///< Requests this entry sent since the last report.
  int outstanding = 0;  ///< Attempts of this entry that have not ended.
  double loadShare = 1; ///< Fraction of its normal load; below 1 if it is slow.
  int failures = 0;     ///< Consecutive failed attempts.
  Instant ejectedUntil{};
};

/// Properties of a request that determine which servers can take it.
struct RouteQuery
{
  std::string_view offer;  ///< "name@version", "name", or a service.
  std::string_view domain; ///< The entry's own failure domain.
  std::string_view region; ///< The entry's own region.
  double cost = 1;         ///< Predicted output in tokens.
  std::span<const std::uint64_t> prefix; ///< From `hashPrefixBlocks`.
  std::span<const ServerId> excluded;
  Instant now;
};

/// An eligible server and its properties for one request.
struct Candidate
{
  const ServerView* server = nullptr;
  std::size_t prefixBlocks = 0; ///< Leading blocks that it probably has cached.
  std::uint64_t affinity = 0;   ///< Rendezvous hash weight for the prefix.
  bool sameDomain = true;
  bool sameRegion = true;
};

/// Chooses one of the candidates, of which there is at least one, and returns
/// its index. Registered by name: "round_robin", "least_outstanding",
/// "power_of_two", "weighted_load".
using RoutingPolicy = std::size_t (*)(const RouteQuery&,
                                      std::span<const Candidate>,
                                      Random&);

struct RouterOptions
{
  std::string policy = "weighted_load";
  std::uint64_t seed = 1;
  std::size_t subset = 32;      ///< Maximum servers to consider per offer.
  double maxEjectedShare = 0.3; ///< Of an offer's servers at the same time.
};

/// Returns true if aOffered satisfies aWanted: "m" is satisfied by any version
/// "m@V", but "m@V" only by that version. Thread-safe.
bool
offerMatches(std::string_view aOffered, std::string_view aWanted);

/// Chooses the backend server for each attempt of one entry. Its inputs are
/// membership changes, load reports from agents, and the entry's own traffic.
/// Since reports arrive late, it adds what this entry has sent since then.
/// Servers that fail repeatedly are ejected for a time, and slow servers get a
/// smaller share of the load. Calls for unknown servers are ignored.
/// Not thread-safe.
class Router
{
public:
  /// An unknown policy name selects "weighted_load".
  explicit Router(RouterOptions aOptions = {});

  // Server state.

  /// Adds a server, or replaces all that is known about it.
  void upsert(const ServerView& aServer);
  /// Changes what a server offers and keeps its load state.
  void setOffers(ServerId aServer, std::vector<std::string> aOffers);
  void remove(ServerId aServer);
  void markLive(ServerId aServer, bool aLive);
  void markLeaving(ServerId aServer, bool aLeaving);

  /// Applies a load report, which includes everything sent before it.
  void updateLoad(ServerId aServer, const SchedulerLoad& aLoad);

  // Routing.

  /// Returns the server for an attempt, or nothing if none is eligible. O(n)
  /// in the size of the subset.
  std::optional<ServerId> choose(const RouteQuery& aQuery);
  /// Returns true if an eligible server appears to have a free slot.
  bool hasFreeSlot(const RouteQuery& aQuery);
  /// Records that this entry sent an attempt with these prefix blocks.
  void recordSent(ServerId aServer,
                  double aCost,
                  std::span<const std::uint64_t> aPrefix = {});

  /// Records the end of an attempt. After several consecutive failures the
  /// server is ejected for a time, within the limit of maxEjectedShare.
  void recordEnd(ServerId aServer, bool aFailed, Instant aNow);

  /// Lowers the load share of servers with much less throughput per slot than
  /// their peers, and raises it again once they recover. Call about once per
  /// second.
  void updateLoadShares();

  // Accessors.

  const ServerView* find(ServerId aServer) const;
  PrefixIndex& prefixIndex() { return mPrefixIndex; }
  std::size_t size() const { return mServers.size(); }

  /// Selects a routing policy; returns false and keeps the current one if the
  /// name is unknown.
  bool setPolicy(std::string_view aName);

private:
  void removeFromOffers(const ServerView* aServer);
  const std::vector<ServerView*>& subset(std::string_view aOffer);
  bool isEligible(const ServerView& aServer, const RouteQuery& aQuery) const;
  std::size_t countEjected(const std::string& aOffer, Instant aNow) const;

  RouterOptions mOptions;
  RoutingPolicy mPolicy = nullptr;
  Random mRandom;
  std::unordered_map<ServerId, std::unique_ptr<ServerView>> mServers;
  std::map<std::string, std::vector<ServerView*>, std::less<>> mByOffer;
  /// Servers to consider, by wanted offer; rebuilt when offers change.
  std::map<std::string, std::vector<ServerView*>, std::less<>> mSubsets;
  PrefixIndex mPrefixIndex;
  std::vector<Candidate> mCandidates; ///< Reused to avoid allocations.
};

} // namespace laburnum::policy
