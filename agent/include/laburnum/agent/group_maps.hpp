#pragma once

#include "laburnum/experts/map_change.hpp"
#include "laburnum/experts/order_gate.hpp"
#include "laburnum/http/client.hpp"
#include "laburnum/node/node.hpp"

#include <boost/json/value.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnum::agent {

/// The agent's part in the expert map of the group whose ranks its engine
/// runs. The ranks' votes live in the engines; the agent carries messages to
/// and from them, with a gate by fencing number before them. One agent of the
/// group at a time, by a lease, plans and coordinates changes.
/// Thread safety: loop thread.
class GroupMaps
{
public:
  /// Pre: the references outlive the object.
  GroupMaps(node::Node& aNode, http::ClientPool& aServer);

  /// Begins to follow the engine's group, if it has one. Pre: the node has
  /// started.
  void start();

  // Messages of other agents of the group. Pre: none.

  void received(const std::string& aFrom, const wire::RankMessageT& aMessage);
  void received(const std::string& aFrom, const wire::PrepareMapT& aMessage);

  /// Group, epoch, step and the duty's state; null without a group.
  boost::json::value status() const;

private:
  struct Group
  {
    std::string name;
    experts::Rank firstRank = 0;
    std::size_t ranks = 0; ///< On this server.
    std::size_t size = 0;  ///< Of the whole group.
    experts::Epoch epoch = 0;
    experts::StepNumber step = 0;
    bool armed = false;
  };

  // Following the engine.

  asio::awaitable<void> follow();
  asio::awaitable<bool> readState();
  asio::awaitable<bool> readPlanInputs(experts::GroupView& aView);
  asio::awaitable<std::optional<boost::json::value>> call(
    std::string aPath,
    std::optional<boost::json::value> aBody);
  void adopt(const Group& aGroup);
  bool isMine(experts::Rank aRank) const;

  // Coordinating, while the duty's lease is held.

  asio::awaitable<void> coordinate();
  void perform(std::vector<experts::ChangeAction> aActions);
  void releaseLinks();

  // Carrying messages.

  std::vector<std::string> agents() const;
  void carry(const experts::SwitchEnvelope& aNote, std::uint64_t aFence);
  asio::awaitable<void> deliver(std::string aFrom,
                                experts::SwitchEnvelope aNote,
                                std::uint64_t aFence);
  asio::awaitable<void> prepare(std::string aFrom, wire::PrepareMapT aMessage);
  asio::awaitable<bool> passes(std::uint64_t aFence);
  void send(const std::string& aTo, const wire::AnyMessage& aMessage);

  node::Node& mNode;
  Loop& mLoop;
  http::ClientPool& mServer;
  std::optional<Group> mGroup;
  std::unique_ptr<node::Duty> mDuty;
  /// Of groups that the engine was in; their calls may still be in flight.
  std::vector<std::unique_ptr<node::Duty>> mOldDuties;
  std::unique_ptr<experts::MapChange> mChange;
  experts::OrderGate mGate;
  Instant mReadAt{};
  double mStepsPerSecond = 0;
  bool mWasBusy = false;
};

} // namespace laburnum::agent
