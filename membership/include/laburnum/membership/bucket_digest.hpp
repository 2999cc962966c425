#pragma once

#include "laburnum/kernel/hash.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace laburnum::membership {

/// Number of buckets in a digest. Anti-entropy repair sends only the items of
/// the buckets that differ.
inline constexpr std::size_t kDigestBucketCount = 64;

/// Order-independent digest of a set of versioned items.
///
/// Each item is a key and a fingerprint of its current version. It is hashed
/// into one of 64 buckets, chosen by its key, and XORed with the rest of that
/// bucket. Two peers compare one hash in each heartbeat; when it differs, they
/// exchange the buckets and send only the items in those that differ. Equal
/// digests mean equal sets, up to collisions of the 64-bit hashes.
///
/// Thread safety: none; used on the event loop's thread.
class BucketDigest
{
public:
  using Buckets = std::array<std::uint64_t, kDigestBucketCount>;

  /// Adds an item, or removes it if the same key and fingerprint were added
  /// before. To update an item, remove its old version and add the new one.
  void toggle(std::string_view aKey, std::uint64_t aFingerprint)
  {
    const std::uint64_t key = hash64(aKey);
    mBuckets[key % kDigestBucketCount] ^= mix(key, aFingerprint);
  }

  /// Index of the bucket that holds the items with this key.
  static std::size_t bucketIndex(std::string_view aKey)
  {
    return hash64(aKey) % kDigestBucketCount;
  }

  /// Hash of all buckets, small enough to travel in every heartbeat.
  std::uint64_t combinedHash() const
  {
    std::uint64_t combined = 0;
    for (const std::uint64_t bucket : mBuckets) {
      combined = combined * 31 + bucket;
    }
    return combined;
  }

  const Buckets& buckets() const { return mBuckets; }

private:
  Buckets mBuckets{};
};

} // namespace laburnum::membership
