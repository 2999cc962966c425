#include "laburnum/gateway/connection_pool.hpp"

#include <algorithm>

namespace laburnum::gateway {

ConnectionPool::ConnectionPool(Loop& aLoop, ConnectionPoolOptions aOptions)
  : mLoop(aLoop)
  , mOptions(aOptions)
{
}

bool
ConnectionPool::isExpired(const ServerConnection& aConnection) const
{
  Duration limit = mOptions.maxIdleTime;
  if (const auto advertised = aConnection.keepAlive()) {
    limit =
      std::min(limit, *advertised - std::min(*advertised, mOptions.idleMargin));
  }
  return mLoop.now() - aConnection.idleSince() >= limit;
}

std::shared_ptr<ServerConnection>
ConnectionPool::acquire(const ServerRecord& aServer,
                        std::size_t aMaxConnections,
                        bool aRequireNew)
{
  Server& server = mServers[aServer.id];
  if (server.address != aServer.address.text()) {
    closeIdle(aServer.id);
    server.address = aServer.address.text();
  }
  while (!aRequireNew && !server.idle.empty()) {
    const auto connection = server.idle.back();
    server.idle.pop_back();
    if (connection->isReusable() && !isExpired(*connection)) {
      ++server.busy;
      return connection;
    }
    connection->abort();
  }
  const auto bound = std::max<std::size_t>(
    1,
    static_cast<std::size_t>(static_cast<double>(aMaxConnections) *
                             mOptions.connectionShare));
  if (server.busy >= bound) {
    return nullptr;
  }
  const std::size_t maxIdle =
    std::min(bound - server.busy - 1,
             static_cast<std::size_t>(static_cast<double>(aMaxConnections) *
                                      mOptions.idleShare) /
               mGateways);
  while (server.idle.size() > maxIdle) {
    server.idle.front()->abort();
    server.idle.pop_front();
  }
  ++server.busy;
  ++mOpenedCount;
  return std::make_shared<ServerConnection>(mLoop, aServer.address);
}

void
ConnectionPool::release(const std::string& aServerId,
                        std::shared_ptr<ServerConnection> aConnection)
{
  Server& server = mServers[aServerId];
  --server.busy;
  if (!aConnection->isReusable()) {
    aConnection->abort();
    return;
  }
  server.idle.push_back(aConnection);
  if (server.idle.size() > 1 && idleCount() > mOptions.maxIdle) {
    server.idle.front()->abort();
    server.idle.pop_front();
  }
  aConnection->watchIdle([this, aServerId, raw = aConnection.get()] {
    mServers[aServerId].idle.remove_if(
      [raw](const auto& aIdle) { return aIdle.get() == raw; });
  });
}

std::size_t
ConnectionPool::idleCount() const
{
  std::size_t count = 0;
  for (const auto& [id, server] : mServers) {
    count += server.idle.size();
  }
  return count;
}

std::size_t
ConnectionPool::idleCount(const std::string& aServerId) const
{
  const auto found = mServers.find(aServerId);
  return found == mServers.end() ? 0 : found->second.idle.size();
}

void
ConnectionPool::closeIdle(const std::string& aServerId)
{
  const auto found = mServers.find(aServerId);
  if (found == mServers.end()) {
    return;
  }
  for (const auto& connection : found->second.idle) {
    connection->abort();
  }
  found->second.idle.clear();
}

} // namespace laburnum::gateway
