#include "laburnum/gateway/response_memory.hpp"

#include <algorithm>

namespace laburnum::gateway {

RequestForwarder*
ResponseMemory::record(RequestForwarder* aRequest, std::size_t aSize)
{
  std::size_t& size = mResponses[aRequest];
  mSize += aSize - size;
  size = aSize;
  if (mSize <= mLimit) {
    return nullptr;
  }
  const auto longest =
    std::max_element(mResponses.begin(),
                     mResponses.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second < aRight.second;
                     });
  return longest->first;
}

void
ResponseMemory::remove(RequestForwarder* aRequest)
{
  const auto found = mResponses.find(aRequest);
  if (found != mResponses.end()) {
    mSize -= found->second;
    mResponses.erase(found);
  }
}

} // namespace laburnum::gateway
