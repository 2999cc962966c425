#include "laburnum/gateway/server_pool.hpp"

#include <algorithm>

namespace laburnum::gateway {

ServerPool::ServerPool(Loop& aLoop, ServerPoolOptions aOptions)
  : mLoop(aLoop)
  , mOptions(aOptions)
{
}

bool
ServerPool::isStale(const ServerConnection& aConnection) const
{
  Duration limit = mOptions.idleLimit;
  if (const auto said = aConnection.keepAlive()) {
    limit = std::min(limit, *said - std::min(*said, mOptions.idleMargin));
  }
  return mLoop.now() - aConnection.idleSince() >= limit;
}

std::shared_ptr<ServerConnection>
ServerPool::acquire(const ServerRecord& aServer,
                    std::size_t aMaxConnections,
                    bool aFresh)
{
  Server& server = mServers[aServer.id];
  if (server.address != aServer.address.text()) {
    drop(aServer.id);
    server.address = aServer.address.text();
  }
  while (!aFresh && !server.idle.empty()) {
    const auto connection = server.idle.back();
    server.idle.pop_back();
    if (connection->isReusable() && !isStale(*connection)) {
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
  if (server.busy + server.idle.size() >= bound && !server.idle.empty()) {
    server.idle.front()->abort();
    server.idle.pop_front();
  }
  ++server.busy;
  ++mOpened;
  return std::make_shared<ServerConnection>(mLoop, aServer.address);
}

void
ServerPool::release(const std::string& aId,
                    std::shared_ptr<ServerConnection> aConnection)
{
  Server& server = mServers[aId];
  --server.busy;
  if (!aConnection->isReusable()) {
    aConnection->abort();
    return;
  }
  server.idle.push_back(aConnection);
  aConnection->watchIdle([this, aId, raw = aConnection.get()] {
    mServers[aId].idle.remove_if(
      [raw](const auto& aEach) { return aEach.get() == raw; });
  });
}

void
ServerPool::drop(const std::string& aId)
{
  const auto found = mServers.find(aId);
  if (found == mServers.end()) {
    return;
  }
  for (const auto& connection : found->second.idle) {
    connection->abort();
  }
  found->second.idle.clear();
}

} // namespace laburnum::gateway
