#pragma once

#include "laburnum/kernel/time.hpp"

#include <deque>

namespace laburnum::gateway {

struct RetryAllowanceOptions
{
  Duration window = seconds(10); ///< As the deployment's settings say.
  double ratio = 0.2;            ///< Of the requests in a window.
  /// Part of the ratio that is used: the deployment counts requests in windows
  /// of its own, which begin at other moments than ours.
  double ratioShare = 0.8;
  double slack = 0; ///< Of all entries together, in a window.
  double entries =
    32; ///< That the slack is divided by; at least all there are.
};

/// Bounds the arrivals at a service beyond the first of each request, over
/// all entries without a word between them: each keeps to the ratio of its own
/// requests and to its part of the slack. Answers the load in which servers
/// fail and every entry repeats at once. Thread safety: loop thread.
class RetryAllowance
{
public:
  explicit RetryAllowance(RetryAllowanceOptions aOptions = {});

  /// Counts a caller's request for the service. Pre: times never go back.
  void request(Instant aNow);

  /// Takes the right to one more arrival, if there is one. Pre: as above.
  bool take(Instant aNow);

private:
  void forget(Instant aNow);

  RetryAllowanceOptions mOptions;
  std::deque<Instant> mRequests;
  std::deque<Instant> mRepeats;
  Instant mStartedAt{};
  bool mStarted = false;
};

} // namespace laburnum::gateway
