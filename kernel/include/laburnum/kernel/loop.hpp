#pragma once

#include "laburnum/kernel/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace laburnum {

namespace asio = boost::asio;

/// How late the timers of a loop expired, because handlers before them took
/// long or the process got no processor time.
struct LoopDelay
{
  Duration longest{ 0 };
  Duration total{ 0 };
  std::size_t timers = 0;
};

/// The one loop on the one thread of a process.
/// Thread safety: every method on the loop's thread only.
class Loop
{
public:
  Loop();

  /// The executor for sockets and timers. Pre: none.
  asio::io_context& context() { return mContext; }

  /// The monotonic clock. Pre: none.
  Instant now() const;

  /// Runs until `stop` or until no work is left. An exception that leaves a
  /// handler is logged and ends that handler only. Pre: not running.
  void run();

  /// Ends `run` after the present handler. Pre: none.
  void stop() { mContext.stop(); }

  /// Starts a coroutine; an exception that leaves it is logged and dropped.
  /// Pre: none.
  void spawn(asio::awaitable<void> aTask);

  /// Starts a coroutine that the process needs for as long as it runs; one that
  /// ends by an exception is started anew after `kRestartDelay`. aName is
  /// logged. Pre: none.
  void keepRunning(std::string aName,
                   std::function<asio::awaitable<void>()> aTask);

  static constexpr Duration kRestartDelay = milliseconds(100);

  /// Suspends the calling coroutine. Pre: none.
  asio::awaitable<void> sleep(Duration aDuration);

  /// Returns the delays of `sleep` since the previous call. Pre: none.
  LoopDelay takeDelay();

  /// Calls a function every period until the loop ends. Pre: aPeriod > 0.
  void every(Duration aPeriod, std::function<void()> aTask);

private:
  asio::io_context mContext;
  LoopDelay mDelay;
};

/// A seed from the system's random device, for identities that must differ
/// between processes. Decisions never use it.
/// Pre: none. Thread safety: any thread.
std::uint64_t
entropySeed();

} // namespace laburnum
