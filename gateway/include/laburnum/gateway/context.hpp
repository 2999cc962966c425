#pragma once

#include "laburnum/gateway/configuration.hpp"
#include "laburnum/gateway/connection_pool.hpp"
#include "laburnum/gateway/crash_detector.hpp"
#include "laburnum/gateway/drain_policy.hpp"
#include "laburnum/gateway/fingerprint.hpp"
#include "laburnum/gateway/group_admission.hpp"
#include "laburnum/gateway/protocol.hpp"
#include "laburnum/gateway/retry_budget.hpp"
#include "laburnum/gateway/served_content.hpp"
#include "laburnum/gateway/server_list.hpp"
#include "laburnum/gateway/server_probe.hpp"
#include "laburnum/gateway/server_selector.hpp"
#include "laburnum/gateway/surge_detector.hpp"
#include "laburnum/kernel/log.hpp"
#include "laburnum/kernel/metrics.hpp"
#include "laburnum/kernel/random.hpp"
#include "laburnum/wire/suspicion.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace laburnum::gateway {

/// State shared by all requests of one gateway: configuration, known servers,
/// connections, load and retry accounting, metrics.
///
/// Thread safety: loop thread only.
struct Context
{
  Context(Loop& aLoop,
          HeaderNames aNames,
          ServerSelectorOptions aSelectorOptions,
          RetryBudgetOptions aRetryBudgetOptions)
    : loop(aLoop)
    , names(aNames)
    , selector(std::move(aSelectorOptions))
    , pool(aLoop)
    , probe(aLoop)
    , retryBudgetOptions(aRetryBudgetOptions)
    , random(entropySeed())
  {
  }

  /// Returns the retry budget of a service, creating it on first use.
  RetryBudget& retryBudget(const std::string& aService)
  {
    return retryBudgets.try_emplace(aService, retryBudgetOptions).first->second;
  }

  /// Called when a server is unreachable or was removed. Requests that were in
  /// progress when it was lost become suspected of crashing servers.
  void reportServerGone(const std::string& aServerId, Instant aNow)
  {
    for (auto& [id, crash] : crashDetector.takeCrashes(aServerId, aNow)) {
      const auto wasServed = [this](std::uint64_t aContent) {
        return servedContent.lastServed(aContent).has_value();
      };
      boost::json::array names;
      boost::json::array parts;
      boost::json::array served;
      const auto isInnocent = [this, &crash](std::uint64_t aContent) {
        return servedContent.lastServed(aContent) > crash.at;
      };
      std::erase_if(crash.suspects,
                    [&](const policy::RequestContent& aRequest) {
                      return isInnocent(aRequest.fingerprint);
                    });
      for (policy::RequestContent& request : crash.suspects) {
        std::erase_if(request.parts, isInnocent);
        names.emplace_back(fingerprintText(request.fingerprint));
        for (const std::uint64_t part : request.parts) {
          (wasServed(part) ? served : parts)
            .emplace_back(fingerprintText(part));
        }
      }
      log(LogLevel::Warn,
          "server_crashed",
          { { "server", aServerId },
            { "in_progress", crash.suspects.size() },
            { "suspects", std::move(names) },
            { "parts", std::move(parts) },
            { "served_parts", std::move(served) } });
      shareSuspicions(quarantine.recordCrash(
        id, crash.suspects, aNow, wasServed, aNow - crash.at));
    }
  }

  /// Called when a request ended without a crash.
  void reportEnded(const policy::RequestContent& aRequest)
  {
    if (quarantine.clearSuspect(aRequest.fingerprint, loop.now())) {
      shareExonerated({ aRequest.fingerprint });
    }
  }

  /// Called when a response to a request has begun.
  void reportServed(const policy::RequestContent& aRequest, Instant aNow)
  {
    // A request with parts has one of its own and comes once.
    const std::vector<std::uint64_t> contents =
      aRequest.parts.empty() ? std::vector{ aRequest.fingerprint }
                             : aRequest.parts;
    std::vector<std::uint64_t> exonerated;
    for (const std::uint64_t content : contents) {
      servedContent.record(content, aNow);
      if (quarantine.exonerate(content)) {
        exonerated.push_back(content);
      }
    }
    shareExonerated(exonerated);
  }

  /// Merges suspicions from other gateways, and tells them of the content that
  /// this one has served. Returns what was new.
  std::vector<policy::SuspicionRecord> mergeSuspicions(
    const wire::SuspectsT& aMessage)
  {
    const Instant now = loop.now();
    auto changes = wire::mergeSuspicions(quarantine, aMessage, now);
    std::vector<std::uint64_t> exonerated;
    std::vector<policy::SuspicionRecord> served;
    for (const policy::SuspicionRecord& change : changes) {
      const auto servedAt = servedContent.lastServed(change.fingerprint);
      if (change.crashes == 0 || !servedAt) {
        continue;
      }
      if (*servedAt > now - change.sinceLastCrash) {
        quarantine.exonerate(change.fingerprint);
        exonerated.push_back(change.fingerprint);
      } else if (auto record = quarantine.markServed(change.fingerprint, now)) {
        served.push_back(std::move(*record));
      }
    }
    shareExonerated(exonerated);
    if (!served.empty()) {
      shareSuspicions(served);
    }
    return changes;
  }

  /// Tells other gateways that these requests or parts do not crash servers.
  void shareExonerated(const std::vector<std::uint64_t>& aFingerprints)
  {
    std::vector<policy::SuspicionRecord> records;
    for (const std::uint64_t fingerprint : aFingerprints) {
      records.push_back(
        { .fingerprint = fingerprint, .remaining = kQuarantineTime });
    }
    if (!records.empty()) {
      shareSuspicions(records);
    }
  }

  Loop& loop;
  HeaderNames names;
  /// Null until the first configuration is applied.
  std::shared_ptr<const Configuration> configuration;
  ServerList servers;
  ServerSelector selector;
  ConnectionPool pool;
  ServerProbe probe;
  RetryBudgetOptions retryBudgetOptions;
  std::map<std::string, RetryBudget> retryBudgets;  ///< By service.
  std::map<std::string, GroupAdmission> admissions; ///< By service.
  std::map<std::string, int> activeStreams;         ///< By service.
  SurgeDetector surgeDetector;
  CrashDetector crashDetector;
  ServedContent servedContent;
  /// How long a request that crashes servers is refused.
  static constexpr Duration kQuarantineTime = seconds(60);
  policy::Quarantine quarantine{ kQuarantineTime };
  /// Sends changes of the quarantine to the other gateways.
  std::function<void(const std::vector<policy::SuspicionRecord>&)>
    shareSuspicions = [](const auto&) {};
  Metrics metrics;
  Random random;
  std::optional<DrainPolicy> drainPolicy; ///< Set while shutting down.
};

} // namespace laburnum::gateway
