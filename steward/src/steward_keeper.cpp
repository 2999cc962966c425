// Who keeps the own group: links to the keeper and to meeting points.

#include "laburnum/steward/steward.hpp"

#include "laburnum/kernel/log.hpp"

#include <algorithm>
#include <utility>

namespace laburnum::steward {
namespace {

/// Interval of questions for the keeper and of attempts to reach meeting
/// points. Both are rare messages of a few dozen bytes.
constexpr Duration kAskPeriod = milliseconds(500);
constexpr Duration kAnnouncePeriod = seconds(1);
/// Meeting points at which a keeper announces itself: the other one is for
/// stewards that are cut off from the lowest address.
constexpr std::size_t kAnnouncements = 2;
/// Meeting points that a keeper tries at once if the first ones are silent.
constexpr std::size_t kMaxAnnouncementsTried = 16;
/// Time without a report of the engine after which another steward that tells
/// of a later formation is believed.
constexpr Duration kMaxReadAge = seconds(1);

std::uint64_t
idOf(const std::shared_ptr<wire::Link>& aLink)
{
  return reinterpret_cast<std::uintptr_t>(aLink.get());
}

} // namespace

void
Steward::setEngines(const std::vector<contract::Address>& aEngines,
                    MapControllerOptions aOptions)
{
  mMapOptions = aOptions;
  const bool isFirst = !std::exchange(mHasOptions, true);
  if (mMapController && mMapController->isSwitching()) {
    return; // A change in progress ends first; the list is then read again.
  }
  const bool wasLowest = mKeeperSelection.isLowest();
  const contract::Address former = mKeeperSelection.keeper();
  const bool hasChanged = mKeeperSelection.update(aEngines, mLoop.now());
  if (wasLowest && !mKeeperSelection.isLowest()) {
    closeMeetingLinks();
  }
  if (hasChanged) {
    onKeeperChanged(former);
  }
  if (isFirst && isKeeper()) {
    answerAskers(mReport.group);
  }
}

void
Steward::onKeeperChanged(const contract::Address& aFormer)
{
  log(LogLevel::Info,
      "map_keeper_changed",
      { { "group", mReport.group },
        { "former", aFormer.text() },
        { "keeper", mKeeperSelection.keeper().text() },
        { "asking", mKeeperSelection.isAsking() },
        { "engines", mKeeperSelection.engines().size() } });
  if (mKeeperLink) {
    mKeeperLink->close(Error::ServerLost,
                       "another steward controls the expert map now");
    mKeeperLink.reset();
  }
}

void
Steward::closeMeetingLinks()
{
  // Their stewards read the list of engines and go to the lowest address.
  for (const auto& [link, group] : mAskers) {
    link->close(Error::ServerLost, "another steward is the meeting point now");
  }
  for (const LinkPtr& link : mAnnouncers) {
    link->close(Error::ServerLost, "another steward is the meeting point now");
  }
}

void
Steward::applyMembership(const EngineReport& aFormer)
{
  const auto& now = mReport;
  const bool isOtherGroup = aFormer.group != now.group;
  const bool isOtherPlace = isOtherGroup || aFormer.rank != now.rank ||
                            aFormer.groupSize != now.groupSize;
  if (isOtherPlace) {
    // Map 0 and the experts loaded for it depend on the place.
    mMaps.clear();
    mLoadedExperts = {};
    mStatusServers.clear();
    mHasReportedExperts = false;
  }
  if (isOtherGroup) {
    mHoldSteps.leaveGroup();
  }
  const contract::Address former = mKeeperSelection.keeper();
  const bool hasChanged = mKeeperSelection.setMembership(
    now.group.empty() ? std::nullopt
                      : std::optional(Membership{ .group = now.group,
                                                  .epoch = now.state.epoch,
                                                  .rank = now.rank,
                                                  .size = now.groupSize }),
    mLoop.now());
  if (hasChanged) {
    onKeeperChanged(former);
  }
  if (!isKeeper() || isOtherPlace) {
    giveUpGroup(aFormer.group);
  }
  if (isKeeper() && now.group != aFormer.group) {
    answerAskers(now.group);
  }
}

void
Steward::giveUpGroup(const std::string& aGroup)
{
  if (!mMapController && mRankLinks.empty()) {
    return;
  }
  log(LogLevel::Info,
      "group_given_up",
      { { "group", aGroup }, { "ranks", mRankLinks.size() } });
  mMapController.reset();
  mSummary.reset();
  mControlledGroup.clear();
  mRelaysToGateways.clear();
  // The ranks ask anew, also those that have not left the group.
  for (const auto& [rank, link] : std::exchange(mRankLinks, {})) {
    sendHint(link, aGroup, 0, "");
  }
}

void
Steward::leaveGroup()
{
  log(LogLevel::Info, "group_left", { { "group", mReport.group } });
  const EngineReport former = std::exchange(mReport, {});
  applyMembership(former);
}

void
Steward::connectToKeeper()
{
  const contract::Address former = mKeeperSelection.keeper();
  if (mKeeperSelection.tick(mLoop.now())) {
    onKeeperChanged(former);
  }
  const contract::Address engine = mKeeperSelection.keeper();
  if (isKeeper() || !mKeeperSelection.hasKeeper() ||
      engine == mSettings.server.address || mKeeperLink || mIsConnecting) {
    return;
  }
  mIsConnecting = true;
  const auto wasReady = std::make_shared<bool>(false);
  // Stewards listen on the same port on every instance.
  const contract::Address address{ .host = engine.host,
                                   .port = mSettings.control.port };
  wire::connectLink(
    mLoop,
    address,
    mIdentity,
    {},
    { .ready =
        [this, engine, wasReady](const LinkPtr& aLink) {
          *wasReady = true;
          mIsConnecting = false;
          if (isKeeper() || engine != mKeeperSelection.keeper()) {
            aLink->close(Error::ServerLost, "another steward is asked now");
            return;
          }
          mKeeperLink = aLink;
          mKeeperSelection.linkOpened(mLoop.now());
          mHasReportedExperts = false;
          mAskedAt.reset();
          reportToKeeper();
          sendSuspicions(aLink);
        },
      .message =
        [this](const LinkPtr& aLink, wire::AnyMessage&& aMessage) {
          onMessage(aLink, std::move(aMessage));
        },
      .closed =
        [this, engine, wasReady](const LinkPtr& aLink, const Failure&) {
          mIsConnecting = mIsConnecting && *wasReady;
          if (aLink && aLink == mKeeperLink) {
            mKeeperLink.reset();
            mKeeperSelection.linkClosed(mLoop.now());
          } else if (!*wasReady && engine == mKeeperSelection.keeper()) {
            mKeeperSelection.linkClosed(mLoop.now());
          }
        } });
}

void
Steward::sendHint(const LinkPtr& aLink,
                  const std::string& aGroup,
                  std::uint64_t aEpoch,
                  const std::string& aEngine)
{
  wire::KeeperHintT hint;
  hint.group = aGroup;
  hint.epoch = aEpoch;
  hint.engine = aEngine;
  aLink->send(std::move(hint));
}

void
Steward::askForKeeper()
{
  if (mAskedAt && mLoop.now() - *mAskedAt < kAskPeriod) {
    return;
  }
  mAskedAt = mLoop.now();
  if (mKeeperLink) {
    sendHint(mKeeperLink, mReport.group, mReport.state.epoch, "");
  } else if (const auto* known = mDirectory.find(mReport.group)) {
    takeHint(known->epoch, known->engine); // The own steward is asked.
  }
}

void
Steward::takeHint(std::uint64_t aEpoch, const contract::Address& aKeeper)
{
  const contract::Address former = mKeeperSelection.keeper();
  const bool wasAsking = mKeeperSelection.isAsking();
  if (mKeeperSelection.redirect(aEpoch, aKeeper, mLoop.now())) {
    onKeeperChanged(former);
    connectToKeeper();
  } else if (wasAsking && !mKeeperSelection.isAsking()) {
    mHasReportedExperts = false; // The steward that was asked is the keeper.
    reportToKeeper();
  }
}

bool
Steward::keepsGroup(const std::string& aGroup, std::uint64_t aEpoch) const
{
  const bool isOutdated =
    aEpoch > mReport.state.epoch && mLoop.now() - mReadAt > kMaxReadAge;
  return isKeeper() && !aGroup.empty() && aGroup == mReport.group &&
         !isOutdated;
}

void
Steward::answer(const LinkPtr& aLink,
                const std::string& aGroup,
                std::uint64_t aEpoch)
{
  mAskers[aLink] = aGroup;
  const auto* known = mDirectory.find(aGroup);
  if (keepsGroup(aGroup, aEpoch)) {
    sendHint(
      aLink, aGroup, mReport.state.epoch, mSettings.server.address.text());
  } else if (known != nullptr) {
    sendHint(aLink, aGroup, known->epoch, known->engine.text());
  } else {
    sendHint(aLink, aGroup, 0, "");
  }
}

void
Steward::answerAskers(const std::string& aGroup)
{
  for (const auto& [link, group] : std::map(mAskers)) {
    if (group == aGroup) {
      answer(link, group, 0);
    }
  }
}

void
Steward::processHint(const LinkPtr& aLink, const wire::KeeperHintT& aHint)
{
  const auto engine = contract::parseAddress(aHint.engine);
  if (aLink->isOutgoing()) {
    if (aLink == mKeeperLink && aHint.group == mReport.group) {
      takeHint(aHint.epoch,
               engine ? *engine : contract::Address{ .host = "", .port = 0 });
    }
  } else if (!engine) {
    answer(aLink, aHint.group, aHint.epoch);
  } else if (mDirectory.announce(
               idOf(aLink), aHint.group, aHint.epoch, *engine)) {
    mAnnouncers.insert(aLink);
    answerAskers(aHint.group);
    if (mKeeperSelection.isAsking() && aHint.group == mReport.group) {
      takeHint(aHint.epoch, *engine);
    }
  }
}

void
Steward::forgetPeer(const LinkPtr& aLink)
{
  mAskers.erase(aLink);
  mAnnouncers.erase(aLink);
  mDirectory.forget(idOf(aLink));
}

void
Steward::announceKeeper()
{
  // Whoever is linked to the lowest address finds its group there anyway.
  if (!isKeeper() || mReport.group.empty() || mKeeperSelection.isLowest()) {
    for (const auto& [engine, link] : std::exchange(mMeetingLinks, {})) {
      link->close(Error::ServerLost, "this steward keeps no group now");
    }
    return;
  }
  const auto news = std::pair(mReport.group, mReport.state.epoch);
  if (mAnnounced != news) {
    mAnnounced = news;
    for (const auto& [engine, link] : mMeetingLinks) {
      sendHint(link, news.first, news.second, mSettings.server.address.text());
    }
  }
  if (mLoop.now() - mAnnouncedAt < kAnnouncePeriod) {
    return;
  }
  mAnnouncedAt = mLoop.now();
  const auto& points = mKeeperSelection.meetingPoints();
  std::size_t open = 0;
  std::size_t reach = std::min(mAnnounceReach, points.size());
  for (std::size_t i = 0; i < reach && open < kAnnouncements; ++i) {
    if (mMeetingLinks.contains(points[i])) {
      ++open;
    } else {
      connectToMeetingPoint(points[i]);
    }
  }
  // Further ones are tried as long as the nearer ones are silent.
  mAnnounceReach =
    open < kAnnouncements
      ? std::min(mAnnounceReach + kAnnouncements, kMaxAnnouncementsTried)
      : mAnnounceReach;
}

void
Steward::connectToMeetingPoint(const contract::Address& aEngine)
{
  if (!mMeetingAttempts.insert(aEngine).second) {
    return;
  }
  const contract::Address address{ .host = aEngine.host,
                                   .port = mSettings.control.port };
  wire::connectLink(
    mLoop,
    address,
    mIdentity,
    {},
    { .ready =
        [this, aEngine](const LinkPtr& aLink) {
          mMeetingAttempts.erase(aEngine);
          if (!isKeeper() || mReport.group.empty()) {
            aLink->close(Error::ServerLost, "this steward keeps no group now");
            return;
          }
          mMeetingLinks[aEngine] = aLink;
          sendHint(aLink,
                   mReport.group,
                   mReport.state.epoch,
                   mSettings.server.address.text());
        },
      .message = [](const LinkPtr&, wire::AnyMessage&&) {},
      .closed =
        [this, aEngine](const LinkPtr& aLink, const Failure&) {
          mMeetingAttempts.erase(aEngine);
          const auto found = mMeetingLinks.find(aEngine);
          if (found != mMeetingLinks.end() && found->second == aLink) {
            mMeetingLinks.erase(found);
          }
        } });
}

} // namespace laburnum::steward
