#pragma once

#include "laburnum/gateway/configuration.hpp"
#include "laburnum/gateway/crash_watch.hpp"
#include "laburnum/gateway/drain_rule.hpp"
#include "laburnum/gateway/group_admission.hpp"
#include "laburnum/gateway/placement.hpp"
#include "laburnum/gateway/protocol.hpp"
#include "laburnum/gateway/retry_allowance.hpp"
#include "laburnum/gateway/server_list.hpp"
#include "laburnum/gateway/server_pool.hpp"
#include "laburnum/kernel/log.hpp"
#include "laburnum/kernel/metrics.hpp"
#include "laburnum/kernel/random.hpp"
#include "laburnum/policy/quarantine.hpp"

#include <map>
#include <memory>
#include <optional>

namespace laburnum::gateway {

/// What the requests of one entry share. Thread safety: loop thread.
struct Context
{
  Context(Loop& aLoop,
          HeaderNames aNames,
          PlacementOptions aPlacement,
          RetryAllowanceOptions aRetries)
    : loop(aLoop)
    , names(aNames)
    , placement(std::move(aPlacement))
    , pool(aLoop)
    , retries(aRetries)
    , random(entropySeed())
  {
  }

  /// The retry allowance of a service. Pre: none.
  RetryAllowance& allowance(const std::string& aService)
  {
    return allowances.try_emplace(aService, retries).first->second;
  }

  /// A server can't be reached, or its entry is gone: what it may have crashed
  /// on is suspected. Pre: none.
  void serverGone(const std::string& aServer, Instant aNow)
  {
    const auto suspects = crashes.gone(aServer, aNow);
    if (!suspects.empty()) {
      log(LogLevel::Warn,
          "server_crashed",
          { { "server", aServer }, { "in_progress", suspects.size() } });
      quarantine.recordCrash(suspects, aNow);
    }
  }

  Loop& loop;
  HeaderNames names;
  std::shared_ptr<const Configuration> configuration; ///< Null: none yet.
  ServerList servers;
  Placement placement;
  ServerPool pool;
  RetryAllowanceOptions retries;
  std::map<std::string, RetryAllowance> allowances;
  std::map<std::string, GroupAdmission> admissions;
  std::map<std::string, int> streams; ///< In progress, by service.
  CrashWatch crashes;
  policy::Quarantine quarantine{ seconds(60) };
  Metrics metrics;
  Random random;
  std::optional<DrainRule> draining; ///< Since the stop was asked for.
};

} // namespace laburnum::gateway
