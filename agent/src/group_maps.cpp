#include "laburnum/agent/group_maps.hpp"
#include "group_messages.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace laburnum::agent {
namespace {

namespace json = boost::json;
namespace bhttp = boost::beast::http;

constexpr Duration kIdlePeriod = seconds(1);
constexpr Duration kBusyPeriod = milliseconds(100);

/// Between looks at an engine that has shown no group.
constexpr Duration kNoGroupPeriod = seconds(5);

constexpr Duration kCallTimeout = seconds(5);

/// A map that goes on unchanged for the time of a takeover costs little, so
/// the term is long and the platform has few renewals of many groups.
constexpr coordination::LeaseOptions kLease{ .term = seconds(18),
                                             .safetyMargin = seconds(4),
                                             .renewInterval = seconds(6) };

constexpr std::int64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();

std::vector<std::vector<double>>
parseLoads(const json::value* aValue)
{
  std::vector<std::vector<double>> loads;
  if (aValue == nullptr || !aValue->is_array()) {
    return loads;
  }
  for (const json::value& layer : aValue->as_array()) {
    std::vector<double> one;
    for (const json::value& load :
         layer.is_array() ? layer.as_array() : json::array()) {
      json::error_code error;
      one.push_back(load.to_number<double>(error));
    }
    loads.push_back(std::move(one));
  }
  return loads;
}

} // namespace

GroupMaps::GroupMaps(node::Node& aNode, http::ClientPool& aServer)
  : mNode(aNode)
  , mLoop(aNode.loop())
  , mServer(aServer)
{
}

void
GroupMaps::start()
{
  if (mNode.settings().server.kind == contract::ServerKind::Engine) {
    mLoop.spawn(follow());
  }
}

json::value
GroupMaps::status() const
{
  if (!mGroup) {
    return nullptr;
  }
  return json::object{ { "name", mGroup->name },
                       { "first_rank", mGroup->firstRank },
                       { "ranks", mGroup->ranks },
                       { "size", mGroup->size },
                       { "epoch", mGroup->epoch },
                       { "step", mGroup->step },
                       { "changing", mChange && mChange->isBusy() },
                       { "duty", mDuty->state() } };
}

asio::awaitable<std::optional<json::value>>
GroupMaps::call(std::string aPath, std::optional<json::value> aBody)
{
  http::Request request{ aBody ? bhttp::verb::post : bhttp::verb::get,
                         aPath,
                         11 };
  if (aBody) {
    request.body() = json::serialize(*aBody);
    request.prepare_payload();
  }
  const auto response =
    co_await mServer.request(std::move(request), kCallTimeout);
  if (!response || response->result_int() / 100 != 2) {
    co_return std::nullopt;
  }
  json::error_code error;
  json::value body = json::parse(response->body(), error);
  if (error) {
    co_return std::nullopt;
  }
  co_return body;
}

bool
GroupMaps::isMine(experts::Rank aRank) const
{
  return mGroup && aRank >= mGroup->firstRank &&
         aRank < mGroup->firstRank + mGroup->ranks;
}

asio::awaitable<void>
GroupMaps::follow()
{
  for (;;) {
    const bool known = co_await readState();
    if (known) {
      co_await coordinate();
    }
    const bool busy =
      mGroup && (mGroup->armed || (mChange && mChange->isBusy()));
    co_await mLoop.sleep(!mGroup ? kNoGroupPeriod
                         : busy  ? kBusyPeriod
                                 : kIdlePeriod);
  }
}

asio::awaitable<bool>
GroupMaps::readState()
{
  const auto body = co_await call("/group", std::nullopt);
  if (!body) {
    co_return false;
  }
  contract::FieldReader reader(*body, "");
  Group group;
  group.name = reader.requiredText("name");
  group.firstRank =
    static_cast<experts::Rank>(reader.integer("first_rank", 0, 0, 1'000'000));
  group.ranks =
    static_cast<std::size_t>(reader.integer("ranks", 0, 1, 1'000'000));
  group.size =
    static_cast<std::size_t>(reader.integer("size", 0, 1, 1'000'000));
  group.epoch =
    static_cast<experts::Epoch>(reader.integer("epoch", 0, 0, kMaxNumber));
  group.step =
    static_cast<experts::StepNumber>(reader.integer("step", 0, 0, kMaxNumber));
  group.armed = reader.boolean("armed", false);
  if (group.name.empty() || group.ranks == 0) {
    co_return false;
  }
  adopt(group);
  // Ranks that wait for an outcome ask the others for it.
  for (const experts::SwitchEnvelope& note : experts::parseEnvelopes(*body)) {
    carry(note, 0);
  }
  co_return true;
}

