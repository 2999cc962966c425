#pragma once

#include "laburnum/node/node.hpp"
#include "laburnum/policy/request_machine.hpp"
#include "laburnum/policy/router.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace laburnum::entry {

/// What the links tell the requests.
struct AgentLinkEvents
{
  std::function<void(policy::ServerId, wire::AnyMessage&&)> message;
  /// The connection is gone; a new one is being opened.
  std::function<void(policy::ServerId)> lost;
  /// A connection to the same run of the agent is there (again).
  std::function<void(policy::ServerId)> ready;
  /// The agent runs anew, or can't be reached for too long.
  std::function<void(policy::ServerId)> gone;
};

/// The entry's connections to agents: to a few of each offer, those of the own
/// failure domain first, chosen by rendezvous hash so that a lost server's
/// work spreads evenly. One connection each, replaced with a higher ordinal
/// when it goes silent, the older ones fenced. Heartbeats are frequent only
/// where an answer is awaited. Keeps the router's view of live, leaving and
/// loaded servers. Thread safety: loop thread.
class AgentLinks
{
public:
  AgentLinks(node::Node& aNode,
             policy::Router& aRouter,
             AgentLinkEvents aEvents);

  /// Takes in news of a member; agents get a connection. Pre: none.
  void memberChanged(const membership::Member& aMember);

  /// Sends to an agent; false if there is no connection, so that nothing left.
  bool send(policy::ServerId aServer, const wire::AnyMessage& aMessage);

  /// Heartbeats and silent connections; call every heartbeat period.
  void beat();

  std::size_t connected() const;

  /// Name of a known agent; and the incarnation of its run that this entry is
  /// connected to, or 0. Pre: none.
  std::string instanceOf(policy::ServerId aServer) const;
  std::uint64_t incarnationOf(policy::ServerId aServer) const;

  /// Bytes sent and received on the present connections. Pre: none.
  std::uint64_t bytes() const;

private:
  using LinkPtr = std::shared_ptr<wire::Link>;

  struct Agent
  {
    membership::Member member;
    LinkPtr link;
    std::uint64_t incarnation = 0;
    std::uint64_t ordinal = 0;
    Instant lostAt{};
    Instant beatAt{};
    Instant awaitingSince{}; ///< First send that nothing was received after.
    bool wanted = false;
    bool connecting = false;
    bool goneTold = true;
    Duration pause = milliseconds(50);
  };

  void rewire();
  void want(policy::ServerId aServer, Agent& aAgent);
  void connect(policy::ServerId aServer);
  static void sendOn(Agent& aAgent,
                     const wire::AnyMessage& aMessage,
                     Instant aNow);
  void ready(policy::ServerId aServer, const LinkPtr& aLink);
  void closed(policy::ServerId aServer,
              const LinkPtr& aLink,
              const Failure& aFailure);
  void received(policy::ServerId aServer, wire::AnyMessage&& aMessage);
  void takeLoad(policy::ServerId aServer, const wire::LoadT& aLoad);

  node::Node& mNode;
  Loop& mLoop;
  policy::Router& mRouter;
  AgentLinkEvents mEvents;
  std::map<policy::ServerId, Agent> mAgents;
  std::uint64_t mBeats = 0;
};

/// The id under which an agent's server is known to the router.
/// Pre: none. Thread safety: any thread.
policy::ServerId
serverIdOf(std::string_view aInstance);

} // namespace laburnum::entry
