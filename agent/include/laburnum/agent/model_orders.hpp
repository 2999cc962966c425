#pragma once

#include "laburnum/experts/order_gate.hpp"
#include "laburnum/http/client.hpp"
#include "laburnum/node/node.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum::agent {

/// What the backend server holds, and the orders to change it. An order
/// passes the gate by its duty's fencing number; then the server takes no new
/// work, what is in progress ends, and only then the server loads.
/// Thread safety: loop thread.
class ModelOrders
{
public:
  /// Pre: the references outlive the object; aInProgress counts requests.
  ModelOrders(node::Node& aNode,
              http::ClientPool& aServer,
              std::function<std::size_t()> aInProgress);

  /// Begins to follow what the server holds. Pre: the node has started.
  void start();

  /// An order of a duty's holder; it is answered when it has ended, or at
  /// once if it is refused. Pre: none.
  void received(const std::string& aFrom, const wire::OrderT& aOrder);

  /// True if new work for the target may be taken now. Pre: none.
  bool offers(std::string_view aTarget) const;

private:
  using Held = std::optional<std::vector<std::string>>;

  asio::awaitable<void> follow();
  asio::awaitable<void> decide(std::string aFrom, wire::OrderT aOrder);
  asio::awaitable<Error> load(const wire::OrderT& aOrder);
  asio::awaitable<bool> awaitLoaded(const wire::OrderT& aOrder);
  asio::awaitable<Held> readHeld();
  void change(std::vector<std::string> aHeld, const std::string& aLoading);
  bool holds(const std::string& aModel) const;
  void reply(const std::string& aTo, const wire::OrderT& aOrder, Error aError);

  node::Node& mNode;
  Loop& mLoop;
  http::ClientPool& mServer;
  std::function<std::size_t()> mInProgress;
  experts::OrderGate mGate;
  std::vector<std::string> mHeld; ///< "name@version"; services by name.
  std::string mLoading;
  bool mTakesOrders = false;
  std::string mDeciding; ///< The model of an order that is at the gate.
};

} // namespace laburnum::agent
