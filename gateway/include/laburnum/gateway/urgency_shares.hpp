#pragma once

#include "laburnum/kernel/time.hpp"

#include <compare>
#include <map>

namespace laburnum::gateway {

/// How urgent a request is. The lower one is the more urgent; the priority of
/// the account decides before that of the route.
struct Urgency
{
  /// For an account without a priority, that of the route stands for it.
  int account = 0;
  int route = 0;

  // NOLINTNEXTLINE(google-explicit-constructor)
  constexpr Urgency(int aRoute = 0)
    : account(aRoute)
    , route(aRoute)
  {
  }
  constexpr Urgency(int aAccount, int aRoute)
    : account(aAccount)
    , route(aRoute)
  {
  }
  auto operator<=>(const Urgency&) const = default;
};

/// Parameters of `UrgencyShares`.
struct UrgencySharesOptions
{
  /// Time constant of what this gateway has observed. Long enough for some
  /// requests at a gateway that sees few of them.
  Duration sampleTime = seconds(4);
  /// Fewer requests of a service say nothing of their priorities.
  double minRequests = 8;
  /// Bound below which no priority and no account falls: requests of each are
  /// admitted at least this many times as often as all requests.
  double guaranteedRatio = 0.4;
  /// Least fraction of the limits that applies to any request. Work is not
  /// held back in favour of other work while half of the places are free.
  double minLimitShare = 0.5;
  /// Room kept for each more urgent priority, in standard deviations of the
  /// load that a gateway assumes.
  double reservedErrors = 0.7;
  /// Age of the load that gateways admit by: the time between two statuses and
  /// that of a status on its way.
  Duration statusAge = milliseconds(350);
};

/// What is known of the groups of a service that can take a request.
struct UrgencyRoom
{
  double streams = 0; ///< In progress, of all gateways.
  double places = 0;  ///< Streams that the groups can bear; 0: unknown.
  int gateways = 1;   ///< That share the groups, this one included.
  /// Time for which a stream takes its place, so that all room turns over.
  Duration turnover{ 0 };
};

/// Decides up to which fraction of the limits of a group a request is admitted,
/// so that requests that are more urgent find room while there is too little.
/// Priorities are numbers, 0 is the most urgent; that of an account goes before
/// that of its route.
///
/// While a group is full, streams end all the time, and who is admitted first
/// when one ends decides who is served. Requests that are less urgent are
/// therefore admitted up to a lower load, and the difference is free for those
/// that are more urgent. It is as large as the error with which gateways know
/// the load, since a smaller one would be no difference, and at most the
/// places that the more urgent requests ask for. A part of the less urgent
/// requests, drawn at random, is admitted as if it were the most urgent, so
/// that neither a priority nor an account is starved; requests of one priority
/// are all treated alike.
///
/// What other gateways see is not needed: a gateway sees a sample of the
/// requests, and the fractions in it are those of all.
///
/// Answers the load patterns of a burst of less urgent requests before one of
/// more urgent requests, and of a lasting demand above the capacity. With one
/// priority the full limits apply to all. All times passed in must be
/// non-decreasing. Performs no I/O. Thread safety: loop thread only.
class UrgencyShares
{
public:
  explicit UrgencyShares(UrgencySharesOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Records a request, before `limitShare` is asked for it.
  void recordArrival(Urgency aUrgency, Instant aNow);
  /// Records that a request was admitted.
  void recordAdmission(Urgency aUrgency, Instant aNow);

  /// Returns the fraction of the limits up to which a request is admitted, in
  /// [`minLimitShare`, 1]. `aUnit` is a random number in [0, 1).
  double limitShare(Urgency aUrgency,
                    const UrgencyRoom& aRoom,
                    double aUnit,
                    Instant aNow) const;

  /// True if a request has to wait for others to end, although the limits would
  /// admit it.
  bool holdsBack(Urgency aUrgency,
                 const UrgencyRoom& aRoom,
                 double aUnit,
                 Instant aNow) const
  {
    return aRoom.places > 0 &&
           aRoom.streams + 1 >
             aRoom.places * limitShare(aUrgency, aRoom, aUnit, aNow);
  }

  /// True if requests of more than one priority arrive.
  bool hasSeveralPriorities(Instant aNow) const;

  /// True if requests of routes with more than one priority arrive. Accounts
  /// alone do not call for shares by urgency: contracts already differ in what
  /// they may use.
  bool hasSeveralRoutePriorities(Instant aNow) const;

  /// Number of priorities that arrive and are more urgent.
  int moreUrgent(Urgency aUrgency, Instant aNow) const;

  /// Fraction of all recent requests that were admitted, in [0, 1]; 1 while
  /// there are too few to tell.
  double admittedRatio(Instant aNow) const;

private:
  /// Requests that decay with time.
  struct Counts
  {
    double arrivals = 0;
    double admissions = 0;
    Instant updatedAt{};
  };
  Counts decayed(const Counts& aCounts, Instant aNow) const;
  Counts total(Instant aNow) const;

  UrgencySharesOptions mOptions;
  std::map<Urgency, Counts> mCounts;
};

} // namespace laburnum::gateway
