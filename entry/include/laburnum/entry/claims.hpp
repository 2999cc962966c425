#pragma once

#include "laburnum/coordination/claim_shard.hpp"
#include "laburnum/node/node.hpp"

#include <map>
#include <memory>

namespace laburnum::entry {

/// Claims of Idempotency-Keys in the platform: drives the shards' decisions.
/// Thread safety: loop thread.
class Claims
{
public:
  explicit Claims(node::Node& aNode);

  /// Carries out an operation on a claim; its answer tells who holds the key.
  /// Pre: none.
  asio::awaitable<coordination::ClaimResult> submit(
    coordination::ClaimOperation aOperation);

  /// Has the next operation on a key read the platform first, since another
  /// entry may have changed its claim. Pre: none.
  void refresh(const std::string& aKey) { shardOf(aKey).machine.invalidate(); }

  /// Records an outcome; tries again in the background if need be. Pre: none.
  asio::awaitable<void> record(std::string aKey,
                               std::uint64_t aNonce,
                               coordination::RecordedOutcome aOutcome);

  /// Frees the key of a request that certainly has not run. Pre: none.
  asio::awaitable<void> release(std::string aKey, std::uint64_t aNonce);

private:
  struct Shard
  {
    std::string name;
    coordination::ClaimShard machine;
  };
  struct Waiter
  {
    explicit Waiter(Loop& aLoop)
      : timer(aLoop.context(), asio::steady_timer::time_point::max())
    {
    }
    asio::steady_timer timer;
    std::optional<coordination::ClaimResult> answer;
  };

  Shard& shardOf(const std::string& aKey);
  void run(Shard& aShard, std::vector<coordination::ClaimAction> aActions);
  asio::awaitable<void> write(Shard& aShard, coordination::WriteShard aWrite);
  asio::awaitable<void> read(Shard& aShard);
  asio::awaitable<void> persist(coordination::ClaimOperation aOperation);

  node::Node& mNode;
  Loop& mLoop;
  std::map<std::size_t, Shard> mShards;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> mWaiters;
  std::uint64_t mNextToken = 0;
};

} // namespace laburnum::entry
