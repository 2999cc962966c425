#include "laburnum/kernel/bounded_writer.hpp"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace laburnum {

BoundedWriter::BoundedWriter(int aDescriptor, BoundedWriterOptions aOptions)
  : mDescriptor(aDescriptor)
  , mOptions(aOptions)
  , mTokens(aOptions.burst)
{
}

bool
BoundedWriter::fits(std::size_t aBytes) const
{
  // A pipe that is ready takes PIPE_BUF bytes without waiting (POSIX, write).
  if (aBytes > PIPE_BUF) {
    return false;
  }
  pollfd ready{ .fd = mDescriptor, .events = POLLOUT, .revents = 0 };
  return ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
}

bool
BoundedWriter::put(std::string_view aLine)
{
  std::string line(aLine);
  line += '\n';
  return fits(line.size()) && ::write(mDescriptor, line.data(), line.size()) ==
                                static_cast<ssize_t>(line.size());
}

bool
BoundedWriter::write(std::string_view aLine, Instant aNow)
{
  const double passed = toSeconds(aNow - mFilledAt);
  mFilledAt = aNow;
  mTokens =
    std::min(mOptions.burst, mTokens + passed * mOptions.linesPerSecond);
  if (mTokens >= 1 && mUnsaid > 0 &&
      put("{\"event\":\"lines_left_out\",\"count\":" + std::to_string(mUnsaid) +
          "}")) {
    mUnsaid = 0;
  }
  if (mTokens < 1 || !put(aLine)) {
    ++mLeftOut;
    ++mUnsaid;
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace laburnum
