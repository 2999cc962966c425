#pragma once

#include "laburnum/kernel/time.hpp"

#include <deque>

namespace laburnum::gateway {

/// Limits of a `RetryBudget`, taken from the settings of the deployment.
struct RetryBudgetOptions
{
  Duration window = seconds(10); ///< Length of the sliding window.
  double ratio = 0.2;            ///< Retries allowed per request in the window.
  /// Fraction of the ratio that is used. The deployment counts requests in
  /// windows that start at other times than ours.
  double ratioShare = 0.8;
  double slack = 0; ///< Additional retries per window, over all gateways.
  /// Divides the slack; at least the number of gateways.
  double gateways = 32;
};

/// Limits the retries sent to a service, so that failing servers are not
/// overloaded by the retries of all gateways at once. Gateways do not
/// coordinate: each stays within the ratio of its own requests plus its share
/// of the slack.
///
/// All times passed in must be non-decreasing. Thread safety: loop thread only.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {});

  /// Counts a client request for the service.
  void recordRequest(Instant aNow);

  /// Consumes one retry from the budget. Returns false if none is left.
  bool tryAcquire(Instant aNow);

private:
  void dropExpired(Instant aNow);

  RetryBudgetOptions mOptions;
  std::deque<Instant> mRequests;
  std::deque<Instant> mRetries;
  Instant mStartedAt{};
  bool mStarted = false;
};

} // namespace laburnum::gateway
