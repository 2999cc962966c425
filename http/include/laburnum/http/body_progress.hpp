#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstddef>

namespace laburnum::http {

/// Decides whether a body arrives too slowly to be waited for. Each window of
/// time has to bring a few bytes of the body; the framing of chunks does not
/// count, so that chunks of any size are treated alike. The slowest phone sends
/// a hundred times as much, and a lost packet is sent again several times
/// within a window.
///
/// Performs no I/O. Thread safety: loop thread only.
class BodyProgress
{
public:
  static constexpr Duration kWindow = seconds(6);
  static constexpr std::size_t kMinBytes = 128; ///< In a window.

  explicit BodyProgress(Instant aNow)
    : mWindowAt(aNow)
  {
  }

  /// Records the size in bytes of what has arrived of the body so far.
  void record(std::size_t aSize, Instant aNow)
  {
    if (aSize >= mWindowSize + kMinBytes) {
      mWindowSize = aSize;
      mWindowAt = aNow;
    }
  }

  /// Begins a new window, after a time that does not count.
  void restart(Instant aNow) { mWindowAt = aNow; }

  /// When the window ends, unless enough arrives before.
  Instant nextCheck() const { return mWindowAt + kWindow; }

  /// True if a whole window has passed without enough progress.
  bool isTooSlow(Instant aNow) const { return aNow >= nextCheck(); }

private:
  Instant mWindowAt;
  std::size_t mWindowSize = 0; ///< Of the body when the window began.
};

} // namespace laburnum::http
