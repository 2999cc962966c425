#include "laburnum/bench/desk_world.hpp"

#include "laburnum/kernel/hash.hpp"

#include <algorithm>

namespace laburnum::bench {
namespace {

constexpr double kTokensPerBlock = 16;
constexpr double kPrefillShare = 0.1;

/// One gap between tokens in so many is kept.
constexpr std::uint32_t kGapSample = 7;

policy::AttemptId
idOf(std::size_t aJob)
{
  return { .entry = 1, .number = aJob };
}

} // namespace

double
capacityOf(const DeskOptions& aOptions)
{
  const auto& engine = aOptions.engine;
  const double step = toSeconds(engine.stepBase) +
                      engine.slots * toSeconds(engine.stepPerSequence);
  return static_cast<double>(aOptions.servers) * engine.slots / step;
}

DeskOptions
baselineDesk()
{
  return { .routing = "least_outstanding",
           .queue = "fcfs",
           .admission = false,
           .easing = false };
}

DeskWorld::DeskWorld(std::uint64_t aSeed, DeskOptions aOptions)
  : mQueue(aSeed)
  , mOptions(std::move(aOptions))
  , mServers(mOptions.servers)
  , mEntries(mOptions.entries)
  , mStart(mQueue.now())
{
  const double stepSeconds =
    toSeconds(mOptions.engine.stepBase) +
    mOptions.engine.slots * toSeconds(mOptions.engine.stepPerSequence);
  const double pace = mOptions.engine.slots / stepSeconds;
  for (Server& server : mServers) {
    server.engine = standins::EngineCore(mOptions.engine);
    server.scheduler =
      std::make_unique<policy::SlotScheduler>(policy::SlotSchedulerOptions{
        .queue = mOptions.queue,
        .slots = mOptions.engine.slots,
        .maxWaiting = mOptions.admission ? 1000U : 1'000'000U,
        .initialTokensPerSecond = pace,
        .admission = mOptions.admission });
  }
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    Entry& entry = mEntries[i];
    entry.router = std::make_unique<policy::Router>(policy::RouterOptions{
      .policy = mOptions.routing, .seed = aSeed * 97 + i });
    entry.budgets = mOptions.unlimitedRetry ? policy::RetryBudgets(100, 1e9)
                                            : policy::RetryBudgets();
    for (std::size_t server = 0; server < mServers.size(); ++server) {
      entry.router->upsert({ .id = server,
                             .domain = "a",
                             .offers = { "m@1" },
                             .slots = mOptions.engine.slots,
                             .tokensPerSecond = pace });
    }
  }
  mTotals.serverTokens.resize(mServers.size());
}

bool
DeskWorld::inWindow() const
{
  const Duration at = mQueue.now() - mStart;
  return at >= mFrom && at < mTo;
}

void
DeskWorld::window(Duration aFrom, Duration aTo)
{
  mFrom = aFrom;
  mTo = aTo;
}

void
DeskWorld::killServers(Duration aAt, std::size_t aCount)
{
  mQueue.after(aAt, [this, aCount] {
    for (std::size_t i = 0; i < aCount; ++i) {
      crash(i, true);
    }
  });
}

void
DeskWorld::slowServer(Duration aAt, std::size_t aServer, double aFactor)
{
  mQueue.after(aAt, [this, aServer, aFactor] {
    mServers[aServer].engine.changeSlowdown(aFactor);
  });
}

policy::LengthQuery
DeskWorld::query(const Arrival& aArrival) const
{
  return { .account = aArrival.account,
           .endpoint = "m",
           .promptTokens = aArrival.promptTokens,
           .maxTokens = aArrival.maxTokens };
}

