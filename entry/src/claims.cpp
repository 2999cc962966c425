#include "laburnum/entry/claims.hpp"

#include "laburnum/kernel/hash.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnum::entry {
namespace {

constexpr std::size_t kShards = 64;
constexpr Duration kPollPeriod = milliseconds(200);
constexpr int kPersistAttempts = 8;

std::int64_t
wallSeconds()
{
  return std::chrono::duration_cast<seconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

Claims::Claims(node::Node& aNode)
  : mNode(aNode)
  , mLoop(aNode.loop())
{
}

Claims::Shard&
Claims::shardOf(const std::string& aKey)
{
  const std::size_t number = hash64(aKey) % kShards;
  Shard& shard = mShards[number];
  if (shard.name.empty()) {
    shard.name = "shard-" + std::to_string(number);
  }
  return shard;
}

asio::awaitable<coordination::ClaimResult>
Claims::submit(coordination::ClaimOperation aOperation)
{
  const std::uint64_t token = ++mNextToken;
  std::visit([token](auto& aOne) { aOne.token = token; }, aOperation);
  Shard& shard = shardOf(
    std::visit([](const auto& aOne) -> const std::string& { return aOne.key; },
               aOperation));
  const auto waiter = std::make_shared<Waiter>(mLoop);
  mWaiters[token] = waiter;
  run(shard, shard.machine.submit(std::move(aOperation), wallSeconds()));
  while (!waiter->answer) {
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return *waiter->answer;
}

void
Claims::run(Shard& aShard, std::vector<coordination::ClaimAction> aActions)
{
  for (coordination::ClaimAction& action : aActions) {
    if (auto* write = std::get_if<coordination::WriteShard>(&action)) {
      mLoop.spawn(this->write(aShard, std::move(*write)));
    } else if (std::holds_alternative<coordination::ReadShard>(action)) {
      mLoop.spawn(read(aShard));
    } else {
      auto& answer = std::get<coordination::ClaimResult>(action);
      const auto found = mWaiters.find(answer.token);
      if (found != mWaiters.end()) {
        found->second->answer = std::move(answer);
        found->second->timer.cancel();
        mWaiters.erase(found);
      }
    }
  }
}

asio::awaitable<void>
Claims::write(Shard& aShard, coordination::WriteShard aWrite)
{
  ++mNode.metrics().counter("laburnum_claim_writes_total");
  contract::Object object{ .kind = "claim", .name = aShard.name };
  object.value = std::move(aWrite.value);
  const auto outcome =
    co_await mNode.platform().write(std::move(object), aWrite.expectedVersion);
  if (const auto* written = std::get_if<coordination::Written>(&outcome)) {
    run(aShard, aShard.machine.onWritten(written->version));
  } else if (const auto* conflict =
               std::get_if<coordination::WriteConflict>(&outcome)) {
    const std::uint64_t version =
      conflict->present ? conflict->present->version : 0;
    run(aShard,
        aShard.machine.onConflict(
          version, conflict->present ? conflict->present->value : ""));
  } else {
    run(aShard, aShard.machine.onReplyLost());
  }
}

asio::awaitable<void>
Claims::read(Shard& aShard)
{
  const auto object = co_await mNode.platform().read("claim", aShard.name);
  if (object) {
    run(aShard, aShard.machine.onRead(object->version, object->value));
  } else if (object.failure().error == Error::ObjectNotFound) {
    run(aShard, aShard.machine.onRead(0, ""));
  } else {
    run(aShard, aShard.machine.onReadFailed());
  }
}

asio::awaitable<void>
Claims::persist(coordination::ClaimOperation aOperation)
{
  Duration pause = kPollPeriod;
  for (int i = 0; i < kPersistAttempts; ++i) {
    const auto answer = co_await submit(aOperation);
    if (answer.status != coordination::ClaimStatus::Unavailable) {
      co_return;
    }
    co_await mLoop.sleep(pause);
    pause *= 2;
  }
  log(LogLevel::Error,
      "claim_not_recorded",
      { { "attempts", kPersistAttempts } });
}

asio::awaitable<void>
Claims::record(std::string aKey,
               std::uint64_t aNonce,
               coordination::RecordedOutcome aOutcome)
{
  coordination::RecordOutcome operation{ .key = aKey,
                                         .nonce = aNonce,
                                         .outcome = std::move(aOutcome) };
  co_await persist(std::move(operation));
}

asio::awaitable<void>
Claims::release(std::string aKey, std::uint64_t aNonce)
{
  coordination::ReleaseClaim operation{ .key = aKey, .nonce = aNonce };
  co_await persist(std::move(operation));
}

} // namespace laburnum::entry
