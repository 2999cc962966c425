#pragma once

#include <cstdint>
#include <random>

namespace laburnum {

/// A seeded random source; the same seed gives the same values everywhere.
/// Thread safety: one thread an object.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /// Any 64-bit value. Pre: none.
  std::uint64_t next() { return mEngine(); }

  /// A value in [0, aBound). Pre: aBound > 0.
  std::uint64_t below(std::uint64_t aBound) { return mEngine() % aBound; }

  /// A value in [0, 1). Pre: none.
  double unit() { return static_cast<double>(mEngine() >> 11) * 0x1.0p-53; }

  /// True with probability aShare. Pre: none.
  bool chance(double aShare) { return unit() < aShare; }

  /// An exponentially distributed value. Pre: aMean > 0.
  double exponential(double aMean)
  {
    return std::exponential_distribution<double>(1.0 / aMean)(mEngine);
  }

private:
  std::mt19937_64 mEngine;
};

} // namespace laburnum
