#include "laburnum/entry/agent_links.hpp"

#include "laburnum/kernel/hash.hpp"

#include <algorithm>
#include <array>

namespace laburnum::entry {
namespace {

/// Time without a connection after which the fate of what was sent there
/// counts as unknown.
constexpr Duration kGoneAfter = seconds(3);

constexpr Duration kMaxPause = seconds(2);

/// Agents of one offer that an entry connects to, in the own failure domain
/// and in others.
constexpr std::size_t kOwnDomain = 6;
constexpr std::size_t kOtherDomains = 4;

/// Time between heartbeats where no answer is awaited.
constexpr Duration kIdleBeat = seconds(5);

} // namespace

policy::ServerId
serverIdOf(std::string_view aInstance)
{
  return hash64(aInstance);
}

AgentLinks::AgentLinks(node::Node& aNode,
                       policy::Router& aRouter,
                       AgentLinkEvents aEvents)
  : mNode(aNode)
  , mLoop(aNode.loop())
  , mRouter(aRouter)
  , mEvents(std::move(aEvents))
{
}

void
AgentLinks::memberChanged(const membership::Member& aMember)
{
  if (aMember.role != contract::Role::Agent) {
    return;
  }
  const policy::ServerId id = serverIdOf(aMember.name);
  Agent& agent = mAgents[id];
  const bool moved = agent.member.address != aMember.address;
  const bool changed = agent.member.offers != aMember.offers;
  agent.member = aMember;
  if (changed) {
    mRouter.setOffers(id, aMember.offers);
  }
  if (agent.link && moved) {
    agent.link->close(Error::ServerLost, "the agent moved");
  }
  mRouter.markLeaving(id, aMember.state == membership::MemberState::Leaving);
  rewire();
}

void
AgentLinks::rewire()
{
  std::map<std::string, std::array<std::vector<policy::ServerId>, 2>> byOffer;
  for (const auto& [id, agent] : mAgents) {
    if (agent.member.state == membership::MemberState::Dead) {
      continue;
    }
    const bool own = agent.member.domain == mNode.settings().failureDomain;
    for (const std::string& offer : agent.member.offers) {
      byOffer[offer][own ? 0 : 1].push_back(id);
    }
  }
  const std::uint64_t seed = hash64(mNode.settings().instance);
  for (const auto& [offer, groups] : byOffer) {
    const std::size_t own = std::min(groups[0].size(), kOwnDomain);
    // What the own domain lacks is made up from the others.
    const std::size_t counts[]{ own, kOtherDomains + kOwnDomain - own };
    for (std::size_t group = 0; group < 2; ++group) {
      for (const std::size_t index :
           rendezvous(seed, groups[group], counts[group])) {
        want(groups[group][index], mAgents[groups[group][index]]);
      }
    }
  }
}

void
AgentLinks::want(policy::ServerId aServer, Agent& aAgent)
{
  if (!aAgent.wanted) {
    aAgent.wanted = true;
    mRouter.upsert(
      { .id = aServer,
        .domain = aAgent.member.domain,
        .region = aAgent.member.region,
        .offers = aAgent.member.offers,
        .slots = std::max(1, aAgent.member.slots),
        .live = aAgent.link != nullptr,
        .leaving = aAgent.member.state == membership::MemberState::Leaving });
  }
  connect(aServer);
}

void
AgentLinks::connect(policy::ServerId aServer)
{
  Agent& agent = mAgents[aServer];
  if (agent.connecting || agent.link || !agent.wanted) {
    return;
  }
  agent.connecting = true;
  const std::uint64_t ordinal = ++agent.ordinal;
  wire::connectLink(
    mLoop,
    agent.member.address,
    mNode.identity(),
    { .purpose = wire::Purpose::Requests,
      .ordinal = ordinal,
      .fence = ordinal },
    { .ready = [this, aServer](const LinkPtr& aLink) { ready(aServer, aLink); },
      .message =
        [this, aServer](const LinkPtr&, wire::AnyMessage&& aMessage) {
          received(aServer, std::move(aMessage));
        },
      .closed =
        [this, aServer](const LinkPtr& aLink, const Failure& aFailure) {
          closed(aServer, aLink, aFailure);
        } });
}

void
AgentLinks::ready(policy::ServerId aServer, const LinkPtr& aLink)
{
  Agent& agent = mAgents[aServer];
  agent.connecting = false;
  if (aLink->peer().instance != agent.member.name) {
    aLink->close(Error::Conflict,
                 "another instance answers at the agent's address");
    return;
  }
  const bool sameRun = agent.incarnation == aLink->peer().incarnation;
  agent.link = aLink;
  agent.awaitingSince = Instant{};
  agent.pause = milliseconds(50);
  if (!sameRun && agent.incarnation != 0 && !agent.goneTold) {
    mEvents.gone(aServer);
  }
  agent.incarnation = aLink->peer().incarnation;
  const bool interrupted = !agent.goneTold;
  agent.goneTold = false;
  mRouter.markLive(aServer, true);
  if (sameRun && interrupted) {
    mEvents.ready(aServer);
  }
}

void
AgentLinks::closed(policy::ServerId aServer,
                   const LinkPtr& aLink,
                   const Failure& aFailure)
{
  Agent& agent = mAgents[aServer];
  agent.connecting = false;
  const bool wasUp = aLink != nullptr && agent.link == aLink;
  if (wasUp) {
    log(LogLevel::Warn,
        "agent_link_lost",
        { { "agent", agent.member.name }, { "detail", aFailure.detail } });
    agent.link.reset();
    agent.lostAt = mLoop.now();
    mRouter.markLive(aServer, false);
    mEvents.lost(aServer);
  }
  if (agent.member.state == membership::MemberState::Dead && !wasUp) {
    return;
  }
  const Duration pause = wasUp ? Duration(0) : agent.pause;
  agent.pause = std::min(kMaxPause, agent.pause * 2);
  mLoop.spawn([](AgentLinks* aLinks,
                 policy::ServerId aId,
                 Duration aPause) -> asio::awaitable<void> {
    co_await aLinks->mLoop.sleep(aPause);
    aLinks->connect(aId);
  }(this, aServer, pause));
}

void
AgentLinks::received(policy::ServerId aServer, wire::AnyMessage&& aMessage)
{
  mAgents[aServer].awaitingSince = Instant{};
  if (const auto* beat = std::get_if<wire::HeartbeatT>(&aMessage)) {
    if (beat->load) {
      takeLoad(aServer, *beat->load);
    }
    return;
  }
  // The load also rides on what ends an attempt, so that it is fresh.
  if (const auto* finished = std::get_if<wire::FinishedT>(&aMessage);
      finished && finished->load) {
    takeLoad(aServer, *finished->load);
  } else if (const auto* rejected = std::get_if<wire::RejectedT>(&aMessage);
             rejected && rejected->load) {
    takeLoad(aServer, *rejected->load);
  }
  mEvents.message(aServer, std::move(aMessage));
}

void
AgentLinks::takeLoad(policy::ServerId aServer, const wire::LoadT& aLoad)
{
  mRouter.updateLoad(aServer,
                     { .running = static_cast<int>(aLoad.running),
                       .waiting = static_cast<int>(aLoad.waiting),
                       .cost = aLoad.waiting_cost,
                       .tokensPerSecond = aLoad.tokens_s,
                       .pausable = static_cast<int>(aLoad.pausable) });
  const bool listed =
    mAgents[aServer].member.state == membership::MemberState::Leaving;
  mRouter.markLeaving(aServer, aLoad.draining || listed);
}

bool
AgentLinks::send(policy::ServerId aServer, const wire::AnyMessage& aMessage)
{
  const auto found = mAgents.find(aServer);
  if (found == mAgents.end() || !found->second.link ||
      found->second.link->isClosed()) {
    return false;
  }
  sendOn(found->second, aMessage, mLoop.now());
  return true;
}

void
AgentLinks::sendOn(Agent& aAgent,
                   const wire::AnyMessage& aMessage,
                   Instant aNow)
{
  if (aAgent.awaitingSince == Instant{}) {
    aAgent.awaitingSince = aNow;
  }
  aAgent.link->send(aMessage);
}

void
AgentLinks::beat()
{
  wire::HeartbeatT message;
  message.sequence = ++mBeats;
  const Instant now = mLoop.now();
  for (auto& [id, agent] : mAgents) {
    if (!agent.link) {
      if (!agent.goneTold && now - agent.lostAt > kGoneAfter) {
        agent.goneTold = true;
        mEvents.gone(id);
      }
      continue;
    }
    const bool awaits = agent.awaitingSince != Instant{};
    if (awaits && now - agent.awaitingSince > wire::kLinkSilence) {
      agent.link->close(Error::ServerLost, "silent");
      continue;
    }
    const policy::ServerView* server = mRouter.find(id);
    const bool busy = server != nullptr && server->outstanding > 0;
    if (busy || awaits || now - agent.beatAt >= kIdleBeat) {
      agent.beatAt = now;
      sendOn(agent, message, now);
    }
  }
}

std::uint64_t
AgentLinks::bytes() const
{
  std::uint64_t sum = 0;
  for (const auto& [id, agent] : mAgents) {
    sum +=
      agent.link ? agent.link->bytesSent() + agent.link->bytesReceived() : 0;
  }
  return sum;
}

std::string
AgentLinks::instanceOf(policy::ServerId aServer) const
{
  const auto found = mAgents.find(aServer);
  return found == mAgents.end() ? "" : found->second.member.name;
}

std::uint64_t
AgentLinks::incarnationOf(policy::ServerId aServer) const
{
  const auto found = mAgents.find(aServer);
  return found == mAgents.end() || !found->second.link
           ? 0
           : found->second.incarnation;
}

std::size_t
AgentLinks::connected() const
{
  std::size_t count = 0;
  for (const auto& [id, agent] : mAgents) {
    count += agent.link ? 1 : 0;
  }
  return count;
}

} // namespace laburnum::entry
