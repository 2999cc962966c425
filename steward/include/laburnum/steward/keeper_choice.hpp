#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/kernel/time.hpp"

#include <optional>
#include <vector>

namespace laburnum::steward {

/// Which steward keeps the map of a group: the one beside the engine with the
/// lowest address. Only the keeper itself, and stewards without a link to it,
/// have to read the list of engines; a keeper that finds another one in its
/// place ends its links. Answers a large group, in which every steward's look
/// at the list is a call to the platform. Free of I/O. Thread safety: loop
/// thread.
class KeeperChoice
{
public:
  explicit KeeperChoice(contract::Address aOwn)
    : mOwn(std::move(aOwn))
  {
  }

  /// Takes in the engines of the service; true if another steward keeps the
  /// map from now on. Pre: none.
  bool choose(const std::vector<contract::Address>& aEngines, Instant aNow);

  /// The engine beside the keeper; its port is 0 before any is known.
  const contract::Address& keeper() const { return mKeeper; }
  bool isKnown() const { return mKeeper.port != 0; }
  bool isOwn() const { return mKeeper == mOwn; }

  // The link to the keeper. Pre: times never go back.

  void linked() { mUnlinkedSince.reset(); }
  void unlinked(Instant aNow);

  /// The group has formed anew, perhaps of other engines; the place of this
  /// one may have changed. Pre: none.
  void groupFormed() { mIsListOld = true; }

  /// The engines by address, as told last, and the place of the own one; one
  /// beyond the last if it isn't among them. Pre: none.
  const std::vector<contract::Address>& engines() const { return mEngines; }
  std::size_t place() const;

  /// True if the list of engines has to be read. Pre: as above.
  bool needsList(Instant aNow) const;

private:
  contract::Address mOwn;
  contract::Address mKeeper{ .host = "", .port = 0 };
  std::vector<contract::Address> mEngines;
  bool mIsListOld = false;
  std::optional<Instant> mUnlinkedSince;
};

} // namespace laburnum::steward
