#pragma once

#include "laburnum/kernel/time.hpp"

namespace laburnum::steward {

/// Interval between two reads of the local engine. A hold whose steward no
/// longer waits for it stalls the group until the next read.
inline constexpr Duration kReadPeriod = milliseconds(100);

} // namespace laburnum::steward
