#include "laburnum/kernel/loop.hpp"
#include "laburnum/kernel/log.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <openssl/rand.h>
#include <utility>

namespace laburnum {

Loop::Loop()
  : mContext(1)
{
}

Instant
Loop::now() const
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

void
Loop::run()
{
  const auto guard = asio::make_work_guard(mContext);
  while (!mContext.stopped()) {
    try {
      mContext.run();
    } catch (const std::exception& error) {
      log(LogLevel::Error,
          "handler_ended_by_exception",
          { { "what", error.what() } });
    }
  }
}

void
Loop::keepRunning(std::string aName,
                  std::function<asio::awaitable<void>()> aTask)
{
  const auto supervise =
    [](Loop* aLoop,
       std::string aTaskName,
       std::function<asio::awaitable<void>()> aWork) -> asio::awaitable<void> {
    for (;;) {
      try {
        co_await aWork();
        co_return;
      } catch (const std::exception& error) {
        log(LogLevel::Error,
            "task_restarted",
            { { "task", aTaskName }, { "what", error.what() } });
      }
      co_await aLoop->sleep(kRestartDelay);
    }
  };
  spawn(supervise(this, std::move(aName), std::move(aTask)));
}

void
Loop::spawn(asio::awaitable<void> aTask)
{
  asio::co_spawn(mContext, std::move(aTask), [](std::exception_ptr aError) {
    if (!aError) {
      return;
    }
    try {
      std::rethrow_exception(aError);
    } catch (const std::exception& error) {
      log(LogLevel::Warn,
          "task_ended_by_exception",
          { { "what", error.what() } });
    }
  });
}

asio::awaitable<void>
Loop::sleep(Duration aDuration)
{
  asio::steady_timer timer(mContext, aDuration);
  co_await timer.async_wait(asio::use_awaitable);
  const Duration delay =
    now() - std::chrono::time_point_cast<Duration>(timer.expiry());
  mDelay.longest = std::max(mDelay.longest, delay);
  mDelay.total += delay;
  ++mDelay.timers;
}

LoopDelay
Loop::takeDelay()
{
  return std::exchange(mDelay, {});
}

void
Loop::every(Duration aPeriod, std::function<void()> aTask)
{
  auto repeat = [](Loop* aLoop,
                   Duration aPause,
                   std::function<void()> aWork) -> asio::awaitable<void> {
    for (;;) {
      co_await aLoop->sleep(aPause);
      aWork();
    }
  };
  spawn(repeat(this, aPeriod, std::move(aTask)));
}

std::uint64_t
entropySeed()
{
  std::uint64_t seed = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&seed), sizeof(seed));
  return seed;
}

} // namespace laburnum
