#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/experts/map_versions.hpp"
#include "laburnum/experts/order_scope.hpp"
#include "laburnum/policy/quarantine.hpp"
#include "laburnum/steward/count_reporter.hpp"
#include "laburnum/steward/engine.hpp"
#include "laburnum/steward/group_summary.hpp"
#include "laburnum/steward/hold_rescue.hpp"
#include "laburnum/steward/keeper_choice.hpp"
#include "laburnum/steward/map_duty.hpp"
#include "laburnum/steward/slowness.hpp"
#include "laburnum/wire/link.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace laburnum::steward {

/// The daemon that runs beside one rank of an expert-parallel group. It polls
/// the local engine, reports its state to the keeper (the one steward that
/// controls the group's expert map, beside rank 0) and passes the keeper's
/// orders on to the engine. If it is the keeper itself, it plans and changes
/// the map, and announces itself at meeting points, where others ask. If the
/// group stalls because the steward that holds a step has failed, one of two
/// backup stewards releases the step. Thread safety: loop thread.
class Steward
{
public:
  /// aEngine is the local engine. aEngineFactory gives access to the engines
  /// of other ranks; without it, holds of other ranks are not recovered.
  /// @pre aEngine outlives the steward.
  Steward(Loop& aLoop,
          const contract::Settings& aSettings,
          Engine& aEngine,
          EngineFactory aEngineFactory = {});

  /// Starts to listen and to report; throws the exceptions of Asio.
  /// @pre Not called before.
  void start();

  /// Sets the engines of the service, including the local one. The steward
  /// beside the engine with the lowest address is the first meeting point.
  void setEngines(const std::vector<contract::Address>& aEngines,
                  MapControllerOptions aOptions);

  /// True if `setEngines` has to be called with a current list.
  bool needsEngineList() const
  {
    return mKeeperSelection.needsEngineList(mLoop.now(),
                                            !mMeetingLinks.empty());
  }

  /// The filtered slowdown of the local engine, for writing it to the store.
  SlowdownFilter& slowdownFilter() { return mSlowdownFilter; }
  /// Start time of the local engine, Unix time in ms. The engine's entry in
  /// the store has it too, which shows whether the entry is of the same run.
  std::int64_t engineStartedMs() const { return mReport.startedMs; }

  /// Stops the loop.
  void stop();

private:
  using LinkPtr = std::shared_ptr<wire::Link>;
  /// Fewer orders than this go to the ranks directly.
  static constexpr std::size_t kMinRelayedOrders = 16;
  /// A recovery in progress, shared by the tasks that poll the engines and send
  /// orders for it.
  struct Recovery
  {
    explicit Recovery(std::size_t aRanks)
      : holdRecovery(aRanks)
      , engines(aRanks)
      , loadedExperts(aRanks)
    {
    }

    HoldRecovery holdRecovery;
    std::vector<std::shared_ptr<Engine>> engines; ///< By rank.
    /// By rank; read only if the map in force is not known.
    std::vector<LoadedExperts> loadedExperts;
    bool hasEnded = false;
  };
  using RecoveryPtr = std::shared_ptr<Recovery>;
  /// Work of the keeper since its load was last logged.
  struct KeeperLoad
  {
    std::uint64_t reports = 0; ///< Of ranks.
    Duration tickTime{ 0 };    ///< Of all ticks of the map controller.
    Duration longestTick{ 0 };
  };

