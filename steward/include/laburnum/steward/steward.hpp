#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/steward/engine.hpp"
#include "laburnum/steward/hold_rescue.hpp"
#include "laburnum/steward/keeper_choice.hpp"
#include "laburnum/steward/map_duty.hpp"
#include "laburnum/steward/slowness.hpp"
#include "laburnum/wire/link.hpp"

#include <map>
#include <memory>
#include <optional>

namespace laburnum::steward {

/// The daemon beside one rank of a group: reads its engine, reports to the
/// steward that keeps the group's map, carries out that one's orders, and
/// keeps the map itself if it is that one. If the group stands still, one of
/// two deputies releases what its holder doesn't. Thread safety: loop thread.
class Steward
{
public:
  /// Without an opener no hold of another rank is taken over.
  /// Pre: the engine outlives this.
  Steward(Loop& aLoop,
          const contract::Settings& aSettings,
          Engine& aEngine,
          EngineOpener aOpener = {});

  /// Listens and begins to report; throws what Asio throws. Pre: once.
  void start();

  /// The engines of the service, the own one among them. The steward beside
  /// the one with the lowest address keeps the map. Pre: none.
  void setEngines(const std::vector<contract::Address>& aEngines,
                  MapDutyOptions aOptions);

  /// True if the engines have to be told anew. Pre: none.
  bool needsEngines() const { return mKeeper.needsList(mLoop.now()); }

  /// What is believed of the engine's pace, for the store. Pre: none.
  Slowness& slowness() { return mSlowness; }
  /// Tells lives of the engine apart, as its entry in the store does.
  std::int64_t engineBornMs() const { return mReport.bornMs; }

  /// Ends the loop. Pre: none.
  void stop();

private:
  using LinkPtr = std::shared_ptr<wire::Link>;
  /// A hold that is being taken over, shared by what reads and orders for it.
  struct Rescue
  {
    explicit Rescue(std::size_t aRanks)
      : decisions(aRanks)
      , engines(aRanks)
      , holdings(aRanks)
    {
    }

    HoldRescue decisions;
    std::vector<std::shared_ptr<Engine>> engines; ///< By rank.
    std::vector<EngineHolding> holdings;          ///< As above, if needed.
    bool hasEnded = false;
  };
  using RescuePtr = std::shared_ptr<Rescue>;

  asio::awaitable<void> follow();
  asio::awaitable<void> keepMap();
  asio::awaitable<bool> readEngine(bool aWithCounts);
  asio::awaitable<void> carryOut(std::uint64_t aEpoch,
                                 experts::EngineOrder aOrder);
  asio::awaitable<void> awaitPrepared(std::uint64_t aVersion);
  void noteEngine();
  asio::awaitable<void> rescue();
  const experts::GroupMap& mapFor(const Rescue& aRescue,
                                  std::uint64_t aVersion);
  asio::awaitable<void> readFor(RescuePtr aRescue,
                                std::shared_ptr<Engine> aEngine);
  asio::awaitable<void> orderFor(RescuePtr aRescue, experts::RankOrder aOrder);
  void report();
  bool isCountsDue() const;
  bool isNews() const;
  void addCounts(wire::RankReportT& aFrame);
  bool knowsMap() const;
  std::optional<experts::GroupMap> mapOf(const wire::RankOrderT& aFrame);
  void connect();
  void received(const LinkPtr& aLink, wire::AnyMessage&& aMessage);
  void closed(const LinkPtr& aLink);
  void askAgain(const LinkPtr& aLink, std::string_view aReason);
  void takeNews(const LinkPtr& aLink, const wire::RankReportT& aReport);
  void send(const experts::RankOrder& aOrder);
  const std::vector<wire::RankChange>& changesTo(
    const experts::PrepareOrder& aPrepare);
  void tickDuty();
  bool isKeeper() const { return mKeeper.isOwn(); }
  std::uint64_t nextVersion();

  Loop& mLoop;
  contract::Settings mSettings;
  Engine& mEngine;
  EngineOpener mOpener;
  StallWatch mStall;
  Slowness mSlowness;
  double mPaceTold = 1; ///< To the keeper.
  bool mIsRescuing = false;
  std::uint64_t mEpoch = 0;
  bool mWasOpen = false;
  wire::Identity mIdentity;
  std::optional<wire::LinkListener> mListener;
  KeeperChoice mKeeper;
  MapDutyOptions mOptions;
  LinkPtr mToKeeper;
  bool mIsConnecting = false;
  EngineReport mReport;
  EngineHolding mHolding;
  EngineCounts mLast;
  std::vector<std::uint32_t> mFresh; ///< Counts since they were last told.
  std::map<std::uint64_t, experts::GroupMap> mMaps; ///< By version.
  experts::RankState mTold;                         ///< To the keeper.
  Instant mToldAt{};
  Instant mCountsToldAt{};
  bool mHasToldExperts = false;
  std::optional<MapDuty> mDuty;
  std::string mDutyGroup;
  std::map<std::size_t, LinkPtr> mRanks;
  std::uint64_t mVersion = 0;
  std::uint64_t mPreparing = 0; ///< The version whose copies are awaited.
  /// Versions that `mChanges` lie between; the same go to every rank.
  std::pair<std::uint64_t, std::uint64_t> mChangesOf;
  std::vector<wire::RankChange> mChanges;
  std::uint64_t mReads = 0;
  std::uint64_t mLastRead = 0;
  experts::SwitchPhase mLogged = experts::SwitchPhase::Idle;
};

} // namespace laburnum::steward