std::vector<Outcome>
DeskWorld::run(const std::vector<Arrival>& aTrace)
{
  mJobs.resize(aTrace.size());
  mOutcomes.resize(aTrace.size());
  Duration last{ 0 };
  for (std::size_t i = 0; i < aTrace.size(); ++i) {
    const Arrival& arrival = aTrace[i];
    mJobs[i] = { .arrival = &arrival,
                 .entry = mQueue.random().below(mEntries.size()) };
    const auto blocks =
      static_cast<std::uint64_t>(arrival.prefixTokens / kTokensPerBlock);
    for (std::uint64_t block = 0; block < blocks; ++block) {
      mJobs[i].prefix.push_back(mix(arrival.prefix, block));
    }
    mJobs[i].fingerprint =
      arrival.poison ? hash64("poison", arrival.prefix) : mix(i, 77);
    last = std::max(last, arrival.at);
    mQueue.after(arrival.at, [this, i] { arrive(i); });
  }
  const Instant end = mStart + last + seconds(600);
  mQueue.every(milliseconds(20), end, [this] { tick(); });
  mQueue.every(mOptions.reportPeriod, end, [this] { report(); });
  mQueue.runUntil(end);
  for (const Server& server : mServers) {
    mTotals.promptTokens += server.engine.promptTokens();
    mTotals.cachedTokens += server.engine.cachedTokens();
  }
  mTotals.imbalance /=
    static_cast<double>(std::max<std::uint64_t>(1, mSamples));
  return mOutcomes;
}

void
DeskWorld::arrive(std::size_t aJob)
{
  Job& job = mJobs[aJob];
  job.begun = mQueue.now();
  Entry& entry = mEntries[job.entry];
  entry.budgets.forAccount(job.arrival->account).recordFirstAttempt();
  ++mTotals.firstAttempts;
  if (entry.quarantine.suspicion(job.fingerprint, mQueue.now()) ==
      policy::Suspicion::Refused) {
    mOutcomes[aJob].quarantined = true;
    refuse(aJob);
    return;
  }
  job.predicted = entry.predictor.predict(query(*job.arrival)) +
                  kPrefillShare * job.arrival->promptTokens;
  route(aJob);
}

void
DeskWorld::route(std::size_t aJob)
{
  Job& job = mJobs[aJob];
  Entry& entry = mEntries[job.entry];
  std::span<const std::uint64_t> prefix;
  if (mOptions.prefixHints) {
    prefix = job.prefix;
  }
  const auto server = entry.router->choose({ .offer = "m",
                                             .domain = "a",
                                             .cost = job.predicted,
                                             .prefix = prefix,
                                             .excluded = job.excluded,
                                             .now = mQueue.now() });
  if (!server) {
    refuse(aJob);
    return;
  }
  ++mTotals.attempts;
  ++mOutcomes[aJob].attempts;
  job.server = *server;
  entry.router->recordSent(*server, job.predicted, prefix);
  mQueue.after(microseconds(300),
               [this, aJob, server = *server] { reach(server, aJob); });
}

void
DeskWorld::reach(std::size_t aServer, std::size_t aJob)
{
  Job& job = mJobs[aJob];
  Server& server = mServers[aServer];
  Entry& entry = mEntries[job.entry];
  if (server.dead) {
    entry.router->markLive(aServer, false);
    retry(aJob);
    return;
  }
  const auto suspicion =
    entry.quarantine.suspicion(job.fingerprint, mQueue.now());
  const policy::WorkItem work{ .id = idOf(aJob),
                               .account = job.arrival->account,
                               .weight = job.arrival->weight,
                               .cost =
                                 std::max(1.0, job.predicted - job.produced),
                               .resumable = true,
                               .suspect =
                                 suspicion == policy::Suspicion::Suspect };
  const Duration left = job.arrival->deadline - (mQueue.now() - job.begun);
  const auto answer = server.scheduler->submit(work, left, mQueue.now());
  if (answer.error != Error::None) {
    entry.router->updateLoad(aServer, server.scheduler->load());
    mQueue.after(microseconds(300), [this, aJob] { retry(aJob); });
    return;
  }
  pump(aServer);
}

