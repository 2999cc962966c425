// How evacuations of failure domains come into force.

#include "laburnum/gateway/gateway.hpp"

#include "laburnum/kernel/log.hpp"

namespace laburnum::gateway {

void
Gateway::replaceEvacuations(const std::vector<EvacuationChange>& aList,
                            std::uint64_t aRevision)
{
  applyEvacuations(mEvacuations.replace(aList, aRevision));
}

void
Gateway::replaceEvacuationsByCopy(const std::vector<EvacuationChange>& aList,
                                  std::uint64_t aRevision)
{
  applyEvacuations(mEvacuations.replaceByCopy(aList, aRevision));
  for (const std::string& domain : mEvacuations.heldDomains()) {
    log(LogLevel::Warn,
        "evacuation_held",
        { { "failure_domain", domain },
          { "reason", "the restored store has no order for it" } });
  }
}

void
Gateway::changeEvacuations(const std::vector<EvacuationChange>& aChanges)
{
  applyEvacuations(mEvacuations.apply(aChanges));
}

void
Gateway::applyEvacuations(bool aIsChanged)
{
  if (mEvacuations.isKnown()) {
    mContext.servers.setEvacuatedDomains(mEvacuations.domains());
  }
  if (!aIsChanged) {
    return;
  }
  std::string names;
  for (const std::string& domain : mEvacuations.domains()) {
    names += (names.empty() ? "" : ",") + domain;
  }
  log(LogLevel::Info, "evacuated", { { "failure_domains", names } });
}

} // namespace laburnum::gateway
