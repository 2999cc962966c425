#include "laburnum/agent/agent.hpp"

#include "laburnum/kernel/hash.hpp"
#include "laburnum/wire/suspicion.hpp"

#include <boost/json/object.hpp>

namespace laburnum::agent {
namespace {

constexpr Duration kTickPeriod = milliseconds(50);

/// Silence of an entry after which its connection is dropped; entries send a
/// heartbeat every 5 s at least.
constexpr Duration kEntrySilence = seconds(15);

policy::AttemptId
idOf(const wire::Attempt& aAttempt)
{
  return { .entry = aAttempt.entry(), .number = aAttempt.number() };
}

std::unique_ptr<wire::Attempt>
toWire(policy::AttemptId aId)
{
  return std::make_unique<wire::Attempt>(aId.entry, aId.number);
}

} // namespace

Agent::Agent(node::Node& aNode)
  : mNode(aNode)
  , mLoop(aNode.loop())
  , mSettings(aNode.settings())
  , mServer(aNode.loop(), aNode.settings().server.address)
  , mTable({ .capacity = aNode.settings().limits.attempts })
  , mScheduler({ .slots = aNode.settings().server.slots,
                 .maxWaiting = aNode.settings().limits.queue })
  , mModels(aNode, mServer, [this] { return mScheduler.inProgress(); })
  , mGroup(aNode, mServer)
{
}

void
Agent::start()
{
  node::RoleHooks hooks;
  hooks.inProgress = [this] { return mScheduler.inProgress(); };
  hooks.configured = [this](const contract::Object& aObject) {
    if (aObject.kind == "policy") {
      const contract::PolicyRule& rule = mNode.store().policy();
      mQuarantine.setRefusalDuration(rule.quarantine);
      if (!mScheduler.reconfigure(rule.queue, rule.admission)) {
        log(
          LogLevel::Error, "unknown_queue_policy", { { "queue", rule.queue } });
      }
    }
  };
  hooks.overlayMessage = [this](const std::string& aFrom,
                                wire::AnyMessage&& aMessage) {
    if (const auto* order = std::get_if<wire::OrderT>(&aMessage)) {
      mModels.received(aFrom, *order);
    } else if (const auto* note = std::get_if<wire::RankMessageT>(&aMessage)) {
      mGroup.received(aFrom, *note);
    } else if (const auto* prepare =
                 std::get_if<wire::PrepareMapT>(&aMessage)) {
      mGroup.received(aFrom, *prepare);
    }
    if (const auto* suspects = std::get_if<wire::SuspectsT>(&aMessage)) {
      merge(*suspects);
    }
  };
  hooks.requests = {
    .ready = [this](const LinkPtr& aLink) { greeted(aLink); },
    .message =
      [this](const LinkPtr& aLink, wire::AnyMessage&& aMessage) {
        received(aLink, std::move(aMessage));
      },
    .closed = [this](const LinkPtr& aLink, const Failure&) { lost(aLink); },
  };
  hooks.status = [this] {
    return boost::json::object{ { "running", mScheduler.running() },
                                { "waiting", mScheduler.waiting() },
                                { "attempts", mTable.size() },
                                { "tokens_s", mScheduler.tokensPerSecond() },
                                { "group", mGroup.status() } };
  };
  mNode.metrics().gauge("laburnum_running", [this] {
    return static_cast<double>(mScheduler.running());
  });
  mNode.metrics().gauge("laburnum_waiting", [this] {
    return static_cast<double>(mScheduler.waiting());
  });
  mNode.metrics().gauge("laburnum_attempts",
                        [this] { return static_cast<double>(mTable.size()); });
  mNode.start(std::move(hooks));
  mModels.start();
  mGroup.start();
  mLoop.every(kTickPeriod, [this] { tick(); });
}

void
Agent::greeted(const LinkPtr& aLink)
{
  const wire::HelloT& hello = aLink->peer();
  mTable.updateFence(hello.incarnation, hello.fence);
  LinkPtr& latest = mEntries[hello.incarnation];
  if (!latest || latest->isClosed() || latest->peer().ordinal < hello.ordinal) {
    latest = aLink;
  }
  answerBeat(aLink);
}

void
Agent::lost(const LinkPtr& aLink)
{
  if (!aLink) {
    return;
  }
  const auto found = mEntries.find(aLink->peer().incarnation);
  if (found != mEntries.end() && found->second == aLink) {
    mEntries.erase(found);
  }
}

void
Agent::received(const LinkPtr& aLink, wire::AnyMessage&& aMessage)
{
  const wire::HelloT& hello = aLink->peer();
  if (mTable.isFenced(hello.incarnation, hello.ordinal)) {
    aLink->close(Error::ServerLost,
                 "a newer connection of the entry fenced this one");
    return;
  }
  if (std::holds_alternative<wire::HeartbeatT>(aMessage)) {
    answerBeat(aLink);
  } else if (auto* order = std::get_if<wire::DispatchT>(&aMessage)) {
    on(aLink, std::move(*order));
  } else if (const auto* ask = std::get_if<wire::AskT>(&aMessage)) {
    on(aLink, *ask);
  } else if (const auto* cancel = std::get_if<wire::CancelT>(&aMessage)) {
    on(*cancel);
  } else if (const auto* acknowledged =
               std::get_if<wire::AcknowledgeT>(&aMessage)) {
    on(*acknowledged);
  } else if (const auto* suspects = std::get_if<wire::SuspectsT>(&aMessage)) {
    merge(*suspects);
  }
}

void
Agent::merge(const wire::SuspectsT& aNews)
{
  const auto news = wire::mergeSuspicions(mQuarantine, aNews, mLoop.now());
  if (!news.empty()) {
    mNode.sendToNeighbours(wire::encodeSuspicions(news));
  }
}

void
Agent::reject(const LinkPtr& aLink,
              policy::AttemptId aId,
              Error aError,
              Duration aRetryAfter)
{
  wire::RejectedT message;
  message.attempt = toWire(aId);
  message.verdict = static_cast<std::uint8_t>(Verdict::NotRun);
  message.error = static_cast<std::uint16_t>(aError);
  message.retry_after_us = aRetryAfter.count();
  message.load = std::make_unique<wire::LoadT>(load());
  aLink->send(message);
  ++mNode.metrics().counter("laburnum_refused_total");
}

void
Agent::on(const LinkPtr& aLink, wire::DispatchT&& aOrder)
{
  const Instant now = mLoop.now();
  const policy::AttemptId id = idOf(*aOrder.attempt);
  policy::WorkItem work{ .id = id,
                         .account = aOrder.account,
                         .weight = std::max(0.001, aOrder.weight),
                         .priority = aOrder.priority,
                         .cost = std::max(1.0, aOrder.cost),
                         .resumable = aOrder.engine };
  if (aOrder.suspect) {
    // The entry may know of a crash before the news of it comes here.
    const policy::SuspicionRecord suspect{
      .fingerprint = aOrder.fingerprint,
      .crashes = 1,
      .remaining = mNode.store().policy().quarantine
    };
    mQuarantine.merge({ &suspect, 1 }, now);
  }
  const auto suspicion = mQuarantine.suspicion(aOrder.fingerprint, now);
  work.suspect = aOrder.suspect || suspicion == policy::Suspicion::Suspect;
  Error error = mNode.drain().state() <= node::DrainState::Running
                  ? Error::None
                  : Error::ServerLeaving;
  if (error == Error::None && !mModels.offers(aOrder.target)) {
    error = Error::ServerLeaving;
  }
  Duration retryAfter{ 0 };
  if (error == Error::None && suspicion == policy::Suspicion::Refused) {
    error = Error::Quarantined;
  }
  if (error == Error::None) {
    error = mTable.enqueue(id, aLink->peer().ordinal, now);
  }
  if (error == Error::Conflict) {
    return;
  }
  if (error == Error::None) {
    const auto answer =
      mScheduler.submit(work, Duration(aOrder.deadline_us), now);
    error = answer.error;
    retryAfter = answer.retryAfter;
    if (error != Error::None) {
      mTable.end(id, policy::AttemptState::Revoked, now);
    }
  }
  if (error != Error::None) {
    reject(aLink, id, error, retryAfter);
    return;
  }
  auto attempt = std::make_shared<Attempt>();
  attempt->id = id;
  attempt->reader = id.entry;
  attempt->stream = std::make_unique<AnswerStream>(
    *aOrder.attempt, aOrder.first_part, mSettings.limits.streamBytes);
  attempt->window = std::make_unique<asio::steady_timer>(
    mLoop.context(), asio::steady_timer::time_point::max());
  attempt->text = aOrder.prior_text;
  attempt->order = std::move(aOrder);
  attempt->order.suspect = work.suspect;
  mAttempts[id] = std::move(attempt);
  pump();
}

void
Agent::on(const LinkPtr& aLink, const wire::AskT& aAsk)
{
  const policy::AttemptId id = idOf(*aAsk.attempt);
  const wire::HelloT& hello = aLink->peer();
  const bool isOwn = hello.incarnation == id.entry;
  const policy::AttemptState state =
    isOwn ? mTable.queryState(id, hello.ordinal, mLoop.now())
          : mTable.queryStateForOther(id, mLoop.now());
  if (state == policy::AttemptState::Revoked) {
    const bool queued = mScheduler.removeWaiting(id);
    const auto owner = mEntries.find(id.entry);
    if (queued && !isOwn && owner != mEntries.end()) {
      reject(owner->second, id, Error::AttemptRevoked, Duration(0));
    }
    mAttempts.erase(id);
  }
  wire::AskReplyT reply;
  reply.attempt = toWire(id);
  reply.state = static_cast<std::uint8_t>(state);
  const auto found = mAttempts.find(id);
  const bool held = found != mAttempts.end() &&
                    found->second->stream->holdsFrom(aAsk.next_part);
  if (!held && state != policy::AttemptState::Revoked) {
    // The answer was acknowledged and dropped, or was never kept.
    reply.state = static_cast<std::uint8_t>(policy::AttemptState::Failed);
  }
  aLink->send(reply);
  if (held) {
    // Whoever asks last gets the answer.
    found->second->reader = hello.incarnation;
    found->second->stream->rewind(aAsk.next_part);
    flush(*found->second);
  }
}

void
Agent::on(const wire::CancelT& aCancel)
{
  const policy::AttemptId id = idOf(*aCancel.attempt);
  const auto found = mAttempts.find(id);
  if (found == mAttempts.end()) {
    return;
  }
  const AttemptPtr attempt = found->second;
  attempt->cancelled = true;
  if (attempt->running) {
    if (attempt->exchange) {
      attempt->exchange->abort();
    }
    attempt->window->cancel();
    return;
  }
  if (mScheduler.removeWaiting(id)) {
    // One that was paused has run in part.
    mTable.end(id,
               attempt->started ? policy::AttemptState::Failed
                                : policy::AttemptState::Revoked,
               mLoop.now());
  }
  mAttempts.erase(id);
}

void
Agent::on(const wire::AcknowledgeT& aMessage)
{
  const auto found = mAttempts.find(idOf(*aMessage.attempt));
  if (found == mAttempts.end()) {
    return;
  }
  Attempt& attempt = *found->second;
  attempt.stream->acknowledge(aMessage.next_part);
  attempt.window->cancel();
  if (!attempt.running && attempt.stream->isSettled()) {
    mTable.markAcknowledged(found->first, mLoop.now());
    mAttempts.erase(found);
  }
}

void
Agent::flush(Attempt& aAttempt)
{
  const auto found = mEntries.find(aAttempt.reader);
  if (found == mEntries.end()) {
    return;
  }
  aAttempt.stream->sendNew([&](wire::AnyMessage aMessage) {
    if (auto* finished = std::get_if<wire::FinishedT>(&aMessage)) {
      finished->load = std::make_unique<wire::LoadT>(load());
    }
    found->second->send(aMessage);
  });
}

void
Agent::tick()
{
  const Instant now = mLoop.now();
  for (const policy::WorkItem& work : mScheduler.takeExpired(now)) {
    mTable.end(work.id, policy::AttemptState::Revoked, now);
    const auto attempt = mAttempts.find(work.id);
    const auto entry = mEntries.find(
      attempt == mAttempts.end() ? work.id.entry : attempt->second->reader);
    if (entry != mEntries.end()) {
      // Work that ran in part never expires, so this one has not run.
      reject(entry->second, work.id, Error::DeadlineUnreachable, seconds(1));
    }
    mAttempts.erase(work.id);
  }
  mTable.expire(now);
  checkEntries();
  // Answers that nobody asks for any more go with their rows.
  std::erase_if(mAttempts, [&](const auto& aEntry) {
    return mTable.state(aEntry.first) == policy::AttemptState::Unknown;
  });
  pump();
}

void
Agent::answerBeat(const LinkPtr& aLink)
{
  wire::HeartbeatT message;
  message.sequence = ++mBeats;
  message.load = std::make_unique<wire::LoadT>(load());
  aLink->send(message);
}

void
Agent::checkEntries()
{
  const bool drains = !mNode.drain().isReady();
  const bool news = drains != mDrainTold;
  mDrainTold = drains;
  std::vector<LinkPtr> silent;
  for (const auto& [entry, link] : mEntries) {
    if (mLoop.now() - link->lastReceived() > kEntrySilence) {
      silent.push_back(link);
    } else if (news) {
      answerBeat(link);
    }
  }
  for (const LinkPtr& link : silent) {
    link->close(Error::ServerLost, "silent");
  }
}

wire::LoadT
Agent::load() const
{
  wire::LoadT load;
  const policy::SchedulerLoad present = mScheduler.load();
  load.running = static_cast<std::uint32_t>(present.running);
  load.waiting = static_cast<std::uint32_t>(present.waiting);
  load.slots = static_cast<std::uint32_t>(mSettings.server.slots);
  load.waiting_cost = present.cost;
  load.tokens_s = present.tokensPerSecond;
  load.pausable = static_cast<std::uint32_t>(present.pausable);
  load.draining = !mNode.drain().isReady();
  return load;
}

void
Agent::crashed()
{
  const Instant now = mLoop.now();
  std::vector<policy::RequestContent> inProgress;
  for (const auto& [id, attempt] : mAttempts) {
    if (attempt->running) {
      inProgress.push_back({ .fingerprint = attempt->order.fingerprint });
    }
  }
  mCrashedAt = now;
  const auto changed = mQuarantine.recordCrash(
    mix(mNode.identity().incarnation, ++mCrashCount), inProgress, now);
  log(LogLevel::Warn,
      "backend_server_crashed",
      { { "in_progress", inProgress.size() } });
  const wire::SuspectsT news = wire::encodeSuspicions(changed);
  mNode.sendToNeighbours(news);
  for (const auto& [entry, link] : mEntries) {
    link->send(news);
  }
}

} // namespace laburnum::agent