/// Tries another server as the running entry does, from a budget.
void
DeskWorld::retry(std::size_t aJob)
{
  Job& job = mJobs[aJob];
  Entry& entry = mEntries[job.entry];
  entry.router->recordEnd(job.server, false, mQueue.now());
  job.excluded.push_back(job.server);
  const bool refused =
    entry.quarantine.suspicion(job.fingerprint, mQueue.now()) ==
    policy::Suspicion::Refused;
  if (refused) {
    mOutcomes[aJob].quarantined = true;
  }
  const bool room = entry.router->hasFreeSlot({ .offer = "m",
                                                .domain = "a",
                                                .excluded = job.excluded,
                                                .now = mQueue.now() });
  if (refused || mOutcomes[aJob].attempts >= mOptions.maxAttempts ||
      !((room && mOutcomes[aJob].attempts == 1) ||
        entry.budgets.forAccount(job.arrival->account).tryTakeRetry())) {
    refuse(aJob);
    return;
  }
  route(aJob);
}

void
DeskWorld::refuse(std::size_t aJob)
{
  Job& job = mJobs[aJob];
  job.over = true;
  mOutcomes[aJob].refused = true;
  mOutcomes[aJob].refusedAfter = mQueue.now() - job.begun;
}

void
DeskWorld::pump(std::size_t aServer)
{
  Server& server = mServers[aServer];
  for (;;) {
    auto work = server.scheduler->next(mQueue.now());
    if (!work) {
      const auto paused = server.scheduler->pause(mQueue.now());
      if (!paused) {
        break;
      }
      server.engine.cancel(paused->number);
      server.running.erase(paused->number);
      continue;
    }
    const std::size_t index = work->id.number;
    Job& job = mJobs[index];
    if (job.arrival->poison) {
      server.running.insert(index);
      crash(aServer, false);
      return;
    }
    server.running.insert(index);
    server.engine.submit(
      { .id = index,
        .promptTokens = static_cast<double>(
          job.arrival->promptTokens + job.arrival->prefixTokens + job.produced),
        .outputTokens =
          static_cast<int>(job.arrival->outputTokens - job.produced),
        .prefix = job.prefix });
  }
  if (!server.stepping && !server.engine.idle()) {
    server.stepping = true;
    step(aServer);
  }
}

void
DeskWorld::step(std::size_t aServer)
{
  Server& server = mServers[aServer];
  auto result = server.engine.step();
  const std::uint64_t life = server.life;
  tellCache(aServer, result.cache);
  const Duration took = result.took;
  mQueue.after(took, [this, aServer, life, result = std::move(result)] {
    Server& later = mServers[aServer];
    if (later.life != life) {
      return;
    }
    for (const std::uint64_t id : result.tokens) {
      token(aServer, id, result.took);
    }
    for (const std::uint64_t id : result.ended) {
      finish(aServer, id);
    }
    later.stepping = false;
    pump(aServer);
    if (!later.stepping && !later.engine.idle()) {
      later.stepping = true;
      step(aServer);
    }
  });
}

void
DeskWorld::token(std::size_t aServer, std::size_t aJob, Duration)
{
  Job& job = mJobs[aJob];
  const Instant now = mQueue.now();
  mServers[aServer].scheduler->recordTokens(idOf(aJob), 1, now);
  ++job.produced;
  mTotals.serverTokens[aServer] += 1;
  if (mOutcomes[aJob].firstToken < Duration(0)) {
    mOutcomes[aJob].firstToken = now - job.begun;
  } else if (job.produced % kGapSample == 0) {
    mTotals.gaps.push_back(toSeconds(now - job.lastToken));
  }
  job.lastToken = now;
  if (inWindow()) {
    mTotals.allTokens += 1;
    mTotals.served[job.arrival->account] += 1;
    ++job.windowTokens;
  }
}

