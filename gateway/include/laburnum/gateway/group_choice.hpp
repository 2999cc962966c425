#pragma once

#include "laburnum/gateway/group_admission.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace laburnum::gateway {

/// A group that a stream could go to.
struct GroupOption
{
  GroupRoom room;
  /// Nothing if the group takes the stream.
  std::optional<Refusal> refusal;
  int ranks = 1;        ///< That are offered.
  int slotsPerRank = 0; ///< 0: unknown.
  /// Prompts of this gateway that wait to be read there, in requests.
  double waitingRequests = 0;
  /// Fraction of the ranks outside of the own failure domain.
  double remoteShare = 0;
};

/// Estimates how many requests all gateways place in some groups between two
/// statuses. Each gateway knows few of them if there are many gateways, but all
/// know the streams in the groups, of which a part ends and is replaced in that
/// time: by the duration of this gateway's streams.
///
/// Also supplies the numbers with which a gateway draws a group: a sequence
/// that is evenly spread over [0, 1), so that the streams of few gateways are
/// spread more evenly than by independent numbers.
///
/// Answers the load patterns of `drawLevelled` at any number of gateways.
/// Thread safety: loop thread only.
class ArrivalEstimate
{
public:
  /// aUnit is a random number in [0, 1).
  explicit ArrivalEstimate(double aUnit)
    : mUnit(aUnit)
  {
  }

  /// Records how long a stream of this gateway ran.
  void recordStream(Duration aTime);

  /// Streams that are expected to be placed by the same statuses.
  double arrivals(const std::vector<GroupOption>& aOptions) const;

  /// Fraction of the streams that end in a second; 0: unknown.
  double turnover() const
  {
    return mStreamSeconds > 0 ? 1 / mStreamSeconds : 0;
  }

  /// The next number to draw with.
  double nextUnit();

private:
  double mUnit = 0;
  double mStreamSeconds = 0; ///< Smoothed duration of a stream; 0: unknown.
};

/// Chooses one of several groups for a stream. Among groups that take it, the
/// fractions of the streams that each of them can bear are levelled, as
/// `drawLevelled` does for the ranks of a group: a group bears as many as keep
/// its predicted pass within the objective and find a slot, so that slow, small
/// and filling groups get less. aArrivals is the number of requests that all
/// gateways are expected to place by the same loads, this one included; aUnit a
/// random number in [0, 1). The failure domain only breaks ties.
///
/// If no group takes the stream (a later attempt must go somewhere), one that
/// serves requests is chosen before one that does not.
///
/// Answers the load patterns of groups that differ in speed or size, of one
/// that is full, breaks or has just opened, and of many gateways that know the
/// same statuses. Thread safety: any thread.
/// @pre aOptions is not empty, aArrivals > 0.
std::size_t
chooseGroup(const std::vector<GroupOption>& aOptions,
            double aArrivals,
            double aUnit);

/// Returns nothing if any group takes the stream, or else the refusal of the
/// group that is expected to have room first.
/// @pre aOptions is not empty.
std::optional<Refusal>
refusalOfAll(const std::vector<GroupOption>& aOptions);

} // namespace laburnum::gateway
