#pragma once

#include "laburnum/http/sse.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum::gateway {

/// A complete server-sent event, unmodified, and what it says.
struct StreamEvent
{
  std::optional<std::uint64_t> id; ///< If it has one that is a number.
  std::string bytes;
  bool hasDataLines = false;
  bool hasOtherId = false; ///< It has an ID that is not a number.
  /// False if a client would not take it for exactly one event with its data:
  /// the event itself or the end of the one before it was changed on its way,
  /// or by a faulty server. A sound event
  ///
  /// - has one ID at most;
  /// - has data if it has an ID or a field that is not of the format;
  /// - has its data in consecutive lines, behind which no line follows that is
  ///   a field of the format but for one byte before it.
  bool isSound = true;

  /// False for comments and blank lines, which a server may send without
  /// making progress.
  bool hasData() const { return id || hasDataLines; }
};

/// Parses one event with its blank line. Complexity: linear.
StreamEvent
parseEvent(std::string aBytes);

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

/// The IDs with which the streams of a service begin, 0 or 1, as far as known
/// from streams whose second event confirmed the first one.
///
/// Thread safety: one thread per object.
class FirstEventIds
{
public:
  static constexpr std::uint64_t kMaxId = 1;

  /// Records that a stream began with an ID. IDs above 1 are not kept.
  void record(std::uint64_t aId)
  {
    if (aId <= kMaxId) {
      mIsKnown[aId] = true;
    }
  }

  /// True if a stream may begin with the ID.
  bool isPossible(std::uint64_t aId) const
  {
    return aId <= kMaxId &&
           (mIsKnown[aId] || std::ranges::count(mIsKnown, true) == 0);
  }

  /// True if all streams known begin with the ID, and one at least does.
  bool isCertain(std::uint64_t aId) const
  {
    return aId <= kMaxId && mIsKnown[aId] &&
           std::ranges::count(mIsKnown, true) == 1;
  }

private:
  std::array<bool, kMaxId + 1> mIsKnown{};
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

  /// Called when another server begins to send the rest of the events.
  void startAttempt() { mAttemptHasId = false; }

  /// Returns true and counts the event as delivered if it is sound and its ID
  /// follows the last one. Sound events without an ID are always accepted, and
  /// those with an ID that is no number as long as none had a number.
  bool accept(const StreamEvent& aEvent);

  /// True if the last event delivered has an ID, and that is certain to be its
  /// own. A stream that is resumed after any other ID may lack events or repeat
  /// them.
  ///
  /// An ID that follows another one is certain. That of the first event may be
  /// wrong: it has to be one with which streams of the service begin, and the
  /// only one if the next ID would be right after another first one.
  bool canResume(const FirstEventIds& aFirstIds) const;

  /// The ID with which the stream began, once an event of the same server has
  /// confirmed it.
  std::optional<std::uint64_t> confirmedFirstId() const
  {
    return mConfirmedFirstId;
  }

  /// The ID to resume after; empty if no event with an ID was delivered.
  std::optional<std::uint64_t> lastId() const { return mLastId; }

  /// Number of events delivered.
  std::size_t deliveredCount() const { return mDeliveredCount; }

private:
  /// Takes the ID of an event that follows the last one.
  void acceptId(std::uint64_t aId);

  std::optional<std::uint64_t> mLastId;
  std::optional<std::uint64_t> mConfirmedFirstId;
  bool mIsConfirmed = false;      ///< Another ID led to `mLastId`.
  bool mIsContradicted = false;   ///< By an ID that may be right.
  bool mAttemptHasId = false;     ///< The server has sent `mLastId`.
  bool mIsLastUnnumbered = false; ///< The last event with data has no ID.
  bool mHasUnnumbered = false;    ///< Any event with data has none.
  std::size_t mDeliveredCount = 0;
};

} // namespace laburnum::gateway
