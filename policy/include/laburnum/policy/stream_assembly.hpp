#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnum::policy {

/// Reassembles the numbered parts of a streamed response: puts them in order,
/// drops duplicates, and detects when the response is complete. Parts are
/// numbered from 0 across all attempts of a request. Not thread-safe.
class StreamAssembly
{
public:
  /// Adds a part and returns the payloads that can now be delivered in order.
  std::vector<std::string> add(std::uint64_t aSequence, std::string aPayload);

  /// Sets the number of parts in the complete response.
  void finish(std::uint64_t aParts) { mTotalParts = aParts; }

  /// Drops the parts behind a gap and the total, before a new attempt resumes
  /// after the last part in order.
  void restart();

  /// Returns true if the total is known and `add` has returned every part.
  bool isComplete() const { return mTotalParts && mNext >= *mTotalParts; }

  /// Returns the number of the next part in order.
  std::uint64_t next() const { return mNext; }

private:
  std::map<std::uint64_t, std::string> mPending; ///< Parts behind a gap.
  std::uint64_t mNext = 0;
  std::optional<std::uint64_t> mTotalParts;
};

} // namespace laburnum::policy
