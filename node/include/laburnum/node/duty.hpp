#pragma once

#include "laburnum/coordination/lease.hpp"
#include "laburnum/coordination/object_client.hpp"
#include "laburnum/experts/order_gate.hpp"
#include "laburnum/kernel/loop.hpp"

#include <string>

namespace laburnum::node {

/// Competes for a duty's lease in the platform, so that one daemon at a time
/// does it; while the platform is out, the duty rests.
/// Thread safety: loop thread.
class Duty
{
public:
  /// aSelf must differ between runs of an instance. Pre: the client lives
  /// longer.
  Duty(Loop& aLoop,
       coordination::ObjectClient& aClient,
       std::string aName,
       std::string aSelf,
       coordination::LeaseOptions aOptions = {});

  /// Renews or takes the lease if it is time. Call about four times a
  /// second, on daemons that are candidates. Pre: none.
  void tick();

  /// True if the duty may be done now. Pre: none.
  bool holds() const { return mLease.holds(mLoop.now()); }

  /// The fencing number that goes with orders. Pre: `holds`.
  std::uint64_t fence() const { return mLease.fence(); }

  /// "idle", "acquiring", "held" or "resting". Pre: none.
  std::string_view state() const
  {
    return nameIn(coordination::kLeaseStateNames, mLease.state());
  }

private:
  asio::awaitable<void> read();
  asio::awaitable<void> write(coordination::WriteLease aWrite);

  Loop& mLoop;
  coordination::ObjectClient& mClient;
  std::string mName;
  coordination::Lease mLease;
};

/// Passes an order of a duty's holder through a gate: nothing passes before the
/// duty's present fencing number was read, so with the platform out, orders
/// rest. Returns None, OldOrder or PlatformUnavailable. Pre: gate and client
/// outlive the call. Thread safety: loop thread.
asio::awaitable<Error>
admitOrder(experts::OrderGate& aGate,
           coordination::ObjectClient& aClient,
           std::string aDuty,
           std::uint64_t aFence);

} // namespace laburnum::node
