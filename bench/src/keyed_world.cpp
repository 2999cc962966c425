#include "laburnum/bench/keyed_world.hpp"

#include "laburnum/coordination/keyed_claim.hpp"

#include <algorithm>

namespace laburnum::bench {
namespace {

constexpr std::size_t kEntries = 2;
constexpr std::size_t kAgents = 2;
constexpr std::size_t kKeys = 2;
constexpr std::uint64_t kRequestHash = 7;
constexpr Duration kPatience = seconds(10);
constexpr double kRefusals = 0.1;
constexpr Duration kPoll = milliseconds(200);
constexpr Duration kDeadline = seconds(8);

/// Time after which an entry notices that an agent's run has ended.
constexpr Duration kGoneAfter = seconds(3);

/// The last resend of each key, after all faults.
constexpr Duration kLastResend = seconds(40);

std::string
answerTo(const std::string& aKey)
{
  return "booked " + aKey;
}

} // namespace

KeyedWorld::KeyedWorld(std::uint64_t aSeed, KeyedOptions aOptions)
  : mQueue(aSeed)
  , mOptions(aOptions)
  , mBudget(1, 10)
  , mEntries(kEntries)
  , mAgents(kAgents)
{
  for (std::size_t i = 0; i < kEntries; ++i) {
    restartEntry(i);
  }
  for (std::size_t i = 0; i < kAgents; ++i) {
    restartAgent(i);
  }
}

Duration
KeyedWorld::delay()
{
  Random& random = mQueue.random();
  if (random.chance(0.05)) {
    return milliseconds(random.below(4000));
  }
  return microseconds(100 + random.below(20000));
}

void
KeyedWorld::restartEntry(std::size_t aEntry)
{
  mEntries[aEntry] = { .incarnation = ++mNext,
                       .shard = std::make_shared<coordination::ClaimShard>() };
}

void
KeyedWorld::restartAgent(std::size_t aAgent)
{
  Agent& agent = mAgents[aAgent];
  agent = Agent();
  agent.incarnation = ++mNext;
  agent.table = std::make_unique<policy::AttemptTable>(mOptions.table);
  for (const RequestPtr& request : mRequests) {
    atEntry(request, [this, request, aAgent] {
      if (request->machine && request->machine->current() &&
          request->machine->current()->server == aAgent) {
        apply(request, policy::AgentLost{ aAgent });
      }
    });
  }
}

void
KeyedWorld::injectFaults()
{
  Random& random = mQueue.random();
  const std::size_t faults = 1 + random.below(5);
  for (std::size_t i = 0; i < faults; ++i) {
    const std::uint64_t kind = random.below(5);
    const std::size_t which = random.below(2);
    const Duration span = milliseconds(random.below(6000));
    mQueue.after(milliseconds(random.below(6000)), [this, kind, which, span] {
      if (kind == 0) {
        restartEntry(which);
      } else if (kind == 1) {
        mEntries[which].pausedUntil = mQueue.now() + span;
      } else if (kind == 2) {
        restartAgent(which);
      } else if (kind == 3) {
        mAgents[which].pausedUntil = mQueue.now() + span;
      } else {
        mOutUntil = mQueue.now() + span;
      }
    });
  }
}

/// Runs a task in the request's entry, later if that is paused, and never in
/// another run of it.
void
KeyedWorld::atEntry(const RequestPtr& aRequest, std::function<void()> aTask)
{
  const Instant now = mQueue.now();
  const Duration wait =
    std::max(delay(), mEntries[aRequest->entry].pausedUntil - now);
  mQueue.after(wait, [this, aRequest, aTask = std::move(aTask)]() mutable {
    const Entry& entry = mEntries[aRequest->entry];
    if (entry.incarnation != aRequest->entryRun) {
      return;
    }
    if (entry.pausedUntil > mQueue.now()) {
      atEntry(aRequest, std::move(aTask));
      return;
    }
    aTask();
  });
}

void
KeyedWorld::atAgent(std::size_t aAgent,
                    std::uint64_t aRun,
                    std::function<void(Agent&)> aTask)
{
  const Duration wait =
    std::max(delay(), mAgents[aAgent].pausedUntil - mQueue.now());
  mQueue.after(wait, [this, aAgent, aRun, aTask = std::move(aTask)]() mutable {
    Agent& agent = mAgents[aAgent];
    if (agent.incarnation != aRun) {
      return;
    }
    if (agent.pausedUntil > mQueue.now()) {
      atAgent(aAgent, aRun, std::move(aTask));
      return;
    }
    aTask(agent);
  });
}

// The entry's part.

void
KeyedWorld::book(const std::string& aKey, std::size_t aEntry)
{
  auto request = std::make_shared<Request>();
  request->key = aKey;
  request->entry = aEntry;
  request->entryRun = mEntries[aEntry].incarnation;
  request->nonce = ++mNext;
  request->end = mQueue.now() + kPatience;
  mRequests.push_back(request);
  atEntry(request, [this, request] { take(request); });
}

coordination::ClaimedAttempt
KeyedWorld::claimOf(std::size_t aAgent, policy::AttemptId aAttempt) const
{
  return { .agent = std::to_string(aAgent),
           .agentIncarnation = mAgents[aAgent].incarnation,
           .entryIncarnation = aAttempt.entry,
           .number = aAttempt.number };
}

void
KeyedWorld::take(const RequestPtr& aRequest)
{
  Entry& entry = mEntries[aRequest->entry];
  const std::size_t agent = mQueue.random().below(kAgents);
  aRequest->routed = { .server = agent,
                       .attempt = { .entry = entry.incarnation,
                                    .number = ++entry.attempts } };
  aRequest->claimed = claimOf(agent, aRequest->routed.attempt);
  submit(aRequest->entry,
         coordination::AcquireClaim{ .key = aRequest->key,
                                     .nonce = aRequest->nonce,
                                     .requestHash = kRequestHash,
                                     .holder = aRequest->entryRun,
                                     .attempt = aRequest->claimed },
         [this, aRequest](const coordination::ClaimResult& aAnswer) {
           atEntry(aRequest, [this, aRequest, aAnswer] {
             claimAnswered(aRequest, aAnswer);
           });
         });
}

bool
KeyedWorld::holderGone(const RequestPtr& aRequest,
                       const coordination::Claim& aClaim)
{
  if (!mOptions.adopts || aClaim.holder == aRequest->entryRun) {
    return false;
  }
  const bool lives =
    std::any_of(mEntries.begin(), mEntries.end(), [&](const Entry& aEntry) {
      return aEntry.incarnation == aClaim.holder;
    });
  return !lives || mQueue.random().chance(mOptions.wrongSuspicion);
}

void
KeyedWorld::claimAnswered(const RequestPtr& aRequest,
                          const coordination::ClaimResult& aAnswer)
{
  const bool gone = aAnswer.status == coordination::ClaimStatus::Held &&
                    holderGone(aRequest, aAnswer.claim);
  switch (coordination::nextIdempotencyStep(aAnswer, kRequestHash, gone)) {
    case coordination::IdempotencyStep::Run:
      begin(aRequest, policy::StartRequest{});
      return;
    case coordination::IdempotencyStep::Reject:
      submit(aRequest->entry,
             coordination::ReleaseClaim{ .key = aRequest->key,
                                         .nonce = aRequest->nonce },
             [](const coordination::ClaimResult&) {});
      ended(aRequest, Verdict::NotRun);
      return;
    case coordination::IdempotencyStep::TakeOver:
      takeOver(aRequest, aAnswer.claim);
      return;
    case coordination::IdempotencyStep::Answer:
      aRequest->told = true;
      aRequest->answered = aAnswer.claim.outcome->bodyComplete;
      mCounts.wrongAnswer +=
        aRequest->answered &&
            aAnswer.claim.outcome->body != answerTo(aRequest->key)
          ? 1
          : 0;
      return;
    case coordination::IdempotencyStep::Wait:
      break;
  }
  takeLater(aRequest);
}

void
KeyedWorld::takeLater(const RequestPtr& aRequest)
{
  if (mQueue.now() >= aRequest->end) {
    aRequest->told = true;
    return;
  }
  mQueue.after(kPoll, [this, aRequest] {
    atEntry(aRequest, [this, aRequest] {
      mEntries[aRequest->entry].shard->invalidate();
      take(aRequest);
    });
  });
}

void
KeyedWorld::takeOver(const RequestPtr& aRequest,
                     const coordination::Claim& aClaim)
{
  submit(aRequest->entry,
         coordination::TakeOverClaim{ .key = aRequest->key,
                                      .nonce = aRequest->nonce,
                                      .previousNonce = aClaim.nonce,
                                      .holder = aRequest->entryRun,
                                      .attempt = aClaim.attempt },
         [this, aRequest, aClaim](const coordination::ClaimResult& aAnswer) {
           atEntry(aRequest, [this, aRequest, aClaim, aAnswer] {
             if (aAnswer.status == coordination::ClaimStatus::Held) {
               takeLater(aRequest);
               return;
             }
             if (aAnswer.status == coordination::ClaimStatus::Unavailable) {
               aRequest->told = true;
               return;
             }
             ++mCounts.adopted;
             if (!mOptions.asks) {
               begin(aRequest, policy::StartRequest{});
               return;
             }
             aRequest->claimed = aClaim.attempt;
             const auto agent =
               static_cast<std::size_t>(std::stoul(aClaim.attempt.agent));
             const policy::AttemptId attempt{ .entry =
                                                aClaim.attempt.entryIncarnation,
                                              .number = aClaim.attempt.number };
             aRequest->own.insert(attempt);
             begin(aRequest,
                   policy::AdoptAttempt{ .server = agent, .attempt = attempt });
             if (mAgents[agent].incarnation !=
                 aClaim.attempt.agentIncarnation) {
               apply(aRequest, policy::AgentLost{ agent });
             }
           });
         });
}

void
KeyedWorld::begin(const RequestPtr& aRequest,
                  const policy::RequestEvent& aFirst)
{
  aRequest->machine = std::make_unique<policy::RequestStateMachine>(
    policy::RequestTraits{}, mOptions.request, mBudget);
  for (const Duration late : { milliseconds(0), milliseconds(300) }) {
    mQueue.after(kDeadline + late, [this, aRequest] {
      atEntry(aRequest,
              [this, aRequest] { apply(aRequest, policy::DeadlineReached{}); });
    });
  }
  apply(aRequest, aFirst);
}

void
KeyedWorld::apply(const RequestPtr& aRequest,
                  const policy::RequestEvent& aEvent)
{
  struct Visitor
  {
    KeyedWorld& world;
    const RequestPtr& request;

    void operator()(const policy::ChooseServer& aChoose) const
    {
      world.choose(request, aChoose.excluded);
    }
    void operator()(const policy::SendAttempt& aSend) const
    {
      world.send(request, aSend);
    }
    void operator()(const policy::QueryAttempt& aAsk) const
    {
      world.ask(request, aAsk);
    }
    void operator()(const policy::CancelAttempt& aCancel) const
    {
      world.cancel(request, aCancel);
    }
    void operator()(const policy::Deliver& aDeliver) const
    {
      request->body += aDeliver.payload;
    }
    void operator()(const policy::Complete&) const
    {
      request->answered = true;
      world.ended(request, Verdict::Ran);
    }
    void operator()(const policy::Fail& aFail) const
    {
      world.ended(request, aFail.failure.verdict);
    }
  };
  for (const auto& action : aRequest->machine->handle(aEvent)) {
    std::visit(Visitor{ *this, aRequest }, action);
  }
}

void
KeyedWorld::choose(const RequestPtr& aRequest,
                   const std::vector<policy::ServerId>& aExcluded)
{
  if (aExcluded.empty() && aRequest->routed.server) {
    const policy::ServerChosen routed = aRequest->routed;
    aRequest->routed.server.reset();
    apply(aRequest, routed);
    return;
  }
  Entry& entry = mEntries[aRequest->entry];
  policy::ServerChosen routed{ .attempt = { .entry = entry.incarnation,
                                            .number = ++entry.attempts } };
  for (policy::ServerId agent = 0; agent < kAgents; ++agent) {
    if (std::find(aExcluded.begin(), aExcluded.end(), agent) ==
        aExcluded.end()) {
      routed.server = agent;
    }
  }
  apply(aRequest, routed);
}

void
KeyedWorld::send(const RequestPtr& aRequest, const policy::SendAttempt& aSend)
{
  const coordination::ClaimedAttempt next =
    claimOf(aSend.server, aSend.attempt);
  if (aRequest->claimed == next || !mOptions.namesAttempts) {
    dispatch(aRequest, aSend);
    return;
  }
  submit(
    aRequest->entry,
    coordination::SetClaimAttempt{
      .key = aRequest->key, .nonce = aRequest->nonce, .attempt = next },
    [this, aRequest, aSend, next](const coordination::ClaimResult& aAnswer) {
      atEntry(aRequest, [this, aRequest, aSend, next, aAnswer] {
        const auto& current = aRequest->machine->current();
        if (!current || current->attempt != aSend.attempt) {
          return;
        }
        if (aAnswer.status == coordination::ClaimStatus::Granted &&
            claimOf(aSend.server, aSend.attempt) == next) {
          aRequest->claimed = next;
          dispatch(aRequest, aSend);
          return;
        }
        apply(aRequest,
              policy::AttemptRejected{ .attempt = aSend.attempt,
                                       .verdict = Verdict::NotRun,
                                       .error = Error::ClaimUnavailable });
      });
    });
}

void
KeyedWorld::dispatch(const RequestPtr& aRequest,
                     const policy::SendAttempt& aSend)
{
  const policy::AttemptId id = aSend.attempt;
  const std::size_t agent = aSend.server;
  aRequest->own.insert(id);
  mReading[{ aRequest->entryRun, id }] = aRequest;
  const std::uint64_t run = mOptions.namesAttempts
                              ? aRequest->claimed.agentIncarnation
                              : mAgents[agent].incarnation;
  if (run != mAgents[agent].incarnation) {
    atEntry(aRequest, [this, aRequest, agent] {
      apply(aRequest, policy::AgentLost{ agent });
    });
    return;
  }
  const std::string key = aRequest->key;
  const std::uint64_t reader = aRequest->entryRun;
  atAgent(
    agent, run, [this, agent, run, id, key, reader, aRequest](Agent& aAt) {
      // Now and then the agent refuses, as one that leaves does.
      const Error error = mQueue.random().chance(kRefusals)
                            ? Error::ServerLeaving
                            : aAt.table->enqueue(id, 1, mQueue.now());
      if (error == Error::Conflict) {
        return;
      }
      if (error != Error::None) {
        atEntry(aRequest, [this, aRequest, id, error] {
          apply(aRequest,
                policy::AttemptRejected{
                  .attempt = id, .verdict = Verdict::NotRun, .error = error });
        });
        return;
      }
      aAt.keys[id] = key;
      aAt.readers[id] = reader;
      aAt.streams[id] = std::make_shared<agent::AnswerStream>(
        wire::Attempt(id.entry, id.number), 0, 1 << 20);
      mQueue.after(
        milliseconds(mQueue.random().below(1500)), [this, agent, run, id] {
          atAgent(agent, run, [this, agent, id](Agent&) { start(agent, id); });
        });
    });
}

void
KeyedWorld::ask(const RequestPtr& aRequest, const policy::QueryAttempt& aAsk)
{
  const policy::AttemptId id = aAsk.attempt;
  const std::size_t agent = aAsk.server;
  const std::uint64_t reader = aRequest->entryRun;
  mReading[{ reader, id }] = aRequest;
  mQueue.after(kGoneAfter + seconds(4), [this, aRequest, agent, id] {
    atEntry(aRequest, [this, aRequest, agent, id] {
      const auto& current = aRequest->machine->current();
      if (current && current->attempt == id) {
        apply(aRequest, policy::AgentLost{ agent });
      }
    });
  });
  atAgent(
    agent,
    aRequest->claimed.agentIncarnation,
    [this, aRequest, agent, id, reader](Agent& aAt) {
      const auto state = id.entry == reader
                           ? aAt.table->queryState(id, 2, mQueue.now())
                           : aAt.table->queryStateForOther(id, mQueue.now());
      atEntry(aRequest, [this, aRequest, id, state] {
        apply(aRequest,
              policy::AttemptStateReceived{ .attempt = id, .state = state });
      });
      if (aAt.streams.contains(id)) {
        aAt.readers[id] = reader;
        aAt.streams[id]->rewind(0);
        flush(agent, id);
      }
    });
}

void
KeyedWorld::cancel(const RequestPtr& aRequest,
                   const policy::CancelAttempt& aCancel)
{
  const policy::AttemptId id = aCancel.attempt;
  atAgent(
    aCancel.server, aRequest->claimed.agentIncarnation, [this, id](Agent& aAt) {
      if (aAt.table->state(id) == policy::AttemptState::Queued) {
        aAt.table->end(id, policy::AttemptState::Revoked, mQueue.now());
      }
    });
}

void
KeyedWorld::ended(const RequestPtr& aRequest, Verdict aVerdict)
{
  aRequest->told = true;
  mCounts.wrongAnswer +=
    aRequest->answered && aRequest->body != answerTo(aRequest->key) ? 1 : 0;
  if (aVerdict == Verdict::NotRun) {
    mToldNotRun.insert(aRequest->own.begin(), aRequest->own.end());
  }
  if (!aRequest->machine) {
    return;
  }
  const auto ignore = [](const coordination::ClaimResult&) {};
  if (aVerdict == Verdict::NotRun) {
    submit(aRequest->entry,
           coordination::ReleaseClaim{ .key = aRequest->key,
                                       .nonce = aRequest->nonce },
           ignore);
    return;
  }
  submit(aRequest->entry,
         coordination::RecordOutcome{
           .key = aRequest->key,
           .nonce = aRequest->nonce,
           .outcome = { .status = 201,
                        .body = aRequest->body,
                        .verdict = aVerdict,
                        .bodyComplete = aRequest->answered } },
         ignore);
}

// The platform's part.

void
KeyedWorld::submit(std::size_t aEntry,
                   coordination::ClaimOperation aOperation,
                   AnswerHandler aHandler)
{
  Entry& entry = mEntries[aEntry];
  const std::uint64_t token = ++mNext;
  std::visit([token](auto& aOne) { aOne.token = token; }, aOperation);
  entry.waiting[token] = std::move(aHandler);
  run(aEntry, entry.shard->submit(std::move(aOperation), 1000));
}

/// One call: it may be refused, or take effect without a reply.
void
KeyedWorld::call(std::size_t aEntry,
                 std::function<bool()> aEffect,
                 std::function<void(coordination::ClaimShard&)> aReply,
                 std::function<void(coordination::ClaimShard&)> aLost)
{
  const std::uint64_t run = mEntries[aEntry].incarnation;
  const bool effect = mOutUntil <= mQueue.now() || mQueue.random().chance(0.2);
  const auto back = [this, aEntry, run, aReply, aLost](bool aGood) {
    mQueue.after(delay(), [this, aEntry, run, aReply, aLost, aGood] {
      // The shard object goes with its entry's run.
      if (mEntries[aEntry].incarnation == run) {
        const auto shard = mEntries[aEntry].shard;
        (aGood ? aReply : aLost)(*shard);
      }
    });
  };
  mQueue.after(delay(), [this, aEffect, back, effect] {
    const bool good = effect && aEffect();
    back(good && !mQueue.random().chance(0.05));
  });
}

void
KeyedWorld::run(std::size_t aEntry,
                std::vector<coordination::ClaimAction> aActions)
{
  for (const coordination::ClaimAction& action : aActions) {
    if (const auto* answer = std::get_if<coordination::ClaimResult>(&action)) {
      const auto found = mEntries[aEntry].waiting.find(answer->token);
      if (found != mEntries[aEntry].waiting.end()) {
        const AnswerHandler handler = std::move(found->second);
        mEntries[aEntry].waiting.erase(found);
        handler(*answer);
      }
    } else if (const auto* write =
                 std::get_if<coordination::WriteShard>(&action)) {
      const auto result =
        std::make_shared<standins::PlatformCore::WriteResult>();
      call(
        aEntry,
        [this, result, change = *write] {
          contract::Object object{ .kind = "claim", .name = "shard" };
          object.value = change.value;
          *result = mPlatform.write(std::move(object), change.expectedVersion);
          return true;
        },
        [this, aEntry, result](coordination::ClaimShard& aShard) {
          const auto& object = result->object;
          run(aEntry,
              result->written ? aShard.onWritten(object->version)
                              : aShard.onConflict(object ? object->version : 0,
                                                  object ? object->value : ""));
        },
        [this, aEntry](coordination::ClaimShard& aShard) {
          run(aEntry, aShard.onReplyLost());
        });
    } else {
      const auto read = std::make_shared<contract::Object>();
      call(
        aEntry,
        [this, read] {
          const contract::Object* object = mPlatform.read("claim", "shard");
          *read = object == nullptr ? contract::Object() : *object;
          return true;
        },
        [this, aEntry, read](coordination::ClaimShard& aShard) {
          run(aEntry, aShard.onRead(read->version, read->value));
        },
        [this, aEntry](coordination::ClaimShard& aShard) {
          run(aEntry, aShard.onReadFailed());
        });
    }
  }
}

// The agent's part.

void
KeyedWorld::start(std::size_t aAgent, policy::AttemptId aId)
{
  Agent& agent = mAgents[aAgent];
  if (!agent.table->start(aId)) {
    return;
  }
  mStarted.insert(aId);
  ++mRuns[agent.keys[aId]];
  const std::uint64_t run = agent.incarnation;
  mQueue.after(
    milliseconds(1 + mQueue.random().below(2000)), [this, aAgent, run, aId] {
      atAgent(aAgent, run, [this, aAgent, aId](Agent& aAt) {
        wire::PartT part;
        const std::string text = answerTo(aAt.keys[aId]);
        part.payload.assign(text.begin(), text.end());
        aAt.streams[aId]->add(std::move(part));
        aAt.streams[aId]->finish("stop");
        aAt.table->end(aId, policy::AttemptState::Finished, mQueue.now());
        flush(aAgent, aId);
      });
    });
}

void
KeyedWorld::flush(std::size_t aAgent, policy::AttemptId aId)
{
  Agent& agent = mAgents[aAgent];
  const auto found = mReading.find({ agent.readers[aId], aId });
  if (found == mReading.end()) {
    return;
  }
  const RequestPtr request = found->second;
  agent.streams[aId]->sendNew([&](const wire::AnyMessage& aMessage) {
    policy::RequestEvent event;
    if (const auto* part = std::get_if<wire::PartT>(&aMessage)) {
      event =
        policy::PartArrived{ .attempt = aId,
                             .sequence = part->sequence,
                             .payload = std::string(part->payload.begin(),
                                                    part->payload.end()) };
    } else {
      event = policy::AttemptFinished{
        .attempt = aId, .parts = std::get<wire::FinishedT>(aMessage).parts
      };
    }
    atEntry(request, [this, request, event] { apply(request, event); });
  });
}

KeyedCounts
KeyedWorld::run()
{
  Random& random = mQueue.random();
  injectFaults();
  std::vector<std::string> keys;
  for (std::size_t i = 0; i < kKeys; ++i) {
    const std::string key = "key-" + std::to_string(i);
    keys.push_back(key);
    const std::size_t sends = 1 + random.below(3);
    for (std::size_t send = 0; send < sends; ++send) {
      const std::size_t entry = random.below(kEntries);
      mQueue.after(milliseconds(random.below(6000)),
                   [this, key, entry] { book(key, entry); });
    }
  }
  mQueue.runUntil(mQueue.now() + kLastResend);
  const std::size_t before = mRequests.size();
  std::map<std::string, int> ranBefore = mRuns;
  for (const std::string& key : keys) {
    book(key, random.below(kEntries));
  }
  mQueue.runAll(200000);
  // Also what starts only after the caller was told is a broken promise.
  for (const policy::AttemptId& id : mToldNotRun) {
    mCounts.falseNotRun += mStarted.contains(id) ? 1 : 0;
  }
  for (std::size_t i = 0; i < keys.size(); ++i) {
    mCounts.doubleRun += mRuns[keys[i]] > 1 ? 1 : 0;
    if (ranBefore[keys[i]] > 0) {
      ++mCounts.ran;
      mCounts.answered += mRequests[before + i]->answered ? 1 : 0;
    }
  }
  return mCounts;
}

} // namespace laburnum::bench
