#pragma once

#include "laburnum/kernel/random.hpp"

#include <array>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace laburnum::policy {

/// Properties of a request that are known before it runs and from which its
/// output length is predicted.
struct LengthQuery
{
  std::string_view account;
  std::string_view endpoint;
  std::uint32_t promptTokens = 0;
  std::uint32_t maxTokens = 0; ///< The caller's output limit; 0 for none.
};

/// Predicts the output length of requests in tokens, so that scheduling can
/// order them by cost before they run. The prediction is a high quantile of
/// past lengths with the same account, endpoint, and power-of-two ranges of
/// prompt length and limit. It never exceeds the caller's limit. Quantiles are
/// tracked by stochastic approximation (Robbins and Monro, 1951); the least
/// recently updated ones are evicted. Not thread-safe.
class LengthPredictor
{
public:
  /// @param aCapacity Maximum number of quantiles to keep.
  explicit LengthPredictor(std::size_t aCapacity = 4096)
    : mCapacity(aCapacity)
  {
  }

  /// Returns the predicted number of output tokens. O(1).
  double predict(const LengthQuery& aQuery) const;

  /// Updates the history with the actual length of a completed response.
  void observe(const LengthQuery& aQuery, double aOutputTokens);

  /// Returns the predicted total length of a request that is still running.
  /// @param aPredicted The prediction from before it ran, in tokens.
  /// @param aProduced Tokens produced so far.
  static double revisedPrediction(double aPredicted, double aProduced);

  /// Returns the number of quantiles held.
  std::size_t size() const { return mIndex.size(); }

private:
  struct Estimate
  {
    std::uint64_t key;
    double quantile; ///< In tokens.
    double count;    ///< Number of observations.
  };

  static std::uint64_t keyOf(const LengthQuery& aQuery);

  std::size_t mCapacity;
  std::list<Estimate> mRecent; ///< Most recently updated first.
  std::unordered_map<std::uint64_t, std::list<Estimate>::iterator> mIndex;
};

} // namespace laburnum::policy
