#include "laburnum/wire/link.hpp"

#include "laburnum/kernel/hash.hpp"

#include <boost/asio/write.hpp>

namespace laburnum::wire {
namespace {

using asio::ip::tcp;

constexpr std::size_t kReadBytes = 16 * 1024;

/// A peer that takes in nothing while this much waits for it is cut off.
constexpr std::size_t kMaxPendingBytes = 64 * 1024 * 1024;

} // namespace

Link::Link(Loop& aLoop,
           Socket aSocket,
           const Identity& aSelf,
           LinkEvents aEvents)
  : mLoop(aLoop)
  , mSocket(std::move(aSocket))
  , mSelf(aSelf)
  , mEvents(std::move(aEvents))
  , mLastReceived(aLoop.now())
{
  boost::system::error_code ignored;
  mSocket.set_option(tcp::no_delay(true), ignored);
}

void
Link::start(const Greeting& aGreeting)
{
  mGreeting = aGreeting;
  mNonce = std::to_string(entropySeed());
  mReader.limitFrames(kMaxGreetingBytes);
  greet("");
  read();
}

void
Link::greet(std::string aProof)
{
  HelloT hello;
  hello.protocol = kProtocolVersion;
  hello.instance = mSelf.instance;
  hello.incarnation = mSelf.incarnation;
  hello.role = static_cast<std::uint8_t>(mSelf.role);
  hello.domain = mSelf.domain;
  hello.ordinal = mGreeting.ordinal;
  hello.fence = mGreeting.fence;
  hello.purpose = static_cast<std::uint8_t>(mGreeting.purpose);
  hello.address = mSelf.address;
  hello.nonce = mNonce;
  hello.proof = std::move(aProof);
  send(hello);
}

void
Link::send(const AnyMessage& aMessage)
{
  if (mClosed) {
    return;
  }
  encode(aMessage, mPending);
  if (mPending.size() > kMaxPendingBytes) {
    close(Error::ServerLost, "the peer takes in nothing");
    return;
  }
  if (mWriting.empty()) {
    // Deferred, so that all messages of one handler leave in one write.
    mWriting.push_back('\0');
    asio::post(mLoop.context(), [self = shared_from_this()] {
      self->mWriting.clear();
      self->write();
    });
  }
}

std::size_t
Link::unsent() const
{
  return mPending.size() + mWriting.size();
}

void
Link::write()
{
  if (mClosed || mPending.empty() || !mWriting.empty()) {
    return;
  }
  std::swap(mWriting, mPending);
  asio::async_write(mSocket,
                    asio::buffer(mWriting),
                    [self = shared_from_this()](
                      boost::system::error_code aError, std::size_t aSize) {
                      self->mBytesSent += aSize;
                      self->mWriting.clear();
                      if (aError) {
                        self->close(Error::ServerLost, aError.message());
                        return;
                      }
                      self->write();
                    });
}

void
Link::read()
{
  const auto space = mReader.space(kReadBytes);
  mSocket.async_read_some(
    asio::buffer(space.data(), space.size()),
    [self = shared_from_this()](boost::system::error_code aError,
                                std::size_t aSize) {
      if (self->mClosed) {
        return;
      }
      if (aError) {
        self->close(Error::ServerLost, aError.message());
        return;
      }
      self->mLastReceived = self->mLoop.now();
      self->mBytesReceived += aSize;
      self->mReader.filled(aSize);
      while (!self->mClosed) {
        auto message = self->mReader.next();
        if (!message) {
          self->close(Error::DamagedFrame, message.failure().detail);
          return;
        }
        if (!message->has_value()) {
          break;
        }
        self->dispatch(std::move(**message));
      }
      if (!self->mClosed) {
        self->read();
      }
    });
}

void
Link::dispatch(AnyMessage&& aMessage)
{
  if (auto* hello = std::get_if<HelloT>(&aMessage)) {
    greeted(std::move(*hello));
    return;
  }
  if (!mReady) {
    close(Error::NotAuthenticated,
          "a message came before the greeting was complete");
    return;
  }
  mEvents.message(shared_from_this(), std::move(aMessage));
}

void
Link::greeted(HelloT&& aHello)
{
  if (aHello.protocol != kProtocolVersion) {
    close(Error::VersionMismatch,
          "peer speaks " + std::to_string(aHello.protocol));
    return;
  }
  if (mReady) {
    close(Error::DamagedFrame, "a greeting on a greeted connection");
    return;
  }
  const bool needsProof = !mSelf.controlKey.empty();
  if (needsProof && !mPeerSeen) {
    greet(hmacSha256(mSelf.controlKey, aHello.nonce + mSelf.instance));
  } else if (needsProof &&
             aHello.proof !=
               hmacSha256(mSelf.controlKey, mNonce + mPeer.instance)) {
    close(Error::NotAuthenticated, "the peer's proof is wrong");
    return;
  }
  const bool complete = !needsProof || mPeerSeen;
  if (!mPeerSeen) {
    mPeerSeen = true;
    mPeer = std::move(aHello);
  }
  if (complete) {
    mReady = true;
    mReader.limitFrames(kMaxFrameBytes);
    mEvents.ready(shared_from_this());
  }
}

void
Link::close(Error aError, std::string_view aDetail)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  boost::system::error_code ignored;
  mSocket.close(ignored);
  const Failure failure{ .error = aError, .detail = std::string(aDetail) };
  asio::post(mLoop.context(), [self = shared_from_this(), failure] {
    self->mEvents.closed(self, failure);
    self->mEvents = {};
  });
}

void
connectLink(Loop& aLoop,
            const contract::Address& aAddress,
            const Identity& aSelf,
            const Greeting& aGreeting,
            LinkEvents aEvents)
{
  auto socket = std::make_shared<Socket>(aLoop.context());
  auto timer =
    std::make_shared<asio::steady_timer>(aLoop.context(), kLinkSilence);
  timer->async_wait([socket](boost::system::error_code aError) {
    if (!aError) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  const tcp::endpoint endpoint(asio::ip::make_address(aAddress.host),
                               aAddress.port);
  socket->async_connect(
    endpoint,
    [&aLoop, &aSelf, socket, timer, aGreeting, events = std::move(aEvents)](
      boost::system::error_code aError) mutable {
      timer->cancel();
      if (aError) {
        events.closed(
          nullptr, { .error = Error::ServerLost, .detail = aError.message() });
        return;
      }
      std::make_shared<Link>(
        aLoop, std::move(*socket), aSelf, std::move(events))
        ->start(aGreeting);
    });
}

LinkListener::LinkListener(Loop& aLoop,
                           const contract::Address& aAddress,
                           const Identity& aSelf,
                           LinkEvents aEvents)
  : mLoop(aLoop)
  , mAcceptor(
      aLoop.context(),
      tcp::endpoint(asio::ip::make_address(aAddress.host), aAddress.port))
  , mSelf(aSelf)
  , mEvents(std::move(aEvents))
  , mAddress{ .host = aAddress.host, .port = mAcceptor.local_endpoint().port() }
{
  accept();
}

void
LinkListener::stop()
{
  boost::system::error_code ignored;
  mAcceptor.close(ignored);
}

void
LinkListener::accept()
{
  mAcceptor.async_accept(
    mLoop.context(), [this](boost::system::error_code aError, Socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        std::make_shared<Link>(mLoop, std::move(aSocket), mSelf, mEvents)
          ->start({ .outgoing = false });
      }
      accept();
    });
}

} // namespace laburnum::wire
