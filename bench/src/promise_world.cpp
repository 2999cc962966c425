#include "laburnum/bench/promise_world.hpp"

#include <algorithm>

namespace laburnum::bench {
namespace {

constexpr std::size_t kAgents = 3;
constexpr std::size_t kRequests = 4;
constexpr std::uint64_t kEntry = 7;
constexpr Duration kGoneAfter = seconds(3);
constexpr Duration kSilence = milliseconds(1500);

std::string
partText(std::size_t aRequest, std::uint64_t aSequence)
{
  return std::to_string(aRequest) + ":" + std::to_string(aSequence);
}

} // namespace

PromiseWorld::PromiseWorld(std::uint64_t aSeed, PromiseOptions aOptions)
  : mQueue(aSeed)
  , mOptions(aOptions)
  , mBudget(1, 10)
  , mAgents(kAgents)
  , mConnections(kAgents)
  , mOrdinals(kAgents, 0)
  , mRequests(kRequests)
{
  for (Agent& agent : mAgents) {
    agent.table = std::make_unique<policy::AttemptTable>(mOptions.table);
  }
}

Duration
PromiseWorld::delay()
{
  Random& random = mQueue.random();
  if (random.chance(0.05)) {
    return milliseconds(random.below(4000));
  }
  return microseconds(100 + random.below(20000));
}

void
PromiseWorld::connect(std::size_t aAgent)
{
  auto connection = std::make_shared<Connection>();
  connection->agent = aAgent;
  connection->ordinal = ++mOrdinals[aAgent];
  connection->agentIncarnation = mAgents[aAgent].incarnation;
  connection->lastToAgent = connection->lastToEntry = mQueue.now();
  const std::uint64_t before = mConnections[aAgent]
                                 ? mConnections[aAgent]->agentIncarnation
                                 : connection->agentIncarnation;
  mConnections[aAgent] = connection;
  mAgents[aAgent].table->updateFence(kEntry, connection->ordinal);
  if (before != connection->agentIncarnation) {
    eachAt(aAgent, policy::AgentLost{ aAgent });
  } else {
    eachAt(aAgent, policy::AgentConnectionLost{ aAgent });
  }
}

void
PromiseWorld::lose(const ConnectionPtr& aConnection)
{
  if (mConnections[aConnection->agent] != aConnection) {
    return;
  }
  eachAt(aConnection->agent, policy::AgentConnectionLost{ aConnection->agent });
  const std::size_t agent = aConnection->agent;
  const auto pause = milliseconds(mQueue.random().below(300));
  mQueue.after(pause, [this, agent] { connect(agent); });
}

/// Frames of one connection keep their order unless it repeats or reorders.
void
PromiseWorld::toAgent(const ConnectionPtr& aConnection,
                      std::function<void(Agent&)> aTask,
                      bool aRepeats)
{
  Instant at = std::max(mQueue.now() + delay(), aConnection->lastToAgent);
  aConnection->lastToAgent = at;
  const int copies = aRepeats && mQueue.random().chance(0.05) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    mQueue.after(at - mQueue.now(), [this, aConnection, aTask] {
      Agent& agent = mAgents[aConnection->agent];
      // A frame on its way may still arrive on a connection that is broken
      // or silent for the entry, unless the agent's process is another one.
      const bool lost = aConnection->broken && mQueue.random().chance(0.5);
      if (lost || agent.incarnation != aConnection->agentIncarnation) {
        return;
      }
      if (agent.pausedUntil > mQueue.now()) {
        mQueue.after(agent.pausedUntil - mQueue.now(),
                     [this, aConnection, aTask] {
                       Agent& later = mAgents[aConnection->agent];
                       if (later.incarnation == aConnection->agentIncarnation) {
                         aTask(later);
                       }
                     });
        return;
      }
      aTask(agent);
    });
    at += delay();
  }
}