  asio::awaitable<void> pollEngine();
  asio::awaitable<void> controlMap();
  /// Writes the line `keeper_load` for the time since the previous one.
  void logKeeperLoad();
  asio::awaitable<bool> readEngine(bool aWithCounts);
  asio::awaitable<void> executeOrder(std::uint64_t aEpoch,
                                     experts::EngineOrder aOrder);
  /// Executes an order of the own map controller, unless the engine has left
  /// the group for which it was decided.
  asio::awaitable<void> executeOwnOrder(std::string aGroup,
                                        std::uint64_t aEpoch,
                                        experts::EngineOrder aOrder);
  /// Polls the engine until it has prepared a map version, with a timeout.
  asio::awaitable<void> waitUntilPrepared(std::uint64_t aVersion);
  void processReport();
  asio::awaitable<void> recoverHold();
  /// The engines of the own group as the keeper told them, or else all of the
  /// service.
  std::vector<contract::Address> groupEngines() const;
  /// The map of a version, from `mMaps` or else from the experts that the ranks
  /// have loaded; empty if it is not known.
  const experts::GroupMap& findMap(const Recovery& aRecovery,
                                   std::uint64_t aVersion);
  asio::awaitable<void> pollForRecovery(RecoveryPtr aRecovery,
                                        std::shared_ptr<Engine> aEngine);
  asio::awaitable<void> sendRecoveryOrder(RecoveryPtr aRecovery,
                                          experts::RankOrder aOrder);
  void reportToKeeper();
  bool hasStateChanged() const;
  void appendCounts(wire::RankReportT& aFrame);
  bool hasCurrentMap() const;
  /// The map of a Prepare frame, which has the whole map or the difference from
  /// a known one; nothing if it cannot be determined.
  std::optional<experts::GroupMap> resolveMap(const wire::RankOrderT& aFrame);
  void connectToKeeper();
  /// Closes the link to the former keeper.
  void onKeeperChanged(const contract::Address& aFormer);
  /// Adapts to the place of the engine in its group.
  void applyMembership(const EngineReport& aFormer);
  /// Gives up the map and the summary of a group that this steward kept.
  void giveUpGroup(const std::string& aGroup);
  /// The engine is of no group any more.
  void leaveGroup();
  static void sendHint(const LinkPtr& aLink,
                       const std::string& aGroup,
                       std::uint64_t aEpoch,
                       const std::string& aEngine);
  void askForKeeper();
  void takeHint(std::uint64_t aEpoch, const contract::Address& aKeeper);
  /// True if this steward keeps a group of which another steward has seen
  /// aEpoch.
  bool keepsGroup(const std::string& aGroup, std::uint64_t aEpoch) const;
  /// Tells a peer who keeps a group.
  void answer(const LinkPtr& aLink,
              const std::string& aGroup,
              std::uint64_t aEpoch);
  /// Tells all peers that have asked for a group.
  void answerAskers(const std::string& aGroup);
  void processHint(const LinkPtr& aLink, const wire::KeeperHintT& aHint);
  void forgetPeer(const LinkPtr& aLink);
  void closeMeetingLinks();
  /// Announces this steward at meeting points while it keeps a group.
  void announceKeeper();
  void connectToMeetingPoint(const contract::Address& aEngine);
  void onMessage(const LinkPtr& aLink, wire::AnyMessage&& aMessage);
  void onClosed(const LinkPtr& aLink);
  /// Records the link of a rank.
  /// @pre This steward keeps the group.
  void linkRank(std::size_t aRank, const LinkPtr& aLink);
  /// Makes a rank send a complete report, by closing its link if it has one.
  void requestFullReport(const LinkPtr& aLink, std::string_view aReason);
  void processRankReport(const LinkPtr& aLink,
                         const wire::RankReportT& aReport);
  void sendOrder(const experts::RankOrder& aOrder);
  /// Sends the orders of one tick. A map that goes to many ranks for the first
  /// time goes through relays; what is repeated is sent to the rank itself, so
  /// that a relay that fails costs only the interval of repetition.
  void sendOrders(const std::vector<experts::RankOrder>& aOrders);
  /// Sends through relays what can be, and returns the ranks of these orders.
  std::set<std::size_t> relayOrders(
    const std::vector<experts::RankOrder>& aOrders);
  /// The ranks that are told a version for the first time, as changes or as a
  /// whole map.
  std::vector<std::size_t> relayedRanks(
    const std::vector<experts::RankOrder>& aOrders,
    bool aAsChanges) const;
  /// @pre aRanks are linked, and their engines' addresses known.
  void sendThroughRelays(const wire::RankOrderT& aOrder,
                         const std::vector<std::size_t>& aRanks);
  bool canSendChanges(std::size_t aRank,
                      const experts::PrepareOrder& aPrepare) const;
  void sendToSteward(const contract::Address& aSteward,
                     const wire::RelayedOrderT& aOrder);
  void processRelayedOrder(const LinkPtr& aLink,
                           const wire::RelayedOrderT& aOrder);
  /// Executes an order of the keeper if it is for the engine's present group.
  void processOrder(const wire::RankOrderT& aOrder);
  /// Reads the engine first, as what is known of its group may be old.
  asio::awaitable<void> readAndProcessOrder(wire::RankOrderT aOrder);
  void takeOrder(const wire::RankOrderT& aOrder);
  wire::RankOrderT buildChanges(std::uint64_t aEpoch,
                                const experts::PrepareOrder& aPrepare);
  void onReady(const LinkPtr& aLink);
  void processGatewayNews(const wire::GatewayNewsT& aNews);
  /// Merges suspicions of requests that crash servers and passes on to the
  /// keeper and to all gateways what is new.
  void processSuspicions(const LinkPtr& aFrom, const wire::SuspectsT& aMessage);
  /// Sends all suspicions to a peer that has just connected.
  void sendSuspicions(const LinkPtr& aLink);
  asio::awaitable<void> publishStatus();
  wire::GroupStatusT buildStatus();
  /// Sends the status to the gateways that are linked to this steward.
  void forwardStatus(wire::GroupStatusT aStatus);
  const std::vector<wire::RankChange>& changesForPrepare(
    const experts::PrepareOrder& aPrepare);
  void tickMapController();
  /// True if this steward keeps its group. Needs the options of `setEngines`,
  /// without which it could not plan a map.
  bool isKeeper() const { return mHasOptions && mKeeperSelection.isSelf(); }
  /// A map version that no rank and no other steward has used.
  std::uint64_t nextVersion();
  /// Records the versions that a rank has, so that later ones are larger.
  void observeVersions(const experts::RankState& aState);

