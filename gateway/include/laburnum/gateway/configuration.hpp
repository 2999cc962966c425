#pragma once

#include "laburnum/kernel/enum_names.hpp"
#include "laburnum/kernel/time.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnum::gateway {

/// Determines whether requests of a route may be retried.
enum class RouteType : std::uint8_t
{
  Idempotent,    ///< May be executed more than once.
  NonIdempotent, ///< Executed at most once per client attempt.
  Stream ///< Server-sent events; executed at most once unless resumable.
};

inline constexpr EnumNames<RouteType, 3> kRouteTypeNames{
  { { RouteType::Idempotent, "idempotent" },
    { RouteType::NonIdempotent, "non_idempotent" },
    { RouteType::Stream, "stream" } }
};

/// A service that receives a share of the requests of a route.
struct RouteTarget
{
  std::string service;
  double weight = 1; ///< Relative to the other targets of the route.
};

/// Rules for the requests to one host whose path has a given prefix.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  std::vector<RouteTarget> targets;
  RouteType type = RouteType::NonIdempotent;
  Duration timeout = seconds(30); ///< Upper bound of the time for one request.
  Duration latencyObjective = seconds(1); ///< Expected time to respond.
  Duration gapObjective{ 0 }; ///< Maximum time between events; 0: no limit.
  int priority = 0;           ///< 0 is the most urgent.
  int maxAttempts = 1;        ///< Servers tried per client attempt.
  bool isPublic = false;      ///< No API key is required.
  bool isResumable = false;   ///< Streams resume after `Last-Event-Id`.

  /// True if a request that may have been executed can be sent again.
  bool isRetryable() const
  {
    return type == RouteType::Idempotent ||
           (type == RouteType::Stream && isResumable);
  }
};

/// Cost model that a model engine declares. A group of ranks executes passes
/// together; each pass runs one or more token steps and generates tokens for
/// every active sequence.
struct EngineRuntime
{
  int slots = 1;
  double stepMs = 0;        ///< Duration of a token step without sequences.
  double perSequenceMs = 0; ///< Added per generating sequence.
  double contextMsPerKiloToken = 0;  ///< Added per 1,000 tokens of context.
  double prefillTokensPerSecond = 1; ///< Rate at which prompts are processed.
  int stepsPerPass = 1; ///< Token steps per pass while sequences generate.
  double meanOutputTokens = 0; ///< Mean length of a response.
  int layerSets = 0;           ///< Sets of layers with experts; 0: no experts.
  int experts = 0;             ///< Experts per set.
  int expertSlots = 0;         ///< Experts that fit on a rank, per set.
  double expertRatio = 0; ///< Fraction of the work per token done by experts.
  int standbySlots = 0;   ///< Experts that a map change may copy to a rank.
  Duration expertCopyTime{ 0 }; ///< Time to copy one expert to a rank.

  /// Duration of a pass without sequences.
  Duration emptyPassTime() const
  {
    return fromSeconds(stepMs * stepsPerPass / 1000);
  }

  /// Passes in which a stream of mean length takes a slot: one reads the
  /// prompt, as another one does with its first tokens.
  int passesPerStream() const
  {
    return 2 + static_cast<int>(meanOutputTokens / std::max(1, stepsPerPass));
  }
};

/// A set of interchangeable backend servers.
struct Service
{
  std::string name;
  std::size_t maxConnections = 64; ///< Limit per server, over all gateways.
  std::optional<EngineRuntime> runtime; ///< Set for model engines only.
  /// Requests per second that a cold server tolerates, from all gateways
  /// together; 0: any number.
  double coldRate = 0;
  Duration coldTime{ 0 }; ///< Time for which a server is cold after its start.
};

/// A client account. Its API keys are the keys of `accountsByKey`.
struct Account
{
  std::string name;
  int priority = -1; ///< Negative: the priority of the route applies.
};

/// Limits on what a client may send; exceeding one ends the connection.
struct ClientLimits
{
  std::size_t headerBytes = 16 * 1024;
  std::size_t bodyBytes = 1024 * 1024;
  Duration headerTimeout = seconds(3); ///< From the first byte.
  Duration idleTimeout = seconds(15);  ///< Between requests.
};

/// One version of the settings that operators control: routes, services, client
/// accounts and limits. Immutable once in use, so that requests in progress
/// keep the version they started with.
///
/// Thread safety: const methods from any thread.
struct Configuration
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  std::unordered_map<std::string, Account> accountsByKey;
  bool hasAccounts = false; ///< If false, no request needs an API key.
  ClientLimits limits;

  /// Returns the route for the host with the longest matching path prefix, or
  /// null. Linear in the number of routes.
  const Route* match(std::string_view aHost, std::string_view aPath) const;

  /// Returns the service with the given name, or null.
  const Service* service(std::string_view aName) const;
};

} // namespace laburnum::gateway