void
PromiseWorld::toEntry(const ConnectionPtr& aConnection,
                      std::function<void()> aTask)
{
  const Instant at = std::max(mQueue.now() + delay(), aConnection->lastToEntry);
  aConnection->lastToEntry = at;
  const int copies = mQueue.random().chance(0.03) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    mQueue.after(at - mQueue.now(), [aConnection, aTask] {
      if (!aConnection->broken && !aConnection->silent) {
        aTask();
      }
    });
  }
}

void
PromiseWorld::eachAt(std::size_t aAgent, const policy::RequestEvent& aEvent)
{
  for (std::size_t i = 0; i < mRequests.size(); ++i) {
    const auto& machine = mRequests[i].machine;
    if (machine && machine->current() && machine->current()->server == aAgent) {
      apply(i, aEvent);
    }
  }
}

void
PromiseWorld::apply(std::size_t aRequest, const policy::RequestEvent& aEvent)
{
  struct Visitor
  {
    PromiseWorld& world;
    std::size_t index;
    Request& request;

    void operator()(const policy::ChooseServer& aChoose) const
    {
      std::vector<std::size_t> left;
      for (std::size_t i = 0; i < kAgents; ++i) {
        if (std::find(aChoose.excluded.begin(), aChoose.excluded.end(), i) ==
            aChoose.excluded.end()) {
          left.push_back(i);
        }
      }
      policy::ServerChosen routed{ .attempt = { kEntry,
                                                ++world.mNextAttempt } };
      if (!left.empty()) {
        routed.server = left[world.mQueue.random().below(left.size())];
      }
      world.apply(index, routed);
    }
    void operator()(const policy::SendAttempt& aSend) const
    {
      world.send(index, aSend);
    }
    void operator()(const policy::QueryAttempt& aAsk) const
    {
      world.ask(index, aAsk);
    }
    void operator()(const policy::CancelAttempt& aCancel) const
    {
      world.cancel(aCancel);
    }
    void operator()(const policy::Deliver& aDeliver) const
    {
      request.received.push_back(aDeliver.payload);
    }
    void operator()(const policy::Complete&) const { request.complete = true; }
    void operator()(const policy::Fail& aFail) const
    {
      request.failed = true;
      request.verdict = aFail.failure.verdict;
    }
  };
  Request& request = mRequests[aRequest];
  for (const auto& action : request.machine->handle(aEvent)) {
    std::visit(Visitor{ *this, aRequest, request }, action);
  }
}

void
PromiseWorld::send(std::size_t aRequest, const policy::SendAttempt& aSend)
{
  mRequestOf[aSend.attempt] = aRequest;
  const ConnectionPtr connection = mConnections[aSend.server];
  toAgent(
    connection,
    [this, connection, aRequest, aSend](Agent&) {
      dispatched(connection, aRequest, aSend);
    },
    true);
  // Silence is seen by the missing heartbeats.
  mQueue.after(kSilence, [this, connection] {
    if (connection->silent || connection->broken) {
      lose(connection);
    }
  });
}

void
PromiseWorld::ask(std::size_t aRequest, const policy::QueryAttempt& aAsk)
{
  const ConnectionPtr connection = mConnections[aAsk.server];
  const auto attempt = aAsk.attempt;
  mQueue.after(kGoneAfter + seconds(3),
               [this, aRequest, attempt, server = aAsk.server] {
                 const auto& current = mRequests[aRequest].machine->current();
                 if (current && current->attempt == attempt) {
                   apply(aRequest, policy::AgentLost{ server });
                 }
               });
  if (connection->silent || connection->broken) {
    return;
  }
  toAgent(
    connection,
    [this, connection, aRequest, aAsk](Agent& aAgent) {
      const auto state = aAgent.table->queryState(
        aAsk.attempt, connection->ordinal, mQueue.now());
      toEntry(connection, [this, aRequest, aAsk, state] {
        apply(aRequest,
              policy::AttemptStateReceived{ .attempt = aAsk.attempt,
                                            .state = state });
      });
      const auto stream = aAgent.streams.find(aAsk.attempt);
      if (stream != aAgent.streams.end()) {
        stream->second->rewind(aAsk.nextPart);
        flush(connection->agent, aAsk.attempt);
      }
    },
    false);
}

