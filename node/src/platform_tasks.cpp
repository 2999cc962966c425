#include "laburnum/node/node.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace laburnum::node {
namespace {

namespace json = boost::json;

constexpr Duration kWatchWait = seconds(2);
constexpr Duration kInstancesPeriod = seconds(1);

constexpr Duration kDutyPeriod = milliseconds(250);

} // namespace

void
Node::adopted(const contract::Object& aObject)
{
  log(LogLevel::Info,
      "in_force",
      { { "kind", aObject.kind },
        { "name", aObject.name },
        { "version", aObject.version } });
  ++mMetrics.counter("laburnum_config_adopted_total");
  if (aObject.kind == "instance" && !aObject.deleted &&
      aObject.name != mSettings.instance) {
    json::error_code error;
    const json::value value = json::parse(aObject.value, error);
    contract::FieldReader reader(error ? json::value(json::object()) : value,
                                 "");
    membership::Member member{ .name = aObject.name };
    member.incarnation = static_cast<std::uint64_t>(reader.integer(
      "incarnation", 0, 0, std::numeric_limits<std::int64_t>::max()));
    member.role = valueIn(contract::kRoleNames, reader.text("role", ""))
                    .value_or(contract::Role::Entry);
    member.domain = reader.text("failure_domain", "");
    member.region = reader.text("region", "");
    member.offers = reader.texts("offers");
    member.slots = static_cast<int>(reader.integer("slots", 0, 0, 1000000));
    member.takesOrders = reader.boolean("takes_orders", false);
    const auto address = contract::parseAddress(reader.text("address", ""));
    if (address) {
      member.address = *address;
      run(mMembership->onMembers("", { member }, mLoop.now()));
    }
  }
  if (mHooks.configured) {
    mHooks.configured(aObject);
  }
}

asio::awaitable<void>
Node::askPlatform(membership::QueryPlatform aAsk)
{
  const auto list = co_await mPlatform.watch(
    aAsk.afterVersion, aAsk.longPoll ? kWatchWait : Duration(0));
  if (!list) {
    ++mMetrics.counter("laburnum_platform_failures_total");
    mSpread->onPlatformFailure(mLoop.now());
    co_return;
  }
  run(mSpread->onPlatformObjects(
    list->objects, list->version, mMembership->linkedMembers(), mLoop.now()));
}

contract::Object
Node::instanceObject() const
{
  const membership::Member& self = mMembership->self();
  json::array offers;
  for (const std::string& offer : self.offers) {
    offers.emplace_back(offer);
  }
  contract::Object object{ .kind = "instance", .name = mSettings.instance };
  object.value = json::serialize(
    json::object{ { "role", nameIn(contract::kRoleNames, mSettings.role) },
                  { "failure_domain", mSettings.failureDomain },
                  { "region", mSettings.region },
                  { "address", mSettings.control.text() },
                  { "operators", mSettings.operators.text() },
                  { "callers", mSettings.callers.text() },
                  { "incarnation", mIdentity.incarnation },
                  { "offers", std::move(offers) },
                  { "takes_orders", self.takesOrders },
                  { "slots", mSettings.server.slots } });
  return object;
}

asio::awaitable<void>
Node::publish()
{
  std::uint64_t expected = 0;
  Duration pause = milliseconds(200);
  while (mDrain.takesWork()) {
    // Built anew each time, so that the last write has the latest offers.
    contract::Object object = instanceObject();
    const auto outcome = co_await mPlatform.write(std::move(object), expected);
    if (std::holds_alternative<coordination::Written>(outcome)) {
      co_return;
    }
    if (const auto* conflict =
          std::get_if<coordination::WriteConflict>(&outcome)) {
      expected = conflict->present ? conflict->present->version : 0;
      continue;
    }
    co_await mLoop.sleep(pause);
    pause = std::min<Duration>(pause * 2, seconds(30));
  }
}

asio::awaitable<void>
Node::followInstances()
{
  for (;;) {
    co_await mLoop.sleep(kInstancesPeriod);
    if (!mMembership->isWatcher()) {
      continue;
    }
    const auto listed = co_await mPlatform.instances();
    if (!listed) {
      continue;
    }
    for (const coordination::ListedInstance& instance : *listed) {
      if (instance.leaving) {
        run(mMembership->onListedLeaving(instance.name, mLoop.now()));
      }
    }
  }
}

asio::awaitable<void>
Node::doDuties()
{
  for (;;) {
    co_await mLoop.sleep(kDutyPeriod);
    for (const auto& [name, member] : mMembership->members()) {
      if (member.state == membership::MemberState::Dead) {
        mDeadSince.try_emplace(name, mLoop.now());
      } else {
        mDeadSince.erase(name);
      }
    }
    if (mMembership->isWatcher() && isReady()) {
      placeModels();
      mInstancesDuty.tick();
      co_await removeStaleInstance();
    }
  }
}

asio::awaitable<void>
Node::removeStaleInstance()
{
  std::string stale;
  for (const auto& [name, since] : mDeadSince) {
    const contract::Object* object = mStore.find("instance", name);
    const bool listed = object != nullptr && !object->deleted;
    if (listed && mLoop.now() - since >= mSettings.limits.forgetInstance) {
      stale = name;
    }
  }
  if (stale.empty() || !mInstancesDuty.holds()) {
    co_return;
  }
  // On condition of the version seen: a daemon that came back has written a
  // newer one, which stays.
  const std::uint64_t seen = mStore.find("instance", stale)->version;
  const auto outcome = co_await mPlatform.remove("instance", stale, seen);
  if (std::holds_alternative<coordination::Written>(outcome)) {
    log(LogLevel::Info, "instance_removed", { { "name", stale } });
  }
}

void
Node::announce(const membership::Member& aChanged)
{
  run(mMembership->updateSelf(aChanged, mLoop.now()));
  if (aChanged.loading.empty()) {
    mLoop.spawn(publish());
  }
}

void
Node::release(const std::string& aName)
{
  if (!mMembership->isNeighbour(aName)) {
    disconnect(aName);
  }
}

bool
Node::order(const std::string& aServer, const wire::OrderT& aOrder)
{
  if (aServer != mSettings.instance) {
    return sendTo(aServer, aOrder);
  }
  if (mHooks.overlayMessage) {
    mHooks.overlayMessage(aServer, aOrder);
  }
  return true;
}

void
Node::placeModels()
{
  mPlacement.tick(
    *mMembership,
    [this](const std::string& aServer, const wire::OrderT& aOrder) {
      return order(aServer, aOrder);
    });
  // Links that only an order needed.
  for (const std::string& server : mPlacement.ended()) {
    release(server);
  }
}

} // namespace laburnum::node
