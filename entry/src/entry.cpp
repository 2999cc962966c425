#include "laburnum/entry/entry.hpp"

#include "laburnum/http/descriptors.hpp"
#include "laburnum/kernel/hash.hpp"
#include "laburnum/wire/suspicion.hpp"

#include <boost/json/object.hpp>

namespace laburnum::entry {
namespace {

constexpr Duration kTickPeriod = milliseconds(50);
constexpr Duration kComparePeriod = seconds(1);

} // namespace

Entry::Entry(node::Node& aNode)
  : mNode(aNode)
  , mLoop(aNode.loop())
  , mCertificate(aNode.settings().tls)
  , mRouter({ .seed = hash64(aNode.settings().instance) })
  , mClaims(aNode)
  , mLimits(aNode)
  , mAnswers(aNode.settings().limits.answerBytes)
{
}

Result<bool>
Entry::start()
{
  auto loaded = mCertificate.reload();
  if (!loaded) {
    return loaded;
  }
  mLinks = std::make_unique<AgentLinks>(
    mNode,
    mRouter,
    AgentLinkEvents{
      .message =
        [this](policy::ServerId aServer, wire::AnyMessage&& aMessage) {
          received(aServer, std::move(aMessage));
        },
      .lost =
        [this](policy::ServerId aServer) {
          eachAt(aServer, policy::AgentConnectionLost{ aServer });
        },
      .ready =
        [this](policy::ServerId aServer) {
          // Requests that wait for news of their attempt ask on the new link.
          eachAt(aServer, policy::AgentConnectionLost{ aServer });
        },
      .gone =
        [this](policy::ServerId aServer) {
          eachAt(aServer, policy::AgentLost{ aServer });
        },
    });
  mServer = std::make_unique<http::Server>(
    mLoop,
    mNode.settings().callers,
    mNode.settings().limits,
    &mCertificate,
    [this](http::Session& aSession, http::Request aRequest) {
      return serve(aSession, std::move(aRequest));
    },
    http::ServerBounds{ .memory = mNode.clientMemory(),
                        .maxSessions = http::descriptorLimit() * 7 / 10 });
  log(LogLevel::Info,
      "serving_callers",
      { { "callers", mServer->address().text() } });
  node::RoleHooks hooks;
  hooks.inProgress = [this] { return mExchanges.size(); };
  hooks.memberChanged = [this](const membership::Member& aMember) {
    mLinks->memberChanged(aMember);
  };
  hooks.configured = [this](const contract::Object& aObject) {
    configured(aObject);
  };
  hooks.overlayMessage = [this](const std::string& aFrom,
                                wire::AnyMessage&& aMessage) {
    if (const auto* ask = std::get_if<wire::BucketAskT>(&aMessage)) {
      mLimits.received(aFrom, *ask);
    } else if (const auto* grant = std::get_if<wire::BucketGrantT>(&aMessage)) {
      mLimits.received(*grant);
    } else if (const auto* suspects = std::get_if<wire::SuspectsT>(&aMessage)) {
      merge(*suspects);
    }
  };
  hooks.status = [this] {
    return boost::json::object{ { "requests", mExchanges.size() },
                                { "agents", mLinks->connected() },
                                { "callers", mServer->address().text() } };
  };
  mNode.metrics().gauge("laburnum_requests", [this] {
    return static_cast<double>(mExchanges.size());
  });
  mNode.metrics().gauge("laburnum_agents", [this] {
    return static_cast<double>(mLinks->connected());
  });
  mNode.metrics().gauge("laburnum_agent_link_bytes", [this] {
    return static_cast<double>(mLinks->bytes());
  });
  mNode.start(std::move(hooks), mServer->address());
  mLoop.every(kTickPeriod, [this] { tick(); });
  mLoop.every(wire::kHeartbeatPeriod, [this] { mLinks->beat(); });
  mLoop.every(kComparePeriod, [this] { mRouter.updateLoadShares(); });
  return true;
}

void
Entry::reload()
{
  const auto loaded = mCertificate.reload();
  if (!loaded) {
    log(LogLevel::Error,
        "certificate_kept",
        { { "detail", loaded.failure().detail } });
    return;
  }
  log(LogLevel::Info, "certificate_reloaded");
}

void
Entry::configured(const contract::Object& aObject)
{
  if (aObject.kind != "policy") {
    return;
  }
  const contract::PolicyRule& rule = mNode.store().policy();
  mBudgets.setRetryShare(rule.retryShare);
  mQuarantine.setRefusalDuration(rule.quarantine);
  if (!mRouter.setPolicy(rule.routing)) {
    log(LogLevel::Error,
        "unknown_routing_policy",
        { { "routing", rule.routing } });
  }
}

void
Entry::merge(const wire::SuspectsT& aNews)
{
  const auto news = wire::mergeSuspicions(mQuarantine, aNews, mLoop.now());
  if (!news.empty()) {
    mNode.sendToNeighbours(wire::encodeSuspicions(news));
  }
}

void
Entry::tick()
{
  mLimits.tick();
}

} // namespace laburnum::entry