void
PromiseWorld::cancel(const policy::CancelAttempt& aCancel)
{
  const auto attempt = aCancel.attempt;
  toAgent(
    mConnections[aCancel.server],
    [this, attempt](Agent& aAgent) {
      if (aAgent.table->state(attempt) == policy::AttemptState::Queued) {
        aAgent.table->end(attempt, policy::AttemptState::Revoked, mQueue.now());
      }
    },
    false);
}

void
PromiseWorld::dispatched(const ConnectionPtr& aConnection,
                         std::size_t aRequest,
                         policy::SendAttempt aSend)
{
  Agent& agent = mAgents[aConnection->agent];
  const auto id = aSend.attempt;
  const Error error =
    agent.table->enqueue(id, aConnection->ordinal, mQueue.now());
  if (error == Error::Conflict) {
    return;
  }
  if (error != Error::None) {
    toEntry(aConnection, [this, aRequest, id, error] {
      apply(aRequest,
            policy::AttemptRejected{
              .attempt = id, .verdict = Verdict::NotRun, .error = error });
    });
    return;
  }
  agent.requestOf[id] = aRequest;
  agent.streams[id] = std::make_shared<agent::AnswerStream>(
    wire::Attempt(id.entry, id.number), aSend.firstPart, 1 << 20);
  const std::uint64_t incarnation = agent.incarnation;
  const std::size_t index = aConnection->agent;
  mQueue.after(milliseconds(mQueue.random().below(500)),
               [this, index, incarnation, id, aSend] {
                 if (mAgents[index].incarnation == incarnation) {
                   startAt(index, id, aSend.firstPart);
                 }
               });
}

void
PromiseWorld::startAt(std::size_t aAgent, policy::AttemptId aId, std::uint64_t)
{
  Agent& agent = mAgents[aAgent];
  if (!agent.table->start(aId)) {
    return;
  }
  ++mRequests[agent.requestOf[aId]].runs;
  produce(aAgent, agent.incarnation, aId);
}

void
PromiseWorld::produce(std::size_t aAgent,
                      std::uint64_t aIncarnation,
                      policy::AttemptId aId)
{
  mQueue.after(
    milliseconds(1 + mQueue.random().below(400)),
    [this, aAgent, aIncarnation, aId] {
      Agent& agent = mAgents[aAgent];
      if (agent.incarnation != aIncarnation) {
        return;
      }
      auto& stream = *agent.streams[aId];
      const std::size_t index = agent.requestOf[aId];
      if (mQueue.random().chance(0.03)) {
        stream.fail(Verdict::MayHaveRun, Error::ServerFailed);
        agent.table->end(aId, policy::AttemptState::Failed, mQueue.now());
        flush(aAgent, aId);
        return;
      }
      if (stream.parts() >= mRequests[index].parts) {
        stream.finish("stop");
        agent.table->end(aId, policy::AttemptState::Finished, mQueue.now());
        flush(aAgent, aId);
        return;
      }
      wire::PartT part;
      const std::string text = partText(index, stream.parts());
      part.payload.assign(text.begin(), text.end());
      stream.add(std::move(part));
      flush(aAgent, aId);
      produce(aAgent, aIncarnation, aId);
    });
}

