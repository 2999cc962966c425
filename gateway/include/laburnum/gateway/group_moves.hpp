#pragma once

#include "laburnum/gateway/group_admission.hpp"
#include "laburnum/gateway/urgency_shares.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace laburnum::gateway {

/// A stream of this gateway in a group that has broken.
struct StrandedStream
{
  Urgency urgency;
  std::uint64_t events = 0; ///< Delivered so far.
};

/// Returns how many of the streams of a broken group this gateway may move to
/// groups with the given rooms, not rounded. Each gateway takes the part of the
/// room that its streams are of all streams of the broken group, so that the
/// gateways together fill the room once. Half of the room is used at a time:
/// what gateways move shows in the next status but one at the earliest.
/// To be asked again with each status.
/// Thread safety: any thread.
double
moveQuota(const std::vector<GroupRoom>& aRooms,
          int aOwnStreams,
          double aAllStreams);

/// Chooses the streams to move: the most urgent first, the furthest along among
/// equals. aUnit is a random number in [0, 1) that decides on the last one, so
/// that the mean of many gateways is the quota. Returns indices, in order.
/// Thread safety: any thread.
std::vector<std::size_t>
chooseMoves(const std::vector<StrandedStream>& aStreams,
            double aQuota,
            double aUnit);

} // namespace laburnum::gateway
