#pragma once

#include "laburnum/gateway/crash_suspicions.hpp"
#include "laburnum/gateway/permit_exchange.hpp"

#include <set>
#include <string>

namespace laburnum::gateway {

/// Tells the other gateways directly which requests crash servers. Gateways
/// that follow a group of engines exchange this through its stewards; those of
/// plain services have nobody to pass it on.
///
/// Each message is answered with all that the other gateway suspects. A gateway
/// that starts asks a few of the others, and one that is registered later gets
/// all records from those that learn of it.
///
/// Thread safety: loop thread only.
class SuspicionExchange
{
public:
  /// @pre The references outlive this object.
  SuspicionExchange(Loop& aLoop,
                    PermitExchange& aPeers,
                    CrashSuspicions& aSuspicions);

  /// Starts to answer other gateways.
  /// @pre Called once.
  void start();

  /// Sends records to all other gateways. What is not answered is sent again
  /// twice.
  void share(const CrashSuspicions::Records& aRecords);

  /// Called when the registered gateways have been read.
  void peersRead();

private:
  std::string answer(std::string_view aBody);
  void merge(std::string_view aBody);
  asio::awaitable<void> deliver(Peer aPeer, std::string aBody);

  Loop& mLoop;
  PermitExchange& mPeers;
  CrashSuspicions& mSuspicions;
  std::set<Peer> mKnown; ///< Gateways that get records as they are shared.
};

} // namespace laburnum::gateway
