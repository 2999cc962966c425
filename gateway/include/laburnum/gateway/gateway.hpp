#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/gateway/client_connection.hpp"
#include "laburnum/gateway/context.hpp"
#include "laburnum/gateway/evacuations.hpp"
#include "laburnum/gateway/group_follower.hpp"
#include "laburnum/gateway/suspicion_exchange.hpp"

#include <list>
#include <memory>
#include <vector>

namespace laburnum::gateway {

/// HTTP load balancer: routes client requests by host and path and forwards
/// them directly to backend servers. Needs an event loop and the settings of
/// the instance; the configuration and the list of servers are supplied by the
/// caller through `applyConfiguration` and the server methods.
///
/// Thread safety: loop thread only.
class Gateway
{
public:
  Gateway(Loop& aLoop, const contract::Settings& aSettings, HeaderNames aNames);

  ~Gateway();

  /// Starts listening. Throws `boost::system::system_error` if an address
  /// cannot be bound.
  /// @pre Called once.
  void start();

  /// Activates a configuration if its version is higher than the active one.
  /// Returns whether it was activated.
  bool applyConfiguration(Configuration aConfiguration);

  /// Replaces the list of servers. See `ServerList::replace`.
  void replaceServers(const std::vector<ServerRecord>& aRecords);
  /// Replaces the list by one of an older copy. See
  /// `ServerList::replaceByCopy`.
  void replaceServersByCopy(const std::vector<ServerRecord>& aRecords);
  /// Applies changes to the list of servers. See `ServerList::apply`.
  void changeServers(const std::vector<ServerChange>& aChanges);
  /// Called when the source of the server list becomes unavailable, and when it
  /// is available again. See `ServerList`.
  void serverSourceLost();
  void serverSourceRestored();

  /// Update the failure domains that operators evacuated. See `Evacuations`.
  void replaceEvacuations(const std::vector<EvacuationChange>& aList,
                          std::uint64_t aRevision);
  void replaceEvacuationsByCopy(const std::vector<EvacuationChange>& aList,
                                std::uint64_t aRevision);
  void changeEvacuations(const std::vector<EvacuationChange>& aChanges);

  /// Starts a graceful shutdown: reports not ready at once, stops accepting new
  /// work once clients are sent elsewhere, and stops the loop when no request
  /// is in progress. A second call stops the loop immediately.
  void stopGracefully();

  /// True if clients may be sent to this gateway.
  bool isReady() const;

  /// The address on which clients connect, including the bound port.
  /// @pre `start` was called.
  contract::Address clientAddress() const;

  Context& context() { return mContext; }

  /// What is known of how new the contents are that were read from the store.
  StoreFreshness& freshness() { return mFreshness; }

  /// Sets the function that starts the watches of the store anew.
  void onRestartWatches(std::function<void()> aHandler)
  {
    mRestartWatches = std::move(aHandler);
  }

private:
  using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, http::Executor>;

  void accept();
  void startClient(ClientConnection::Socket aSocket);
  /// Closes the connections of clients that need theirs least, at most aCount.
  void makeRoom(std::size_t aCount);
  /// Stops listening. Connections that clients have opened are still served.
  void closeAcceptor();
  asio::awaitable<void> handleOperatorRequest(http::Session& aSession,
                                              http::Request aRequest);
  asio::awaitable<void> drain();
  /// Answers the requests that are still in progress when the stop ends.
  void expireRequests();
  asio::awaitable<void> removeExpiredLater();
  /// The connections of clients, as a copy: what is done to one may close
  /// others.
  std::vector<std::shared_ptr<ClientConnection>> openClients() const;
  void migrateFrom(const std::string& aServerId, AttemptOutcome aOutcome);
  /// Records that a server of the list runs: former processes at its address
  /// have ended.
  void recordProcess(const std::string& aServerId);
  void migrateIfSlow(const ServerRecord& aServer);
  /// Checks for silent servers and stewards, a few times a second.
  asio::awaitable<void> maintain();
  /// Writes the line `gateway_load` for the time since the previous one.
  void logLoad();
  void applyGroupStatus(const GroupKey& aGroup, const GroupStatus& aStatus);
  /// Forgets a group of which no status has been received for long.
  void removeGroup(const GroupKey& aGroup);
  /// Notes when a group forms anew and the streams that it had before.
  void recordHealth(const GroupKey& aGroup,
                    const GroupStatus& aStatus,
                    Instant aNow);
  void findStrictestGaps();
  /// The demand of the route with the shortest gap objective of a service:
  /// streams moved to a group must not delay any that run there.
  GroupDemand strictestDemand(const Service& aService,
                              const GroupKey& aGroup) const;
  /// Moves streams of groups that have broken to others with room.
  void moveStrandedStreams();
  void moveFromGroup(const GroupKey& aGroup,
                     const std::vector<GroupRoom>& aRooms);
  /// The room in a group for the strictest route.
  GroupRoom roomOf(const GroupKey& aGroup) const;
  void addGauges(const GroupKey& aGroup);
  /// Writes a line `group_room` for each group.
  void logGroups();
  void retireServers(const std::vector<std::string>& aIds,
                     std::string_view aReason);
  void removeClosedConnections();
  /// Puts the evacuated failure domains into force.
  void applyEvacuations(bool aIsChanged);

  Loop& mLoop;
  contract::Settings mSettings;
  Context mContext;
  Acceptor mAcceptor;
  contract::Limits mOperatorLimits;
  std::optional<http::Server> mOperators;
  std::list<std::weak_ptr<ClientConnection>> mClients;
  std::size_t mMaxClients; ///< The other descriptors are for other peers.
  bool mHasServers = false;
  Evacuations mEvacuations;
  SuspicionExchange mSuspicionExchange;
  StoreFreshness mFreshness;
  std::function<void()> mRestartWatches;
  struct GroupHealth
  {
    std::uint64_t epoch = 0;
    Instant reformedAt{}; ///< When a new epoch was reported.
    double streams = 0;   ///< Of all gateways, while it was open last.
  };
  std::map<GroupKey, GroupHealth> mHealth;
  std::map<std::string, Duration> mStrictestGaps; ///< By service.
  std::map<GroupKey, Instant> mStatusAt;          ///< Last status.
  Duration mLongestStatusGap{ 0 };                ///< Since the last load line.
  GroupFollower mFollower;
};

} // namespace laburnum::gateway
