#include "laburnum/steward/keeper_choice.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <tuple>

namespace laburnum::steward {
namespace {

/// A link that ended is opened anew within a few readings of the engine; one
/// that stays away for longer may lead to an instance that is gone.
constexpr Duration kLinkPatience = seconds(1);

bool
isBefore(const contract::Address& aLeft, const contract::Address& aRight)
{
  boost::system::error_code ignored; // Addresses were checked when parsed.
  const auto left = boost::asio::ip::make_address(aLeft.host, ignored);
  const auto right = boost::asio::ip::make_address(aRight.host, ignored);
  return std::tie(left, aLeft.port) < std::tie(right, aRight.port);
}

} // namespace

bool
KeeperChoice::choose(const std::vector<contract::Address>& aEngines,
                     Instant aNow)
{
  if (aEngines.empty()) {
    return false;
  }
  mEngines = aEngines;
  mIsListOld = false;
  std::sort(mEngines.begin(), mEngines.end(), isBefore);
  if (mEngines.front() == mKeeper) {
    return false;
  }
  mKeeper = mEngines.front();
  mUnlinkedSince = aNow;
  return true;
}

std::size_t
KeeperChoice::place() const
{
  return static_cast<std::size_t>(
    std::find(mEngines.begin(), mEngines.end(), mOwn) - mEngines.begin());
}

void
KeeperChoice::unlinked(Instant aNow)
{
  if (!mUnlinkedSince) {
    mUnlinkedSince = aNow;
  }
}

bool
KeeperChoice::needsList(Instant aNow) const
{
  return !isKnown() || isOwn() || mIsListOld ||
         (mUnlinkedSince && aNow - *mUnlinkedSince >= kLinkPatience);
}

} // namespace laburnum::steward
