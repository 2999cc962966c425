#pragma once

#include "laburnum/contract/field_reader.hpp"
#include "laburnum/kernel/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace laburnum::contract {

/// A model and the versions of it that a client account may reach; no
/// versions means all.
struct ModelRight
{
  std::string name;
  std::vector<std::string> versions;
};

/// The contract of one client account; every limit follows from it alone.
struct Contract
{
  std::string account;
  double share = 1;        ///< Weight of the account's part of capacity.
  int defaultPriority = 5; ///< 0 is lowest, 9 highest.
  int maxPriority = 5;     ///< Higher wishes are lowered to this.
  double rate = 100;       ///< Requests a second in the long run.
  double burst = 200;      ///< Requests at once above the rate.
  std::vector<ModelRight> models;
  std::vector<std::string> services;
  std::vector<std::string> keys; ///< SHA-256 labels of bearer keys.

  /// True if the contract lists the model and version (empty: any version).
  /// Pre: none. Thread safety: any thread.
  bool allowsModel(std::string_view aName, std::string_view aVersion) const;

  /// True if the contract lists the service.
  /// Pre: none. Thread safety: any thread.
  bool allowsService(std::string_view aName) const;
};

/// What the daemons know of a plain service.
struct ServiceRule
{
  std::string name;
  /// Methods whose requests may be repeated; by default those of RFC 9110.
  std::vector<std::string> idempotentMethods{ "GET",
                                              "HEAD",
                                              "PUT",
                                              "DELETE",
                                              "OPTIONS" };

  /// True if requests with the method may be repeated.
  /// Pre: none. Thread safety: any thread.
  bool idempotent(std::string_view aMethod) const;
};

/// Which servers shall offer a model, and how many of them.
struct ModelRule
{
  std::string name;
  std::string version;
  std::string adapter;        ///< Empty for the plain model.
  int servers = 1;            ///< Wanted number of backend servers.
  double weightGigabytes = 1; ///< Size of the weights to load.

  /// "name@version" as backend servers offer it; empty without a version.
  /// Pre: none. Thread safety: any thread.
  std::string id() const { return version.empty() ? "" : name + "@" + version; }
};

/// Policy names and bounds that all daemons share.
struct PolicyRule
{
  std::string routing = "weighted_load";
  std::string queue = "short_first";
  bool admission = true;              ///< Refuse what can't start in time.
  double retryShare = 0.05;           ///< Retries allowed per first attempt.
  Duration quarantine = seconds(600); ///< Of requests that crash servers.
  double weightStoreGigabytesPerSecond = 1;
  /// Between plans of a group's expert map.
  Duration mapPlanInterval = seconds(60);
  int parallelLoads = 2; ///< Models loaded at once; they share the store.
};

/// Parses and checks a contract; the failure lists every fault by path.
/// Pre: none. Thread safety: any thread.
Result<Contract>
parseContract(const json::value& aValue, std::string_view aName);

/// As `parseContract`, for the object kind "service".
Result<ServiceRule>
parseServiceRule(const json::value& aValue, std::string_view aName);

/// As `parseContract`, for the object kind "model".
Result<ModelRule>
parseModelRule(const json::value& aValue, std::string_view aName);

/// As `parseContract`, for the object kind "policy".
Result<PolicyRule>
parsePolicyRule(const json::value& aValue, std::string_view aName);

/// Checks an object of any kind; kinds without a schema must be objects.
/// Pre: none. Thread safety: any thread.
Result<bool>
validateObject(std::string_view aKind,
               std::string_view aName,
               const json::value& aValue);

} // namespace laburnum::contract
