#include "laburnum/coordination/lease.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace laburnum::coordination {
namespace {

namespace msm = boost::msm;

struct AcquireSent
{};
struct Confirmed
{};
struct LostToOther
{};
struct TermExpired
{};

struct LeaseDefinition : public msm::front::state_machine_def<LeaseDefinition>
{
  using no_message_queue = int;
  using no_exception_thrown = int;

  struct Idle : public msm::front::state<>
  {};
  struct Acquiring : public msm::front::state<>
  {};
  struct Held : public msm::front::state<>
  {};
  struct Suspended : public msm::front::state<>
  {};

  using initial_state = Idle;

  template<class From, class Event, class To>
  using Row =
    msm::front::Row<From, Event, To, msm::front::none, msm::front::none>;

  // Boost.MSM requires this name.
  struct transition_table // NOLINT(readability-identifier-naming)
    : boost::mpl::vector<Row<Idle, AcquireSent, Acquiring>,
                         Row<Idle, Confirmed, Held>,
                         Row<Acquiring, Confirmed, Held>,
                         Row<Acquiring, LostToOther, Idle>,
                         Row<Held, TermExpired, Suspended>,
                         Row<Held, LostToOther, Idle>,
                         Row<Suspended, Confirmed, Held>,
                         Row<Suspended, LostToOther, Idle>>
  {};

  template<class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int)
  {
  }
};

} // namespace

struct Lease::Machine : public msm::back::state_machine<LeaseDefinition>
{};

Lease::Lease(std::string aSelf, LeaseOptions aOptions)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
  , mMachine(std::make_unique<Machine>())
{
  mMachine->start();
}

Lease::~Lease() = default;
Lease::Lease(Lease&&) noexcept = default;

LeaseState
Lease::state() const
{
  return static_cast<LeaseState>(*mMachine->current_state());
}

bool
Lease::holds(Instant aNow) const
{
  if (state() != LeaseState::Held) {
    return false;
  }
  return !mOptions.stopsOnLocalExpiry || aNow < mValidUntil;
}

std::vector<LeaseAction>
Lease::tick(Instant aNow, std::uint64_t aNonce)
{
  if (state() == LeaseState::Held && aNow >= mValidUntil &&
      mOptions.stopsOnLocalExpiry) {
    mMachine->process_event(TermExpired{});
  }
  if (mInFlight) {
    return {};
  }
  const bool isOwn =
    mIsLoaded && mRecord.holder == mSelf && mRecord.fence > 0 &&
    (state() == LeaseState::Held || state() == LeaseState::Suspended);
  if (isOwn && aNow - mSentAt < mOptions.renewInterval) {
    return {};
  }
  const bool isHeldByOther =
    !isOwn && !mRecord.holder.empty() && aNow - mChangedAt < mOptions.term;
  if (!mIsLoaded ||
      (isHeldByOther && aNow - mSentAt >= mOptions.renewInterval)) {
    mInFlight = true;
    mSentAt = aNow;
    return { ReadLease{} };
  }
  if (isHeldByOther) {
    return {};
  }
  mProposed = { .holder = mSelf,
                .nonce = aNonce,
                .fence = isOwn ? mRecord.fence : mRecord.fence + 1 };
  mInFlight = true;
  mSentAt = aNow;
  if (!isOwn) {
    mMachine->process_event(AcquireSent{});
  }
  return { WriteLease{ .expectedVersion = mVersion, .record = mProposed } };
}

void
Lease::updateRecord(std::uint64_t aVersion,
                    const LeaseRecord& aRecord,
                    Instant aNow)
{
  if (!mIsLoaded || aVersion != mVersion) {
    mChangedAt = aNow;
  }
  mIsLoaded = true;
  mVersion = aVersion;
  mRecord = aRecord;
}

std::vector<LeaseAction>
Lease::onRead(std::uint64_t aVersion, const LeaseRecord& aRecord, Instant aNow)
{
  mInFlight = false;
  const bool tookEffect =
    aRecord.nonce != 0 && aRecord.nonce == mProposed.nonce;
  updateRecord(aVersion, aRecord, aNow);
  if (!tookEffect && aRecord.holder != mSelf) {
    mMachine->process_event(LostToOther{});
  }
  if (tookEffect && state() == LeaseState::Acquiring) {
    // The write whose reply was lost took effect at an unknown time. Stay
    // suspended until the next renewal is confirmed, so that the term counts
    // from before that renewal was sent.
    mMachine->process_event(Confirmed{});
    mValidUntil = aNow;
    mMachine->process_event(TermExpired{});
  }
  return {};
}

void
Lease::onWritten(std::uint64_t aVersion, Instant aSentAt, Instant aNow)
{
  mInFlight = false;
  updateRecord(aVersion, mProposed, aNow);
  mValidUntil = aSentAt + mOptions.term - mOptions.safetyMargin;
  mMachine->process_event(Confirmed{});
}

void
Lease::onConflict(std::uint64_t aVersion,
                  const LeaseRecord& aRecord,
                  Instant aNow)
{
  mInFlight = false;
  updateRecord(aVersion, aRecord, aNow);
  if (aRecord.nonce == mProposed.nonce && aRecord.holder == mSelf) {
    mMachine->process_event(Confirmed{});
    mValidUntil = aNow;
    mMachine->process_event(TermExpired{});
    return;
  }
  mMachine->process_event(LostToOther{});
}

void
Lease::onFailed()
{
  mInFlight = false;
  mIsLoaded = false;
}

} // namespace laburnum::coordination
