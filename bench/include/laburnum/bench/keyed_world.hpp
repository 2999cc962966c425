#pragma once

#include "laburnum/agent/answer_stream.hpp"
#include "laburnum/bench/event_queue.hpp"
#include "laburnum/coordination/claim_shard.hpp"
#include "laburnum/policy/attempt_table.hpp"
#include "laburnum/policy/request_machine.hpp"
#include "laburnum/standins/platform_core.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace laburnum::bench {

/// Which mechanisms are on, to show what each prevents.
struct KeyedOptions
{
  bool adopts = true;          ///< Off: a claim of a dead entry stays as it is.
  bool asks = true;            ///< Off: a claim taken over is run at once.
  bool namesAttempts = true;   ///< Off: retries leave the claim as it was.
  double wrongSuspicion = 0.2; ///< Live holders taken for gone.
  policy::AttemptTableOptions table;
  policy::RequestOptions request;
};

struct KeyedCounts
{
  std::uint64_t doubleRun = 0;   ///< Keys that ran more than once.
  std::uint64_t falseNotRun = 0; ///< Told not run by attempts that started.
  std::uint64_t wrongAnswer = 0;
  std::uint64_t ran = 0;      ///< Keys that ran.
  std::uint64_t answered = 0; ///< Of those, whose last resend got the answer.
  std::uint64_t adopted = 0;
};

/// One schedule of bookings with keys at two entries that die and pause, with
/// two agents that restart and pause, and a platform that is out and loses
/// replies. Request machines, attempt tables, answer streams, claim shards and
/// the platform's core are the real ones. Thread safety: one thread.
class KeyedWorld
{
public:
  KeyedWorld(std::uint64_t aSeed, KeyedOptions aOptions);

  /// Runs the schedule to its end and counts. Pre: called once.
  KeyedCounts run();

private:
  using AnswerHandler = std::function<void(const coordination::ClaimResult&)>;

  struct Entry
  {
    std::uint64_t incarnation = 0;
    std::uint64_t attempts = 0;
    Instant pausedUntil{};
    std::shared_ptr<coordination::ClaimShard> shard;
    std::map<std::uint64_t, AnswerHandler> waiting; ///< By token.
  };
  struct Agent
  {
    std::uint64_t incarnation = 0;
    Instant pausedUntil{};
    std::unique_ptr<policy::AttemptTable> table;
    std::map<policy::AttemptId, std::shared_ptr<agent::AnswerStream>> streams;
    std::map<policy::AttemptId, std::uint64_t> readers;
    std::map<policy::AttemptId, std::string> keys;
  };
  struct Request
  {
    std::string key;
    std::size_t entry = 0;
    std::uint64_t entryRun = 0;
    std::uint64_t nonce = 0;
    Instant end{};
    std::unique_ptr<policy::RequestStateMachine> machine;
    coordination::ClaimedAttempt claimed;
    policy::ServerChosen routed;
    std::set<policy::AttemptId> own; ///< Attempts dispatched or adopted.
    std::string body;
    bool told = false;
    bool answered = false;
  };
  using RequestPtr = std::shared_ptr<Request>;

  // Time and faults.

  Duration delay();
  void injectFaults();
  void restartEntry(std::size_t aEntry);
  void restartAgent(std::size_t aAgent);
  void atEntry(const RequestPtr& aRequest, std::function<void()> aTask);
  void atAgent(std::size_t aAgent,
               std::uint64_t aRun,
               std::function<void(Agent&)> aTask);

  // The entry's part.

  void book(const std::string& aKey, std::size_t aEntry);
  void take(const RequestPtr& aRequest);
  void claimAnswered(const RequestPtr& aRequest,
                     const coordination::ClaimResult& aAnswer);
  void takeLater(const RequestPtr& aRequest);
  void takeOver(const RequestPtr& aRequest, const coordination::Claim& aClaim);
  bool holderGone(const RequestPtr& aRequest,
                  const coordination::Claim& aClaim);
  void begin(const RequestPtr& aRequest, const policy::RequestEvent& aFirst);
  void apply(const RequestPtr& aRequest, const policy::RequestEvent& aEvent);
  void choose(const RequestPtr& aRequest,
              const std::vector<policy::ServerId>& aExcluded);
  void send(const RequestPtr& aRequest, const policy::SendAttempt& aSend);
  void dispatch(const RequestPtr& aRequest, const policy::SendAttempt& aSend);
  void ask(const RequestPtr& aRequest, const policy::QueryAttempt& aAsk);
  void cancel(const RequestPtr& aRequest, const policy::CancelAttempt& aCancel);
  void ended(const RequestPtr& aRequest, Verdict aVerdict);
  coordination::ClaimedAttempt claimOf(std::size_t aAgent,
                                       policy::AttemptId aAttempt) const;

  // The platform's part.

  void submit(std::size_t aEntry,
              coordination::ClaimOperation aOperation,
              AnswerHandler aHandler);
  void run(std::size_t aEntry, std::vector<coordination::ClaimAction> aActions);
  void call(std::size_t aEntry,
            std::function<bool()> aEffect,
            std::function<void(coordination::ClaimShard&)> aReply,
            std::function<void(coordination::ClaimShard&)> aLost);

  // The agent's part.

  void start(std::size_t aAgent, policy::AttemptId aId);
  void flush(std::size_t aAgent, policy::AttemptId aId);

  EventQueue mQueue;
  KeyedOptions mOptions;
  policy::RetryBudget mBudget;
  standins::PlatformCore mPlatform;
  std::vector<Entry> mEntries;
  std::vector<Agent> mAgents;
  std::vector<RequestPtr> mRequests;
  std::map<std::pair<std::uint64_t, policy::AttemptId>, RequestPtr>
    mReading; ///< By reader's run and attempt.
  std::map<std::string, int> mRuns;
  std::set<policy::AttemptId> mStarted;
  std::set<policy::AttemptId> mToldNotRun;
  std::uint64_t mNext = 0;
  Instant mOutUntil{};
  KeyedCounts mCounts;
};

} // namespace laburnum::bench
