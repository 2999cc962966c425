#include "laburnum/gateway/urgency_shares.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace laburnum::gateway {
namespace {

/// Requests of a priority below this part of one no longer count as arriving.
constexpr double kMinCount = 0.1;

/// Standard deviation of the load that a gateway assumes, as a fraction of the
/// places. Between two statuses it takes its own change for that of every
/// gateway. While the room turns over once, as many streams start and end as
/// there are places.
double
loadError(const UrgencyRoom& aRoom, Duration aStatusAge)
{
  const double turnovers = toSeconds(aStatusAge) / toSeconds(aRoom.turnover);
  return std::sqrt(2 * turnovers * aRoom.gateways / aRoom.places);
}

} // namespace

UrgencyShares::Counts
UrgencyShares::decayed(const Counts& aCounts, Instant aNow) const
{
  const double factor = std::exp(-toSeconds(aNow - aCounts.updatedAt) /
                                 toSeconds(mOptions.sampleTime));
  return { .arrivals = aCounts.arrivals * factor,
           .admissions = aCounts.admissions * factor,
           .updatedAt = aNow };
}

UrgencyShares::Counts
UrgencyShares::total(Instant aNow) const
{
  Counts sum{ .updatedAt = aNow };
  for (const auto& [priority, counts] : mCounts) {
    const Counts now = decayed(counts, aNow);
    sum.arrivals += now.arrivals;
    sum.admissions += now.admissions;
  }
  return sum;
}

void
UrgencyShares::recordArrival(Urgency aUrgency, Instant aNow)
{
  Counts& counts = mCounts[aUrgency];
  counts = decayed(counts, aNow);
  ++counts.arrivals;
}

void
UrgencyShares::recordAdmission(Urgency aUrgency, Instant aNow)
{
  Counts& counts = mCounts[aUrgency];
  counts = decayed(counts, aNow);
  ++counts.admissions;
}

double
UrgencyShares::admittedRatio(Instant aNow) const
{
  const Counts sum = total(aNow);
  return sum.arrivals < mOptions.minRequests
           ? 1
           : std::min(1.0, sum.admissions / sum.arrivals);
}

bool
UrgencyShares::hasSeveralPriorities(Instant aNow) const
{
  return std::count_if(
           mCounts.begin(), mCounts.end(), [this, aNow](const auto& aEntry) {
             return decayed(aEntry.second, aNow).arrivals >= kMinCount;
           }) > 1;
}

bool
UrgencyShares::hasSeveralRoutePriorities(Instant aNow) const
{
  std::set<int> routes;
  for (const auto& [urgency, counts] : mCounts) {
    if (decayed(counts, aNow).arrivals >= kMinCount) {
      routes.insert(urgency.route);
    }
  }
  return routes.size() > 1;
}

int
UrgencyShares::moreUrgent(Urgency aUrgency, Instant aNow) const
{
  return static_cast<int>(
    std::count_if(mCounts.begin(),
                  mCounts.lower_bound(aUrgency),
                  [this, aNow](const auto& aEntry) {
                    return decayed(aEntry.second, aNow).arrivals >= kMinCount;
                  }));
}

double
UrgencyShares::limitShare(Urgency aUrgency,
                          const UrgencyRoom& aRoom,
                          double aUnit,
                          Instant aNow) const
{
  const Counts sum = total(aNow);
  if (sum.arrivals < mOptions.minRequests || aRoom.places <= 0 ||
      aRoom.turnover <= Duration(0)) {
    return 1;
  }
  const double admitted = admittedRatio(aNow);
  if (aUnit < mOptions.guaranteedRatio * admitted) {
    return 1;
  }
  const double error =
    mOptions.reservedErrors * loadError(aRoom, mOptions.statusAge);
  double reserve = 0;
  for (const auto& [priority, counts] : mCounts) {
    if (priority >= aUrgency) {
      break;
    }
    // While the group is full, what was admitted fills all places.
    const Counts now = decayed(counts, aNow);
    const double places = std::max(1.0, sum.admissions);
    reserve += std::min(error, now.arrivals / places) +
               std::max(0.0, now.arrivals - now.admissions) / places;
  }
  return std::max(mOptions.minLimitShare, 1 - reserve);
}

} // namespace laburnum::gateway
