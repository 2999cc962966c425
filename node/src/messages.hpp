#pragma once

#include "laburnum/contract/object_store.hpp"
#include "laburnum/membership/bucket_digest.hpp"
#include "laburnum/wire/message.hpp"

#include <vector>

namespace laburnum::node {

// Conversions between decisions' types and messages.
// Pre: none. Thread safety: any thread.

wire::ObjectsT
toWire(const std::vector<contract::Object>& aObjects);
std::vector<contract::Object>
fromWire(const wire::ObjectsT& aMessage);
wire::DigestT
toWire(const membership::BucketDigest::Buckets& aBuckets, bool aObjects);

} // namespace laburnum::node
