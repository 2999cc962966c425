#include "laburnum/steward/keeper_choice.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <tuple>

namespace laburnum::steward {
namespace {

/// Time without a link to the keeper after which the list of engines is read. A
/// closed link is normally reopened within a few reads of the engine; one that
/// stays closed for longer may lead to an instance that no longer exists.
constexpr Duration kReconnectTimeout = seconds(1);

/// Orders addresses by numeric value of the IP address, then by port.
bool
isAddressLess(const contract::Address& aLeft, const contract::Address& aRight)
{
  boost::system::error_code ignored; // Addresses were validated when parsed.
  const auto left = boost::asio::ip::make_address(aLeft.host, ignored);
  const auto right = boost::asio::ip::make_address(aRight.host, ignored);
  return std::tie(left, aLeft.port) < std::tie(right, aRight.port);
}

} // namespace

bool
KeeperSelection::update(const std::vector<contract::Address>& aEngines,
                        Instant aNow)
{
  if (aEngines.empty()) {
    return false;
  }
  mEngines = aEngines;
  mIsListStale = false;
  std::sort(mEngines.begin(), mEngines.end(), isAddressLess);
  if (mEngines.front() == mKeeper) {
    return false;
  }
  mKeeper = mEngines.front();
  mDisconnectedSince = aNow;
  return true;
}

std::size_t
KeeperSelection::ownIndex() const
{
  return static_cast<std::size_t>(
    std::find(mEngines.begin(), mEngines.end(), mOwnEngine) - mEngines.begin());
}

void
KeeperSelection::linkClosed(Instant aNow)
{
  if (!mDisconnectedSince) {
    mDisconnectedSince = aNow;
  }
}

bool
KeeperSelection::needsEngineList(Instant aNow) const
{
  return !hasKeeper() || isSelf() || mIsListStale ||
         (mDisconnectedSince &&
          aNow - *mDisconnectedSince >= kReconnectTimeout);
}

} // namespace laburnum::steward
