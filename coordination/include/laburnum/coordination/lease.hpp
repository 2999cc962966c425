#pragma once

#include "laburnum/kernel/enum_names.hpp"
#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace laburnum::coordination {

struct LeaseOptions
{
  /// Other candidates may acquire the lease when they have seen no renewal for
  /// this long.
  Duration term = seconds(6);
  /// The holder stops acting this long before the end of its term.
  Duration safetyMargin = seconds(2);
  Duration renewInterval = seconds(2);
  /// False in experiments only: the holder then relies on the platform's
  /// replies alone.
  bool stopsOnLocalExpiry = true;
};

/// The lease as stored in the platform.
struct LeaseRecord
{
  std::string holder;
  std::uint64_t nonce = 0; ///< Identifies the write, so that a reader can tell
                           ///< whether a write without a reply took effect.
  std::uint64_t fence = 0; ///< Fencing token; grows with each change of holder.
};

// Actions that the lease asks its caller to carry out.

/// Read the lease record.
struct ReadLease
{};
/// Write the lease record if it still has the expected version.
struct WriteLease
{
  std::uint64_t expectedVersion = 0;
  LeaseRecord record;
};

using LeaseAction = std::variant<ReadLease, WriteLease>;

enum class LeaseState : std::uint8_t
{
  Idle,      ///< Another candidate holds it, or the holder is unknown.
  Acquiring, ///< A write to acquire it is in flight.
  Held,      ///< Orders may be given with `fence`.
  Suspended  ///< Expired by the local clock; no orders until it is renewed.
};

inline constexpr EnumNames<LeaseState, 4> kLeaseStateNames{
  { { LeaseState::Idle, "idle" },
    { LeaseState::Acquiring, "acquiring" },
    { LeaseState::Held, "held" },
    { LeaseState::Suspended, "resting" } }
};

/// Leader election for one duty by a lease record in the platform, with a
/// fencing token for the orders of the leader.
///
/// The caller invokes `tick` periodically, carries out the returned action and
/// reports the platform's reply through an `on...` method; at most one call to
/// the platform is in flight. The holder measures its term on its own monotonic
/// clock from before a renewal was sent, and stops a safety margin before
/// others may acquire the lease. The platform keeps no time: other candidates
/// acquire the lease when the record has not changed for a term by their own
/// clock. The class does no I/O. Thread safety: loop thread.
class Lease
{
public:
  /// aSelf names this candidate in the record.
  Lease(std::string aSelf, LeaseOptions aOptions = {});
  ~Lease();
  Lease(Lease&&) noexcept;

  /// Advances the time and returns the next call to the platform, if any.
  /// aNonce identifies a write that results from this tick.
  std::vector<LeaseAction> tick(Instant aNow, std::uint64_t aNonce);

  /// The read returned this record; version 0 if there is none.
  std::vector<LeaseAction> onRead(std::uint64_t aVersion,
                                  const LeaseRecord& aRecord,
                                  Instant aNow);

  /// The write succeeded. aSentAt is the time at which it was sent.
  void onWritten(std::uint64_t aVersion, Instant aSentAt, Instant aNow);

  /// The write was rejected; aVersion and aRecord are the present record.
  void onConflict(std::uint64_t aVersion,
                  const LeaseRecord& aRecord,
                  Instant aNow);

  /// The call failed. A write may have taken effect; the next tick reads the
  /// record.
  void onFailed();

  /// True if an order may be given now.
  bool holds(Instant aNow) const;

  /// The fencing token of the lease.
  /// @pre `holds`
  std::uint64_t fence() const { return mRecord.fence; }

  LeaseState state() const;

private:
  struct Machine;
  void updateRecord(std::uint64_t aVersion,
                    const LeaseRecord& aRecord,
                    Instant aNow);

  std::string mSelf;
  LeaseOptions mOptions;
  std::unique_ptr<Machine> mMachine;
  LeaseRecord mRecord;   ///< As last read or written.
  LeaseRecord mProposed; ///< Of the last write sent.
  std::uint64_t mVersion = 0;
  Instant mChangedAt{};  ///< When the record was last seen to change.
  Instant mSentAt{};     ///< When the last call was sent.
  Instant mValidUntil{}; ///< Until when the held lease may be used.
  bool mIsLoaded = false;
  bool mInFlight = false;
};

} // namespace laburnum::coordination
