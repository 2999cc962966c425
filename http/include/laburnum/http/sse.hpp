#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace laburnum::http {

/// Cuts a stream of server-sent events into whole events, each as it came with
/// its blank line. A line ends with LF, CR LF or CR. A blank line behind
/// another one comes as an event of its own, and so does an LF that is received
/// after the CR before it has ended an event. Thread safety: one thread an
/// object.
class EventCutter
{
public:
  /// Takes in bytes and returns the events that are now whole.
  /// Complexity: linear.
  std::vector<std::string> add(std::string_view aBytes);

  /// True if a part of an event is held back.
  bool isTorn() const { return !mPending.empty(); }

  /// True if that part is longer than any event of a sound sender, so that the
  /// rest need not be awaited.
  bool isEndless() const { return mPending.size() > kMaxEventBytes; }

  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

private:
  /// Takes in the LF behind a CR, if there is one.
  /// @pre !aBytes.empty(), and the byte before was a CR.
  void endReturn(std::string_view& aBytes, std::vector<std::string>& aEvents);

  std::string mPending;
  bool mIsLineEmpty = true;    ///< No byte of the present line has come.
  bool mIsAfterReturn = false; ///< The last byte was a CR.
  bool mEndsWithFeed = false;  ///< The last CR was followed by an LF.
  /// The event is whole, but for an LF that is likely to follow its last CR.
  bool mAwaitsFeed = false;
};

/// A line of a server-sent event. The name is empty for a comment, and the
/// whole line if there is no colon. The value is without one leading space.
struct EventField
{
  std::string_view line; ///< Not empty, without its end.
  std::string_view name;
  std::string_view value;
};

/// Returns the lines of an event but the blank ones. They refer to `aEvent`.
/// Complexity: linear. Thread safety: any thread.
std::vector<EventField>
eventFields(std::string_view aEvent);

/// Cuts a stream of server-sent events into the data of each event.
/// Thread safety: one thread an object.
class SseReader
{
public:
  /// Takes in bytes and returns the data of the events that are now whole.
  /// Complexity: linear.
  std::vector<std::string> add(std::string_view aBytes);

  /// As `EventCutter::isEndless`.
  bool isEndless() const { return mCutter.isEndless(); }

private:
  EventCutter mCutter;
};

/// One event with the given data, which must hold no line break.
/// Pre: none. Thread safety: any thread.
std::string
sseEvent(std::string_view aData);

} // namespace laburnum::http
