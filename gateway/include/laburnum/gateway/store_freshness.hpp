#pragma once

#include "laburnum/contract/store_news.hpp"
#include "laburnum/kernel/random.hpp"
#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <optional>

namespace laburnum::gateway {

using contract::StoreNews;

/// Timing of `StoreFreshness`.
struct StoreFreshnessOptions
{
  /// Longest wait of one watch while no other process tells what is new. A
  /// watch whose response was lost delays a change by this much; a change has
  /// to be in force within two seconds.
  Duration shortWait = milliseconds(2000);
  /// Longest wait while others tell what is new.
  Duration longWait = seconds(12);
  /// The wait grows with the number of gateways by this much, so that the watch
  /// of some gateway ends a few times a second: a store that drops its history
  /// tells only those that ask anew.
  Duration waitPerGateway = milliseconds(300);
  std::uint64_t seed = 1; ///< Of the spread of the waits.
  /// Others tell at least every 200 ms.
  Duration maxNewsAge = milliseconds(900);
  /// Time that the own watch has to return a change that another gateway has
  /// seen already.
  Duration propagationTime = milliseconds(400);
};

/// Decides how long a gateway's watches of the store may wait. Each watch that
/// returns is a call that all gateways together pay for, so watches wait for
/// long while the gateways tell one another the newest version that any of
/// them has seen: a response that was lost is then noticed by the version.
///
/// Answers the load pattern of many gateways that each keep watches of a store
/// with limited call rates. Performs no I/O. Thread safety: loop thread only.
/// @pre Times passed to the methods never decrease.
class StoreFreshness
{
public:
  explicit StoreFreshness(StoreFreshnessOptions aOptions = {})
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
  {
  }

  /// Records contents that this gateway has read itself.
  void recordConfiguration(std::uint64_t aVersion);
  /// `aEra`: see `StoreNews`; 0 if the store states none.
  void recordServers(std::uint64_t aRevision, std::uint64_t aEra = 0);
  /// Records what other gateways have seen, and how many gateways there are.
  void recordTold(const StoreNews& aNews, int aGateways, Instant aNow);

  const StoreNews& own() const { return mOwn; }

  /// Longest time that a watch that starts now may wait.
  Duration watchWait(Instant aNow);

  /// True if watches in progress have to be started anew: another gateway has
  /// seen something newer that they should have returned, or nobody tells any
  /// more what is new while they wait for long. True once for each cause.
  bool takeRestart(Instant aNow);

private:
  bool isTold(Instant aNow) const;

  StoreFreshnessOptions mOptions;
  StoreNews mOwn;
  StoreNews mTold;
  int mGateways = 1;
  Random mRandom;
  std::optional<Instant> mToldAt;
  std::optional<Instant> mBehindSince;
  bool mWaitsLong = false;
};

} // namespace laburnum::gateway
