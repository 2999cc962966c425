#include "laburnum/gateway/served_parts.hpp"

#include <utility>

namespace laburnum::gateway {
namespace {

constexpr Duration kPeriod = seconds(30);
/// Parts per period, which bounds the memory.
constexpr std::size_t kMaxParts = 4096;

} // namespace

bool
ServedParts::record(std::uint64_t aPart, Instant aNow)
{
  if (aNow - mPeriodStart >= kPeriod || mCurrent.size() >= kMaxParts) {
    const bool isOutdated = aNow - mPeriodStart >= 2 * kPeriod;
    mPrevious = isOutdated ? decltype(mPrevious){} : std::move(mCurrent);
    mCurrent.clear();
    mPeriodStart = aNow;
  }
  const bool isNew = !contains(aPart);
  mCurrent.insert(aPart);
  return isNew;
}

} // namespace laburnum::gateway
