#include "messages.hpp"

#include "laburnum/node/node.hpp"

#include <algorithm>

namespace laburnum::node {

wire::ObjectsT
toWire(const std::vector<contract::Object>& aObjects)
{
  wire::ObjectsT message;
  for (const contract::Object& object : aObjects) {
    auto record = std::make_unique<wire::ObjectRecordT>();
    record->kind = object.kind;
    record->name = object.name;
    record->version = object.version;
    record->deleted = object.deleted;
    record->value = object.value;
    message.objects.push_back(std::move(record));
  }
  return message;
}

std::vector<contract::Object>
fromWire(const wire::ObjectsT& aMessage)
{
  std::vector<contract::Object> objects;
  for (const auto& record : aMessage.objects) {
    if (record->version == 0 || record->kind.empty()) {
      continue;
    }
    objects.push_back({ .kind = record->kind,
                        .name = record->name,
                        .version = record->version,
                        .deleted = record->deleted,
                        .value = record->value });
  }
  return objects;
}

wire::DigestT
toWire(const membership::BucketDigest::Buckets& aBuckets, bool aObjects)
{
  wire::DigestT message;
  message.objects = aObjects;
  message.buckets.assign(aBuckets.begin(), aBuckets.end());
  return message;
}

wire::MemberT
toWire(const membership::Member& aMember)
{
  wire::MemberT record;
  record.instance = aMember.name;
  record.incarnation = aMember.incarnation;
  record.revision = aMember.revision;
  record.state = static_cast<std::uint8_t>(aMember.state);
  if (aMember.stateOnly) {
    record.brief = true;
    return record;
  }
  record.role = static_cast<std::uint8_t>(aMember.role);
  record.domain = aMember.domain;
  record.region = aMember.region;
  record.address = aMember.address.text();
  record.offers = aMember.offers;
  record.slots = static_cast<std::uint32_t>(aMember.slots);
  record.loading = aMember.loading;
  record.takes_orders = aMember.takesOrders;
  record.group = aMember.group;
  record.first_rank = aMember.firstRank;
  record.ranks = aMember.ranks;
  return record;
}

membership::Member
fromWire(const wire::MemberT& aMember)
{
  const auto address = contract::parseAddress(aMember.address);
  return { .name = aMember.instance,
           .incarnation = aMember.incarnation,
           .revision = aMember.revision,
           .state = static_cast<membership::MemberState>(
             std::min<int>(aMember.state, 3)),
           .role = static_cast<contract::Role>(std::min<int>(aMember.role, 1)),
           .domain = aMember.domain,
           .region = aMember.region,
           .address = address ? *address : contract::Address{},
           .offers = aMember.offers,
           .slots = static_cast<int>(aMember.slots),
           .loading = aMember.loading,
           .takesOrders = aMember.takes_orders,
           .group = aMember.group,
           .firstRank = aMember.first_rank,
           .ranks = aMember.ranks,
           .stateOnly = aMember.brief };
}

} // namespace laburnum::node
