#pragma once

#include "laburnum/gateway/server_connection.hpp"
#include "laburnum/gateway/server_list.hpp"

#include <list>
#include <map>
#include <memory>

namespace laburnum::gateway {

struct ServerPoolOptions
{
  /// A server's bound is for all entries; no entry takes more than this part.
  double connectionShare = 0.2;
  /// Idle connections are closed before the server would, which may say so in
  /// whole seconds only.
  Duration idleMargin = milliseconds(1500);
  Duration idleLimit = seconds(4); ///< For servers that say nothing.
};

/// The connections to all backend servers, idle ones kept for reuse.
/// Thread safety: loop thread.
class ServerPool
{
public:
  ServerPool(Loop& aLoop, ServerPoolOptions aOptions = {});

  /// An idle connection, or a new one that opens on its first request; null
  /// if the server's bound is reached. aFresh forces a new one, which cannot
  /// be stale. Pre: none.
  std::shared_ptr<ServerConnection> acquire(const ServerRecord& aServer,
                                            std::size_t aMaxConnections,
                                            bool aFresh);

  /// Gives a connection back after its answer, or after it was lost.
  void release(const std::string& aId,
               std::shared_ptr<ServerConnection> aConnection);

  /// Closes the idle connections of a server. Pre: none.
  void drop(const std::string& aId);

  /// New connections opened so far. Pre: none.
  std::uint64_t opened() const { return mOpened; }

private:
  struct Server
  {
    std::list<std::shared_ptr<ServerConnection>> idle;
    std::size_t busy = 0;
    std::string address;
  };
  bool isStale(const ServerConnection& aConnection) const;

  Loop& mLoop;
  ServerPoolOptions mOptions;
  std::map<std::string, Server> mServers;
  std::uint64_t mOpened = 0;
};

} // namespace laburnum::gateway
