#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <string_view>

namespace laburnum {

struct BoundedWriterOptions
{
  double linesPerSecond = 500; ///< On average; about two a request at the crest
                               ///< of the planned size.
  double burst = 1000;         ///< Lines at once.
};

/// Writes lines to a descriptor without ever waiting for its reader: what
/// doesn't fit, or exceeds the rate, is left out and counted, and the count is
/// written as soon as a line fits again. Thread safety: one thread an object.
class BoundedWriter
{
public:
  /// Pre: the descriptor is open for writing and outlives this.
  explicit BoundedWriter(int aDescriptor, BoundedWriterOptions aOptions = {});

  /// Writes a line, to which its end is added; false if it was left out.
  /// Pre: times never go back.
  bool write(std::string_view aLine, Instant aNow);

  /// Lines left out so far. Pre: none.
  std::uint64_t leftOut() const { return mLeftOut; }

private:
  bool fits(std::size_t aBytes) const;
  bool put(std::string_view aLine);

  int mDescriptor;
  BoundedWriterOptions mOptions;
  double mTokens;
  Instant mFilledAt{};
  std::uint64_t mLeftOut = 0;
  std::uint64_t mUnsaid = 0; ///< Left out since the last line.
};

} // namespace laburnum
