#include "laburnum/gateway/group_moves.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace laburnum::gateway {
namespace {

/// Part of the room of other groups that is used between two statuses.
constexpr double kMoveShare = 0.5;

} // namespace

double
moveQuota(const std::vector<GroupRoom>& aRooms,
          int aOwnStreams,
          double aAllStreams)
{
  double room = 0;
  for (const GroupRoom& group : aRooms) {
    if (group.state == GroupState::Open && group.bears) {
      room += std::max(0.0, *group.bears - group.streams);
    }
  }
  return kMoveShare * room * aOwnStreams /
         std::max<double>(aAllStreams, aOwnStreams);
}

std::vector<std::size_t>
chooseMoves(const std::vector<StrandedStream>& aStreams,
            double aQuota,
            double aUnit)
{
  std::vector<std::size_t> order(aStreams.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::stable_sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      const StrandedStream& left = aStreams[aLeft];
      const StrandedStream& right = aStreams[aRight];
      return left.urgency != right.urgency ? left.urgency < right.urgency
                                           : left.events > right.events;
    });
  const double count = std::floor(std::max(0.0, aQuota) + aUnit);
  if (count < static_cast<double>(order.size())) {
    order.resize(static_cast<std::size_t>(count));
  }
  return order;
}

} // namespace laburnum::gateway
