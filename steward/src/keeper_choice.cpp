#include "laburnum/steward/keeper_choice.hpp"

#include "laburnum/kernel/hash.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <tuple>

namespace laburnum::steward {
namespace {

/// Time without a link to the keeper after which the list of engines is read. A
/// closed link is normally reopened within a few reads of the engine; one that
/// stays closed for longer may lead to an instance that no longer exists.
constexpr Duration kReconnectTimeout = seconds(1);
/// Time for which the lowest address may name nobody before another meeting
/// point is asked.
constexpr Duration kAskTimeout = seconds(3);
/// Time linked to an assumed keeper, without its word that it is none, after
/// which it is taken for the keeper.
constexpr Duration kAssumedTime = seconds(2);

/// Orders addresses by numeric value of the IP address, then by port.
bool
isAddressLess(const contract::Address& aLeft, const contract::Address& aRight)
{
  boost::system::error_code ignored; // Addresses were validated when parsed.
  const auto left = boost::asio::ip::make_address(aLeft.host, ignored);
  const auto right = boost::asio::ip::make_address(aRight.host, ignored);
  return std::tie(left, aLeft.port) < std::tie(right, aRight.port);
}

/// The lowest address, then the others by their hash: neighbours in the list
/// are often of one failure domain, and all may be cut off.
std::vector<contract::Address>
meetingOrder(const std::vector<contract::Address>& aSorted,
             const contract::Address& aOwn)
{
  std::vector<std::pair<std::uint64_t, contract::Address>> others;
  for (std::size_t i = 1; i < aSorted.size(); ++i) {
    others.emplace_back(hash64(aSorted[i].text()), aSorted[i]);
  }
  std::sort(
    others.begin(), others.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  std::vector<contract::Address> order{ aSorted.front() };
  for (auto& other : others) {
    order.push_back(std::move(other.second));
  }
  std::erase(order, aOwn);
  return order;
}

} // namespace

bool
KeeperSelection::isSelf() const
{
  return mMembership ? mMembership->rank == 0 : mKeeper == mOwnEngine;
}

bool
KeeperSelection::canAskElsewhere() const
{
  return mMembership && mEngines.size() > mMembership->size;
}

bool
KeeperSelection::turnTo(const contract::Address& aKeeper,
                        State aState,
                        Instant aNow)
{
  mState = aState;
  mAskedSince = aNow;
  if (mKeeper == aKeeper) {
    return false;
  }
  mKeeper = aKeeper;
  mDisconnectedSince = aNow;
  mLinkedSince.reset();
  return true;
}

bool
KeeperSelection::returnToLowest(State aState, Instant aNow)
{
  if (mEngines.empty()) {
    return turnTo({ .host = "", .port = 0 }, aState, aNow);
  }
  // The own steward knows already that it does not keep the group.
  const bool isOwn = mMembership && isLowest();
  return turnTo(mEngines.front(), isOwn ? State::Asking : aState, aNow);
}

bool
KeeperSelection::visitNext(Instant aNow)
{
  const std::size_t first = isLowest() ? 0 : 1;
  if (mMeetingPoints.size() <= first) {
    return false;
  }
  const std::size_t others = mMeetingPoints.size() - first;
  return turnTo(
    mMeetingPoints[first + mVisits++ % others], State::Asking, aNow);
}

bool
KeeperSelection::update(const std::vector<contract::Address>& aEngines,
                        Instant aNow)
{
  if (aEngines.empty()) {
    return false;
  }
  const contract::Address former =
    mEngines.empty() ? contract::Address{} : mEngines.front();
  mEngines = aEngines;
  mIsListStale = false;
  std::sort(mEngines.begin(), mEngines.end(), isAddressLess);
  mMeetingPoints = meetingOrder(mEngines, mOwnEngine);
  if (mMembership && isSelf()) {
    return false;
  }
  if (mState == State::Assumed && mMembership && mLinkedSince &&
      aNow - *mLinkedSince >= kAssumedTime) {
    mState = State::Named;
  }
  if (mState == State::Named && !mDisconnectedSince) {
    return false; // A keeper outlives the meeting point.
  }
  return former == mEngines.front() && hasKeeper()
           ? false
           : returnToLowest(State::Assumed, aNow);
}

bool
KeeperSelection::setMembership(std::optional<Membership> aMembership,
                               Instant aNow)
{
  if (aMembership == mMembership) {
    return false;
  }
  const bool wasSelf = mMembership && mMembership->rank == 0;
  const bool isOtherGroup =
    mMembership && aMembership && mMembership->group != aMembership->group;
  const bool isFirst = !mMembership;
  mMembership = std::move(aMembership);
  mIsListStale = true;
  if (mMembership && mMembership->rank == 0) {
    return turnTo(mOwnEngine, State::Named, aNow);
  }
  if (wasSelf || isOtherGroup || !mMembership ||
      (isFirst && mKeeper == mOwnEngine)) {
    return returnToLowest(State::Assumed, aNow);
  }
  return false;
}

bool
KeeperSelection::redirect(std::uint64_t aEpoch,
                          const contract::Address& aKeeper,
                          Instant aNow)
{
  if (!mMembership || mMembership->rank == 0) {
    return false;
  }
  // A keeper of an earlier formation may be none of this one.
  if (aKeeper.port != 0 && aKeeper != mOwnEngine &&
      aEpoch >= mMembership->epoch) {
    return turnTo(aKeeper, State::Named, aNow);
  }
  const bool isAtLowest = !mEngines.empty() && mKeeper == mEngines.front();
  if (isAtLowest && mState == State::Asking) {
    return false;
  }
  return returnToLowest(State::Asking, aNow);
}

bool
KeeperSelection::tick(Instant aNow)
{
  if (mEngines.empty() || !mMembership || isSelf()) {
    return false;
  }
  const bool isSilent =
    mDisconnectedSince && aNow - *mDisconnectedSince >= kReconnectTimeout;
  if (mKeeper != mEngines.front()) {
    return isSilent && returnToLowest(State::Asking, aNow);
  }
  if (!canAskElsewhere()) {
    return false;
  }
  const bool isUnanswered =
    mState == State::Asking && aNow - mAskedSince >= kAskTimeout;
  const bool isUnreachable =
    isSilent && !isLowest() && aNow - mAskedSince >= kReconnectTimeout;
  return (isUnanswered || isUnreachable) && visitNext(aNow);
}

void
KeeperSelection::linkOpened(Instant aNow)
{
  mDisconnectedSince.reset();
  mLinkedSince = aNow;
  mAskedSince = aNow;
}

void
KeeperSelection::linkClosed(Instant aNow)
{
  mLinkedSince.reset();
  if (!mDisconnectedSince) {
    mDisconnectedSince = aNow;
  }
}

bool
KeeperSelection::needsEngineList(Instant aNow, bool aIsAnnounced) const
{
  if (!hasKeeper() || mIsListStale || isLowest()) {
    return true;
  }
  if (isSelf()) {
    return !aIsAnnounced;
  }
  const bool lacksKeeper =
    mState == State::Asking && aNow - mAskedSince >= kReconnectTimeout;
  return lacksKeeper || (mDisconnectedSince &&
                         aNow - *mDisconnectedSince >= kReconnectTimeout);
}

bool
KeeperDirectory::announce(std::uint64_t aSender,
                          const std::string& aGroup,
                          std::uint64_t aEpoch,
                          const contract::Address& aEngine)
{
  const Keeper keeper{ aSender, aEpoch, aEngine };
  for (Entry& entry : mEntries) {
    if (entry.group == aGroup) {
      const bool isLater =
        aEpoch >= entry.keeper.epoch || aSender == entry.keeper.sender;
      if (isLater) {
        entry.keeper = keeper;
      }
      return isLater;
    }
  }
  mEntries.push_back({ aGroup, keeper });
  return true;
}

void
KeeperDirectory::forget(std::uint64_t aSender)
{
  std::erase_if(mEntries, [aSender](const Entry& aEntry) {
    return aEntry.keeper.sender == aSender;
  });
}

const KeeperDirectory::Keeper*
KeeperDirectory::find(const std::string& aGroup) const
{
  for (const Entry& entry : mEntries) {
    if (entry.group == aGroup) {
      return &entry.keeper;
    }
  }
  return nullptr;
}

} // namespace laburnum::steward
