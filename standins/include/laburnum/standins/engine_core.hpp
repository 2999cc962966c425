#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace laburnum::standins {

struct EngineOptions
{
  int slots = 8;                        ///< Sequences in one batch.
  Duration stepBase = milliseconds(18); ///< Of one step of the batch.
  Duration stepPerSequence = microseconds(250);
  double prefillPerStep = 512;    ///< Prompt tokens a step takes in.
  std::size_t cacheBlocks = 4096; ///< Prefix blocks kept.
  double slowdown = 1;            ///< A stalled rank slows all steps.
};

/// One sequence for the engine to generate.
struct EngineWork
{
  std::uint64_t id = 0;
  double promptTokens = 1;
  int outputTokens = 1;
  int priority = 5;
  std::vector<std::uint64_t> prefix; ///< Blocks of 16 prompt tokens.
};

/// Prefix blocks that a step stored or evicted.
struct CacheEvent
{
  bool stored = true;
  std::uint64_t block = 0;
};

/// What one step of the batch produced.
struct StepResult
{
  Duration took{ 0 };
  std::vector<std::uint64_t> tokens; ///< Sequences that gave one token.
  std::vector<std::uint64_t> ended;
  std::vector<CacheEvent> cache;
};

/// A continuously batching engine: sequences wait by priority, share steps,
/// and reuse cached prompt prefixes. Free of I/O. Thread safety: loop thread.
class EngineCore
{
public:
  explicit EngineCore(EngineOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  void submit(EngineWork aWork);
  bool cancel(std::uint64_t aId);
  bool idle() const { return mRunning.empty() && mWaiting.empty(); }

  /// Runs one step of the batch. Pre: not idle.
  StepResult step();

  /// Everything in progress is lost, as is the cache.
  void crash();

  std::size_t running() const { return mRunning.size(); }
  std::size_t waiting() const { return mWaiting.size(); }
  void changeSlowdown(double aFactor) { mOptions.slowdown = aFactor; }
  const EngineOptions& options() const { return mOptions; }

  /// Prompt tokens asked for, and those of them found in the cache.
  double promptTokens() const { return mPromptTokens; }
  double cachedTokens() const { return mCachedTokens; }

private:
  struct Sequence
  {
    EngineWork work;
    double prefillLeft = 0;
    int produced = 0;
  };

  void admit(StepResult& aResult);
  std::size_t cachedBlocks(const std::vector<std::uint64_t>& aPrefix);
  void store(const std::vector<std::uint64_t>& aPrefix, StepResult& aResult);

  EngineOptions mOptions;
  std::list<Sequence> mRunning;
  std::list<Sequence> mWaiting;
  std::list<std::uint64_t> mCache; ///< Latest used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
    mCacheIndex;
  double mPromptTokens = 0;
  double mCachedTokens = 0;
};

} // namespace laburnum::standins
