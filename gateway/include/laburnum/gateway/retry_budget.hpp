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
  /// Divides the slack while the number of gateways is not told; at least as
  /// many as may run.
  double gateways = 32;
  /// Divides the slack together with the number of gateways that was told.
  /// Covers gateways that took another's place within a window.
  double gatewayMargin = 1.5;
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

  /// Records how many gateways share the slack now. The largest number told
  /// within the last windows counts, as a steward that has just taken over
  /// does not know all gateways.
  void setGateways(int aGateways, Instant aNow);

  /// Consumes one retry from the budget. Returns false if none is left.
  bool tryAcquire(Instant aNow);

private:
  void dropExpired(Instant aNow);
  double gateways() const;

  RetryBudgetOptions mOptions;
  std::deque<Instant> mRequests;
  std::deque<Instant> mRetries;
  Instant mStartedAt{};
  bool mStarted = false;
  int mMaxGateways = 0;         ///< Largest number told since `mMaxGatewaysAt`.
  int mPreviousMaxGateways = 0; ///< Of the period before.
  Instant mMaxGatewaysAt{};
};

} // namespace laburnum::gateway
