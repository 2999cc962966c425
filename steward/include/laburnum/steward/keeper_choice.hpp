#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnum::steward {

/// The place of an engine in its group.
struct Membership
{
  std::string group;
  std::uint64_t epoch = 0;
  std::size_t rank = 0;
  std::size_t size = 0; ///< Ranks of the group.

  bool operator==(const Membership&) const = default;
};

/// Selects the steward to which this one reports: the keeper of its group,
/// which is the steward beside the group's rank 0, or one that is asked for it.
///
/// The keeper is first assumed at the lowest address of the service, which is
/// right where one group is all there is. If that steward says that it is not,
/// it is asked as a meeting point: keepers announce themselves there. While it
/// names nobody or is silent, other meeting points are asked in between, in an
/// order that all stewards share and that mixes the failure domains.
///
/// Reading the list of engines is a call to the platform, which would be too
/// many calls if every steward of a large service made it regularly. Only the
/// steward of the lowest address does, and those that lack a keeper or, being
/// keepers, a meeting point. If the lowest address is replaced, its steward
/// closes the links of the keepers, which makes them read the list too.
///
/// Performs no I/O. Thread safety: loop thread.
/// @pre Times passed to the methods never decrease.
class KeeperSelection
{
public:
  /// aOwn is the address of the engine beside this steward.
  explicit KeeperSelection(contract::Address aOwn)
    : mOwnEngine(std::move(aOwn))
  {
  }

  /// Processes the current list of engines. Returns true if `keeper()` has
  /// changed. An empty list is ignored.
  bool update(const std::vector<contract::Address>& aEngines, Instant aNow);

  /// Processes what the own engine says of its group; nothing if it has none.
  /// Returns true if `keeper()` has changed.
  bool setMembership(std::optional<Membership> aMembership, Instant aNow);

  /// Processes who keeps the group by the word of the steward that was asked;
  /// port 0 if that is not known there. Returns true if `keeper()` has changed.
  bool redirect(std::uint64_t aEpoch,
                const contract::Address& aKeeper,
                Instant aNow);

  /// Moves on to another steward if the present one is silent or names nobody.
  /// Returns true if `keeper()` has changed.
  bool tick(Instant aNow);

  /// Address of the engine beside the keeper or beside the steward that is
  /// asked for it; its port is 0 if none is known yet.
  const contract::Address& keeper() const { return mKeeper; }
  bool hasKeeper() const { return mKeeper.port != 0; }
  /// True if this steward is the keeper.
  bool isSelf() const;
  /// True if `keeper()` is asked for the keeper and is not known to be it.
  bool isAsking() const { return mState == State::Asking; }

  // State of the link to `keeper()`.

  void linkOpened(Instant aNow);
  void linkClosed(Instant aNow);

  /// The engines of the last list, sorted by address.
  const std::vector<contract::Address>& engines() const { return mEngines; }
  /// True if the own engine has the lowest address of the service.
  bool isLowest() const
  {
    return !mEngines.empty() && mEngines.front() == mOwnEngine;
  }
  /// Engines beside the meeting points, in the order in which they are asked,
  /// without the own one.
  const std::vector<contract::Address>& meetingPoints() const
  {
    return mMeetingPoints;
  }

  /// True if the list of engines has to be read. aIsAnnounced says whether a
  /// keeper has a link to a meeting point.
  bool needsEngineList(Instant aNow, bool aIsAnnounced = false) const;

private:
  enum class State : std::uint8_t
  {
    Assumed, ///< `mKeeper` has not said that it is not the keeper.
    Named,   ///< `mKeeper` was named as the keeper.
    Asking   ///< `mKeeper` is asked.
  };
  /// Returns true if the address differs from the former one.
  bool turnTo(const contract::Address& aKeeper, State aState, Instant aNow);
  bool returnToLowest(State aState, Instant aNow);
  bool visitNext(Instant aNow);
  /// True if the service has servers beyond those of the own group, so that
  /// another steward than the lowest may know the keeper.
  bool canAskElsewhere() const;

  contract::Address mOwnEngine;
  contract::Address mKeeper{ .host = "", .port = 0 };
  State mState = State::Assumed;
  std::optional<Membership> mMembership;
  std::vector<contract::Address> mEngines;
  std::vector<contract::Address> mMeetingPoints;
  std::size_t mVisits = 0; ///< Of other meeting points than the lowest.
  bool mIsListStale = false;
  std::optional<Instant> mDisconnectedSince;
  std::optional<Instant> mLinkedSince;
  Instant mAskedSince{}; ///< The steward that is asked now.
};

/// The keepers that have announced themselves at a meeting point.
/// Performs no I/O. Thread safety: loop thread.
class KeeperDirectory
{
public:
  /// Records an announcement. aSender identifies the link on which it came.
  /// Returns false if a later formation of the group is known.
  bool announce(std::uint64_t aSender,
                const std::string& aGroup,
                std::uint64_t aEpoch,
                const contract::Address& aEngine);

  /// Forgets what came on a link that has closed.
  void forget(std::uint64_t aSender);

  struct Keeper
  {
    std::uint64_t sender = 0;
    std::uint64_t epoch = 0;
    contract::Address engine;
  };
  /// The keeper of a group, or null.
  const Keeper* find(const std::string& aGroup) const;

private:
  struct Entry
  {
    std::string group;
    Keeper keeper;
  };
  std::vector<Entry> mEntries;
};

} // namespace laburnum::steward
