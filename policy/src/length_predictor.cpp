#include "laburnum/policy/length_predictor.hpp"

#include "laburnum/kernel/hash.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace laburnum::policy {
namespace {

/// Prediction for a request without history or limit.
constexpr double kDefaultTokens = 256;
constexpr double kQuantile = 0.7;
/// Lower bound of the step size, so that estimates keep following changes.
constexpr double kMinGain = 0.02;

/// A request that exceeds its prediction is expected to reach this multiple of
/// the tokens produced so far.
constexpr double kOverrunFactor = 2;

std::uint64_t
lengthBucket(std::uint32_t aTokens)
{
  return static_cast<std::uint64_t>(std::bit_width(aTokens));
}

} // namespace

std::uint64_t
LengthPredictor::keyOf(const LengthQuery& aQuery)
{
  const std::uint64_t accountAndEndpoint =
    mix(hash64(aQuery.account), hash64(aQuery.endpoint));
  return mix(accountAndEndpoint,
             lengthBucket(aQuery.promptTokens) * 64 +
               lengthBucket(aQuery.maxTokens));
}

double
LengthPredictor::predict(const LengthQuery& aQuery) const
{
  const auto found = mIndex.find(keyOf(aQuery));
  const double limit =
    aQuery.maxTokens > 0 ? aQuery.maxTokens : kDefaultTokens * 8;
  if (found == mIndex.end()) {
    return aQuery.maxTokens > 0 ? limit : kDefaultTokens;
  }
  return std::clamp(found->second->quantile, 1.0, limit);
}

void
LengthPredictor::observe(const LengthQuery& aQuery, double aOutputTokens)
{
  const std::uint64_t key = keyOf(aQuery);
  const auto found = mIndex.find(key);
  if (found == mIndex.end()) {
    if (mIndex.size() >= mCapacity) {
      mIndex.erase(mRecent.back().key);
      mRecent.pop_back();
    }
    mRecent.push_front({ .key = key, .quantile = aOutputTokens, .count = 1 });
    mIndex[key] = mRecent.begin();
    return;
  }
  mRecent.splice(mRecent.begin(), mRecent, found->second);
  Estimate& estimate = *found->second;
  estimate.count += 1;
  const double gain = std::max(kMinGain, 1 / estimate.count);
  const double scale =
    std::max(1.0, std::max(estimate.quantile, aOutputTokens));
  const double direction =
    aOutputTokens > estimate.quantile ? kQuantile : kQuantile - 1;
  estimate.quantile =
    std::max(1.0, estimate.quantile + gain * scale * direction);
}

double
LengthPredictor::revisedPrediction(double aPredicted, double aProduced)
{
  return aProduced < aPredicted ? aPredicted : aProduced * kOverrunFactor;
}

} // namespace laburnum::policy
