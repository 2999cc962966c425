#include "laburnum/experts/order_gate.hpp"

#include <algorithm>

namespace laburnum::experts {

GateDecision
OrderGate::admit(const std::string& aDuty, std::uint64_t aFencingToken)
{
  const auto found = mHighest.find(aDuty);
  if (found == mHighest.end()) {
    return GateDecision::Unknown;
  }
  if (aFencingToken < found->second) {
    return GateDecision::Stale;
  }
  found->second = aFencingToken;
  return GateDecision::Admit;
}

void
OrderGate::observe(const std::string& aDuty, std::uint64_t aFencingToken)
{
  std::uint64_t& highest = mHighest[aDuty];
  highest = std::max(highest, aFencingToken);
}

} // namespace laburnum::experts