void
DeskWorld::finish(std::size_t aServer, std::size_t aJob)
{
  Job& job = mJobs[aJob];
  Server& server = mServers[aServer];
  server.running.erase(aJob);
  server.scheduler->recordEnd(idOf(aJob), mQueue.now());
  Entry& entry = mEntries[job.entry];
  entry.router->recordEnd(aServer, false, mQueue.now());
  entry.router->updateLoad(aServer, server.scheduler->load());
  entry.predictor.observe(query(*job.arrival), job.produced);
  entry.quarantine.clearSuspect(job.fingerprint, mQueue.now());
  job.over = true;
  Outcome& outcome = mOutcomes[aJob];
  outcome.done = true;
  outcome.tokens = job.produced;
  outcome.server = aServer;
  outcome.finished = mQueue.now() - job.begun;
  if (outcome.finished <= job.arrival->deadline) {
    mTotals.goodTokens += job.windowTokens;
  }
}

void
DeskWorld::crash(std::size_t aServer, bool aForGood)
{
  Server& server = mServers[aServer];
  ++server.life;
  ++mTotals.crashes;
  server.stepping = false;
  server.dead = true;
  server.engine.crash();
  std::vector<std::size_t> lost(server.running.begin(), server.running.end());
  server.running.clear();
  std::vector<policy::RequestContent> fingerprints;
  for (const std::size_t job : lost) {
    server.scheduler->recordEnd(idOf(job), mQueue.now());
    fingerprints.push_back({ .fingerprint = mJobs[job].fingerprint });
  }
  if (mOptions.quarantine && !aForGood) {
    // The agent's news reaches the entries over their links.
    for (Entry& entry : mEntries) {
      entry.quarantine.recordCrash(
        static_cast<policy::CrashId>(mTotals.crashes),
        fingerprints,
        mQueue.now());
    }
  }
  for (const std::size_t job : lost) {
    mQueue.after(milliseconds(1), [this, job] { retry(job); });
  }
  for (const auto& work :
       server.scheduler->takeExpired(mQueue.now() + seconds(100'000))) {
    const std::size_t job = work.id.number;
    mQueue.after(milliseconds(1), [this, job] { retry(job); });
  }
  for (Entry& entry : mEntries) {
    entry.router->markLive(aServer, false);
  }
  if (aForGood) {
    return;
  }
  mQueue.after(seconds(5), [this, aServer] {
    mServers[aServer].dead = false;
    for (Entry& entry : mEntries) {
      entry.router->markLive(aServer, true);
    }
  });
}

void
DeskWorld::tick()
{
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    if (mServers[i].dead) {
      continue;
    }
    for (const auto& work : mServers[i].scheduler->takeExpired(mQueue.now())) {
      retry(work.id.number);
    }
    pump(i);
  }
}

void
DeskWorld::report()
{
  double most = 0;
  double total = 0;
  std::size_t alive = 0;
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    if (mServers[i].dead) {
      continue;
    }
    const auto load = mServers[i].scheduler->load();
    most = std::max(most, load.cost);
    total += load.cost;
    ++alive;
    mQueue.after(mOptions.reportDelay, [this, i, load] {
      for (Entry& entry : mEntries) {
        entry.router->updateLoad(i, load);
      }
    });
  }
  if (inWindow() && total > 0) {
    mTotals.imbalance += most * static_cast<double>(alive) / total;
    ++mSamples;
  }
  if (mOptions.easing) {
    for (Entry& entry : mEntries) {
      entry.router->updateLoadShares();
    }
  }
}

void
DeskWorld::tellCache(std::size_t aServer,
                     const std::vector<standins::CacheEvent>& aEvents)
{
  if (!mOptions.prefixHints || aEvents.empty()) {
    return;
  }
  mQueue.after(mOptions.cacheDelay, [this, aServer, events = aEvents] {
    for (const standins::CacheEvent& event : events) {
      if (mQueue.random().chance(mOptions.cacheLoss)) {
        continue;
      }
      for (Entry& entry : mEntries) {
        if (event.stored) {
          entry.router->prefixIndex().addBlocks(aServer,
                                                std::span(&event.block, 1));
        } else {
          entry.router->prefixIndex().removeBlock(aServer, event.block);
        }
      }
    }
  });
}

} // namespace laburnum::bench
