#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstdint>

namespace laburnum::experts {

/// Chooses versions of expert maps, so that no two orders give one version to
/// different maps. Ranks compare only versions, and a late order may name an
/// earlier one.
///
/// Versions grow with the time of day, which is larger than in any earlier
/// process, and beyond every version that was observed, in case a clock was
/// behind or set back. Their low bits identify the process, so that two
/// processes that observe the same versions do not choose the same one.
///
/// One object per process. Performs no I/O. Not thread-safe: all calls come
/// from the loop thread.
class MapVersions
{
public:
  /// aProcessId is a random number that identifies the process.
  explicit MapVersions(std::uint64_t aProcessId);

  /// Records a version that a rank has in force or prepared.
  void observe(std::uint64_t aVersion);

  /// Returns a version larger than all that were observed or returned.
  /// aTimeOfDay is the time since the Unix epoch.
  std::uint64_t next(milliseconds aTimeOfDay);

private:
  std::uint64_t mProcessBits;
  std::uint64_t mHighest = 0;
};

} // namespace laburnum::experts
