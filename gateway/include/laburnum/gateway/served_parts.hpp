#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <unordered_set>

namespace laburnum::gateway {

/// Remembers which parts of prompts were served lately. Such a part does not
/// crash servers, however many of them crash while they run requests with it,
/// as when servers end for another reason and many requests share a part.
///
/// Performs no I/O. Thread safety: loop thread only.
/// @pre Times passed to the methods never decrease.
class ServedParts
{
public:
  /// Records that a response to a request with this part has begun.
  /// @return True if the part was not remembered.
  bool record(std::uint64_t aPart, Instant aNow);

  /// True if the part was served within the last 30 s. Parts are forgotten
  /// after 60 s, or earlier if there are many.
  bool contains(std::uint64_t aPart) const
  {
    return mCurrent.contains(aPart) || mPrevious.contains(aPart);
  }

private:
  std::unordered_set<std::uint64_t> mCurrent;
  std::unordered_set<std::uint64_t> mPrevious; ///< Of the period before.
  Instant mPeriodStart{};
};

} // namespace laburnum::gateway
