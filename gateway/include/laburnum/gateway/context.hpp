#pragma once

#include "laburnum/gateway/configuration.hpp"
#include "laburnum/gateway/connection_pool.hpp"
#include "laburnum/gateway/crash_suspicions.hpp"
#include "laburnum/gateway/drain_policy.hpp"
#include "laburnum/gateway/event_splitter.hpp"
#include "laburnum/gateway/group_admission.hpp"
#include "laburnum/gateway/group_choice.hpp"
#include "laburnum/gateway/group_directory.hpp"
#include "laburnum/gateway/permit_exchange.hpp"
#include "laburnum/gateway/protocol.hpp"
#include "laburnum/gateway/response_memory.hpp"
#include "laburnum/gateway/retry_budget.hpp"
#include "laburnum/gateway/server_list.hpp"
#include "laburnum/gateway/server_probe.hpp"
#include "laburnum/gateway/server_selector.hpp"
#include "laburnum/gateway/surge_detector.hpp"
#include "laburnum/gateway/urgency_shares.hpp"
#include "laburnum/http/memory_account.hpp"
#include "laburnum/kernel/metrics.hpp"
#include "laburnum/kernel/random.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace laburnum::gateway {

/// State shared by all requests of one gateway: configuration, known servers,
/// connections, load and retry accounting, metrics.
///
/// Thread safety: loop thread only.
struct Context
{
  /// Part of the memory of the instance for responses that are not complete.
  static constexpr double kResponseMemoryShare = 0.125;
  /// Part of it for what is held for clients: requests and unread responses.
  static constexpr double kClientMemoryShare = 0.2;

  Context(Loop& aLoop,
          const contract::Settings& aSettings,
          HeaderNames aNames,
          ServerSelectorOptions aSelectorOptions,
          RetryBudgetOptions aRetryBudgetOptions)
    : loop(aLoop)
    , names(aNames)
    , selector(std::move(aSelectorOptions))
    , pool(aLoop)
    , probe(aLoop)
    , permits(aLoop, aSettings)
    , responseMemory(static_cast<std::size_t>(aSettings.gateway.memoryMb *
                                              kResponseMemoryShare * 1e6))
    , clientMemory(
        std::make_shared<http::ClientMemory>(static_cast<std::size_t>(
          aSettings.gateway.memoryMb * kClientMemoryShare * 1e6)))
    , retryBudgetOptions(aRetryBudgetOptions)
    , crashSuspicions(aSettings.gateway.heartbeat)
  {
  }

  /// Returns the retry budget of a service, creating it on first use.
  RetryBudget& retryBudget(const std::string& aService)
  {
    return retryBudgets.try_emplace(aService, retryBudgetOptions).first->second;
  }

  Loop& loop;
  HeaderNames names;
  /// Null until the first configuration is applied.
  std::shared_ptr<const Configuration> configuration;
  ServerList servers;
  ServerSelector selector;
  ConnectionPool pool;
  ServerProbe probe;
  PermitExchange permits;
  ResponseMemory responseMemory;
  std::shared_ptr<http::ClientMemory> clientMemory;
  /// For bytes that a connection has just received, before they are parsed.
  std::vector<char> receiveBuffer;
  RetryBudgetOptions retryBudgetOptions;
  std::map<std::string, RetryBudget> retryBudgets;    ///< By service.
  std::map<std::string, FirstEventIds> firstEventIds; ///< By service.
  std::map<GroupKey, GroupAdmission> admissions;
  Random random{ entropySeed() };
  GroupDirectory directory;
  ArrivalEstimate arrivalEstimate{ random.unit() };
  SurgeDetector surgeDetector;
  std::map<std::string, UrgencyShares> urgencyShares; ///< By service.
  CrashSuspicions crashSuspicions;
  Metrics metrics;
  std::optional<DrainPolicy> drainPolicy; ///< Set while shutting down.
};

} // namespace laburnum::gateway
