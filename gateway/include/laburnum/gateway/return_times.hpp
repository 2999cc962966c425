#pragma once

#include "laburnum/kernel/time.hpp"

namespace laburnum::gateway {

/// Parameters of `returnAfter`.
struct ReturnTimesOptions
{
  /// Fraction of the time left that clients wait at most.
  double honouredShare = 1.0 / 3;
  /// Kept of it, for the way to the client and back.
  Duration margin = milliseconds(50);
  /// Earliest return as a fraction of the latest, while groups are full.
  double fullEarliestShare = 0.5;
  /// Likewise while no group makes progress. Groups mostly take longer to form
  /// than clients wait.
  double stalledEarliestShare = 0.9;
  /// Shortest time.
  Duration minReturn = milliseconds(100);
};

/// A client that is refused.
struct RefusedClient
{
  Duration timeLeft{ 0 };
  bool isStalled = false; ///< No group of the service makes progress.
};

/// Returns the time after which a refused client is to come back. Clients come
/// back once, after the time in their answer, if that is at most a fraction of
/// the time that they have left. What kept a client from a place is likely to
/// last a moment later, so they receive a long time; times are drawn at random,
/// so that clients that many gateways refused at once arrive spread over the
/// room that opens, without any exchange between the gateways. aUnit is a
/// random number in [0, 1).
///
/// Answers the load patterns of a peak of demand, and of a group that breaks
/// and forms anew under load. Thread safety: any thread.
Duration
returnAfter(const RefusedClient& aClient,
            double aUnit,
            const ReturnTimesOptions& aOptions = {});

} // namespace laburnum::gateway
