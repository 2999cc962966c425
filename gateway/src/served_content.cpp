#include "laburnum/gateway/served_content.hpp"

#include <utility>

namespace laburnum::gateway {
namespace {

constexpr Duration kPeriod = seconds(30);
/// Bounds the memory.
constexpr std::size_t kMaxPerPeriod = 4096;

} // namespace

void
ServedContent::record(std::uint64_t aContent, Instant aNow)
{
  if (aNow - mPeriodStart >= kPeriod || mCurrent.size() >= kMaxPerPeriod) {
    const bool isOutdated = aNow - mPeriodStart >= 2 * kPeriod;
    mPrevious = isOutdated ? Times{} : std::move(mCurrent);
    mCurrent.clear();
    mPeriodStart = aNow;
  }
  mCurrent[aContent] = aNow;
}

std::optional<Instant>
ServedContent::lastServed(std::uint64_t aContent) const
{
  for (const Times* times : { &mCurrent, &mPrevious }) {
    const auto found = times->find(aContent);
    if (found != times->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace laburnum::gateway
