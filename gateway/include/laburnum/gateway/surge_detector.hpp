#pragma once

#include "laburnum/kernel/time.hpp"

#include <map>
#include <string>

namespace laburnum::gateway {

/// Fraction of the limits of a group up to which streams of an account that
/// surges are admitted. The rest is kept for the other accounts.
inline constexpr double kSurgeLimitShare = 0.75;

/// Parameters of a `SurgeDetector`.
struct SurgeDetectorOptions
{
  Duration recentTime =
    milliseconds(1200);             ///< Time constant of the recent requests.
  Duration usualTime = seconds(30); ///< Time constant of the usual requests.
  /// An account surges if its share of the recent requests is this many times
  /// its usual share.
  double surgeRatio = 2;
  double minRecentRequests = 5; ///< Fewer say nothing.
  double minUsualRequests = 30; ///< Of all accounts, before anything is usual.
  /// What lasts longer than this becomes usual.
  Duration maxSurge = seconds(20);
};

/// Finds client accounts that send many times their usual share of the
/// requests, so that admission can keep capacity for all others. A crest of all
/// accounts is no surge of any, since shares are compared.
///
/// Answers the load pattern of one account at many times its usual. All times
/// passed in must be non-decreasing. Performs no I/O. Thread safety: loop
/// thread only.
class SurgeDetector
{
public:
  explicit SurgeDetector(SurgeDetectorOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Counts a request; returns true if its account surges.
  bool record(const std::string& aAccount, Instant aNow);

private:
  /// Requests that decay with time.
  struct Counts
  {
    double recent = 0;
    double usual = 0;
    Instant updatedAt{};
    Instant calmAt{}; ///< When the account last did not surge.
  };
  void decay(Counts& aCounts, Instant aNow) const;
  bool isSurging(const Counts& aCounts, Instant aNow) const;

  SurgeDetectorOptions mOptions;
  std::map<std::string, Counts> mAccounts;
  Counts mTotal;
};

} // namespace laburnum::gateway
