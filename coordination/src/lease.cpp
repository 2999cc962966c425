#include "laburnum/coordination/lease.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace laburnum::coordination {
namespace {

namespace msm = boost::msm;

struct TakeSent
{};
struct Confirmed
{};
struct TakenByOther
{};
struct TermOver
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
  struct Resting : public msm::front::state<>
  {};

  using initial_state = Idle;

  template<class From, class Event, class To>
  using Row =
    msm::front::Row<From, Event, To, msm::front::none, msm::front::none>;

  // Boost.MSM finds the table by this name.
  struct transition_table // NOLINT(readability-identifier-naming)
    : boost::mpl::vector<Row<Idle, TakeSent, Acquiring>,
                         Row<Idle, Confirmed, Held>,
                         Row<Acquiring, Confirmed, Held>,
                         Row<Acquiring, TakenByOther, Idle>,
                         Row<Held, TermOver, Resting>,
                         Row<Held, TakenByOther, Idle>,
                         Row<Resting, Confirmed, Held>,
                         Row<Resting, TakenByOther, Idle>>
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
  return !mOptions.stopsByOwnClock || aNow < mGoodUntil;
}

std::vector<LeaseAction>
Lease::tick(Instant aNow, std::uint64_t aNonce)
{
  if (state() == LeaseState::Held && aNow >= mGoodUntil &&
      mOptions.stopsByOwnClock) {
    mMachine->process_event(TermOver{});
  }
  if (mInFlight) {
    return {};
  }
  const bool ours =
    mKnown && mRecord.holder == mSelf && mRecord.fence > 0 &&
    (state() == LeaseState::Held || state() == LeaseState::Resting);
  if (ours && aNow - mSentAt < mOptions.renew) {
    return {};
  }
  const bool othersTerm =
    !ours && !mRecord.holder.empty() && aNow - mSeenAt < mOptions.term;
  if (!mKnown || (othersTerm && aNow - mSentAt >= mOptions.renew)) {
    mInFlight = true;
    mSentAt = aNow;
    return { ReadLease{} };
  }
  if (othersTerm) {
    return {};
  }
  mProposed = { .holder = mSelf,
                .nonce = aNonce,
                .fence = ours ? mRecord.fence : mRecord.fence + 1 };
  mInFlight = true;
  mSentAt = aNow;
  if (!ours) {
    mMachine->process_event(TakeSent{});
  }
  return { WriteLease{ .expected = mVersion, .record = mProposed } };
}

void
Lease::observe(std::uint64_t aVersion, const LeaseRecord& aRecord, Instant aNow)
{
  if (!mKnown || aVersion != mVersion) {
    mSeenAt = aNow;
  }
  mKnown = true;
  mVersion = aVersion;
  mRecord = aRecord;
}

std::vector<LeaseAction>
Lease::readBack(std::uint64_t aVersion,
                const LeaseRecord& aRecord,
                Instant aNow)
{
  mInFlight = false;
  const bool settled = aRecord.nonce != 0 && aRecord.nonce == mProposed.nonce;
  observe(aVersion, aRecord, aNow);
  if (!settled && aRecord.holder != mSelf) {
    mMachine->process_event(TakenByOther{});
  }
  if (settled && state() == LeaseState::Acquiring) {
    // The lost write took effect, but when is not known: rest until the next
    // renewal is confirmed, so that the term counts from before it was sent.
    mMachine->process_event(Confirmed{});
    mGoodUntil = aNow;
    mMachine->process_event(TermOver{});
  }
  return {};
}

void
Lease::written(std::uint64_t aVersion, Instant aSentAt, Instant aNow)
{
  mInFlight = false;
  observe(aVersion, mProposed, aNow);
  mGoodUntil = aSentAt + mOptions.term - mOptions.margin;
  mMachine->process_event(Confirmed{});
}

void
Lease::conflicted(std::uint64_t aVersion,
                  const LeaseRecord& aRecord,
                  Instant aNow)
{
  mInFlight = false;
  observe(aVersion, aRecord, aNow);
  if (aRecord.nonce == mProposed.nonce && aRecord.holder == mSelf) {
    mMachine->process_event(Confirmed{});
    mGoodUntil = aNow;
    mMachine->process_event(TermOver{});
    return;
  }
  mMachine->process_event(TakenByOther{});
}

void
Lease::failed()
{
  mInFlight = false;
  mKnown = false;
}

} // namespace laburnum::coordination
