#include "laburnum/membership/config_spread.hpp"

#include <algorithm>

namespace laburnum::membership {
namespace {

/// Key of an object in the digest.
std::string
keyOf(const contract::Object& aObject)
{
  return aObject.kind + "/" + aObject.name;
}

} // namespace

ConfigDissemination::ConfigDissemination(contract::ObjectStore& aStore,
                                         ConfigDisseminationOptions aOptions,
                                         std::uint64_t aSeed)
  : mStore(aStore)
  , mOptions(aOptions)
  , mRandom(aSeed)
  , mRetryDelay(aOptions.initialPollDelay)
{
}

std::optional<Duration>
ConfigDissemination::confirmationAge(Instant aNow) const
{
  if (!mConfirmedAt) {
    return std::nullopt;
  }
  return aNow - *mConfirmedAt;
}

ConfigDissemination::Actions
ConfigDissemination::tick(Instant aNow, bool aIsWatcher)
{
  if (mQueryInFlight || aNow < mNextQuery) {
    return {};
  }
  const bool stale =
    !mConfirmedAt || aNow - *mConfirmedAt > mOptions.staleAfter;
  if (!aIsWatcher && !stale) {
    return {};
  }
  mQueryInFlight = true;
  // Until a list is confirmed, a watcher queries without waiting, to get the
  // full list at once; long polls return only changes.
  return { QueryPlatform{ .afterVersion = mPlatformVersion,
                          .longPoll =
                            aIsWatcher && mConfirmedAt.has_value() } };
}

std::vector<contract::Object>
ConfigDissemination::mergeObjects(const std::vector<contract::Object>& aObjects)
{
  std::vector<contract::Object> adopted;
  for (const contract::Object& object : aObjects) {
    const contract::Object* stored = mStore.find(object.kind, object.name);
    const std::uint64_t oldVersion = stored == nullptr ? 0 : stored->version;
    if (mStore.merge(object) == contract::MergeOutcome::Stale) {
      continue;
    }
    if (oldVersion > 0) {
      mDigest.toggle(keyOf(object), oldVersion);
    }
    mDigest.toggle(keyOf(object), object.version);
    adopted.push_back(object);
  }
  return adopted;
}

ConfigDissemination::Actions
ConfigDissemination::sendToNeighbours(
  const std::string& aExcept,
  const std::vector<contract::Object>& aObjects,
  const std::set<std::string>& aLinkedNeighbours) const
{
  Actions actions;
  if (aObjects.empty()) {
    return actions;
  }
  for (const std::string& name : aLinkedNeighbours) {
    if (name != aExcept) {
      actions.push_back(SendObjects{ .to = name, .objects = aObjects });
    }
  }
  return actions;
}

ConfigDissemination::Actions
ConfigDissemination::onPlatformObjects(
  const std::vector<contract::Object>& aObjects,
  std::uint64_t aVersion,
  const std::set<std::string>& aLinkedNeighbours,
  Instant aNow)
{
  mQueryInFlight = false;
  mHasConfiguration = true;
  mRetryDelay = mOptions.initialPollDelay;
  mNextQuery = Instant{};
  const auto adopted = mergeObjects(aObjects);
  // A list older than the last one comes from a lagging replica of the
  // platform and does not confirm that the stored objects are current.
  if (aVersion >= mPlatformVersion) {
    mPlatformVersion = aVersion;
    mConfirmedAt = aNow;
  }
  return sendToNeighbours("", adopted, aLinkedNeighbours);
}

void
ConfigDissemination::onPlatformFailure(Instant aNow)
{
  mQueryInFlight = false;
  const double jitter = 0.5 + mRandom.unit();
  mNextQuery = aNow + fromSeconds(toSeconds(mRetryDelay) * jitter);
  mRetryDelay = std::min(mOptions.maxPollDelay, mRetryDelay * 2);
}

ConfigDissemination::Actions
ConfigDissemination::onLinkUp(const std::string& aName)
{
  return { SendObjectDigest{ .to = aName, .buckets = mDigest.buckets() } };
}

ConfigDissemination::Actions
ConfigDissemination::onObjects(const std::string& aFrom,
                               const std::vector<contract::Object>& aObjects,
                               const std::set<std::string>& aLinkedNeighbours)
{
  const auto adopted = mergeObjects(aObjects);
  mHasConfiguration = mHasConfiguration || !adopted.empty();
  return sendToNeighbours(aFrom, adopted, aLinkedNeighbours);
}

ConfigDissemination::Actions
ConfigDissemination::onHeartbeat(const std::string& aName,
                                 std::uint64_t aDigest,
                                 std::optional<Duration> aConfirmationAge,
                                 Instant aNow)
{
  if (aDigest == mDigest.combinedHash()) {
    // The neighbour has the same objects, so the platform's confirmation of its
    // configuration applies here too.
    if (aConfirmationAge &&
        (!mConfirmedAt || aNow - *aConfirmationAge > *mConfirmedAt)) {
      mConfirmedAt = aNow - *aConfirmationAge;
      mHasConfiguration = true;
    }
    return {};
  }
  Instant& lastRepair = mLastRepair[aName];
  if (aNow - lastRepair < mOptions.repairInterval) {
    return {};
  }
  lastRepair = aNow;
  return { SendObjectDigest{ .to = aName, .buckets = mDigest.buckets() } };
}

ConfigDissemination::Actions
ConfigDissemination::onDigestBuckets(const std::string& aName,
                                     const BucketDigest::Buckets& aBuckets)
{
  SendObjects reply{ .to = aName };
  for (const contract::Object* object : mStore.newerThan(0)) {
    const std::size_t bucket = BucketDigest::bucketIndex(keyOf(*object));
    if (aBuckets[bucket] != mDigest.buckets()[bucket]) {
      reply.objects.push_back(*object);
    }
  }
  if (reply.objects.empty()) {
    return {};
  }
  return { std::move(reply) };
}

} // namespace laburnum::membership
