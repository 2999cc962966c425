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
  const auto first =
    std::min_element(aEngines.begin(), aEngines.end(), isBefore);
  if (first == aEngines.end() || *first == mKeeper) {
    return false;
  }
  mKeeper = *first;
  mUnlinkedSince = aNow;
  return true;
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
  return !isKnown() || isOwn() ||
         (mUnlinkedSince && aNow - *mUnlinkedSince >= kLinkPatience);
}

} // namespace laburnum::steward
