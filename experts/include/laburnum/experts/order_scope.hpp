#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <string>

namespace laburnum::experts {

/// One formation of a group. Epochs are numbered by group.
struct Formation
{
  std::string group;
  std::uint64_t epoch = 0;

  bool operator==(const Formation&) const = default;
};

/// Rules of `OrderScope`. Tests turn single ones off to show that each is
/// necessary.
struct OrderScopeRules
{
  /// Compare the group; off: the epoch alone.
  bool comparesGroups = true;
  /// Read the engine if the last report is old; off: rely on that report.
  bool readsAgain = true;
};

/// Decides whether an order may reach the engine, which checks the epoch alone.
/// An engine that has changed its group may be in an epoch of the same number,
/// and an order of the former group's keeper may come late, or to a steward
/// that was frozen and knows only the former group. An order is executed if
/// the last report is not old and covers it; otherwise the engine is read
/// first, as a keeper may also know a formation before this steward does.
///
/// Performs no I/O. Thread safety: loop thread.
/// @pre Times passed to the methods never decrease.
class OrderScope
{
public:
  explicit OrderScope(OrderScopeRules aRules = {})
    : mRules(aRules)
  {
  }

  /// Records what the engine reported. Pass the time at which it was asked.
  void observe(Formation aFormation, Instant aNow)
  {
    mFormation = std::move(aFormation);
    mObservedAt = aNow;
  }

  /// True if the engine has to be read before an order is executed.
  bool isOld(Instant aNow) const
  {
    return mRules.readsAgain && aNow - mObservedAt > kMaxReadAge;
  }

  /// True if the last report was of the formation that an order is for. A group
  /// without a name stands for any, as keepers of earlier versions name none.
  bool covers(const Formation& aOrdered) const;

  /// Age of the last report above which it is not relied on: three intervals of
  /// reads. A group takes longer than this to form anew.
  static constexpr Duration kMaxReadAge = milliseconds(300);

private:
  OrderScopeRules mRules;
  Formation mFormation;
  Instant mObservedAt{};
};

} // namespace laburnum::experts
