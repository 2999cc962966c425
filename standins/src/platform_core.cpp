#include "laburnum/standins/platform_core.hpp"

namespace laburnum::standins {
namespace {

/// Kinds that daemons do not follow: they are read and written one by one.
bool
isFollowed(const std::string& aKind)
{
  return aKind != "claim" && aKind != "lease" && aKind != "audit";
}

bool
takeFrom(std::optional<policy::TokenBucket>& aBucket,
         double aRate,
         Instant aNow)
{
  if (aRate <= 0) {
    return true;
  }
  if (!aBucket) {
    aBucket = policy::TokenBucket(aRate, aRate / 10 + 1, aNow);
  }
  aBucket->setLimit(aRate, aRate / 10 + 1, aNow);
  return aBucket->tryTakeOne(aNow);
}

} // namespace

PlatformCore::WriteResult
PlatformCore::write(contract::Object aObject, std::uint64_t aExpected)
{
  const auto key = std::make_pair(aObject.kind, aObject.name);
  const auto found = mObjects.find(key);
  const bool present = found != mObjects.end() && !found->second.deleted;
  const std::uint64_t version = present ? found->second.version : 0;
  if (version != aExpected) {
    return { .written = false,
             .object = present ? std::optional(found->second) : std::nullopt };
  }
  if (found != mObjects.end()) {
    mByVersion.erase(found->second.version);
  }
  aObject.version = ++mVersion;
  mByVersion[mVersion] = key;
  mObjects[key] = aObject;
  return { .written = true, .object = std::move(aObject) };
}

const contract::Object*
PlatformCore::read(std::string_view aKind, std::string_view aName) const
{
  const auto found = mObjects.find({ std::string(aKind), std::string(aName) });
  return found == mObjects.end() || found->second.deleted ? nullptr
                                                          : &found->second;
}

std::vector<contract::Object>
PlatformCore::newerThan(std::uint64_t aVersion) const
{
  std::vector<contract::Object> all;
  for (auto it = mByVersion.upper_bound(aVersion); it != mByVersion.end();
       ++it) {
    if (isFollowed(it->second.first)) {
      all.push_back(mObjects.at(it->second));
    }
  }
  return all;
}

std::vector<contract::Object>
PlatformCore::ofKind(std::string_view aKind) const
{
  std::vector<contract::Object> all;
  for (const auto& [key, object] : mObjects) {
    if (key.first == aKind && !object.deleted) {
      all.push_back(object);
    }
  }
  return all;
}

bool
PlatformCore::admit(bool aIsWrite, Instant aNow)
{
  const bool passes = aIsWrite ? takeFrom(mWrites, faults.writesPerSecond, aNow)
                               : takeFrom(mReads, faults.readsPerSecond, aNow);
  if (!passes) {
    ++counts.refused;
    return false;
  }
  ++(aIsWrite ? counts.writes : counts.reads);
  return true;
}

} // namespace laburnum::standins