void
GroupMaps::adopt(const Group& aGroup)
{
  const Instant now = mLoop.now();
  if (mGroup && aGroup.step > mGroup->step && now > mReadAt) {
    mStepsPerSecond = static_cast<double>(aGroup.step - mGroup->step) /
                      toSeconds(now - mReadAt);
  }
  const bool changed = !mGroup || mGroup->name != aGroup.name ||
                       mGroup->firstRank != aGroup.firstRank ||
                       mGroup->ranks != aGroup.ranks;
  mGroup = aGroup;
  mReadAt = now;
  if (!changed) {
    return;
  }
  mChange.reset();
  if (mDuty) {
    mOldDuties.push_back(std::move(mDuty));
  }
  mDuty = std::make_unique<node::Duty>(
    mLoop, mNode.platform(), "maps-" + aGroup.name, mNode.runName(), kLease);
  membership::Member self = mNode.membership().self();
  self.group = aGroup.name;
  self.firstRank = static_cast<int>(aGroup.firstRank);
  self.ranks = static_cast<int>(aGroup.ranks);
  mNode.announce(self);
}

asio::awaitable<bool>
GroupMaps::readPlanInputs(experts::GroupView& aView)
{
  const auto body = co_await call("/group/map", std::nullopt);
  if (!body || !body->is_object()) {
    co_return false;
  }
  const json::value* map = body->as_object().if_contains("map");
  auto parsed = experts::parseGroupMap(map == nullptr ? json::value() : *map);
  if (!parsed) {
    log(LogLevel::Warn,
        "engine_map_faulty",
        { { "detail", parsed.failure().detail } });
    co_return false;
  }
  aView.map = std::move(*parsed);
  aView.loads = parseLoads(body->as_object().if_contains("loads"));
  co_return true;
}

asio::awaitable<void>
GroupMaps::coordinate()
{
  if (mNode.isReady()) {
    mDuty->tick();
  }
  if (!mDuty->holds()) {
    // What was armed is settled by the ranks among themselves.
    if (mChange) {
      mChange->abandon();
    }
    co_return;
  }
  if (!mChange) {
    mChange = std::make_unique<experts::MapChange>(mGroup->size);
  }
  mChange->setPlanInterval(mNode.store().policy().mapPlanInterval);
  experts::GroupView view{ .epoch = mGroup->epoch,
                           .step = mGroup->step,
                           .stepsPerSecond = mStepsPerSecond };
  if (mChange->isPlanDue(mLoop.now())) {
    const bool good = co_await readPlanInputs(view);
    if (!good || !mDuty->holds() || !mChange) {
      co_return;
    }
  }
  perform(mChange->tick(mLoop.now(), view, mDuty->fence()));
  if (mWasBusy && !mChange->isBusy()) {
    releaseLinks();
  }
  mWasBusy = mChange->isBusy();
}

void
GroupMaps::perform(std::vector<experts::ChangeAction> aActions)
{
  const std::uint64_t fence = mDuty->fence();
  for (experts::ChangeAction& action : aActions) {
    if (const auto* out = std::get_if<experts::OutgoingMessage>(&action)) {
      carry({ .from = experts::CoordinatorEndpoint{},
              .to = out->to,
              .message = out->message },
            fence);
      continue;
    }
    const auto& next = std::get<experts::PrepareRanks>(action);
    log(LogLevel::Info,
        "map_change_begun",
        { { "group", mGroup->name }, { "epoch", next.epoch } });
    const wire::PrepareMapT message = toWire(mGroup->name, next, fence);
    for (const std::string& agent : agents()) {
      send(agent, message);
    }
  }
}

void
GroupMaps::releaseLinks()
{
  for (const std::string& agent : agents()) {
    mNode.release(agent);
  }
}

/// The agents of the group that are not known to be dead, this one first.
std::vector<std::string>
GroupMaps::agents() const
{
  std::vector<std::string> names{ mNode.settings().instance };
  for (const auto& [name, member] : mNode.membership().members()) {
    if (member.group == mGroup->name &&
        member.state != membership::MemberState::Dead) {
      names.push_back(name);
    }
  }
  return names;
}

