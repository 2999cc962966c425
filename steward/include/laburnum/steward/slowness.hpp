#pragma once

#include "laburnum/kernel/time.hpp"

#include <optional>

namespace laburnum::steward {

struct SlownessOptions
{
  /// Servers of a service differ in speed by less.
  double slow = 1.4;
  /// A slow server whose pace changes by less is not told anew.
  double change = 0.25;
  /// Paces are some hundred ms old; one that lasts is believed.
  Duration lasting = milliseconds(300);
  /// A write to the platform's store, at most so often.
  Duration pause = seconds(1);
};

/// What is believed and told of an engine's pace: a rank that has turned slow
/// holds up every pass of its group, so the map and the gateways have to leave
/// it little work. Answers the load of servers that turn slow for seconds.
/// Free of I/O. Thread safety: loop thread.
class Slowness
{
public:
  explicit Slowness(SlownessOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Takes in the engine's own word. Pre: times never go back.
  void seen(double aPace, Instant aNow);

  /// The pace that is believed, 1 for an engine that is not slow. Pre: none.
  double pace() const { return mPace; }

  /// What the store says of the engine now. Pre: none.
  void stored(double aPace) { mStored = aPace; }

  /// The pace to write to the store now, if any. Pre: as above.
  std::optional<double> due(Instant aNow);

private:
  bool isSame(double aLeft, double aRight) const;
  double counted(double aPace) const;

  SlownessOptions mOptions;
  double mPace = 1;
  double mCandidate = 1;
  Instant mCandidateAt{};
  double mStored = 1;
  std::optional<Instant> mWrittenAt;
};

} // namespace laburnum::steward
