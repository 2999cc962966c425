// How a gateway follows the list of backend servers.

#include "laburnum/gateway/gateway.hpp"

#include "laburnum/kernel/log.hpp"

namespace laburnum::gateway {

void
Gateway::retireServers(const std::vector<std::string>& aIds,
                       std::string_view aReason)
{
  for (const std::string& id : aIds) {
    log(LogLevel::Info,
        "server_leaves",
        { { "server", id }, { "reason", aReason } });
    mContext.pool.closeIdle(id);
    mContext.selector.removeServer(id);
    if (const auto startedMs = mContext.servers.removedProcess(id)) {
      mContext.crashSuspicions.serverRemoved(
        id, processId(id, *startedMs), mLoop.now());
    } else {
      mContext.crashSuspicions.serverLeaving(id);
    }
  }
}

void
Gateway::replaceServers(const std::vector<ServerRecord>& aRecords)
{
  retireServers(mContext.servers.replace(aRecords, mLoop.now()),
                "not in the list");
  mHasServers = mHasServers || mContext.servers.size() > 0;
  for (const ServerRecord& server : aRecords) {
    recordProcess(server.id);
    migrateIfSlow(server);
  }
}

void
Gateway::replaceServersByCopy(const std::vector<ServerRecord>& aRecords)
{
  retireServers(mContext.servers.replaceByCopy(aRecords, mLoop.now()),
                "not in the copy");
  mHasServers = mHasServers || mContext.servers.size() > 0;
  mLoop.spawn(removeExpiredLater());
}

void
Gateway::changeServers(const std::vector<ServerChange>& aChanges)
{
  retireServers(mContext.servers.apply(aChanges, mLoop.now()), "entry changed");
  mHasServers = mHasServers || mContext.servers.size() > 0;
  for (const ServerChange& change : aChanges) {
    if (change.record) {
      recordProcess(change.id);
      migrateIfSlow(*change.record);
    }
  }
}

void
Gateway::recordProcess(const std::string& aServerId)
{
  if (const ServerRecord* server = mContext.servers.find(aServerId)) {
    mContext.crashSuspicions.serverListed(
      aServerId, server->address, server->processId(), mLoop.now());
  }
}

void
Gateway::migrateIfSlow(const ServerRecord& aServer)
{
  if (aServer.slowdown < kMinMigrationSlowdown) {
    return;
  }
  log(LogLevel::Info,
      "server_slow",
      { { "server", aServer.id },
        { "pace", aServer.slowdown },
        { "in_progress", mContext.selector.inFlight(aServer.id) } });
  migrateFrom(aServer.id, AttemptOutcome::Migrated);
}

void
Gateway::serverSourceLost()
{
  mContext.servers.sourceLost(mLoop.now());
}

void
Gateway::serverSourceRestored()
{
  mContext.servers.sourceRestored(mLoop.now());
  mLoop.spawn(removeExpiredLater());
}

asio::awaitable<void>
Gateway::removeExpiredLater()
{
  co_await mLoop.sleep(ServerListOptions{}.expiryGracePeriod + milliseconds(5));
  retireServers(mContext.servers.removeExpired(mLoop.now()), "lapsed");
}

} // namespace laburnum::gateway