void
GroupMaps::carry(const experts::SwitchEnvelope& aNote, std::uint64_t aFence)
{
  const auto* rank = std::get_if<experts::Rank>(&aNote.to);
  if (rank == nullptr) {
    return;
  }
  const wire::RankMessageT message = toWire(mGroup->name, aNote, aFence);
  if (isMine(*rank)) {
    received(mNode.settings().instance, message);
    return;
  }
  for (const auto& [name, member] : mNode.membership().members()) {
    const auto first = static_cast<experts::Rank>(member.firstRank);
    const auto count = static_cast<experts::Rank>(member.ranks);
    if (member.group == mGroup->name && *rank >= first &&
        *rank < first + count) {
      send(name, message);
    }
  }
}

void
GroupMaps::send(const std::string& aTo, const wire::AnyMessage& aMessage)
{
  if (aTo != mNode.settings().instance) {
    // Over a link that is opened now it goes with the next repeat.
    mNode.sendTo(aTo, aMessage);
    return;
  }
  if (const auto* note = std::get_if<wire::RankMessageT>(&aMessage)) {
    received(aTo, *note);
  } else if (const auto* prepare = std::get_if<wire::PrepareMapT>(&aMessage)) {
    received(aTo, *prepare);
  }
}

void
GroupMaps::received(const std::string& aFrom,
                    const wire::RankMessageT& aMessage)
{
  if (!mGroup || aMessage.group != mGroup->name) {
    return;
  }
  const experts::SwitchEnvelope note = fromWire(aMessage);
  if (const auto* rank = std::get_if<experts::Rank>(&note.to)) {
    if (isMine(*rank)) {
      mLoop.spawn(deliver(aFrom, note, aMessage.fence));
    }
    return;
  }
  const auto* from = std::get_if<experts::Rank>(&note.from);
  if (from != nullptr && mChange && mDuty->holds()) {
    perform(mChange->handle(*from, note.message));
  }
}

void
GroupMaps::received(const std::string& aFrom, const wire::PrepareMapT& aMessage)
{
  if (!mGroup || aMessage.group != mGroup->name) {
    return;
  }
  if (!aMessage.prepared) {
    mLoop.spawn(prepare(aFrom, aMessage));
    return;
  }
  for (std::int32_t i = 0; mChange && i < aMessage.ranks; ++i) {
    mChange->markPrepared(static_cast<experts::Rank>(aMessage.first_rank + i),
                          aMessage.epoch);
  }
}

/// Engines may ignore fencing numbers, so an order of an older coordinator
/// ends here.
asio::awaitable<bool>
GroupMaps::passes(std::uint64_t aFence)
{
  const Error error = co_await node::admitOrder(
    mGate, mNode.platform(), "maps-" + mGroup->name, aFence);
  co_return error == Error::None;
}

asio::awaitable<void>
GroupMaps::deliver(std::string aFrom,
                   experts::SwitchEnvelope aNote,
                   std::uint64_t aFence)
{
  if (std::holds_alternative<experts::Arm>(aNote.message)) {
    const bool passed = co_await passes(aFence);
    if (!passed) {
      co_return;
    }
  }
  const auto body = co_await call("/group/messages", experts::toJson(aNote));
  if (!body) {
    co_return;
  }
  for (const experts::SwitchEnvelope& reply : experts::parseEnvelopes(*body)) {
    if (std::holds_alternative<experts::CoordinatorEndpoint>(reply.to)) {
      send(aFrom, toWire(mGroup->name, reply, 0));
    } else {
      carry(reply, 0);
    }
  }
}

asio::awaitable<void>
GroupMaps::prepare(std::string aFrom, wire::PrepareMapT aMessage)
{
  const bool passed = co_await passes(aMessage.fence);
  if (!passed) {
    co_return;
  }
  json::object order{ { "epoch", aMessage.epoch },
                      { "fence", aMessage.fence },
                      { "map", experts::toJson(fromWire(aMessage)) } };
  const auto body =
    co_await call("/group/prepare", json::value(std::move(order)));
  const json::value* prepared = body && body->is_object()
                                  ? body->as_object().if_contains("prepared")
                                  : nullptr;
  if (prepared == nullptr || !prepared->is_bool() || !prepared->as_bool()) {
    co_return; // Still loading; the coordinator asks again.
  }
  wire::PrepareMapT reply;
  reply.group = mGroup->name;
  reply.epoch = aMessage.epoch;
  reply.prepared = true;
  reply.first_rank = static_cast<std::int32_t>(mGroup->firstRank);
  reply.ranks = static_cast<std::int32_t>(mGroup->ranks);
  send(aFrom, reply);
}

} // namespace laburnum::agent
