#pragma once

#include "laburnum/kernel/enum_names.hpp"
#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnum::gateway {

/// What may be repeated of the requests on a route.
enum class Repeat : std::uint8_t
{
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once for each client attempt.
  Stream         ///< Events; runs at most once unless it may be resumed.
};

inline constexpr EnumNames<Repeat, 3> kRepeatNames{
  { { Repeat::Idempotent, "idempotent" },
    { Repeat::NonIdempotent, "non_idempotent" },
    { Repeat::Stream, "stream" } }
};

/// One service that a route's requests go to, and its share of them.
struct RouteTarget
{
  std::string service;
  double weight = 1;
};

/// Requests of one host below one path prefix.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  std::vector<RouteTarget> targets;
  Repeat repeat = Repeat::NonIdempotent;
  Duration timeout = seconds(30);
  Duration latencyObjective = seconds(1);
  Duration gapObjective{ 0 }; ///< Longest pause between events; 0: none.
  int priority = 0;           ///< 0 is the most urgent.
  int maxAttempts = 1;        ///< Servers that one client attempt may reach.
  bool isPublic = false;
  bool isResumable = false;

  /// True if a request that may have run can be sent once more.
  bool mayRepeat() const
  {
    return repeat == Repeat::Idempotent ||
           (repeat == Repeat::Stream && isResumable);
  }
};

/// The cost model that a model engine declares of itself.
struct EngineRuntime
{
  int slots = 1;
  double stepMs = 0;           ///< A token step without requests.
  double perSequenceMs = 0;    ///< Added by each request that writes.
  double contextPerKiloMs = 0; ///< Added for 1,000 tokens of context.
  double readTokensPerSecond = 1;
  int stride = 1;            ///< Token steps of a pass with writers.
  int usualAnswerTokens = 0; ///< Mean length of an answer.
  int layerSets = 0;         ///< Sets of layers with experts; 0: none.
  int experts = 0;           ///< Experts in each set.
  int placements = 0;        ///< Experts that fit on a rank, in a set.
  double expertRatio = 0;    ///< Part of a token's work that experts do.
  int standby = 0;           ///< Experts that a change may copy to a rank.
  Duration expertCopy{ 0 };  ///< Time to copy one expert to a rank.
};

struct Service
{
  std::string name;
  std::size_t maxConnections = 64; ///< A server's bound for all callers.
  std::optional<EngineRuntime> runtime;
};

/// A client account and what authenticates it.
struct Account
{
  std::string name;
  int priority = -1; ///< Below 0: the route's priority holds.
};

struct CallerLimits
{
  std::size_t headerBytes = 16 * 1024;
  std::size_t bodyBytes = 1024 * 1024;
  Duration headerTimeout = seconds(3);
  Duration idleTimeout = seconds(15);
};

/// Everything that an operator decides, as of one version.
struct Configuration
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  std::unordered_map<std::string, Account> accountsByKey;
  bool hasAccounts = false; ///< Without accounts no request needs a key.
  CallerLimits limits;

  /// The route with the host and the longest prefix of the path, or null.
  /// Pre: none. Complexity: linear in routes. Thread safety: any thread.
  const Route* match(std::string_view aHost, std::string_view aPath) const;

  /// The service with a name, or null. Pre: none. Thread safety: any thread.
  const Service* service(std::string_view aName) const;
};

} // namespace laburnum::gateway
