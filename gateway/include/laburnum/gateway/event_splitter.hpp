#pragma once

#include "laburnum/http/sse.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum::gateway {

/// A whole event as it came, with its id if it has a numeric one.
struct StreamEvent
{
  std::optional<std::uint64_t> id;
  std::string bytes;
};

/// Cuts a stream of server-sent events into whole events. A torn event, as of
/// a server that crashes in its middle, is never handed on.
/// Thread safety: one thread an object.
class EventSplitter
{
public:
  /// Takes in bytes and returns the events that are now whole.
  /// Pre: none. Complexity: linear.
  std::vector<StreamEvent> add(std::string_view aBytes);

  /// True if a part of an event is held back. Pre: none.
  bool isTorn() const { return mCutter.isTorn(); }

private:
  http::EventCutter mCutter;
};

/// Checks that the ids of one answer's events follow on each other, over
/// every run that the answer is joined from. Thread safety: one thread.
class EventSequence
{
public:
  /// Pre: none. aLast is the id that the caller already has.
  explicit EventSequence(std::optional<std::uint64_t> aLast = {})
    : mLast(aLast)
  {
  }

  /// True if the event is the next one; it then counts as delivered.
  bool accept(const StreamEvent& aEvent);

  /// The id to go on from; nothing if no event with an id was delivered.
  std::optional<std::uint64_t> last() const { return mLast; }

  /// Events delivered. Pre: none.
  std::size_t count() const { return mCount; }

private:
  std::optional<std::uint64_t> mLast;
  std::size_t mCount = 0;
};

} // namespace laburnum::gateway