  Loop& mLoop;
  contract::Settings mSettings;
  Engine& mEngine;
  EngineFactory mEngineFactory;
  StallDetector mStallDetector;
  SlowdownFilter mSlowdownFilter;
  double mReportedSlowdown = 1; ///< To the keeper.
  bool mIsRecovering = false;
  bool mWasOpen = false;
  wire::Identity mIdentity;
  std::optional<wire::LinkListener> mListener;
  KeeperSelection mKeeperSelection;
  MapControllerOptions mMapOptions;
  bool mHasOptions = false; ///< `setEngines` was called.
  LinkPtr mKeeperLink;
  bool mIsConnecting = false;
  EngineReport mReport;
  LoadedExperts mLoadedExperts;
  ExpertCounts mLastCounts;
  CountReporter mCountReporter;
  std::map<std::uint64_t, experts::GroupMap> mMaps; ///< By version.
  experts::RankState mReportedState;                ///< To the keeper.
  Instant mReportedAt{};
  bool mHasReportedExperts = false;
  experts::HoldSteps mHoldSteps; ///< Of the own rank, kept for life.
  std::optional<MapController> mMapController; ///< Of the keeper.
  std::string mControlledGroup;
  std::map<std::size_t, LinkPtr> mRankLinks; ///< Links to the keeper, by rank.
  std::optional<GroupSummary> mSummary;      ///< Of the keeper.
  std::set<std::size_t> mRelaysToGateways;   ///< Ranks with gateways.
  std::set<LinkPtr> mGatewayLinks; ///< Gateways that follow the group.
  bool mHasNewGateway = false;     ///< It lacks the addresses.
  std::vector<wire::ServerAddress> mStatusServers; ///< As last received.
  std::uint64_t mStatusEpoch = 0;                  ///< Of `mStatusServers`.
  std::uint64_t mStatusCount = 0;
  KeeperLoad mKeeperLoad;
  StoreNews mNews;                ///< From the gateways linked to this steward.
  StoreNews mReportedNews;        ///< To the keeper.
  policy::Quarantine mQuarantine; ///< As the gateways report it.
  std::uint64_t mReportedLoad = 0;
  std::size_t mReportedGateways = 0;
  /// Links to other stewards, to which orders are passed on.
  std::map<contract::Address, LinkPtr> mRelayLinks;
  std::uint64_t mRelayedVersion = 0; ///< Last one sent through relays.
  experts::MapVersions mVersions;
  std::uint64_t mAwaitedVersion = 0; ///< The version that is being prepared.
  /// The old and the new version of `mCachedChanges`, which are computed once
  /// and sent to every rank.
  std::pair<std::uint64_t, std::uint64_t> mCachedChangeVersions;
  std::vector<wire::RankChange> mCachedChanges;
  std::uint64_t mReadCount = 0;
  std::uint64_t mLatestRead = 0;
  Instant mReadAt{}; ///< Last report of the engine that named a group.
  experts::OrderScope mOrderScope;
  std::optional<Instant> mNoGroupSince;
  // As a meeting point.
  KeeperDirectory mDirectory;
  std::map<LinkPtr, std::string> mAskers; ///< And the groups they asked for.
  std::set<LinkPtr> mAnnouncers;
  // Towards meeting points.
  std::optional<Instant> mAskedAt;
  std::map<contract::Address, LinkPtr> mMeetingLinks; ///< Of a keeper.
  std::set<contract::Address> mMeetingAttempts;       ///< Links being opened.
  std::pair<std::string, std::uint64_t> mAnnounced;   ///< Group and epoch.
  Instant mAnnouncedAt{};
  std::size_t mAnnounceReach = 2; ///< Meeting points that are tried.
  experts::SwitchPhase mLoggedPhase = experts::SwitchPhase::Idle;
};

} // namespace laburnum::steward
