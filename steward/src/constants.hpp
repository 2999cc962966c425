#pragma once

#include "laburnum/kernel/time.hpp"

namespace laburnum::steward {

/// Between two readings of the own engine. A hold that nobody waits for any
/// more stalls the group until the next one.
inline constexpr Duration kReadPeriod = milliseconds(100);

} // namespace laburnum::steward
