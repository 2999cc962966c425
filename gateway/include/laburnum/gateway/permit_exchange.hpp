#pragma once

#include "laburnum/gateway/peer_list.hpp"
#include "laburnum/gateway/server_list.hpp"
#include "laburnum/http/client.hpp"
#include "laburnum/http/server.hpp"
#include "laburnum/policy/permit_issuer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace laburnum::gateway {

/// Lets all gateways together keep to the rate that a server accepts: one of
/// them issues the permits for all (see `PeerList`), the others ask it for each
/// request to such a server. While the issuer does not answer, each gateway
/// issues its equal share to itself.
///
/// A cold server fails above its rate in any second. Permits for it keep hardly
/// any credit, and an issuer that stands in for the first gateway, as well as
/// all equal shares together, issue a fifth of the rate: where links between
/// gateways are cut, both may be in use beside the first gateway.
///
/// Thread safety: loop thread only.
class PermitExchange
{
public:
  /// @pre The references outlive this object.
  PermitExchange(Loop& aLoop, const contract::Settings& aSettings);

  /// Starts to answer requests of other gateways. Throws
  /// `boost::system::system_error` if the address cannot be bound.
  /// @pre Called once.
  void start();

  /// This gateway, to be registered for others.
  /// @pre `start` was called.
  Peer self() const;

  /// Sets the gateways of the deployment, this one included.
  void setPeers(std::vector<Peer> aPeers);

  /// The other registered gateways, as last read.
  std::vector<Peer> others() const { return mPeers.others(); }

  /// Reads the registered gateways anew if they have not been read lately.
  void readPeersIfOld();

  /// Sets what answers the messages of other gateways to a path.
  void onMessage(std::string aPath,
                 std::function<std::string(std::string_view)> aHandler)
  {
    mMessageHandlers[std::move(aPath)] = std::move(aHandler);
  }

  /// Sends a message to another gateway. Returns its answer, or nothing if it
  /// did not answer in time or does not know the path.
  asio::awaitable<std::optional<std::string>> message(Peer aPeer,
                                                      std::string aPath,
                                                      std::string aBody);

  /// Number of registered gateways, as last read.
  std::size_t peerCount() const { return mPeers.size(); }

  /// The gateways whose registrations can be removed. See `PeerList`.
  std::vector<Peer> gonePeers() const { return mPeers.gonePeers(); }

  /// Called when this gateway begins to stop: another one issues the permits.
  void stopIssuing()
  {
    mPeers.setOwnLeaving();
    mIsStopping = true;
  }

  /// Sets the function that reads the gateways of the deployment anew. It is
  /// called from time to time while there are servers with a rate limit.
  void onPeersNeeded(std::function<void()> aHandler)
  {
    mReadPeers = std::move(aHandler);
  }

  /// Sets a function that is called with the number of gateways when they have
  /// been read.
  void onPeersChanged(std::function<void(std::size_t)> aHandler)
  {
    mPeersChanged = std::move(aHandler);
  }

  /// Returns whether one request may be sent to a server that accepts `aRate`,
  /// and how long to wait before; see `PermitIssuer`.
  asio::awaitable<policy::PermitIssuer::Reply> request(std::string aServerId,
                                                       std::int64_t aStartedMs,
                                                       ServerRate aRate,
                                                       Duration aMaxWait);

private:
  using Reply = policy::PermitIssuer::Reply;

  /// The issuers of one gateway.
  struct Issuers
  {
    policy::PermitIssuer stated; ///< For rates that servers stated.
    policy::PermitIssuer cold;   ///< For cold servers.

    Issuers();
    policy::PermitIssuer& of(bool aIsCold) { return aIsCold ? cold : stated; }
  };

  asio::awaitable<void> answer(http::Session& aSession, http::Request aRequest);
  asio::awaitable<std::optional<Reply>> ask(Peer aPeer, std::string aBody);
  asio::awaitable<Result<http::Response>> send(Peer aPeer,
                                               std::string aPath,
                                               std::string aBody);

  Loop& mLoop;
  const contract::Settings& mSettings;
  contract::Limits mLimits;
  std::optional<http::Server> mServer;
  std::int64_t mRegisteredMs;
  bool mIsStopping = false;
  PeerList mPeers;
  std::map<contract::Address, std::unique_ptr<http::ClientPool>> mPools;
  Issuers mIssuers;  ///< Of permits for all gateways.
  Issuers mOwnShare; ///< While no issuer answers.
  std::map<std::string, std::function<std::string(std::string_view)>>
    mMessageHandlers; ///< By path.
  std::function<void()> mReadPeers;
  std::function<void(std::size_t)> mPeersChanged;
  Instant mPeersReadAt{};
};

} // namespace laburnum::gateway
