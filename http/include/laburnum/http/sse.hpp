#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace laburnum::http {

/// Cuts a stream of server-sent events into whole events, each as it came with
/// its blank line. Thread safety: one thread an object.
class EventCutter
{
public:
  /// Takes in bytes and returns the events that are now whole.
  /// Pre: none. Complexity: linear.
  std::vector<std::string> add(std::string_view aBytes);

  /// True if a part of an event is held back. Pre: none.
  bool isTorn() const { return !mPending.empty(); }

  /// True if that part is longer than any event of a sound sender, so that the
  /// rest need not be awaited.
  bool isEndless() const { return mPending.size() > kMaxEventBytes; }

  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

private:
  std::string mPending;
};

/// Calls a function with the value of each field of an event that has a name,
/// without one leading space. Pre: none. Thread safety: any thread.
template<class Function>
void
eachField(std::string_view aEvent, std::string_view aName, Function aFunction)
{
  while (!aEvent.empty()) {
    const std::size_t end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    aEvent = end == std::string_view::npos ? std::string_view()
                                           : aEvent.substr(end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!line.starts_with(aName) ||
        !line.substr(aName.size()).starts_with(':')) {
      continue;
    }
    line.remove_prefix(aName.size() + 1);
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    aFunction(line);
  }
}

/// Cuts a stream of server-sent events into the data of each event.
/// Thread safety: one thread an object.
class SseReader
{
public:
  /// Takes in bytes and returns the data of the events that are now whole.
  /// Pre: none. Complexity: linear.
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
