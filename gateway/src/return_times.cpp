#include "laburnum/gateway/return_times.hpp"

#include <algorithm>

namespace laburnum::gateway {

Duration
returnAfter(const RefusedClient& aClient,
            double aUnit,
            const ReturnTimesOptions& aOptions)
{
  const double latest = toSeconds(aClient.timeLeft) * aOptions.honouredShare -
                        toSeconds(aOptions.margin);
  const double share = aClient.isStalled ? aOptions.stalledEarliestShare
                                         : aOptions.fullEarliestShare;
  return std::max(aOptions.minReturn,
                  fromSeconds(latest * (share + (1 - share) * aUnit)));
}

} // namespace laburnum::gateway
