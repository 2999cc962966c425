#include "laburnum/bench/claim_world.hpp"

#include "laburnum/kernel/hash.hpp"

#include <algorithm>

namespace laburnum::bench {

ClaimWorld::ClaimWorld(std::uint64_t aSeed, ClaimWorldOptions aOptions)
  : mQueue(aSeed)
  , mOptions(aOptions)
  , mShards(aOptions.entries)
{
  mPlatform.faults.writesPerSecond = mOptions.writesPerSecond;
}

Duration
ClaimWorld::hop()
{
  return microseconds(200 + mQueue.random().below(600));
}

Duration
ClaimWorld::callTime()
{
  return milliseconds(2) + microseconds(mQueue.random().below(4000));
}

std::string
ClaimWorld::shardOf(const std::string& aKey) const
{
  return mOptions.onePerKey
           ? aKey
           : "shard-" + std::to_string(hash64(aKey) % mOptions.shards);
}

std::size_t
ClaimWorld::ownerOf(const std::string& aName, std::size_t aEntry) const
{
  return mOptions.ownerForwards && !mOptions.onePerKey
           ? hash64(aName) % mOptions.entries
           : aEntry;
}

void
ClaimWorld::book(std::string aKey, std::size_t aEntry)
{
  const std::uint64_t token = ++mNext;
  const std::uint64_t nonce = mix(aEntry, token);
  mWaiting[token] = { .key = aKey,
                      .entry = aEntry,
                      .since = mQueue.now(),
                      .nonce = nonce,
                      .isTake = true };
  ++mCounts.bookings;
  submit(ownerOf(shardOf(aKey), aEntry),
         coordination::AcquireClaim{
           .token = token, .key = aKey, .nonce = nonce, .requestHash = 1 },
         aKey);
}

void
ClaimWorld::submit(std::size_t aOwner,
                   coordination::ClaimOperation aOperation,
                   const std::string& aKey)
{
  const std::string name = shardOf(aKey);
  mQueue.after(hop(), [this, aOwner, name, operation = std::move(aOperation)] {
    Shard& shard = mShards[aOwner][name];
    shard.name = name;
    if (shard.machine.pendingOperations() == 0 && mShards[aOwner].size() == 1) {
      shard.machine.invalidate();
    }
    const auto wall =
      std::chrono::duration_cast<seconds>(mQueue.now().time_since_epoch())
        .count();
    run(aOwner, shard, shard.machine.submit(operation, wall));
  });
}

void
ClaimWorld::run(std::size_t aEntry,
                Shard& aShard,
                std::vector<coordination::ClaimAction> aActions)
{
  for (auto& action : aActions) {
    if (auto* write = std::get_if<coordination::WriteShard>(&action)) {
      this->write(aEntry, aShard, std::move(*write));
    } else if (std::holds_alternative<coordination::ReadShard>(action)) {
      ++mCounts.calls;
      mQueue.after(callTime(), [this, aEntry, &aShard] {
        const contract::Object* object = mPlatform.read("claim", aShard.name);
        run(aEntry,
            aShard,
            object == nullptr
              ? aShard.machine.onRead(0, "")
              : aShard.machine.onRead(object->version, object->value));
      });
    } else {
      const auto answer = std::get<coordination::ClaimResult>(action);
      mQueue.after(hop(), [this, answer] { answered(answer); });
    }
  }
}

void
ClaimWorld::write(std::size_t aEntry,
                  Shard& aShard,
                  coordination::WriteShard aWrite)
{
  if (!mPlatform.admit(true, mQueue.now())) {
    // Over the platform's rate: wait a little and send again.
    mQueue.after(
      milliseconds(5 + mQueue.random().below(20)),
      [this, aEntry, &aShard, aWrite] { write(aEntry, aShard, aWrite); });
    return;
  }
  ++mCounts.calls;
  mQueue.after(callTime(), [this, aEntry, &aShard, aWrite] {
    if (mQueue.random().chance(mOptions.outageShare)) {
      run(aEntry, aShard, aShard.machine.onReplyLost());
      return;
    }
    contract::Object object{ .kind = "claim", .name = aShard.name };
    object.value = aWrite.value;
    std::uint64_t expected = aWrite.expectedVersion;
    if (!mOptions.conditional) {
      const contract::Object* present = mPlatform.read("claim", aShard.name);
      expected = present == nullptr ? 0 : present->version;
    }
    const auto result = mPlatform.write(std::move(object), expected);
    if (mQueue.random().chance(mOptions.loseShare)) {
      run(aEntry, aShard, aShard.machine.onReplyLost());
    } else if (result.written) {
      run(aEntry, aShard, aShard.machine.onWritten(result.object->version));
    } else {
      run(aEntry,
          aShard,
          aShard.machine.onConflict(result.object ? result.object->version : 0,
                                    result.object ? result.object->value : ""));
    }
  });
}

void
ClaimWorld::answered(const coordination::ClaimResult& aAnswer)
{
  const auto found = mWaiting.find(aAnswer.token);
  if (found == mWaiting.end()) {
    return;
  }
  const Waiting waiting = found->second;
  mWaiting.erase(found);
  if (!waiting.isTake) {
    return;
  }
  mCounts.latencies.push_back(toSeconds(mQueue.now() - waiting.since));
  if (aAnswer.status == coordination::ClaimStatus::Unavailable) {
    ++mCounts.unavailable;
  }
  if (aAnswer.status != coordination::ClaimStatus::Granted) {
    return;
  }
  ++mCounts.granted;
  mCounts.doubleGrants += ++mGrants[waiting.key] == 2 ? 1 : 0;
  // The booking runs for a while and then its outcome is recorded.
  mQueue.after(milliseconds(20), [this, waiting] {
    const std::uint64_t token = ++mNext;
    mWaiting[token] = waiting;
    mWaiting[token].isTake = false;
    submit(ownerOf(shardOf(waiting.key), waiting.entry),
           coordination::RecordOutcome{
             .token = token,
             .key = waiting.key,
             .nonce = waiting.nonce,
             .outcome = { .status = 201, .body = "{\"visit\":1}" } },
           waiting.key);
  });
}

ClaimWorldCounts
ClaimWorld::run()
{
  const double total = mOptions.bookingsPerSecond * toSeconds(mOptions.span);
  Random& random = mQueue.random();
  for (int i = 0; i < static_cast<int>(total); ++i) {
    const std::string key = "key-" + std::to_string(i);
    const Duration at = fromSeconds(random.unit() * toSeconds(mOptions.span));
    mQueue.after(
      at, [this, key] { book(key, mQueue.random().below(mOptions.entries)); });
    if (random.chance(mOptions.resendShare)) {
      const Duration again = at + milliseconds(random.below(500));
      mQueue.after(again, [this, key] {
        book(key, mQueue.random().below(mOptions.entries));
      });
    }
  }
  mQueue.runAll(20'000'000);
  return mCounts;
}

} // namespace laburnum::bench
