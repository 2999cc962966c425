#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/experts/held_switch.hpp"
#include "laburnum/kernel/loop.hpp"
#include "laburnum/kernel/result.hpp"

#include <functional>
#include <memory>
#include <string>

namespace laburnum::steward {

/// What the engine beside a steward says of itself.
struct EngineReport
{
  std::string group; ///< Empty: the engine is in no group.
  std::size_t rank = 0;
  std::size_t size = 0;
  bool isOpen = false; ///< The group serves.
  std::int64_t bornMs = 0;
  std::uint64_t requests = 0; ///< Running and waiting.
  double pace = 1; ///< How many times as long as usual its work takes.
  experts::RankState state;
};

/// How often the requests of a rank chose each expert since the rank started,
/// set by set.
struct EngineCounts
{
  std::uint64_t epoch = 0;
  std::vector<std::uint64_t> counts;
};

/// The experts that a rank holds in the map in force, by set.
struct EngineHolding
{
  std::uint64_t version = 0;
  std::vector<std::vector<std::uint16_t>> experts;
};

/// The engine beside a steward, as its deployment speaks to it.
/// Thread safety: loop thread.
class Engine
{
public:
  virtual ~Engine() = default;

  // Pre: none. Failures carry the verdict.

  virtual asio::awaitable<Result<EngineReport>> report() = 0;
  virtual asio::awaitable<Result<EngineCounts>> counts() = 0;
  virtual asio::awaitable<Result<EngineHolding>> holding() = 0;

  /// Gives an order; true if it was accepted, false if it doesn't fit.
  virtual asio::awaitable<Result<bool>> order(std::uint64_t aEpoch,
                                              experts::EngineOrder aOrder) = 0;
};

/// Opens the engine at an address, which may be beside another steward; its
/// reports are then some hundred ms old.
using EngineOpener =
  std::function<std::unique_ptr<Engine>(const contract::Address&)>;

} // namespace laburnum::steward
