#include "laburnum/gateway/evacuations.hpp"

#include <algorithm>

namespace laburnum::gateway {

bool
Evacuations::set(const EvacuationChange& aChange)
{
  State& state = mStates[aChange.failureDomain];
  if (aChange.revision < state.revision ||
      (!aChange.isTakenBack && state.voidOrder != 0 &&
       aChange.revision == state.voidOrder)) {
    return false;
  }
  if (!aChange.isTakenBack) {
    state.ordered = aChange.revision;
  }
  state.revision = aChange.revision;
  state.isEvacuated = !aChange.isTakenBack;
  state.isHeld = false;
  return true;
}

bool
Evacuations::updateDomains()
{
  std::set<std::string> domains;
  for (const auto& [domain, state] : mStates) {
    if (state.isEvacuated) {
      domains.insert(domain);
    }
  }
  const bool isChanged = domains != mDomains;
  mDomains = std::move(domains);
  return isChanged;
}

bool
Evacuations::replace(const std::vector<EvacuationChange>& aList,
                     std::uint64_t aRevision)
{
  if (mIsKnown && aRevision < mListRevision) {
    return false;
  }
  mIsKnown = true;
  mListRevision = aRevision;
  std::set<std::string> listed;
  for (const EvacuationChange& order : aList) {
    listed.insert(order.failureDomain);
    set(order);
  }
  for (auto& [domain, state] : mStates) {
    if (!listed.contains(domain) && !state.isHeld &&
        state.revision <= aRevision) {
      state.isEvacuated = false;
    }
  }
  return updateDomains();
}

bool
Evacuations::replaceByCopy(const std::vector<EvacuationChange>& aList,
                           std::uint64_t aRevision)
{
  mIsKnown = true;
  mListRevision = aRevision;
  std::map<std::string, State> states;
  for (const EvacuationChange& order : aList) {
    const auto known = mStates.find(order.failureDomain);
    const bool isTakenBack =
      known != mStates.end() && !known->second.isEvacuated &&
      known->second.ordered == order.revision && order.revision != 0;
    states[order.failureDomain] = { .revision = order.revision,
                                    .ordered = order.revision,
                                    .voidOrder =
                                      isTakenBack ? order.revision : 0,
                                    .isEvacuated = !isTakenBack };
  }
  for (const auto& [domain, state] : mStates) {
    if (!states.contains(domain) && state.isEvacuated) {
      states[domain] = { .isEvacuated = true, .isHeld = true };
    }
  }
  mStates = std::move(states);
  return updateDomains();
}

bool
Evacuations::apply(const std::vector<EvacuationChange>& aChanges)
{
  for (const EvacuationChange& change : aChanges) {
    set(change);
    mListRevision = std::max(mListRevision, change.revision);
  }
  return updateDomains();
}

std::set<std::string>
Evacuations::heldDomains() const
{
  std::set<std::string> held;
  for (const auto& [domain, state] : mStates) {
    if (state.isHeld && state.isEvacuated) {
      held.insert(domain);
    }
  }
  return held;
}

} // namespace laburnum::gateway
