#pragma once

#include "laburnum/agent/answer_stream.hpp"
#include "laburnum/agent/group_maps.hpp"
#include "laburnum/agent/model_orders.hpp"
#include "laburnum/http/client.hpp"
#include "laburnum/node/node.hpp"
#include "laburnum/policy/attempt_table.hpp"
#include "laburnum/policy/quarantine.hpp"
#include "laburnum/policy/slot_scheduler.hpp"

#include <map>
#include <memory>
#include <unordered_map>

namespace laburnum::agent {

/// The daemon beside a backend server: the only way to it, and the authority
/// on what was run there. Thread safety: loop thread.
class Agent
{
public:
  explicit Agent(node::Node& aNode);

  /// Begins to take attempts. Pre: called once.
  void start();

private:
  using LinkPtr = std::shared_ptr<wire::Link>;

  struct Attempt
  {
    policy::AttemptId id;
    std::uint64_t reader = 0; ///< Entry that the answer goes to.
    wire::DispatchT order;
    std::unique_ptr<AnswerStream> stream;
    std::shared_ptr<http::Exchange> exchange;
    std::unique_ptr<asio::steady_timer> window; ///< Wakes a runner that waits.
    std::string text;      ///< Of a completion so far, to go on from.
    std::uint64_t run = 0; ///< Counts runs; a pause ends one.
    bool started = false;
    bool running = false;
    bool cancelled = false;
    Instant startedAt;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  // Messages of entries.

  void greeted(const LinkPtr& aLink);
  void lost(const LinkPtr& aLink);
  void received(const LinkPtr& aLink, wire::AnyMessage&& aMessage);
  void on(const LinkPtr& aLink, wire::DispatchT&& aOrder);
  void on(const LinkPtr& aLink, const wire::AskT& aAsk);
  void on(const wire::CancelT& aCancel);
  void on(const wire::AcknowledgeT& aMessage);
  void merge(const wire::SuspectsT& aNews);
  void reject(const LinkPtr& aLink,
              policy::AttemptId aId,
              Error aError,
              Duration aRetryAfter);

  // Running.

  void pump();
  void begin(const policy::WorkItem& aWork);
  void suspend(policy::AttemptId aId);
  static bool isOver(const Attempt& aAttempt, std::uint64_t aRun);
  asio::awaitable<void> run(AttemptPtr aAttempt, std::uint64_t aRun);
  asio::awaitable<Result<bool>> forward(AttemptPtr aAttempt,
                                        std::uint64_t aRun);
  asio::awaitable<Result<bool>> relayTokens(AttemptPtr aAttempt,
                                            std::uint64_t aRun);
  asio::awaitable<Result<bool>> relayBody(AttemptPtr aAttempt);
  asio::awaitable<void> waitForWindow(AttemptPtr aAttempt);
  Result<http::Request> requestFor(const Attempt& aAttempt) const;
  void ended(const AttemptPtr& aAttempt, policy::AttemptState aState);
  void crashed();
  void flush(Attempt& aAttempt);
  void tick();
  void answerBeat(const LinkPtr& aLink);
  void checkEntries();
  wire::LoadT load() const;

  node::Node& mNode;
  Loop& mLoop;
  const contract::Settings& mSettings;
  http::ClientPool mServer;
  policy::AttemptTable mTable;
  policy::SlotScheduler mScheduler;
  policy::Quarantine mQuarantine;
  ModelOrders mModels;
  GroupMaps mGroup;
  std::unordered_map<policy::AttemptId, AttemptPtr> mAttempts;
  std::map<std::uint64_t, LinkPtr> mEntries; ///< Latest link by incarnation.
  std::uint64_t mBeats = 0;
  Instant mCrashedAt{};
  std::uint64_t mCrashCount = 0; ///< Of the backend server.
  bool mDrainTold = false;
};

} // namespace laburnum::agent
