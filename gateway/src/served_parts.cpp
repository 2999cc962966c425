#include "laburnum/gateway/served_parts.hpp"

#include <utility>

namespace laburnum::gateway {
namespace {

constexpr Duration kPeriod = seconds(30);
/// Parts per period, which bounds the memory.
constexpr std::size_t kMaxParts = 4096;

} // namespace

void
ServedParts::record(std::uint64_t aPart, Instant aNow)
{
  if (aNow - mPeriodStart >= kPeriod || mCurrent.size() >= kMaxParts) {
    const bool isOutdated = aNow - mPeriodStart >= 2 * kPeriod;
    mPrevious = isOutdated ? Times{} : std::move(mCurrent);
    mCurrent.clear();
    mPeriodStart = aNow;
  }
  mCurrent[aPart] = aNow;
}

std::optional<Instant>
ServedParts::lastServed(std::uint64_t aPart) const
{
  for (const Times* times : { &mCurrent, &mPrevious }) {
    const auto found = times->find(aPart);
    if (found != times->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace laburnum::gateway
