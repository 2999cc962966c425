#include "laburnum/node/drain.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace laburnum::node {
namespace {

namespace msm = boost::msm;

struct StopRequested
{};
struct GraceOver
{};
struct AllEnded
{};
struct Forced
{};

struct DrainDefinition : public msm::front::state_machine_def<DrainDefinition>
{
  using no_message_queue = int;
  using no_exception_thrown = int;

  struct Running : public msm::front::state<>
  {};
  struct NotReady : public msm::front::state<>
  {};
  struct Draining : public msm::front::state<>
  {};
  struct Stopped : public msm::front::state<>
  {};

  using initial_state = Running;

  template<class From, class Event, class To>
  using Row =
    msm::front::Row<From, Event, To, msm::front::none, msm::front::none>;

  // Boost.MSM finds the table by this name.
  struct transition_table // NOLINT(readability-identifier-naming)
    : boost::mpl::vector<Row<Running, StopRequested, NotReady>,
                         Row<NotReady, GraceOver, Draining>,
                         Row<Draining, AllEnded, Stopped>,
                         Row<Running, Forced, Stopped>,
                         Row<NotReady, Forced, Stopped>,
                         Row<Draining, Forced, Stopped>>
  {};

  template<class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int)
  {
  }
};

} // namespace

struct DrainMachine::Machine : public msm::back::state_machine<DrainDefinition>
{};

DrainMachine::DrainMachine(Duration aGrace)
  : mGrace(aGrace)
  , mMachine(std::make_unique<Machine>())
{
  mMachine->start();
}

DrainMachine::~DrainMachine() = default;

void
DrainMachine::requested(Instant aNow)
{
  if (state() == DrainState::Running) {
    mRequestedAt = aNow;
    mMachine->process_event(StopRequested{});
  }
}

void
DrainMachine::forced()
{
  mMachine->process_event(Forced{});
}

void
DrainMachine::tick(Instant aNow, std::size_t aInProgress)
{
  if (state() == DrainState::NotReady && aNow - mRequestedAt >= mGrace) {
    mMachine->process_event(GraceOver{});
  }
  if (state() == DrainState::Draining && aInProgress == 0) {
    mMachine->process_event(AllEnded{});
  }
}

DrainState
DrainMachine::state() const
{
  // The order of the rows' states gives the ids; tests hold the mapping.
  return static_cast<DrainState>(*mMachine->current_state());
}

} // namespace laburnum::node
