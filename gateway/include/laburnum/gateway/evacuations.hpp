#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnum::gateway {

/// An operator's order that the servers of a failure domain receive nothing,
/// or that it is taken back.
struct EvacuationChange
{
  std::string failureDomain;
  std::uint64_t revision = 0; ///< Of the order, in the store's history.
  bool isTakenBack = false;
};

/// Which failure domains operators have evacuated. A change is in force until
/// a newer one of the same failure domain is known: neither an older reply, nor
/// an outage of the source, nor a copy from which the source was restored
/// brings a former state back.
///
/// Unknown until the first complete list: a gateway that has just started must
/// not send anything to a domain of which it knows nothing yet.
///
/// Performs no I/O. Thread safety: loop thread only.
class Evacuations
{
public:
  /// Replaces the state by a complete list as of a revision of the source.
  /// Returns whether the evacuated domains changed.
  bool replace(const std::vector<EvacuationChange>& aList,
               std::uint64_t aRevision);

  /// Replaces the state by a complete list of a copy from which the source was
  /// restored, whose revisions start anew. A domain that the copy lacks stays
  /// evacuated until the source has an order for it again; an order of the copy
  /// that is known to be taken back stays taken back.
  bool replaceByCopy(const std::vector<EvacuationChange>& aList,
                     std::uint64_t aRevision);

  /// Applies changes since the last update.
  bool apply(const std::vector<EvacuationChange>& aChanges);

  /// True once a complete list is known.
  bool isKnown() const { return mIsKnown; }

  /// The evacuated failure domains.
  const std::set<std::string>& domains() const { return mDomains; }

  /// The evacuated failure domains whose order the restored source lacks.
  std::set<std::string> heldDomains() const;

private:
  struct State
  {
    std::uint64_t revision = 0; ///< Of the newest change.
    std::uint64_t ordered = 0;  ///< Revision of the newest order.
    /// Revision of an order that a restored source has although it is known to
    /// be taken back; 0: none.
    std::uint64_t voidOrder = 0;
    bool isEvacuated = false;
    bool isHeld = false; ///< In force although a restored source lacks it.
  };
  bool set(const EvacuationChange& aChange);
  bool updateDomains();

  bool mIsKnown = false;
  std::uint64_t mListRevision = 0;
  std::map<std::string, State> mStates; ///< By failure domain.
  std::set<std::string> mDomains;
};

} // namespace laburnum::gateway
