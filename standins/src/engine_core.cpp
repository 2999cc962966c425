#include "laburnum/standins/engine_core.hpp"

#include <algorithm>

namespace laburnum::standins {
namespace {

constexpr double kTokensPerBlock = 16;

} // namespace

void
EngineCore::submit(EngineWork aWork)
{
  const auto place =
    std::find_if(mWaiting.begin(), mWaiting.end(), [&](const Sequence& aOther) {
      return aOther.work.priority < aWork.priority;
    });
  mWaiting.insert(place, Sequence{ .work = std::move(aWork) });
}

bool
EngineCore::cancel(std::uint64_t aId)
{
  const auto isIt = [&](const Sequence& aSequence) {
    return aSequence.work.id == aId;
  };
  return std::erase_if(mWaiting, isIt) + std::erase_if(mRunning, isIt) > 0;
}

void
EngineCore::crash()
{
  mRunning.clear();
  mWaiting.clear();
  mCache.clear();
  mCacheIndex.clear();
}

std::size_t
EngineCore::cachedBlocks(const std::vector<std::uint64_t>& aPrefix)
{
  std::size_t count = 0;
  for (const std::uint64_t block : aPrefix) {
    const auto found = mCacheIndex.find(block);
    if (found == mCacheIndex.end()) {
      break;
    }
    mCache.splice(mCache.begin(), mCache, found->second);
    ++count;
  }
  return count;
}

void
EngineCore::store(const std::vector<std::uint64_t>& aPrefix,
                  StepResult& aResult)
{
  for (const std::uint64_t block : aPrefix) {
    if (mCacheIndex.contains(block)) {
      continue;
    }
    mCache.push_front(block);
    mCacheIndex[block] = mCache.begin();
    aResult.cache.push_back({ .stored = true, .block = block });
  }
  while (mCache.size() > mOptions.cacheBlocks) {
    aResult.cache.push_back({ .stored = false, .block = mCache.back() });
    mCacheIndex.erase(mCache.back());
    mCache.pop_back();
  }
}

void
EngineCore::admit(StepResult& aResult)
{
  while (!mWaiting.empty() &&
         mRunning.size() < static_cast<std::size_t>(mOptions.slots)) {
    mRunning.splice(mRunning.end(), mWaiting, mWaiting.begin());
    Sequence& sequence = mRunning.back();
    const double cached =
      std::min(sequence.work.promptTokens - 1,
               kTokensPerBlock *
                 static_cast<double>(cachedBlocks(sequence.work.prefix)));
    mPromptTokens += sequence.work.promptTokens;
    mCachedTokens += std::max(0.0, cached);
    sequence.prefillLeft = sequence.work.promptTokens - std::max(0.0, cached);
    store(sequence.work.prefix, aResult);
  }
}

StepResult
EngineCore::step()
{
  StepResult result;
  admit(result);
  double prefill = mOptions.prefillPerStep;
  for (auto it = mRunning.begin(); it != mRunning.end();) {
    if (it->prefillLeft > 0) {
      const double taken = std::min(prefill, it->prefillLeft);
      it->prefillLeft -= taken;
      prefill -= taken;
    }
    if (it->prefillLeft > 0) {
      ++it;
      continue;
    }
    result.tokens.push_back(it->work.id);
    if (++it->produced < it->work.outputTokens) {
      ++it;
      continue;
    }
    result.ended.push_back(it->work.id);
    it = mRunning.erase(it);
  }
  const double busy = static_cast<double>(result.tokens.size());
  const double micros =
    static_cast<double>(mOptions.stepBase.count()) +
    busy * static_cast<double>(mOptions.stepPerSequence.count());
  result.took =
    Duration(static_cast<Duration::rep>(micros * mOptions.slowdown));
  return result;
}

} // namespace laburnum::standins
