#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/kernel/loop.hpp"
#include "laburnum/wire/frame_reader.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace laburnum::wire {

using Socket =
  asio::basic_stream_socket<asio::ip::tcp, asio::io_context::executor_type>;

/// Silence after which a connection counts as dead. Peers send heartbeats
/// three times as often.
inline constexpr Duration kLinkSilence = milliseconds(1500);
inline constexpr Duration kHeartbeatPeriod = milliseconds(500);

/// Who a process is towards its peers.
struct Identity
{
  std::string instance;
  std::uint64_t incarnation = 0;
  contract::Role role = contract::Role::Entry;
  std::string domain;
  std::string address;    ///< Where it accepts links.
  std::string controlKey; ///< Empty: peers need not prove that they know it.
};

/// What a connection is for.
enum class Purpose : std::uint8_t
{
  Overlay, ///< Heartbeats, news and configuration between daemons.
  Requests ///< Attempts of an entry at an agent.
};

/// How a connection greets.
struct Greeting
{
  Purpose purpose = Purpose::Overlay;
  std::uint64_t ordinal = 0; ///< Of this connection among those of the sender.
  std::uint64_t fence = 0;   ///< Connections below this ordinal are void.
  bool outgoing = true;      ///< Whether this side opened it; not sent.
};

class Link;

/// What the owner of a link wants to hear of it.
struct LinkEvents
{
  std::function<void(const std::shared_ptr<Link>&)> ready;
  std::function<void(const std::shared_ptr<Link>&, AnyMessage&&)> message;
  std::function<void(const std::shared_ptr<Link>&, const Failure&)> closed;
};

/// One TCP connection that carries frames both ways, after a greeting in
/// which both sides state protocol, identity and, with a control key, prove
/// that they know it. Writes are coalesced. Thread safety: loop thread.
class Link : public std::enable_shared_from_this<Link>
{
public:
  Link(Loop& aLoop, Socket aSocket, const Identity& aSelf, LinkEvents aEvents);

  /// Greets and starts to read. Pre: called once on a shared pointer.
  void start(const Greeting& aGreeting);

  /// Queues a message; dropped after `close`. Pre: none.
  void send(const AnyMessage& aMessage);

  /// Closes and reports the reason once. Pre: none.
  void close(Error aError, std::string_view aDetail);

  // State.

  bool isReady() const { return mReady; }
  bool isClosed() const { return mClosed; }
  bool isOutgoing() const { return mGreeting.outgoing; }
  const HelloT& peer() const { return mPeer; }
  Instant lastReceived() const { return mLastReceived; }
  /// Bytes that the system has not taken in yet. Pre: none.
  std::size_t unsent() const;
  std::uint64_t bytesSent() const { return mBytesSent; }
  std::uint64_t bytesReceived() const { return mBytesReceived; }

private:
  void read();
  void write();
  void dispatch(AnyMessage&& aMessage);
  void greeted(HelloT&& aHello);
  void greet(std::string aProof);

  Loop& mLoop;
  Socket mSocket;
  const Identity& mSelf;
  LinkEvents mEvents;
  FrameReader mReader;
  HelloT mPeer;
  std::string mNonce;
  Greeting mGreeting;
  std::string mPending;
  std::string mWriting;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
  Instant mLastReceived;
  bool mReady = false;
  bool mClosed = false;
  bool mPeerSeen = false;
};

/// Opens a link to an address; the events tell of success or failure.
/// Pre: the identity outlives the link. Thread safety: loop thread.
void
connectLink(Loop& aLoop,
            const contract::Address& aAddress,
            const Identity& aSelf,
            const Greeting& aGreeting,
            LinkEvents aEvents);

/// Accepts links on an address. Thread safety: loop thread.
class LinkListener
{
public:
  LinkListener(Loop& aLoop,
               const contract::Address& aAddress,
               const Identity& aSelf,
               LinkEvents aEvents);

  /// The bound address. Pre: none.
  contract::Address address() const { return mAddress; }

  /// Stops accepting; open links stay. Pre: none.
  void stop();

private:
  void accept();

  Loop& mLoop;
  asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type>
    mAcceptor;
  const Identity& mSelf;
  LinkEvents mEvents;
  contract::Address mAddress;
};

} // namespace laburnum::wire
