#pragma once

#include "laburnum/bench/event_queue.hpp"
#include "laburnum/coordination/claim_shard.hpp"
#include "laburnum/standins/platform_core.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnum::bench {

struct ClaimWorldOptions
{
  std::size_t entries = 4;
  std::size_t shards = 16;
  double bookingsPerSecond = 100;
  Duration span = seconds(10);
  double resendShare = 0.1;     ///< Bookings that callers send again.
  double writesPerSecond = 400; ///< The platform's limit.
  double loseShare = 0;         ///< Replies lost after the effect.
  double outageShare = 0;       ///< Calls that fail without effect.
  bool ownerForwards = true;    ///< Claims go to the shard's owner.
  bool onePerKey = false;       ///< The baseline: an object for each key.
  bool conditional = true;      ///< Off: the platform's conditions are ignored.
};

struct ClaimWorldCounts
{
  std::uint64_t bookings = 0;
  std::uint64_t granted = 0;
  std::uint64_t doubleGrants = 0; ///< Keys that two requests were let run.
  std::uint64_t unavailable = 0;
  std::uint64_t calls = 0;
  std::vector<double> latencies; ///< Seconds until a claim was decided.
};

/// Bookings with keys at several entries, through real claim shards and the
/// platform's stand-in under its write limit. Thread safety: one thread.
class ClaimWorld
{
public:
  ClaimWorld(std::uint64_t aSeed, ClaimWorldOptions aOptions);
  ClaimWorldCounts run();

private:
  struct Shard
  {
    std::string name;
    coordination::ClaimShard machine;
  };
  struct Waiting
  {
    std::string key;
    std::size_t entry;
    Instant since;
    std::uint64_t nonce;
    bool isTake;
  };

  void book(std::string aKey, std::size_t aEntry);
  void submit(std::size_t aOwner,
              coordination::ClaimOperation aOperation,
              const std::string& aKey);
  void run(std::size_t aEntry,
           Shard& aShard,
           std::vector<coordination::ClaimAction> aActions);
  void write(std::size_t aEntry,
             Shard& aShard,
             coordination::WriteShard aWrite);
  void answered(const coordination::ClaimResult& aAnswer);
  std::size_t ownerOf(const std::string& aName, std::size_t aEntry) const;
  std::string shardOf(const std::string& aKey) const;
  Duration hop();
  Duration callTime();

  EventQueue mQueue;
  ClaimWorldOptions mOptions;
  standins::PlatformCore mPlatform;
  std::vector<std::map<std::string, Shard>> mShards; ///< By entry.
  std::map<std::uint64_t, Waiting> mWaiting;
  std::map<std::string, int> mGrants;
  std::uint64_t mNext = 0;
  ClaimWorldCounts mCounts;
};

} // namespace laburnum::bench
