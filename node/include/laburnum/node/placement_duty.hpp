#pragma once

#include "laburnum/contract/object_store.hpp"
#include "laburnum/experts/placement.hpp"
#include "laburnum/membership/membership.hpp"
#include "laburnum/node/duty.hpp"
#include "laburnum/wire/message.hpp"

#include <boost/json/array.hpp>
#include <functional>
#include <map>
#include <string>

namespace laburnum::node {

/// Has models loaded where the rules of kind "model" want more servers than
/// hold them. One daemon at a time does it, by a lease whose fencing number
/// goes with each order. Orders are repeated until the server's record shows
/// their effect. Thread safety: loop thread.
class PlacementDuty
{
public:
  /// Sends an order to the agent of a server; false if it could not be sent.
  using Send = std::function<bool(const std::string&, const wire::OrderT&)>;

  /// Pre: the references outlive the duty; aSelf as for `Duty`.
  PlacementDuty(Loop& aLoop,
                coordination::ObjectClient& aClient,
                const contract::ObjectStore& aStore,
                std::string aSelf);

  /// Competes for the lease, and orders loads while it is held. Call about
  /// four times a second, on candidates. Pre: none.
  void tick(const membership::Membership& aMembership, const Send& aSend);

  /// An agent answered an order. Pre: none.
  void replied(const std::string& aServer, const wire::OrderReplyT& aReply);

  /// Servers whose orders have ended since the last call. Pre: none.
  std::vector<std::string> ended();

  std::string_view state() const { return mDuty.state(); }

  /// One line a model: wanted, present, loading, and why; empty on daemons
  /// that do not hold the lease. Pre: none.
  boost::json::array explain() const;

private:
  struct Pending
  {
    wire::OrderT order;
    Instant sentAt{};
  };

  void plan(const membership::Membership& aMembership);
  void send(const Send& aSend);

  Loop& mLoop;
  const contract::ObjectStore& mStore;
  Duty mDuty;
  experts::PlacementPlanner mPlanner;
  std::map<std::string, Pending> mPending; ///< By server.
  std::vector<std::string> mEnded;
};

} // namespace laburnum::node
