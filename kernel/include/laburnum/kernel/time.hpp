#pragma once

#include <chrono>

namespace laburnum {

/// All durations in decisions are whole microseconds.
using Duration = std::chrono::microseconds;

/// A point on the monotonic clock of one process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts a duration to seconds. Pre: none. Thread safety: any thread.
constexpr double
toSeconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e6;
}

/// Converts seconds to a duration, rounded down to a microsecond.
/// Pre: the value fits 63 bits of microseconds. Thread safety: any thread.
constexpr Duration
fromSeconds(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

} // namespace laburnum
