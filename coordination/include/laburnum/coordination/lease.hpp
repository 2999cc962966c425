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
  Duration term = seconds(6);   ///< Others may take over this long after they
                                ///< saw the last renewal.
  Duration margin = seconds(2); ///< The holder stops this much before the end.
  Duration renew = seconds(2);  ///< Time between renewals.
  bool stopsByOwnClock = true;  ///< Off, for experiments: trusts replies alone.
};

/// A lease as it stands in the platform.
struct LeaseRecord
{
  std::string holder;
  std::uint64_t nonce = 0; ///< Of the write; settles a lost reply.
  std::uint64_t fence = 0; ///< Grows with each change of holder.
};

// What the lease wants done.

struct ReadLease
{};
struct WriteLease
{
  std::uint64_t expected = 0;
  LeaseRecord record;
};

using LeaseAction = std::variant<ReadLease, WriteLease>;

enum class LeaseState : std::uint8_t
{
  Idle,      ///< Another holds it, or nobody is known to.
  Acquiring, ///< A write to take it is in flight.
  Held,      ///< Orders may be given with `fence`.
  Resting    ///< Was held; stopped by the own clock until renewed or lost.
};

inline constexpr EnumNames<LeaseState, 4> kLeaseStateNames{
  { { LeaseState::Idle, "idle" },
    { LeaseState::Acquiring, "acquiring" },
    { LeaseState::Held, "held" },
    { LeaseState::Resting, "resting" } }
};

/// A duty's lease in the platform, with a fencing number. The holder counts
/// its term on its own monotonic clock from before a renewal was sent, and
/// stops a margin before others may take over. The platform keeps no time:
/// others take over when the record has not changed for a term and a margin
/// by their own clock. Free of I/O. Thread safety: loop thread.
class Lease
{
public:
  Lease(std::string aSelf, LeaseOptions aOptions = {});
  ~Lease();
  Lease(Lease&&) noexcept;

  /// Time passes; at most one call to the platform is in flight. Pre: none.
  std::vector<LeaseAction> tick(Instant aNow, std::uint64_t aNonce);

  // Replies of the platform; aSentAt is when the call was sent.

  std::vector<LeaseAction> readBack(std::uint64_t aVersion,
                                    const LeaseRecord& aRecord,
                                    Instant aNow);
  void written(std::uint64_t aVersion, Instant aSentAt, Instant aNow);
  void conflicted(std::uint64_t aVersion,
                  const LeaseRecord& aRecord,
                  Instant aNow);
  /// The write may have taken effect; the next tick reads back.
  void failed();

  /// True if an order may be given now. Pre: none.
  bool holds(Instant aNow) const;

  /// The fencing number of the held lease. Pre: `holds`.
  std::uint64_t fence() const { return mRecord.fence; }

  LeaseState state() const;

private:
  struct Machine;
  void observe(std::uint64_t aVersion,
               const LeaseRecord& aRecord,
               Instant aNow);

  std::string mSelf;
  LeaseOptions mOptions;
  std::unique_ptr<Machine> mMachine;
  LeaseRecord mRecord;
  LeaseRecord mProposed;
  std::uint64_t mVersion = 0;
  Instant mSeenAt{}; ///< When the record was last seen to change.
  Instant mSentAt{};
  Instant mGoodUntil{};
  bool mKnown = false;
  bool mInFlight = false;
};

} // namespace laburnum::coordination
