#include "laburnum/node/node.hpp"
#include "laburnum/http/descriptors.hpp"
#include "messages.hpp"

#include <chrono>

namespace laburnum::node {
namespace {

constexpr Duration kTickPeriod = milliseconds(100);

std::uint64_t
wallMicros()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

membership::Member
selfOf(const contract::Settings& aSettings, std::uint64_t aIncarnation)
{
  return { .name = aSettings.instance,
           .incarnation = aIncarnation,
           .role = aSettings.role,
           .domain = aSettings.failureDomain,
           .region = aSettings.region,
           .address = aSettings.control,
           .offers = aSettings.server.qualifiedOffers(),
           .slots = aSettings.server.slots };
}

} // namespace

Node::Node(Loop& aLoop, contract::Settings aSettings)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mPlatform(aLoop, mSettings.platform)
  , mDrain(mSettings.limits.drainGrace)
  , mIncarnation(wallMicros())
  , mInstancesDuty(aLoop, mPlatform, "instances", runName())
  , mPlacement(aLoop, mPlatform, mStore, runName())
  , mClientMemory(
      std::make_shared<http::ClientMemory>(mSettings.limits.clientBytes))
{
  mIdentity = { .instance = mSettings.instance,
                .incarnation = mIncarnation,
                .role = mSettings.role,
                .domain = mSettings.failureDomain,
                .controlKey = mSettings.controlKey };
}

void
Node::start(RoleHooks aHooks, const contract::Address& aCallers)
{
  mHooks = std::move(aHooks);
  mSettings.callers = aCallers;
  listen();
  mMembership = std::make_unique<membership::Membership>(
    selfOf(mSettings, mIdentity.incarnation),
    membership::MembershipOptions{},
    entropySeed());
  mSpread = std::make_unique<membership::ConfigDissemination>(
    mStore, membership::ConfigDisseminationOptions{}, entropySeed());
  mStore.onAdopted(
    [this](const contract::Object& aObject) { adopted(aObject); });
  mMetrics.gauge("laburnum_members", [this] {
    return static_cast<double>(mMembership->members().size());
  });
  mMetrics.gauge("laburnum_control_bytes", [this] { return overlayBytes(); });
  mMetrics.gauge("laburnum_links",
                 [this] { return static_cast<double>(mLinks.size()); });
  mMetrics.gauge("laburnum_objects",
                 [this] { return static_cast<double>(mStore.size()); });
  mMetrics.gauge("laburnum_platform_calls",
                 [this] { return static_cast<double>(mPlatform.calls()); });
  join();
  mLoop.every(kTickPeriod, [this] { tick(); });
  mLoop.every(wire::kHeartbeatPeriod, [this] { beat(); });
  mLoop.spawn(publish());
  mLoop.spawn(followInstances());
  mLoop.spawn(doDuties());
}

void
Node::listen()
{
  auto events = overlayEvents(false);
  // Both kinds of link arrive at one port; the greeting tells which it is.
  const auto isRequests = [](const LinkPtr& aLink) {
    return aLink && aLink->peer().purpose ==
                      static_cast<std::uint8_t>(wire::Purpose::Requests);
  };
  wire::LinkEvents both{
    .ready =
      [this, isRequests, events](const LinkPtr& aLink) {
        if (!isRequests(aLink)) {
          events.ready(aLink);
        } else if (mHooks.requests.ready) {
          mHooks.requests.ready(aLink);
        } else {
          aLink->close(Error::UnknownPath, "this role takes no requests");
        }
      },
    .message =
      [this, isRequests, events](const LinkPtr& aLink,
                                 wire::AnyMessage&& aMessage) {
        (isRequests(aLink) ? mHooks.requests : events)
          .message(aLink, std::move(aMessage));
      },
    .closed =
      [this, isRequests, events](const LinkPtr& aLink,
                                 const Failure& aFailure) {
        if (isRequests(aLink)) {
          if (mHooks.requests.closed) {
            mHooks.requests.closed(aLink, aFailure);
          }
          return;
        }
        events.closed(aLink, aFailure);
      },
  };
  mListener = std::make_unique<wire::LinkListener>(
    mLoop, mSettings.control, mIdentity, std::move(both));
  mSettings.control = mListener->address();
  mIdentity.address = mSettings.control.text();
  mOperators = std::make_unique<http::Server>(
    mLoop,
    mSettings.operators,
    mSettings.limits,
    nullptr,
    [this](http::Session& aSession, http::Request aRequest) {
      return operate(aSession, std::move(aRequest));
    },
    http::ServerBounds{ .memory = mClientMemory,
                        .maxSessions = http::operatorSessions() });
  mSettings.operators = mOperators->address();
  log(LogLevel::Info,
      "listening",
      { { "control", mSettings.control.text() },
        { "operators", mSettings.operators.text() } });
}

void
Node::join()
{
  for (const contract::Address& peer : mSettings.peers) {
    if (peer != mSettings.control) {
      connect(peer.text(), peer);
    }
  }
}

bool
Node::isReady() const
{
  return mSpread && mSpread->hasConfiguration() && mDrain.isReady();
}

void
Node::received(const LinkPtr& aLink, wire::AnyMessage&& aMessage)
{
  const std::string& from = aLink->peer().instance;
  const Instant now = mLoop.now();
  mMembership->onTraffic(from, now);
  if (const auto* beat = std::get_if<wire::HeartbeatT>(&aMessage)) {
    const auto age = beat->fresh_age_us < 0
                       ? std::nullopt
                       : std::optional(Duration(beat->fresh_age_us));
    run(mMembership->onDigest(from, beat->members, now));
    run(mSpread->onHeartbeat(from, beat->objects, age, now));
  } else if (const auto* members = std::get_if<wire::MembersT>(&aMessage)) {
    std::vector<membership::Member> all;
    for (const auto& member : members->members) {
      all.push_back(fromWire(*member));
    }
    run(mMembership->onMembers(from, all, now));
  } else if (const auto* objects = std::get_if<wire::ObjectsT>(&aMessage)) {
    run(mSpread->onObjects(
      from, fromWire(*objects), mMembership->linkedMembers()));
  } else if (const auto* digest = std::get_if<wire::DigestT>(&aMessage)) {
    membership::BucketDigest::Buckets buckets{};
    std::copy_n(digest->buckets.begin(),
                std::min(buckets.size(), digest->buckets.size()),
                buckets.begin());
    if (digest->objects) {
      run(mSpread->onDigestBuckets(from, buckets));
    } else {
      run(mMembership->onDigestBuckets(from, buckets));
    }
  } else if (const auto* probed = std::get_if<wire::ProbeT>(&aMessage)) {
    if (probed->reply) {
      run(mMembership->onProbeResult(probed->target, probed->reached, now));
    } else {
      probe(aLink, *probed);
    }
  } else if (const auto* reply = std::get_if<wire::OrderReplyT>(&aMessage)) {
    mPlacement.replied(from, *reply);
  } else if (mHooks.overlayMessage) {
    mHooks.overlayMessage(from, std::move(aMessage));
  }
}

void
Node::tick()
{
  run(mMembership->tick(mLoop.now()));
  run(mSpread->tick(mLoop.now(), mMembership->isWatcher()));
  checkDrain();
}

void
Node::run(membership::Membership::Actions aActions)
{
  struct Visitor
  {
    Node& node;

    void operator()(const membership::ConnectTo& aAction) const
    {
      node.connect(aAction.name, aAction.address);
    }
    void operator()(const membership::DisconnectFrom& aAction) const
    {
      node.disconnect(aAction.name);
    }
    void operator()(const membership::SendMembers& aAction) const
    {
      wire::MembersT message;
      for (const membership::Member& member : aAction.members) {
        message.members.push_back(
          std::make_unique<wire::MemberT>(toWire(member)));
      }
      node.sendTo(aAction.to, message);
    }
    void operator()(const membership::RequestProbe& aAction) const
    {
      wire::ProbeT message;
      message.target = aAction.target;
      message.address = aAction.address.text();
      node.sendTo(aAction.via, message);
    }
    void operator()(const membership::SendDigest& aAction) const
    {
      node.sendTo(aAction.to, toWire(aAction.buckets, false));
    }
    void operator()(const membership::MemberChanged& aAction) const
    {
      if (aAction.member.name == node.mSettings.instance) {
        node.stopGracefully("listed as leaving");
        return;
      }
      log(LogLevel::Info,
          "member_changed",
          { { "member", aAction.member.name },
            { "state",
              nameIn(membership::kMemberStateNames, aAction.member.state) } });
      if (node.mHooks.memberChanged) {
        node.mHooks.memberChanged(aAction.member);
      }
    }
  };
  for (const auto& action : aActions) {
    std::visit(Visitor{ *this }, action);
  }
}

void
Node::run(membership::ConfigDissemination::Actions aActions)
{
  struct Visitor
  {
    Node& node;

    void operator()(const membership::SendObjects& aAction) const
    {
      node.sendTo(aAction.to, toWire(aAction.objects));
    }
    void operator()(const membership::SendObjectDigest& aAction) const
    {
      node.sendTo(aAction.to, toWire(aAction.buckets, true));
    }
    void operator()(const membership::QueryPlatform& aAction) const
    {
      node.mLoop.spawn(node.askPlatform(aAction));
    }
  };
  for (const auto& action : aActions) {
    std::visit(Visitor{ *this }, action);
  }
}

void
Node::stopGracefully(std::string_view aReason)
{
  if (!mDrain.isReady()) {
    return;
  }
  log(LogLevel::Info, "drain_requested", { { "reason", aReason } });
  mDrain.requested(mLoop.now());
  run(mMembership->announceLeaving(mLoop.now()));
}

void
Node::checkDrain()
{
  mDrain.tick(mLoop.now(), mHooks.inProgress ? mHooks.inProgress() : 0);
  if (mDrain.state() == DrainState::Stopped && !mLeft) {
    mLeft = true;
    log(LogLevel::Info, "stopped");
    mLoop.stop();
  }
}

} // namespace laburnum::node
