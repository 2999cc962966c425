#pragma once

#include "laburnum/gateway/server_connection.hpp"
#include "laburnum/gateway/server_list.hpp"
#include "laburnum/http/descriptors.hpp"

#include <algorithm>
#include <list>
#include <map>
#include <memory>

namespace laburnum::gateway {

/// Limits of a `ConnectionPool`.
struct ConnectionPoolOptions
{
  /// The connection limit of a server applies to all gateways together; each
  /// uses at most this fraction of it.
  double connectionShare = 0.2;
  /// Fraction of the limit for idle connections of all gateways together.
  double idleShare = 0.5;
  /// Idle connections are closed this long before the server would close them;
  /// servers may announce their timeout in whole seconds only.
  Duration idleMargin = milliseconds(1500);
  /// Idle connections to all servers, so that descriptors are left for others.
  std::size_t maxIdle = http::descriptorLimit() / 8;
  Duration maxIdleTime = seconds(4); ///< For servers that announce no timeout.
};

/// Pool of connections to all backend servers. Limits the connections per
/// server and keeps idle ones for reuse.
///
/// Thread safety: loop thread only.
class ConnectionPool
{
public:
  ConnectionPool(Loop& aLoop, ConnectionPoolOptions aOptions = {});

  /// Returns an idle connection or a new one that connects on its first
  /// request; null if the limit of the server is reached. `aMaxConnections` is
  /// the limit over all gateways. With `aRequireNew`, the connection is always
  /// new, so that the server cannot have closed it.
  std::shared_ptr<ServerConnection> acquire(const ServerRecord& aServer,
                                            std::size_t aMaxConnections,
                                            bool aRequireNew);

  /// Sets the number of gateways that share the limits of the servers.
  void setGateways(std::size_t aGateways)
  {
    mGateways = std::max<std::size_t>(1, aGateways);
  }

  /// Number of idle connections to a server.
  std::size_t idleCount(const std::string& aServerId) const;

  /// Returns a connection to the pool after the response ended or the
  /// connection was lost.
  /// @pre The connection is from `acquire`.
  void release(const std::string& aServerId,
               std::shared_ptr<ServerConnection> aConnection);

  /// Closes the idle connections to a server.
  void closeIdle(const std::string& aServerId);

  /// Number of connections created so far.
  std::uint64_t openedCount() const { return mOpenedCount; }

private:
  struct Server
  {
    std::list<std::shared_ptr<ServerConnection>> idle;
    std::size_t busy = 0;
    std::string address;
  };
  std::size_t idleCount() const;
  bool isExpired(const ServerConnection& aConnection) const;

  Loop& mLoop;
  ConnectionPoolOptions mOptions;
  std::map<std::string, Server> mServers;
  std::uint64_t mOpenedCount = 0;
  std::size_t mGateways = 1;
};

} // namespace laburnum::gateway
