#pragma once

#include "laburnum/agent/answer_stream.hpp"
#include "laburnum/bench/event_queue.hpp"
#include "laburnum/policy/attempt_table.hpp"
#include "laburnum/policy/request_machine.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace laburnum::bench {

/// Which mechanisms are on, to show what each prevents.
struct PromiseOptions
{
  policy::AttemptTableOptions table;
  policy::RequestOptions request;
};

/// What must stay at zero.
struct PromiseCounts
{
  std::uint64_t falseNotRun = 0;
  std::uint64_t doubleRun = 0;
  std::uint64_t incompleteTold = 0;
  std::uint64_t wrongAnswer = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
};

/// One schedule of faults between real request machines and attempt tables:
/// connections that delay, go silent, break, repeat and reorder; agents that
/// restart and pause; backend servers that fail. Thread safety: one thread.
class PromiseWorld
{
public:
  PromiseWorld(std::uint64_t aSeed, PromiseOptions aOptions);

  /// Runs the schedule to its end and counts. Pre: called once.
  PromiseCounts run();

private:
  struct Agent
  {
    std::uint64_t incarnation = 1;
    std::unique_ptr<policy::AttemptTable> table;
    std::map<policy::AttemptId, std::shared_ptr<agent::AnswerStream>> streams;
    std::map<policy::AttemptId, std::size_t> requestOf;
    Instant pausedUntil{};
  };
  /// A connection of the entry to an agent.
  struct Connection
  {
    std::size_t agent = 0;
    std::uint64_t ordinal = 0;
    std::uint64_t agentIncarnation = 0;
    bool silent = false;
    bool broken = false;
    Instant lastToAgent{};
    Instant lastToEntry{};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  struct Request
  {
    std::unique_ptr<policy::RequestStateMachine> machine;
    bool idempotent = false;
    bool resumable = false;
    std::uint64_t parts = 3;
    std::vector<std::string> received;
    int runs = 0;
    bool failed = false;
    bool complete = false;
    Verdict verdict = Verdict::NotRun;
  };

  void injectFaults();
  void connect(std::size_t aAgent);
  void lose(const ConnectionPtr& aConnection);
  void toAgent(const ConnectionPtr& aConnection,
               std::function<void(Agent&)> aTask,
               bool aRepeats);
  void toEntry(const ConnectionPtr& aConnection, std::function<void()> aTask);
  void apply(std::size_t aRequest, const policy::RequestEvent& aEvent);
  void send(std::size_t aRequest, const policy::SendAttempt& aSend);
  void ask(std::size_t aRequest, const policy::QueryAttempt& aAsk);
  void cancel(const policy::CancelAttempt& aCancel);
  void dispatched(const ConnectionPtr& aConnection,
                  std::size_t aRequest,
                  policy::SendAttempt aSend);
  void startAt(std::size_t aAgent,
               policy::AttemptId aId,
               std::uint64_t aFirstPart);
  void produce(std::size_t aAgent,
               std::uint64_t aIncarnation,
               policy::AttemptId aId);
  void flush(std::size_t aAgent, policy::AttemptId aId);
  void restart(std::size_t aAgent);
  void eachAt(std::size_t aAgent, const policy::RequestEvent& aEvent);
  Duration delay();

  EventQueue mQueue;
  PromiseOptions mOptions;
  policy::RetryBudget mBudget;
  std::vector<Agent> mAgents;
  std::vector<ConnectionPtr> mConnections; ///< Latest, by agent.
  std::vector<std::uint64_t> mOrdinals;
  std::vector<Request> mRequests;
  std::map<policy::AttemptId, std::size_t> mRequestOf;
  std::uint64_t mNextAttempt = 0;
};

} // namespace laburnum::bench
