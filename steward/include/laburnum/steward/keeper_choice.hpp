#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/kernel/time.hpp"

#include <optional>
#include <vector>

namespace laburnum::steward {

/// Selects the keeper, the one steward that controls the expert map of a
/// group: the steward beside the engine with the lowest address. Input are the
/// engines of the service and the state of the link to the keeper; the results
/// are the keeper and whether the list of engines has to be read again.
///
/// Reading the list is a call to the platform, which would be too many calls
/// if every steward of a large group made it regularly. Only the keeper and
/// the stewards without a link to it read the list; a keeper that finds that
/// it was replaced closes its links, which makes the others read it too.
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

  /// Processes the current list of engines. Returns true if the keeper has
  /// changed. An empty list is ignored.
  bool update(const std::vector<contract::Address>& aEngines, Instant aNow);

  /// Address of the engine beside the keeper; its port is 0 if the keeper is
  /// not known yet.
  const contract::Address& keeper() const { return mKeeper; }
  bool hasKeeper() const { return mKeeper.port != 0; }
  /// True if this steward is the keeper.
  bool isSelf() const { return mKeeper == mOwnEngine; }

  // State of the link to the keeper.

  void linkOpened() { mDisconnectedSince.reset(); }
  void linkClosed(Instant aNow);

  /// The group has formed again, possibly of other engines, so that the index
  /// of the own engine may have changed.
  void groupReformed() { mIsListStale = true; }

  /// The engines of the last list, sorted by address.
  const std::vector<contract::Address>& engines() const { return mEngines; }
  /// Index of the own engine in `engines()`, or their number if it is missing.
  std::size_t ownIndex() const;

  /// True if the list of engines has to be read.
  bool needsEngineList(Instant aNow) const;

private:
  contract::Address mOwnEngine;
  contract::Address mKeeper{ .host = "", .port = 0 };
  std::vector<contract::Address> mEngines;
  bool mIsListStale = false;
  std::optional<Instant> mDisconnectedSince;
};

} // namespace laburnum::steward
