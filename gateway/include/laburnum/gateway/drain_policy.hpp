#pragma once

#include "laburnum/kernel/time.hpp"

namespace laburnum::gateway {

/// Time until clients are no longer sent to a gateway that reports not ready:
/// the platform polls once per second and removes a gateway after two failed
/// polls (PROTOCOL.md, Ingress).
inline constexpr Duration kReadinessPropagationDelay = milliseconds(2600);

/// Decides which requests a gateway still accepts while shutting down. If all
/// gateways of a failure domain stop together, clients keep being sent to them;
/// a request accepted too late would be cut off when the process ends.
///
/// Thread safety: any thread.
struct DrainPolicy
{
  Instant startedAt; ///< When the shutdown was requested.
  Instant endsAt;    ///< When the process exits at the latest.

  /// True if a request with the given deadline is accepted.
  bool accepts(Instant aNow, Instant aDeadline) const
  {
    return aNow - startedAt < kReadinessPropagationDelay || aDeadline <= endsAt;
  }
};

} // namespace laburnum::gateway
