#pragma once

#include "laburnum/kernel/time.hpp"

namespace laburnum::gateway {

/// The platform asks once a second and takes an entry out after two misses
/// (PROTOCOL.md, Ingress).
inline constexpr Duration kSeenNotReady = milliseconds(2600);

/// What a stopping gateway still takes. Answers a stop of all entries of a
/// failure domain together: callers are then sent to them all the same, and
/// what is taken late would be cut at the end. Thread safety: any thread.
struct DrainRule
{
  Instant begun; ///< When the stop was asked for.
  Instant end;   ///< When the process ends at the latest.

  /// True if a request that may last until aDeadline is taken. Pre: none.
  bool takes(Instant aNow, Instant aDeadline) const
  {
    return aNow - begun < kSeenNotReady || aDeadline <= end;
  }
};

} // namespace laburnum::gateway
