#pragma once

#include "laburnum/contract/contract.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnum::contract {

/// One versioned object of the platform.
struct Object
{
  std::string kind;
  std::string name;
  std::uint64_t version = 0; ///< The platform's version; grows with each write.
  bool deleted = false;      ///< A tombstone; `value` is empty.
  std::string value;         ///< JSON text.
};

/// What a merge did with an offered object.
enum class MergeOutcome : std::uint8_t
{
  Adopted, ///< Newer than what was held, and in force.
  Stale,   ///< Not newer; nothing changed.
  Invalid  ///< Newer, but its last valid version stays in force.
};

/// The daemon's copy of the configuration, merged by highest version, so that
/// no object ever goes back. Thread safety: loop thread.
class ObjectStore
{
public:
  /// aMergeByVersion is off only in experiments that show what it prevents.
  explicit ObjectStore(bool aMergeByVersion = true)
    : mMergeByVersion(aMergeByVersion)
  {
  }

  /// Called after each adopted object. Pre: none.
  void onAdopted(std::function<void(const Object&)> aListener);

  /// Merges an object. Complexity: logarithmic, and linear in the value.
  /// Pre: none.
  MergeOutcome merge(const Object& aObject);

  // Reading.

  /// The held object, tombstones included. Pre: none.
  const Object* find(std::string_view aKind, std::string_view aName) const;

  /// The highest version seen of any object. Pre: none.
  std::uint64_t highestVersion() const { return mHighest; }

  /// An order-independent hash over keys and versions; equal digests mean
  /// equal stores. Pre: none. Complexity: constant.
  std::uint64_t digest() const { return mDigest; }

  /// All objects newer than a version, in order of version.
  /// Pre: none. Complexity: logarithmic and linear in the result.
  std::vector<const Object*> newerThan(std::uint64_t aVersion) const;

  /// Number of objects, tombstones included. Pre: none.
  std::size_t size() const { return mObjects.size(); }

  // Parsed views, kept up to date by `merge`. Pre: none.

  const Contract* contractOf(std::string_view aAccount) const;
  const Contract* contractOfKey(std::string_view aKeyLabel) const;
  const std::map<std::string, Contract, std::less<>>& contracts() const
  {
    return mContracts;
  }
  const std::map<std::string, ModelRule, std::less<>>& models() const
  {
    return mModels;
  }
  ServiceRule serviceRule(std::string_view aName) const;
  const PolicyRule& policy() const { return mPolicy; }

  /// Objects whose newest version does not validate, with the fault.
  const std::map<std::string, std::string>& invalid() const { return mInvalid; }

private:
  bool apply(const Object& aObject, std::string& aFault);
  void dropContract(std::string_view aAccount);

  std::map<std::pair<std::string, std::string>, Object, std::less<>> mObjects;
  std::map<std::uint64_t, const Object*> mByVersion;
  bool mMergeByVersion;
  std::uint64_t mHighest = 0;
  std::uint64_t mDigest = 0;
  std::map<std::string, Contract, std::less<>> mContracts;
  std::unordered_map<std::string, std::string> mAccountOfKey;
  std::map<std::string, ServiceRule, std::less<>> mServices;
  std::map<std::string, ModelRule, std::less<>> mModels;
  PolicyRule mPolicy;
  std::map<std::string, std::string> mInvalid;
  std::vector<std::function<void(const Object&)>> mListeners;
};

} // namespace laburnum::contract
