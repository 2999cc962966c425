#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace laburnum::experts {

/// Chooses the steps at which one rank holds its group, so that no two hold
/// orders to that rank name the same step.
///
/// An order may be executed seconds late. While a step has not begun, a late
/// release of it ends every hold of that step, also one for another change of
/// the map. In an idle group steps do not begin, so only a step that no earlier
/// order has named is safe to hold, including the orders of a process that ran
/// before this one. Therefore a hold names a step at most `kMaxLead` steps
/// ahead, and a process that does not know the earlier orders holds only steps
/// that are further ahead than any of them can be.
///
/// One object per rank and process: it must outlive every `HeldSwitch` of that
/// rank. Performs no I/O. Not thread-safe: all calls come from the loop thread.
class HoldSteps
{
public:
  /// Maximum distance of a held step from the last step that began. A process
  /// that has just started waits until the group has made about as many steps.
  static constexpr std::uint64_t kMaxLead = 32;

  /// Records the rank's own epoch and step.
  /// @pre They were read from its engine after this object was created, and in
  /// the order of the calls.
  void observe(std::uint64_t aEpoch, std::uint64_t aStep);

  /// The rank has left its group. Steps named there are not held in an epoch of
  /// the same number of another group, where late orders would be executed.
  void leaveGroup();

  /// Records a step that is held or that an order names.
  void reserve(std::uint64_t aEpoch, std::uint64_t aStep);

  /// Returns a step to hold at least aLead steps after aStep, the last step
  /// that the rank has begun, and reserves it. Returns nothing if the steps
  /// that are near enough may have been named before, or if the epoch was not
  /// observed.
  std::optional<std::uint64_t> next(std::uint64_t aEpoch,
                                    std::uint64_t aStep,
                                    std::uint64_t aLead);

  /// Returns true if there is a step for each of several attempts to hold one.
  bool hasSteps(std::uint64_t aEpoch, std::uint64_t aStep) const;

private:
  void rememberEpoch();

  std::optional<std::uint64_t> mEpoch; ///< The last one that was observed.
  /// No step up to this one is held. Earlier orders name no later one.
  std::uint64_t mHighestNamed = 0;
  std::map<std::uint64_t, std::uint64_t> mFormer; ///< The same of past epochs.
};

} // namespace laburnum::experts
