#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/experts/held_switch.hpp"
#include "laburnum/kernel/loop.hpp"
#include "laburnum/kernel/result.hpp"

#include <functional>
#include <memory>
#include <string>

namespace laburnum::steward {

/// The state that an engine reports about itself and its group.
struct EngineReport
{
  std::string group; ///< Empty if the engine belongs to no group.
  std::size_t rank = 0;
  std::size_t groupSize = 0; ///< Number of ranks.
  bool isOpen = false;       ///< The group serves requests.
  /// Unix time in ms at which the engine started; identifies one run of it.
  std::int64_t startedMs = 0;
  std::uint64_t requests = 0; ///< Running and waiting.
  /// Current processing time divided by the usual one for the same work.
  double slowdown = 1;
  experts::RankState state;
};

/// Number of times each expert was selected by the requests of a rank since
/// the rank started. Counts of all sets of layers follow one another.
struct ExpertCounts
{
  std::uint64_t epoch = 0;
  std::vector<std::uint64_t> counts;
};

/// The experts that a rank has loaded according to the map in force, one list
/// for each set of layers.
struct LoadedExperts
{
  std::uint64_t version = 0; ///< Of the map.
  std::vector<std::vector<std::uint16_t>> experts;
};

/// Interface to a model engine that runs one rank of an expert-parallel group.
/// Implemented for each deployment, so that the steward does not depend on how
/// an engine is reached. A failed call returns a failure with its verdict.
/// Thread safety: loop thread.
class Engine
{
public:
  virtual ~Engine() = default;

  virtual asio::awaitable<Result<EngineReport>> report() = 0;
  virtual asio::awaitable<Result<ExpertCounts>> expertCounts() = 0;
  virtual asio::awaitable<Result<LoadedExperts>> loadedExperts() = 0;

  /// Sends an order that applies to the group's epoch aEpoch. Returns true if
  /// the engine accepted it, false if the order does not fit its state.
  virtual asio::awaitable<Result<bool>> order(std::uint64_t aEpoch,
                                              experts::EngineOrder aOrder) = 0;
};

/// Creates a client for the engine at an address. The engine may run on
/// another instance; its reports are then some hundred ms old.
using EngineFactory =
  std::function<std::unique_ptr<Engine>(const contract::Address&)>;

} // namespace laburnum::steward
