#include "laburnum/policy/stream_assembly.hpp"

namespace laburnum::policy {

std::vector<std::string>
StreamAssembly::add(std::uint64_t aSequence, std::string aPayload)
{
  std::vector<std::string> ready;
  if (aSequence < mNext) {
    return ready;
  }
  if (aSequence > mNext) {
    mPending.emplace(aSequence, std::move(aPayload));
    return ready;
  }
  ready.push_back(std::move(aPayload));
  ++mNext;
  for (auto it = mPending.begin();
       it != mPending.end() && it->first <= mNext;) {
    if (it->first == mNext) {
      ready.push_back(std::move(it->second));
      ++mNext;
    }
    it = mPending.erase(it);
  }
  return ready;
}

void
StreamAssembly::restart()
{
  mPending.clear();
  mTotalParts.reset();
}

} // namespace laburnum::policy