void
PromiseWorld::flush(std::size_t aAgent, policy::AttemptId aId)
{
  const ConnectionPtr connection = mConnections[aAgent];
  if (!connection ||
      connection->agentIncarnation != mAgents[aAgent].incarnation) {
    return;
  }
  const std::size_t index = mRequestOf[aId];
  mAgents[aAgent].streams[aId]->sendNew([&](const wire::AnyMessage& aMessage) {
    policy::RequestEvent event;
    if (const auto* part = std::get_if<wire::PartT>(&aMessage)) {
      event =
        policy::PartArrived{ .attempt = aId,
                             .sequence = part->sequence,
                             .payload = std::string(part->payload.begin(),
                                                    part->payload.end()) };
    } else if (const auto* finished = std::get_if<wire::FinishedT>(&aMessage)) {
      event =
        policy::AttemptFinished{ .attempt = aId, .parts = finished->parts };
    } else {
      const auto& rejected = std::get<wire::RejectedT>(aMessage);
      event =
        policy::AttemptRejected{ .attempt = aId,
                                 .verdict =
                                   static_cast<Verdict>(rejected.verdict),
                                 .error = static_cast<Error>(rejected.error) };
    }
    toEntry(connection, [this, index, event] { apply(index, event); });
  });
}

void
PromiseWorld::restart(std::size_t aAgent)
{
  Agent& agent = mAgents[aAgent];
  ++agent.incarnation;
  agent.table = std::make_unique<policy::AttemptTable>(mOptions.table);
  agent.streams.clear();
  agent.requestOf.clear();
  const ConnectionPtr connection = mConnections[aAgent];
  connection->broken = true;
  mQueue.after(delay(), [this, connection] { lose(connection); });
}

void
PromiseWorld::injectFaults()
{
  Random& random = mQueue.random();
  const std::size_t faults = 1 + random.below(4);
  for (std::size_t i = 0; i < faults; ++i) {
    const std::size_t agent = random.below(kAgents);
    const std::uint64_t kind = random.below(4);
    mQueue.after(milliseconds(random.below(2500)), [this, agent, kind] {
      const ConnectionPtr connection = mConnections[agent];
      if (kind == 0) {
        connection->silent = true;
        mQueue.after(kSilence, [this, connection] { lose(connection); });
      } else if (kind == 1) {
        connection->broken = true;
        mQueue.after(delay(), [this, connection] { lose(connection); });
      } else if (kind == 2) {
        restart(agent);
      } else {
        mAgents[agent].pausedUntil =
          mQueue.now() + milliseconds(mQueue.random().below(5000));
      }
    });
  }
}

PromiseCounts
PromiseWorld::run()
{
  for (std::size_t i = 0; i < kAgents; ++i) {
    connect(i);
  }
  injectFaults();
  for (std::size_t i = 0; i < kRequests; ++i) {
    Request& request = mRequests[i];
    request.idempotent = i % 2 == 1;
    request.resumable = request.idempotent;
    request.parts = 1 + mQueue.random().below(6);
    request.machine = std::make_unique<policy::RequestStateMachine>(
      policy::RequestTraits{ .idempotent = request.idempotent,
                             .resumable = request.resumable },
      mOptions.request,
      mBudget);
    mQueue.after(milliseconds(mQueue.random().below(1500)),
                 [this, i] { apply(i, policy::StartRequest{}); });
    for (const Duration late : { milliseconds(0), milliseconds(300) }) {
      mQueue.after(seconds(15) + late,
                   [this, i] { apply(i, policy::DeadlineReached{}); });
    }
  }
  mQueue.runAll(200000);
  PromiseCounts counts;
  for (std::size_t i = 0; i < kRequests; ++i) {
    const Request& request = mRequests[i];
    counts.completed += request.complete ? 1 : 0;
    counts.failed += request.failed ? 1 : 0;
    const bool toldNotRun =
      request.failed && request.verdict == Verdict::NotRun;
    counts.falseNotRun += toldNotRun && request.runs > 0 ? 1 : 0;
    counts.doubleRun += !request.idempotent && request.runs > 1 ? 1 : 0;
    counts.incompleteTold +=
      request.complete && request.received.size() != request.parts ? 1 : 0;
    for (std::size_t part = 0; part < request.received.size(); ++part) {
      counts.wrongAnswer += request.received[part] != partText(i, part) ? 1 : 0;
    }
  }
  return counts;
}

} // namespace laburnum::bench
