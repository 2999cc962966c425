#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace laburnum::gateway {

/// Remembers when content was served last: parts of prompts that requests
/// share, and requests without such parts. Content that was served after a
/// crash did not cause it.
///
/// Performs no I/O. Thread safety: loop thread only.
/// @pre Times passed to the methods never decrease.
class ServedContent
{
public:
  /// Records that a request with this content was answered completely.
  void record(std::uint64_t aContent, Instant aNow);

  /// Returns when the content was served last, or nothing. Content is
  /// remembered for 30 s at least, or less if there is much of it.
  std::optional<Instant> lastServed(std::uint64_t aContent) const;

private:
  using Times = std::unordered_map<std::uint64_t, Instant>;

  Times mCurrent;
  Times mPrevious; ///< Of the period before.
  Instant mPeriodStart{};
};

} // namespace laburnum::gateway
