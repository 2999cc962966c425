#pragma once

#include "laburnum/wire/message.hpp"

#include <optional>
#include <span>
#include <vector>

namespace laburnum::wire {

/// Cuts a byte stream into messages. Thread safety: one thread an object.
class FrameReader
{
public:
  /// Space for the next read. Pre: aSize > 0. The span is valid until the next
  /// call of any method.
  std::span<std::uint8_t> space(std::size_t aSize);

  /// Tells how much of the space was filled. Pre: aSize fits the last space.
  void filled(std::size_t aSize);

  /// The next whole message, nothing if more bytes are needed, or
  /// DamagedFrame, after which the stream is of no use. Pre: none.
  Result<std::optional<AnyMessage>> next();

  /// Limits the length of the frames that follow. Pre: none.
  void limitFrames(std::size_t aBytes) { mMaxFrameBytes = aBytes; }

private:
  std::size_t mMaxFrameBytes = kMaxFrameBytes;
  std::vector<std::uint8_t> mBytes;
  std::size_t mBegin = 0;
  std::size_t mEnd = 0;
};

} // namespace laburnum::wire
