#pragma once

#include "laburnum/http/sse.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum::gateway {

/// A complete server-sent event, unmodified, and its ID if that is numeric.
struct StreamEvent
{
  std::optional<std::uint64_t> id;
  std::string bytes;

  /// False for comments and blank lines, which a server may send without
  /// making progress.
  bool hasData() const;
};

/// Splits a byte stream into complete server-sent events. An incomplete event,
/// such as the last one of a server that crashed, is never returned.
///
/// Thread safety: one thread per object.
class EventSplitter
{
public:
  /// Consumes bytes and returns the events completed by them, in linear time.
  std::vector<StreamEvent> add(std::string_view aBytes);

  /// True if the beginning of an event is buffered.
  bool hasPartialEvent() const { return mCutter.isTorn(); }

  /// True if the buffered event is longer than any that a server sends.
  bool isEndless() const { return mCutter.isEndless(); }

private:
  http::EventCutter mCutter;
};

/// Checks that event IDs are consecutive across all server attempts that make
/// up one response.
///
/// Thread safety: one thread per object.
class EventSequence
{
public:
  /// `aLastId` is the last ID that the client already received, if any.
  explicit EventSequence(std::optional<std::uint64_t> aLastId = {})
    : mLastId(aLastId)
  {
  }

  /// Returns true and counts the event as delivered if its ID follows the last
  /// one. Events without an ID are always accepted.
  bool accept(const StreamEvent& aEvent);

  /// The ID to resume after; empty if no event with an ID was delivered.
  std::optional<std::uint64_t> lastId() const { return mLastId; }

  /// Number of events delivered.
  std::size_t deliveredCount() const { return mDeliveredCount; }

private:
  std::optional<std::uint64_t> mLastId;
  std::size_t mDeliveredCount = 0;
};

} // namespace laburnum::gateway
