#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace laburnum::gateway {

/// Remembers when parts of prompts were served last. A part that was served
/// after a crash did not cause it.
///
/// Performs no I/O. Thread safety: loop thread only.
/// @pre Times passed to the methods never decrease.
class ServedParts
{
public:
  /// Records that a response to a request with this part has begun.
  void record(std::uint64_t aPart, Instant aNow);

  /// Returns when the part was served last, if that is less than 30 s ago.
  /// Parts are forgotten after 60 s, or earlier if there are many.
  std::optional<Instant> lastServed(std::uint64_t aPart) const;

private:
  using Times = std::unordered_map<std::uint64_t, Instant>;

  Times mCurrent;
  Times mPrevious; ///< Of the period before.
  Instant mPeriodStart{};
};

} // namespace laburnum::gateway
