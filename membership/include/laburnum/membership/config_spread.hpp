#pragma once

#include "laburnum/contract/object_store.hpp"
#include "laburnum/kernel/random.hpp"
#include "laburnum/kernel/time.hpp"
#include "laburnum/membership/bucket_digest.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace laburnum::membership {

/// Timing of ConfigDissemination.
struct ConfigDisseminationOptions
{
  /// Age of the last confirmation by the platform after which a daemon that is
  /// not a watcher queries the platform itself.
  Duration staleAfter = milliseconds(2500);
  Duration initialPollDelay = seconds(2); ///< After the first failed query.
  Duration maxPollDelay = seconds(60);    ///< Limit of the exponential backoff.
  Duration repairInterval = seconds(1); ///< Minimum, between repairs per peer.
};

// Actions that the caller performs for ConfigDissemination.

/// Send objects to a neighbour.
struct SendObjects
{
  std::string to;
  std::vector<contract::Object> objects;
};
/// Send the digest's buckets to a peer, which replies with the objects in
/// those that differ.
struct SendObjectDigest
{
  std::string to;
  BucketDigest::Buckets buckets;
};
/// Query the platform for all objects newer than a version.
struct QueryPlatform
{
  std::uint64_t afterVersion = 0;
  bool longPoll = false; ///< Wait for a change instead of replying at once.
};

using ConfigAction = std::variant<SendObjects, SendObjectDigest, QueryPlatform>;

/// Distributes configuration objects from the platform to all daemons.
///
/// A few watchers per failure domain long-poll the platform. They flood each
/// change over the overlay, and digests in heartbeats find updates that were
/// lost. Any daemon queries the platform itself when its configuration has not
/// been confirmed for too long, so that it does not depend on the watchers.
///
/// Input: the platform's replies and the neighbours' messages. Output: objects
/// merged into the store, and actions for the caller, which does all I/O.
/// Objects are merged by version, so late, lost or repeated messages never
/// revert an object to an older version.
///
/// Thread safety: none; used on the event loop's thread.
class ConfigDissemination
{
public:
  using Actions = std::vector<ConfigAction>;

  /// @pre aStore outlives this object.
  ConfigDissemination(contract::ObjectStore& aStore,
                      ConfigDisseminationOptions aOptions,
                      std::uint64_t aSeed);

  /// Queries the platform when due; call periodically. At most one query is in
  /// flight: none follows before its reply or failure was reported.
  Actions tick(Instant aNow, bool aIsWatcher);

  // Results of QueryPlatform.

  /// Merges the platform's reply, which is complete up to aVersion, and
  /// forwards what is new to aLinkedNeighbours.
  Actions onPlatformObjects(const std::vector<contract::Object>& aObjects,
                            std::uint64_t aVersion,
                            const std::set<std::string>& aLinkedNeighbours,
                            Instant aNow);
  /// Schedules the next query with jitter and exponential backoff.
  void onPlatformFailure(Instant aNow);

  // Events of overlay links.

  Actions onLinkUp(const std::string& aName);
  /// Merges objects received from aFrom and forwards what is new to the other
  /// linked neighbours.
  Actions onObjects(const std::string& aFrom,
                    const std::vector<contract::Object>& aObjects,
                    const std::set<std::string>& aLinkedNeighbours);
  /// Compares digests with a neighbour. If they are equal, takes over its
  /// confirmation age if that is lower; otherwise starts a repair.
  Actions onHeartbeat(const std::string& aName,
                      std::uint64_t aDigest,
                      std::optional<Duration> aConfirmationAge,
                      Instant aNow);
  /// Replies with the objects of the buckets that differ.
  Actions onDigestBuckets(const std::string& aName,
                          const BucketDigest::Buckets& aBuckets);

  // Observers.

  std::uint64_t digest() const { return mDigest.combinedHash(); }
  /// Time since the platform last confirmed the stored objects, directly or
  /// through a neighbour; empty if it never did.
  std::optional<Duration> confirmationAge(Instant aNow) const;
  /// True once a configuration was received from, or confirmed by, the platform
  /// or a neighbour.
  bool hasConfiguration() const { return mHasConfiguration; }

private:
  /// Returns the objects that were newer than the stored ones.
  std::vector<contract::Object> mergeObjects(
    const std::vector<contract::Object>& aObjects);
  Actions sendToNeighbours(
    const std::string& aExcept,
    const std::vector<contract::Object>& aObjects,
    const std::set<std::string>& aLinkedNeighbours) const;

  contract::ObjectStore& mStore;
  ConfigDisseminationOptions mOptions;
  Random mRandom;
  BucketDigest mDigest;
  std::map<std::string, Instant> mLastRepair;
  std::optional<Instant> mConfirmedAt;
  Instant mNextQuery{};
  Duration mRetryDelay;
  std::uint64_t mPlatformVersion = 0;
  bool mQueryInFlight = false;
  bool mHasConfiguration = false;
};

} // namespace laburnum::membership
