#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/gateway/caller_connection.hpp"
#include "laburnum/gateway/context.hpp"

#include <list>
#include <memory>

namespace laburnum::gateway {

/// The entry that routes by host and path and sends straight to the backend
/// servers. Configuration and servers come from outside, through
/// `applyConfiguration` and the changes of servers.
/// Thread safety: loop thread.
class Gateway
{
public:
  Gateway(Loop& aLoop, const contract::Settings& aSettings, HeaderNames aNames);

  /// Listens; throws what Asio throws. Pre: called once.
  void start();

  /// Takes a configuration into force if its version is the highest so far.
  /// Returns whether it did. Pre: none.
  bool applyConfiguration(Configuration aConfiguration);

  // What is known of backend servers. Pre: as `ServerList`.

  void replaceServers(const std::vector<ServerRecord>& aAll);
  void changeServers(const std::vector<ServerChange>& aChanges);
  void serversLost();
  void serversRegained();

  /// Not ready at once, no new work once callers go elsewhere, ends the loop
  /// when nothing is in progress. A second call ends it at once. Pre: none.
  void stopGracefully();

  /// True if callers may be sent here. Pre: none.
  bool isReady() const;

  /// Where callers are met, with the port that was bound. Pre: `start`.
  contract::Address callers() const;

  Context& context() { return mContext; }

private:
  using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, http::Executor>;

  void accept();
  asio::awaitable<void> answerOperator(http::Session& aSession,
                                       http::Request aRequest);
  asio::awaitable<void> drain();
  asio::awaitable<void> expireLater();
  void leaveServer(const std::string& aId, AttemptEnd aEnd);
  void leaveIfSlow(const ServerRecord& aServer);
  asio::awaitable<void> leaveSilent();
  void serversEnded(const std::vector<std::string>& aIds,
                    std::string_view aReason);
  void forgetClosed();

  Loop& mLoop;
  contract::Settings mSettings;
  Context mContext;
  Acceptor mAcceptor;
  contract::Limits mOperatorLimits;
  std::optional<http::Server> mOperators;
  std::list<std::weak_ptr<CallerConnection>> mCallers;
  bool mHasServers = false;
};

} // namespace laburnum::gateway
