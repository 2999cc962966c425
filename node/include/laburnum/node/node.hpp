#pragma once

#include "laburnum/contract/object_store.hpp"
#include "laburnum/contract/settings.hpp"
#include "laburnum/coordination/object_client.hpp"
#include "laburnum/http/server.hpp"
#include "laburnum/kernel/metrics.hpp"
#include "laburnum/membership/config_spread.hpp"
#include "laburnum/membership/membership.hpp"
#include "laburnum/node/drain.hpp"
#include "laburnum/node/duty.hpp"
#include "laburnum/node/placement_duty.hpp"
#include "laburnum/wire/link.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnum::node {

/// What a role adds to the common part of a daemon.
struct RoleHooks
{
  /// Requests in progress, for the drain.
  std::function<std::size_t()> inProgress;
  /// A member's record changed.
  std::function<void(const membership::Member&)> memberChanged;
  /// A configuration object came into force.
  std::function<void(const contract::Object&)> configured;
  /// Links of entries that carry requests, at an agent.
  wire::LinkEvents requests;
  /// Messages on overlay links that the node does not know itself.
  std::function<void(const std::string&, wire::AnyMessage&&)> overlayMessage;
  /// More fields for the operators' status page.
  std::function<boost::json::object()> status;
};

/// What every daemon has whatever its role: identity, links to neighbours,
/// membership, configuration, the operators' port and the drain.
/// Thread safety: loop thread.
class Node
{
public:
  Node(Loop& aLoop, contract::Settings aSettings);

  /// Begins to listen, to join and to follow the configuration; the role's
  /// hooks are set before. Pre: called once.
  void start(RoleHooks aHooks, const contract::Address& aCallers = {});

  // Parts that roles use.

  Loop& loop() { return mLoop; }
  const contract::Settings& settings() const { return mSettings; }
  const wire::Identity& identity() const { return mIdentity; }
  contract::ObjectStore& store() { return mStore; }
  coordination::ObjectClient& platform() { return mPlatform; }
  Metrics& metrics() { return mMetrics; }
  DrainMachine& drain() { return mDrain; }
  membership::Membership& membership() { return *mMembership; }

  /// The account of what the process holds for callers and operators.
  const std::shared_ptr<http::ClientMemory>& clientMemory() const
  {
    return mClientMemory;
  }

  /// Differs between runs of an instance, for leases. Pre: none.
  std::string runName() const
  {
    return mSettings.instance + "/" + std::to_string(mIncarnation);
  }

  /// True when the daemon has a configuration and is not stopping. Pre: none.
  bool isReady() const;

  /// Sends to a linked neighbour, or over a new link to any known member;
  /// false if the member is not known. Pre: none.
  bool sendTo(const std::string& aName, const wire::AnyMessage& aMessage);

  /// Sends to every linked neighbour. Pre: none.
  void sendToNeighbours(const wire::AnyMessage& aMessage);

  /// Tells all a changed record of this daemon. Pre: only what the role knows
  /// differs from `membership().self()`.
  void announce(const membership::Member& aChanged);

  /// Closes the link to a member, unless the overlay needs it. Pre: none.
  void release(const std::string& aName);

  /// Begins a graceful stop. Pre: none.
  void stopGracefully(std::string_view aReason);

private:
  using LinkPtr = std::shared_ptr<wire::Link>;

  void listen();
  void join();
  void tick();
  void beat();
  void checkDrain();
  double overlayBytes() const;
  wire::LinkEvents overlayEvents(bool aOurs);
  void connect(const std::string& aName, const contract::Address& aAddress);
  void disconnect(const std::string& aName);
  void linkReady(const LinkPtr& aLink);
  void linkClosed(const LinkPtr& aLink);
  void received(const LinkPtr& aLink, wire::AnyMessage&& aMessage);
  void probe(const LinkPtr& aAsker, const wire::ProbeT& aProbe);
  void run(membership::Membership::Actions aActions);
  void run(membership::ConfigDissemination::Actions aActions);
  void adopted(const contract::Object& aObject);
  asio::awaitable<void> askPlatform(membership::QueryPlatform aAsk);
  contract::Object instanceObject() const;
  asio::awaitable<void> publish();
  asio::awaitable<void> followInstances();
  asio::awaitable<void> doDuties();
  asio::awaitable<void> removeStaleInstance();
  void placeModels();
  bool order(const std::string& aServer, const wire::OrderT& aOrder);
  asio::awaitable<void> operate(http::Session& aSession,
                                http::Request aRequest);
  http::Response status();
  http::Response operatorOrder(const http::Request& aRequest);

  Loop& mLoop;
  contract::Settings mSettings;
  wire::Identity mIdentity;
  contract::ObjectStore mStore;
  coordination::ObjectClient mPlatform;
  Metrics mMetrics;
  DrainMachine mDrain;
  std::uint64_t mIncarnation;
  Duty mInstancesDuty; ///< Removes what dead daemons left in the platform.
  PlacementDuty mPlacement;
  std::map<std::string, Instant> mDeadSince;
  RoleHooks mHooks;
  std::unique_ptr<membership::Membership> mMembership;
  std::unique_ptr<membership::ConfigDissemination> mSpread;
  std::unique_ptr<wire::LinkListener> mListener;
  std::shared_ptr<http::ClientMemory> mClientMemory;
  std::unique_ptr<http::Server> mOperators;
  std::map<std::string, std::vector<LinkPtr>> mLinks;
  std::map<std::string, Instant> mConnecting;
  std::uint64_t mBeats = 0;
  std::uint64_t mClosedBytes = 0; ///< Of overlay links that are gone.
  bool mLeft = false;
};

/// The record of a member as a message, and back.
/// Pre: none. Thread safety: any thread.
wire::MemberT
toWire(const membership::Member& aMember);
membership::Member
fromWire(const wire::MemberT& aMember);

} // namespace laburnum::node
