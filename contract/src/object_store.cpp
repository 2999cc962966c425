#include "laburnum/contract/object_store.hpp"

#include "laburnum/kernel/hash.hpp"

#include <boost/json/parse.hpp>

namespace laburnum::contract {
namespace {

std::uint64_t
fingerprint(const Object& aObject)
{
  return mix(hash64(aObject.kind + "/" + aObject.name), aObject.version);
}

} // namespace

void
ObjectStore::onAdopted(std::function<void(const Object&)> aListener)
{
  mListeners.push_back(std::move(aListener));
}

MergeOutcome
ObjectStore::merge(const Object& aObject)
{
  const auto key = std::make_pair(aObject.kind, aObject.name);
  const auto found = mObjects.find(key);
  const bool isHeld = found != mObjects.end();
  const bool isStale =
    isHeld && (mMergeByVersion ? found->second.version >= aObject.version
                               : found->second.version == aObject.version);
  if (isStale) {
    return MergeOutcome::Stale;
  }
  if (found != mObjects.end()) {
    mDigest ^= fingerprint(found->second);
    mByVersion.erase(found->second.version);
  }
  Object& held = mObjects[key];
  held = aObject;
  mDigest ^= fingerprint(held);
  mByVersion[held.version] = &held;
  mHighest = std::max(mHighest, held.version);
  std::string fault;
  if (!apply(held, fault)) {
    mInvalid[aObject.kind + "/" + aObject.name] = fault;
    return MergeOutcome::Invalid;
  }
  mInvalid.erase(aObject.kind + "/" + aObject.name);
  for (const auto& listener : mListeners) {
    listener(held);
  }
  return MergeOutcome::Adopted;
}

void
ObjectStore::dropContract(std::string_view aAccount)
{
  const auto found = mContracts.find(aAccount);
  if (found == mContracts.end()) {
    return;
  }
  for (const std::string& key : found->second.keys) {
    const auto owner = mAccountOfKey.find(key);
    if (owner != mAccountOfKey.end() && owner->second == aAccount) {
      mAccountOfKey.erase(owner);
    }
  }
  mContracts.erase(found);
}

bool
ObjectStore::apply(const Object& aObject, std::string& aFault)
{
  if (aObject.deleted) {
    dropContract(aObject.kind == "contract" ? aObject.name : "");
    if (aObject.kind == "service") {
      mServices.erase(aObject.name);
    } else if (aObject.kind == "model") {
      mModels.erase(aObject.name);
    } else if (aObject.kind == "policy") {
      mPolicy = PolicyRule{};
    }
    return true;
  }
  boost::json::error_code error;
  const json::value value = json::parse(aObject.value, error);
  if (error) {
    aFault = error.message();
    return false;
  }
  const auto adopt = [&](auto aParsed, auto aStore) {
    if (!aParsed) {
      aFault = aParsed.failure().detail;
      return false;
    }
    aStore(std::move(*aParsed));
    return true;
  };
  if (aObject.kind == "contract") {
    return adopt(parseContract(value, aObject.name), [&](Contract aContract) {
      dropContract(aObject.name);
      for (const std::string& key : aContract.keys) {
        mAccountOfKey[key] = aContract.account;
      }
      mContracts[aObject.name] = std::move(aContract);
    });
  }
  if (aObject.kind == "service") {
    return adopt(parseServiceRule(value, aObject.name), [&](ServiceRule aRule) {
      mServices[aObject.name] = std::move(aRule);
    });
  }
  if (aObject.kind == "model") {
    return adopt(parseModelRule(value, aObject.name), [&](ModelRule aRule) {
      mModels[aObject.name] = std::move(aRule);
    });
  }
  if (aObject.kind == "policy") {
    return adopt(parsePolicyRule(value, aObject.name),
                 [&](PolicyRule aRule) { mPolicy = std::move(aRule); });
  }
  return true;
}

const Object*
ObjectStore::find(std::string_view aKind, std::string_view aName) const
{
  const auto found =
    mObjects.find(std::make_pair(std::string(aKind), std::string(aName)));
  return found == mObjects.end() ? nullptr : &found->second;
}

std::vector<const Object*>
ObjectStore::newerThan(std::uint64_t aVersion) const
{
  std::vector<const Object*> all;
  for (auto it = mByVersion.upper_bound(aVersion); it != mByVersion.end();
       ++it) {
    all.push_back(it->second);
  }
  return all;
}

const Contract*
ObjectStore::contractOf(std::string_view aAccount) const
{
  const auto found = mContracts.find(aAccount);
  return found == mContracts.end() ? nullptr : &found->second;
}

const Contract*
ObjectStore::contractOfKey(std::string_view aKeyLabel) const
{
  const auto found = mAccountOfKey.find(std::string(aKeyLabel));
  return found == mAccountOfKey.end() ? nullptr : contractOf(found->second);
}

ServiceRule
ObjectStore::serviceRule(std::string_view aName) const
{
  const auto found = mServices.find(aName);
  return found == mServices.end() ? ServiceRule{ .name = std::string(aName) }
                                  : found->second;
}

} // namespace laburnum::contract
