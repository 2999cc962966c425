#pragma once

#include "laburnum/kernel/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnum::experts {

/// A backend server that can hold the weights of one model.
struct PlacementServer
{
  std::string name;
  std::string domain;  ///< Failure domain.
  std::string model;   ///< "name@version" that it holds; empty: none.
  std::string loading; ///< Model that it reports to load; empty: none.
  bool live = true;
};

/// The wanted number of servers of a model.
struct PlacementDemand
{
  std::string model; ///< "name@version"
  int servers = 1;
  double gigabytes = 1; ///< Size of the weights.
};

/// An order to load a model on a server, in place of the model that it holds.
struct LoadOrder
{
  std::string server;
  std::string model;
  double gigabytes = 0;
  std::string reason;
};

struct PlacementOptions
{
  double storeGigabytesPerSecond = 1; ///< Total rate of the weight store.
  /// A server counts as lost when it has been away for this long, so that one
  /// that comes and goes causes no loads.
  Duration lossDelay = seconds(10);
  std::size_t parallelLoads = 2; ///< Loads that share the store's rate.
  /// Added to the expected time of a load before it is given up, for requests
  /// in progress to end and for delays.
  Duration loadMargin = seconds(90);
};

/// Decides which backend servers load which models. Models that lack the
/// largest share of their wanted servers come first, and the number of parallel
/// loads is limited by the rate of the weight store. Input are the servers'
/// states and the demands, output are load orders; it does no I/O. Not
/// thread-safe: all calls come from the loop thread.
class PlacementPlanner
{
public:
  explicit PlacementPlanner(PlacementOptions aOptions);

  /// Returns the loads to begin now.
  /// @pre aNow never decreases.
  std::vector<LoadOrder> tick(Instant aNow,
                              const std::vector<PlacementServer>& aServers,
                              const std::vector<PlacementDemand>& aDemands);

  /// Sets the rate of the weight store and how many loads share it.
  /// @pre Both are above 0.
  void setStoreRate(double aGigabytesPerSecond, std::size_t aParallelLoads);

  /// Reports that a load has ended, successfully or not. A load without a
  /// report ends when the server holds the model, or by timeout.
  void endLoad(const std::string& aServer);

  /// Returns true while an ordered load has not ended.
  bool isLoading(const std::string& aServer) const
  {
    return mLoading.contains(aServer);
  }

  /// Describes the result of the last `tick` in one line for each model:
  /// wanted, present and loading servers, and why servers are missing.
  std::vector<std::string> explain() const;

private:
  /// Servers of one model.
  struct Count
  {
    int wanted = 0;
    int present = 0;
    int loading = 0;
    bool hasDemand = false; ///< Servers of models without one are not reused.
    double gigabytes = 0;
    std::map<std::string, int> domains; ///< Servers by failure domain.

    /// Missing servers as a fraction of the wanted ones.
    double shortage() const
    {
      return wanted == 0
               ? 0
               : static_cast<double>(wanted - present - loading) / wanted;
    }
  };

  struct Load
  {
    std::string model;
    Instant deadline;
  };

  std::string loadingOn(Instant aNow, const PlacementServer& aServer);
  Instant loadDeadline(Instant aNow, double aGigabytes) const;
  bool isPresent(const PlacementServer& aServer, Instant aNow);
  std::map<std::string, Count> count(
    Instant aNow,
    const std::vector<PlacementServer>& aServers,
    const std::vector<PlacementDemand>& aDemands);
  const PlacementServer* choose(
    const std::string& aModel,
    const std::map<std::string, Count>& aCounts,
    const std::vector<PlacementServer>& aServers) const;

  PlacementOptions mOptions;
  std::map<std::string, Instant> mAwaySince; ///< By server.
  std::map<std::string, Load> mLoading;      ///< By server.
  std::map<std::string, Count> mLastCounts;  ///< By model.
};

} // namespace laburnum::experts
