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
/// up one response, and knows whether it can be resumed.
///
/// Thread safety: one thread per object.
class EventSequence
{
public:
  /// `aLastId` is the last ID that the client already received, if any.
  explicit EventSequence(std::optional<std::uint64_t> aLastId = {})
    : mLastId(aLastId)
    , mIsConfirmed(aLastId.has_value())
  {
  }

  /// Returns true and counts the event as delivered if its ID follows the last
  /// one. Events without an ID are always accepted.
  bool accept(const StreamEvent& aEvent);

  /// True if the last event delivered has an ID, and that is certain to be its
  /// own: the first one of a stream, or one that follows another. A stream
  /// that is resumed after any other ID may lack events or repeat them.
  bool canResume() const
  {
    return mLastId && mIsConfirmed && !mIsLastUnnumbered;
  }

  /// The ID to resume after; empty if no event with an ID was delivered.
  std::optional<std::uint64_t> lastId() const { return mLastId; }

  /// Number of events delivered.
  std::size_t deliveredCount() const { return mDeliveredCount; }

private:
  /// Streams begin with an ID of 0 or 1.
  static constexpr std::uint64_t kMaxFirstId = 1;

  std::optional<std::uint64_t> mLastId;
  bool mIsConfirmed = false;
  bool mIsLastUnnumbered = false; ///< The last event with data has no ID.
  std::size_t mDeliveredCount = 0;
};

} // namespace laburnum::gateway
