#include "laburnum/wire/frame_reader.hpp"

#include <cstring>

namespace laburnum::wire {

std::span<std::uint8_t>
FrameReader::space(std::size_t aSize)
{
  if (mBegin > 0) {
    std::memmove(mBytes.data(), mBytes.data() + mBegin, mEnd - mBegin);
    mEnd -= mBegin;
    mBegin = 0;
  }
  if (mBytes.size() < mEnd + aSize) {
    mBytes.resize(mEnd + aSize);
  }
  return { mBytes.data() + mEnd, aSize };
}

void
FrameReader::filled(std::size_t aSize)
{
  mEnd += aSize;
}

Result<std::optional<AnyMessage>>
FrameReader::next()
{
  if (mEnd - mBegin < kLengthBytes) {
    return std::optional<AnyMessage>{};
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<std::size_t>(mBytes[mBegin + i]) << (8 * i);
  }
  if (length == 0 || length > mMaxFrameBytes) {
    return Failure{ .error = Error::DamagedFrame,
                    .detail = "frame length " + std::to_string(length) };
  }
  if (mEnd - mBegin < kLengthBytes + length) {
    return std::optional<AnyMessage>{};
  }
  // The verifier wants aligned data, which an offset into the stream is not.
  std::vector<std::uint64_t> aligned((length + 7) / 8);
  std::memcpy(aligned.data(), mBytes.data() + mBegin + kLengthBytes, length);
  mBegin += kLengthBytes + length;
  auto message =
    decode({ reinterpret_cast<const std::uint8_t*>(aligned.data()), length });
  if (!message) {
    return message.failure();
  }
  return std::optional<AnyMessage>(std::move(*message));
}

} // namespace laburnum::wire
