#pragma once

#include "laburnum/kernel/enum_names.hpp"
#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <memory>
#include <string_view>

namespace laburnum::node {

enum class DrainState : std::uint8_t
{
  Running,  ///< Ready, takes new work.
  NotReady, ///< Says that it is not ready, but still accepts.
  Draining, ///< Takes no new work; what is in progress ends by itself.
  Stopped
};

inline constexpr EnumNames<DrainState, 4> kDrainStateNames{
  { { DrainState::Running, "running" },
    { DrainState::NotReady, "not_ready" },
    { DrainState::Draining, "draining" },
    { DrainState::Stopped, "stopped" } }
};

/// The way of a daemon from running to a graceful stop, the same for a
/// signal, an order and the platform's list. Free of I/O.
/// Thread safety: loop thread.
class DrainMachine
{
public:
  /// aGrace is how long new work is still accepted after a request to stop.
  explicit DrainMachine(Duration aGrace);
  ~DrainMachine();

  /// Begins to stop; a second request does nothing. Pre: none.
  void requested(Instant aNow);

  /// Stops at once, whatever is in progress. Pre: none.
  void forced();

  /// Time passes; aInProgress is the number of requests not yet ended.
  /// Pre: none.
  void tick(Instant aNow, std::size_t aInProgress);

  DrainState state() const;
  bool isReady() const { return state() == DrainState::Running; }
  bool takesWork() const { return state() <= DrainState::NotReady; }

private:
  struct Machine;
  Duration mGrace;
  Instant mRequestedAt{};
  std::unique_ptr<Machine> mMachine;
};

} // namespace laburnum::node
