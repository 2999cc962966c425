#include "laburnum/bench/spread_world.hpp"

#include <algorithm>

namespace laburnum::bench {
namespace {

constexpr Duration kTick = milliseconds(100);
constexpr Duration kBeat = milliseconds(500);
constexpr Duration kWatchWait = seconds(2);

// Bytes on the wire, as measured for the encoded messages.
constexpr std::size_t kBeatBytes = 76;
constexpr std::size_t kMemberBytes = 180;
constexpr std::size_t kBriefBytes = 64;
constexpr std::size_t kObjectBytes = 420;
constexpr std::size_t kDigestBytes = 560;
constexpr std::size_t kProbeBytes = 100;

} // namespace

SpreadWorld::SpreadWorld(std::uint64_t aSeed, SpreadOptions aOptions)
  : mQueue(aSeed)
  , mOptions(aOptions)
  , mDaemons(aOptions.daemons)
  , mCut(aOptions.domains, false)
  , mCutFromPlatform(aOptions.domains, false)
  , mSplit(aOptions.domains, false)
{
  for (std::size_t i = 0; i < mDaemons.size(); ++i) {
    mDaemons[i].name = "daemon-" + std::to_string(i);
    mDaemons[i].domain = i % mOptions.domains;
    mIndex[mDaemons[i].name] = i;
  }
  for (std::size_t i = 0; i < mDaemons.size(); ++i) {
    start(i);
  }
}

membership::Member
SpreadWorld::memberOf(const Daemon& aDaemon) const
{
  return { .name = aDaemon.name,
           .incarnation = aDaemon.incarnation,
           .domain = "domain-" + std::to_string(aDaemon.domain),
           .address = { .port = 1 } };
}

void
SpreadWorld::start(std::size_t aDaemon)
{
  Daemon& daemon = mDaemons[aDaemon];
  daemon.store =
    std::make_unique<contract::ObjectStore>(mOptions.mergeByVersion);
  daemon.membership = std::make_unique<membership::Membership>(
    memberOf(daemon), mOptions.membership, mQueue.random().next());
  daemon.spread = std::make_unique<membership::ConfigDissemination>(
    *daemon.store, mOptions.spread, mQueue.random().next());
  daemon.store->onAdopted([this, aDaemon](const contract::Object& aObject) {
    Daemon& self = mDaemons[aDaemon];
    std::uint64_t& seen = self.seen[aObject.name];
    mCounts.reverts += aObject.version < seen ? 1 : 0;
    seen = std::max(seen, aObject.version);
    const auto accepted =
      mAcceptedAt.find(aObject.name + "@" + std::to_string(aObject.version));
    if (accepted != mAcceptedAt.end()) {
      mCounts.inForce.push_back(toSeconds(mQueue.now() - accepted->second));
    }
  });
  daemon.seen.clear();
  std::vector<membership::Member> known;
  for (const Daemon& other : mDaemons) {
    const bool seed = mIndex[other.name] < 2 * mOptions.domains;
    if (other.name != daemon.name && (mOptions.knowEachOther || seed)) {
      known.push_back(memberOf(other));
    }
  }
  run(aDaemon, daemon.membership->onMembers("", known, mQueue.now()));
  if (mOptions.hasConfiguration) {
    run(aDaemon,
        daemon.spread->onPlatformObjects(
          mPlatform.newerThan(0), mPlatform.version(), {}, mQueue.now()));
  }
  const std::uint64_t life = daemon.life;
  const Duration offset = microseconds(mQueue.random().below(500'000));
  const Instant end(seconds(1'000'000));
  mQueue.after(offset, [this, aDaemon, life, end] {
    const auto guarded =
      [this, aDaemon, life](void (SpreadWorld::*aMethod)(std::size_t)) {
        return [this, aDaemon, life, aMethod] {
          const Daemon& self = mDaemons[aDaemon];
          if (self.live && self.life == life &&
              self.pausedUntil <= mQueue.now()) {
            (this->*aMethod)(aDaemon);
          }
        };
      };
    mQueue.every(kTick, end, guarded(&SpreadWorld::tick));
    mQueue.every(kBeat, end, guarded(&SpreadWorld::beat));
  });
}

bool
SpreadWorld::reaches(std::size_t aFrom, std::size_t aTo) const
{
  const std::size_t left = mDaemons[aFrom].domain;
  const std::size_t right = mDaemons[aTo].domain;
  if (!mDaemons[aTo].live) {
    return false;
  }
  return left == right ? !mSplit[left] || halfOf(aFrom) == halfOf(aTo)
                       : !mCut[left] && !mCut[right];
}

std::size_t
SpreadWorld::halfOf(std::size_t aDaemon) const
{
  return aDaemon / mOptions.domains % 2;
}

void
SpreadWorld::send(std::size_t aFrom,
                  const std::string& aTo,
                  std::size_t aBytes,
                  std::function<void(Daemon&, std::size_t)> aTask)
{
  const std::size_t to = mIndex.at(aTo);
  if (!mDaemons[aFrom].links.contains(to)) {
    return;
  }
  ++mCounts.messages;
  mCounts.bytes += aBytes;
  if (!reaches(aFrom, to) || mLostOneWay.contains({ aFrom, to }) ||
      mQueue.random().chance(mOptions.loss)) {
    return;
  }
  const std::uint64_t life = mDaemons[to].life;
  const Duration hop = mOptions.hop + microseconds(mQueue.random().below(2000));
  mQueue.after(hop, [this, to, life, aTask = std::move(aTask)] {
    Daemon& daemon = mDaemons[to];
    if (!daemon.live || daemon.life != life) {
      return;
    }
    if (daemon.pausedUntil > mQueue.now()) {
      mQueue.after(daemon.pausedUntil - mQueue.now(),
                   [this, to, aTask] { aTask(mDaemons[to], to); });
      return;
    }
    aTask(daemon, to);
  });
}

void
SpreadWorld::tick(std::size_t aDaemon)
{
  Daemon& daemon = mDaemons[aDaemon];
  run(aDaemon, daemon.membership->tick(mQueue.now()));
  run(aDaemon,
      daemon.spread->tick(mQueue.now(), daemon.membership->isWatcher()));
}

void
SpreadWorld::beat(std::size_t aDaemon)
{
  Daemon& daemon = mDaemons[aDaemon];
  const std::uint64_t members = daemon.membership->digest();
  const std::uint64_t objects = daemon.spread->digest();
  const auto age = daemon.spread->confirmationAge(mQueue.now());
  const std::string name = daemon.name;
  for (const std::size_t link :
       std::vector(daemon.links.begin(), daemon.links.end())) {
    send(aDaemon,
         mDaemons[link].name,
         kBeatBytes,
         [=, this](Daemon& aTo, std::size_t aIndex) {
           aTo.membership->onTraffic(name, mQueue.now());
           run(aIndex, aTo.membership->onDigest(name, members, mQueue.now()));
           run(aIndex,
               aTo.spread->onHeartbeat(name, objects, age, mQueue.now()));
         });
  }
}

void
SpreadWorld::connect(std::size_t aFrom, const std::string& aTo)
{
  const std::size_t to = mIndex.at(aTo);
  if (mDaemons[aFrom].links.contains(to)) {
    return;
  }
  mQueue.after(2 * mOptions.hop, [this, aFrom, to] {
    if (!mDaemons[aFrom].live || !reaches(aFrom, to) ||
        mDaemons[to].pausedUntil > mQueue.now()) {
      return;
    }
    if (!mDaemons[aFrom].links.insert(to).second) {
      return;
    }
    mDaemons[to].links.insert(aFrom);
    run(aFrom,
        mDaemons[aFrom].membership->onLinkUp(mDaemons[to].name, mQueue.now()));
    run(to,
        mDaemons[to].membership->onLinkUp(mDaemons[aFrom].name, mQueue.now()));
    run(aFrom, mDaemons[aFrom].spread->onLinkUp(mDaemons[to].name));
    run(to, mDaemons[to].spread->onLinkUp(mDaemons[aFrom].name));
  });
}

void
SpreadWorld::disconnect(std::size_t aLeft, std::size_t aRight)
{
  mDaemons[aLeft].links.erase(aRight);
  mDaemons[aRight].links.erase(aLeft);
  run(aLeft,
      mDaemons[aLeft].membership->onLinkDown(mDaemons[aRight].name,
                                             mQueue.now()));
  run(aRight,
      mDaemons[aRight].membership->onLinkDown(mDaemons[aLeft].name,
                                              mQueue.now()));
}

void
SpreadWorld::run(std::size_t aDaemon,
                 const membership::Membership::Actions& aActions)
{
  struct Visitor
  {
    SpreadWorld& world;
    std::size_t self;

    void operator()(const membership::ConnectTo& aAction) const
    {
      world.connect(self, aAction.name);
    }
    void operator()(const membership::DisconnectFrom& aAction) const
    {
      world.disconnect(self, world.mIndex.at(aAction.name));
    }
    void operator()(const membership::SendMembers& aAction) const
    {
      const std::string from = world.mDaemons[self].name;
      std::size_t bytes = 0;
      for (const membership::Member& member : aAction.members) {
        bytes += member.stateOnly ? kBriefBytes : kMemberBytes;
      }
      world.send(self,
                 aAction.to,
                 bytes,
                 [world = &world, from, members = aAction.members](
                   Daemon& aTo, std::size_t aIndex) {
                   aTo.membership->onTraffic(from, world->mQueue.now());
                   world->run(aIndex,
                              aTo.membership->onMembers(
                                from, members, world->mQueue.now()));
                 });
    }
    void operator()(const membership::RequestProbe& aAction) const
    {
      const std::string from = world.mDaemons[self].name;
      world.send(
        self,
        aAction.via,
        kProbeBytes,
        [world = &world, from, target = aAction.target](Daemon&,
                                                        std::size_t aIndex) {
          const std::size_t index = world->mIndex.at(target);
          // A paused process greets the new connection when it wakes.
          const Duration wait =
            std::max(Duration(0),
                     world->mDaemons[index].pausedUntil - world->mQueue.now());
          world->mQueue.after(
            wait + world->mOptions.hop, [world, from, target, aIndex, index] {
              const bool reached = world->reaches(aIndex, index);
              world->send(
                aIndex,
                from,
                kProbeBytes,
                [world, target, reached](Daemon& aTo, std::size_t aAsker) {
                  world->run(aAsker,
                             aTo.membership->onProbeResult(
                               target, reached, world->mQueue.now()));
                });
            });
        });
    }
    void operator()(const membership::SendDigest& aAction) const
    {
      const std::string from = world.mDaemons[self].name;
      world.send(self,
                 aAction.to,
                 kDigestBytes,
                 [world = &world, from, buckets = aAction.buckets](
                   Daemon& aTo, std::size_t aIndex) {
                   world->run(aIndex,
                              aTo.membership->onDigestBuckets(from, buckets));
                 });
    }
    void operator()(const membership::MemberChanged& aAction) const
    {
      const membership::Member& member = aAction.member;
      const auto now = world.mQueue.now();
      if (member.state == membership::MemberState::Dead) {
        const auto killed = world.mKilledAt.find(member.name);
        const std::size_t index = world.mIndex.at(member.name);
        const bool cut = !world.reaches(self, index);
        if (killed != world.mKilledAt.end()) {
          world.mCounts.detected.push_back(toSeconds(now - killed->second));
        } else if (!cut) {
          // One death, however many hear of it.
          const std::string key =
            member.name + "#" + std::to_string(member.revision);
          world.mCounts.falseDeaths +=
            world.mFalseDeaths.insert(key).second ? 1 : 0;
        }
      } else if (member.state == membership::MemberState::Leaving) {
        const auto left = world.mLeftAt.find(member.name);
        if (left != world.mLeftAt.end()) {
          world.mCounts.leavingKnown.push_back(toSeconds(now - left->second));
        }
      }
    }
  };
  for (const auto& action : aActions) {
    std::visit(Visitor{ *this, aDaemon }, action);
  }
}

void
SpreadWorld::run(std::size_t aDaemon,
                 const membership::ConfigDissemination::Actions& aActions)
{
  const std::string from = mDaemons[aDaemon].name;
  for (const auto& action : aActions) {
    if (const auto* tell = std::get_if<membership::SendObjects>(&action)) {
      send(
        aDaemon,
        tell->to,
        kObjectBytes * tell->objects.size(),
        [this, from, objects = tell->objects](Daemon& aTo, std::size_t aIndex) {
          run(aIndex,
              aTo.spread->onObjects(
                from, objects, aTo.membership->linkedMembers()));
        });
    } else if (const auto* digest =
                 std::get_if<membership::SendObjectDigest>(&action)) {
      send(aDaemon,
           digest->to,
           kDigestBytes,
           [this, from, buckets = digest->buckets](Daemon& aTo,
                                                   std::size_t aIndex) {
             run(aIndex, aTo.spread->onDigestBuckets(from, buckets));
           });
    } else {
      ask(aDaemon, std::get<membership::QueryPlatform>(action));
    }
  }
}

void
SpreadWorld::countCall()
{
  ++mCounts.platformCalls;
  ++mCallsBySecond[std::chrono::duration_cast<seconds>(
                     mQueue.now().time_since_epoch())
                     .count()];
}

void
SpreadWorld::ask(std::size_t aDaemon, const membership::QueryPlatform& aAsk)
{
  countCall();
  const std::uint64_t life = mDaemons[aDaemon].life;
  const Instant until =
    mQueue.now() + (aAsk.longPoll ? kWatchWait : Duration(0));
  mQueue.after(mOptions.call,
               [=, this] { answer(aDaemon, life, aAsk.afterVersion, until); });
}

void
SpreadWorld::answer(std::size_t aDaemon,
                    std::uint64_t aLife,
                    std::uint64_t aAfter,
                    Instant aUntil)
{
  Daemon& daemon = mDaemons[aDaemon];
  if (daemon.life != aLife || !daemon.live) {
    return;
  }
  if (mPlatform.faults.outage || mCutFromPlatform[daemon.domain]) {
    daemon.spread->onPlatformFailure(mQueue.now());
    return;
  }
  if (mPlatform.version() <= aAfter && mQueue.now() < aUntil) {
    mQueue.after(milliseconds(20),
                 [=, this] { answer(aDaemon, aLife, aAfter, aUntil); });
    return;
  }
  run(aDaemon,
      daemon.spread->onPlatformObjects(mPlatform.newerThan(aAfter),
                                       mPlatform.version(),
                                       daemon.membership->linkedMembers(),
                                       mQueue.now()));
}

void
SpreadWorld::change(const std::string& aName)
{
  contract::Object object{ .kind = "contract", .name = aName };
  object.value = R"({"account":")" + aName + R"(","share":)" +
                 std::to_string(1 + mQueue.random().below(9)) + "}";
  const contract::Object* present = mPlatform.read("contract", aName);
  const auto result =
    mPlatform.write(object, present == nullptr ? 0 : present->version);
  mAcceptedAt[aName + "@" + std::to_string(result.object->version)] =
    mQueue.now();
}

void
SpreadWorld::kill(std::size_t aDaemon)
{
  Daemon& daemon = mDaemons[aDaemon];
  daemon.live = false;
  ++daemon.life;
  mKilledAt[daemon.name] = mQueue.now();
  for (const std::size_t link :
       std::vector(daemon.links.begin(), daemon.links.end())) {
    mDaemons[link].links.erase(aDaemon);
    // Nothing tells that it is gone: a host or a switch went, not a process.
    run(link, mDaemons[link].membership->onLinkDown(daemon.name, mQueue.now()));
  }
  daemon.links.clear();
}

void
SpreadWorld::restart(std::size_t aDaemon)
{
  Daemon& daemon = mDaemons[aDaemon];
  if (daemon.live) {
    kill(aDaemon);
  }
  mKilledAt.erase(daemon.name);
  daemon.live = true;
  daemon.incarnation += 1;
  const bool had = mOptions.hasConfiguration;
  mOptions.hasConfiguration = false;
  start(aDaemon);
  mOptions.hasConfiguration = had;
}

void
SpreadWorld::leave(std::size_t aDaemon)
{
  mLeftAt[mDaemons[aDaemon].name] = mQueue.now();
  run(aDaemon, mDaemons[aDaemon].membership->announceLeaving(mQueue.now()));
}

void
SpreadWorld::pause(std::size_t aDaemon, Duration aTime)
{
  mDaemons[aDaemon].pausedUntil = mQueue.now() + aTime;
}

void
SpreadWorld::cutDomain(std::size_t aDomain, bool aFromPlatform, bool aCut)
{
  mCut[aDomain] = aCut;
  mCutFromPlatform[aDomain] = aCut && aFromPlatform;
  if (aCut) {
    dropLinks();
  }
}

void
SpreadWorld::splitDomain(std::size_t aDomain, bool aSplit)
{
  mSplit[aDomain] = aSplit;
  if (aSplit) {
    dropLinks();
  }
}

/// Closes the links whose ends don't reach each other any more.
void
SpreadWorld::dropLinks()
{
  for (std::size_t i = 0; i < mDaemons.size(); ++i) {
    for (const std::size_t link :
         std::vector(mDaemons[i].links.begin(), mDaemons[i].links.end())) {
      if (i < link && !reaches(i, link)) {
        disconnect(i, link);
      }
    }
  }
}

void
SpreadWorld::play(Duration aTime)
{
  mQueue.runUntil(mQueue.now() + aTime);
}

double
SpreadWorld::peakCalls()
{
  std::uint64_t peak = 0;
  for (const auto& [second, calls] : mCallsBySecond) {
    peak = std::max(peak, calls);
  }
  mCallsBySecond.clear();
  return static_cast<double>(peak);
}

SpreadCounts
SpreadWorld::counts()
{
  mCounts.missing = 0;
  for (const Daemon& daemon : mDaemons) {
    for (const contract::Object& object : mPlatform.newerThan(0)) {
      const contract::Object* held =
        daemon.store->find(object.kind, object.name);
      if (daemon.live && (held == nullptr || held->version < object.version)) {
        ++mCounts.missing;
        break;
      }
    }
  }
  return mCounts;
}

} // namespace laburnum::bench
