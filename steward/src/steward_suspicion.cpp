// Exchange of suspicions between the gateways of a group.

#include "laburnum/steward/steward.hpp"

#include "laburnum/wire/suspicion.hpp"

namespace laburnum::steward {

void
Steward::processSuspicions(const LinkPtr& aFrom,
                           const wire::SuspectsT& aMessage)
{
  const auto changes =
    wire::mergeSuspicions(mQuarantine, aMessage, mLoop.now());
  if (changes.empty()) {
    return;
  }
  std::set<LinkPtr> receivers = mGatewayLinks;
  if (mKeeperLink) {
    receivers.insert(mKeeperLink);
  }
  for (const std::size_t rank : mRelaysToGateways) {
    receivers.insert(mRankLinks[rank]);
  }
  receivers.erase(aFrom);
  const auto message = wire::encodeSuspicions(changes);
  for (const LinkPtr& link : receivers) {
    link->send(message);
  }
}

void
Steward::sendSuspicions(const LinkPtr& aLink)
{
  const auto suspicions = mQuarantine.records(mLoop.now());
  if (!suspicions.empty()) {
    aLink->send(wire::encodeSuspicions(suspicions));
  }
}

} // namespace laburnum::steward
