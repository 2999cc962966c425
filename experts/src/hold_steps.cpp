#include "laburnum/experts/hold_steps.hpp"

#include <algorithm>

namespace laburnum::experts {
namespace {

/// Attempts to hold a step for which a change needs room. With half of the
/// orders lost, one in 256 changes needs more.
constexpr std::uint64_t kAttempts = 8;
/// Past epochs that are remembered. Orders are executed at most some ten
/// seconds late, in which a group forms a few times.
constexpr std::size_t kMaxFormer = 16;

} // namespace

void
HoldSteps::observe(std::uint64_t aEpoch, std::uint64_t aStep)
{
  if (mEpoch == aEpoch) {
    return;
  }
  const bool isLater = mEpoch && *mEpoch < aEpoch;
  rememberEpoch();
  if (isLater) {
    // The epoch began after this process had started, so that no other process
    // has held a step of this rank in it.
    mHighestNamed = 0;
  } else {
    mHighestNamed = std::max(mHighestNamed, aStep + kMaxLead);
  }
  const auto former = mFormer.find(aEpoch);
  if (former != mFormer.end()) {
    mHighestNamed = std::max(mHighestNamed, former->second);
  }
  mEpoch = aEpoch;
}

void
HoldSteps::rememberEpoch()
{
  if (mEpoch) {
    mFormer[*mEpoch] = std::max(mFormer[*mEpoch], mHighestNamed);
    if (mFormer.size() > kMaxFormer) {
      mFormer.erase(mFormer.begin());
    }
  }
}

void
HoldSteps::leaveGroup()
{
  rememberEpoch();
  mEpoch.reset();
  mHighestNamed = 0;
}

void
HoldSteps::reserve(std::uint64_t aEpoch, std::uint64_t aStep)
{
  if (mEpoch == aEpoch) {
    mHighestNamed = std::max(mHighestNamed, aStep);
  }
}

std::optional<std::uint64_t>
HoldSteps::next(std::uint64_t aEpoch, std::uint64_t aStep, std::uint64_t aLead)
{
  const std::uint64_t step =
    std::max(mHighestNamed + 1, aStep + std::min(aLead, kMaxLead));
  if (mEpoch != aEpoch || step > aStep + kMaxLead) {
    return std::nullopt;
  }
  mHighestNamed = step;
  return step;
}

bool
HoldSteps::hasSteps(std::uint64_t aEpoch, std::uint64_t aStep) const
{
  return mEpoch == aEpoch && mHighestNamed + kAttempts <= aStep + kMaxLead;
}

} // namespace laburnum::experts
