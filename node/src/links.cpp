#include "laburnum/node/node.hpp"

namespace laburnum::node {
namespace {

constexpr Duration kConnectPatience = seconds(2);

} // namespace

wire::LinkEvents
Node::overlayEvents(bool aOurs)
{
  return {
    .ready = [this](const LinkPtr& aLink) { linkReady(aLink); },
    .message =
      [this](const LinkPtr& aLink, wire::AnyMessage&& aMessage) {
        received(aLink, std::move(aMessage));
      },
    .closed =
      [this, aOurs](const LinkPtr& aLink, const Failure& aFailure) {
        if (aLink && aLink->isReady()) {
          linkClosed(aLink);
        }
        if (aFailure.error != Error::ServerLost) {
          log(LogLevel::Warn,
              "link_closed",
              { { "error", info(aFailure.error).id },
                { "detail", aFailure.detail },
                { "outgoing", aOurs } });
        }
      },
  };
}

void
Node::connect(const std::string& aName, const contract::Address& aAddress)
{
  Instant& since = mConnecting[aName];
  if (since != Instant{} && mLoop.now() - since < kConnectPatience) {
    return;
  }
  since = mLoop.now();
  wire::connectLink(mLoop, aAddress, mIdentity, {}, overlayEvents(true));
}

void
Node::disconnect(const std::string& aName)
{
  const auto found = mLinks.find(aName);
  if (found == mLinks.end()) {
    return;
  }
  // The side that opened a link closes it; a peer that wants it opens one.
  for (const LinkPtr& link : std::vector(found->second)) {
    if (link->isOutgoing()) {
      link->close(Error::ServerLost, "no longer wanted");
    }
  }
}

void
Node::linkReady(const LinkPtr& aLink)
{
  const std::string& name = aLink->peer().instance;
  if (name == mSettings.instance) {
    aLink->close(Error::Conflict, "this is the own address");
    return;
  }
  auto& links = mLinks[name];
  links.push_back(aLink);
  if (links.size() > 1) {
    return;
  }
  run(mMembership->onLinkUp(name, mLoop.now()));
  run(mSpread->onLinkUp(name));
}

void
Node::linkClosed(const LinkPtr& aLink)
{
  const std::string name = aLink->peer().instance;
  const auto found = mLinks.find(name);
  if (found == mLinks.end()) {
    return;
  }
  mClosedBytes += aLink->bytesSent() + aLink->bytesReceived();
  std::erase(found->second, aLink);
  if (found->second.empty()) {
    mLinks.erase(found);
    run(mMembership->onLinkDown(name, mLoop.now()));
  }
}

double
Node::overlayBytes() const
{
  std::uint64_t bytes = mClosedBytes;
  for (const auto& [name, links] : mLinks) {
    for (const LinkPtr& link : links) {
      bytes += link->bytesSent() + link->bytesReceived();
    }
  }
  return static_cast<double>(bytes);
}

bool
Node::sendTo(const std::string& aName, const wire::AnyMessage& aMessage)
{
  const auto found = mLinks.find(aName);
  if (found != mLinks.end()) {
    found->second.back()->send(aMessage);
    return true;
  }
  const membership::Member* member = mMembership->find(aName);
  if (member != nullptr && member->state != membership::MemberState::Dead) {
    connect(aName, member->address);
  }
  return false;
}

void
Node::sendToNeighbours(const wire::AnyMessage& aMessage)
{
  for (const auto& [name, links] : mLinks) {
    links.back()->send(aMessage);
  }
}

void
Node::probe(const LinkPtr& aAsker, const wire::ProbeT& aProbe)
{
  const auto address = contract::parseAddress(aProbe.address);
  if (!address) {
    return;
  }
  wire::ProbeT answer;
  answer.target = aProbe.target;
  answer.reply = true;
  wire::connectLink(mLoop,
                    *address,
                    mIdentity,
                    {},
                    { .ready =
                        [aAsker, answer](const LinkPtr& aLink) mutable {
                          answer.reached =
                            aLink->peer().instance == answer.target;
                          aAsker->send(answer);
                          aLink->close(Error::None, "probe done");
                        },
                      .message = [](const LinkPtr&, wire::AnyMessage&&) {},
                      .closed = [](const LinkPtr&, const Failure&) {} });
}

void
Node::beat()
{
  wire::HeartbeatT message;
  message.sequence = ++mBeats;
  message.members = mMembership->digest();
  message.objects = mSpread->digest();
  const auto age = mSpread->confirmationAge(mLoop.now());
  message.fresh_age_us = age ? age->count() : -1;
  const Instant now = mLoop.now();
  std::vector<LinkPtr> silent;
  for (const auto& [name, links] : mLinks) {
    for (const LinkPtr& link : links) {
      if (now - link->lastReceived() > wire::kLinkSilence) {
        silent.push_back(link);
      } else {
        link->send(message);
      }
    }
  }
  for (const LinkPtr& link : silent) {
    link->close(Error::ServerLost, "silent");
  }
}

} // namespace laburnum::node
