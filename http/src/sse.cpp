#include "laburnum/http/sse.hpp"

#include <algorithm>
#include <utility>

namespace laburnum::http {
namespace {

constexpr std::string_view kLineEnds = "\r\n";

std::string
dataOf(std::string_view aEvent)
{
  std::string data;
  for (const EventField& field : eventFields(aEvent)) {
    if (field.name == "data") {
      data.append(data.empty() ? "" : "\n").append(field.value);
    }
  }
  return data;
}

EventField
parseField(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  EventField field{ .line = aLine, .name = aLine.substr(0, colon) };
  if (colon != std::string_view::npos) {
    field.value = aLine.substr(colon + 1);
    if (field.value.starts_with(' ')) {
      field.value.remove_prefix(1);
    }
  }
  return field;
}

} // namespace

std::vector<EventField>
eventFields(std::string_view aEvent)
{
  std::vector<EventField> fields;
  while (!aEvent.empty()) {
    const std::size_t end =
      std::min(aEvent.find_first_of(kLineEnds), aEvent.size());
    if (end > 0) {
      fields.push_back(parseField(aEvent.substr(0, end)));
    }
    aEvent.remove_prefix(std::min(end + 1, aEvent.size()));
  }
  return fields;
}

std::vector<std::string>
EventCutter::add(std::string_view aBytes)
{
  std::vector<std::string> events;
  while (!aBytes.empty()) {
    if (std::exchange(mIsAfterReturn, false)) {
      endReturn(aBytes, events);
      continue;
    }
    const std::size_t end = aBytes.find_first_of(kLineEnds);
    const bool isLineEnd = end != std::string_view::npos;
    const bool isBlank = mIsLineEmpty && end == 0;
    const std::size_t size = isLineEnd ? end + 1 : aBytes.size();
    mPending.append(aBytes.substr(0, size));
    mIsLineEmpty = isLineEnd;
    mIsAfterReturn = isLineEnd && aBytes[end] == '\r';
    aBytes.remove_prefix(size);
    if (isBlank && mIsAfterReturn && mEndsWithFeed) {
      mAwaitsFeed = true;
    } else if (isBlank) {
      events.push_back(std::exchange(mPending, {}));
    }
  }
  return events;
}

void
EventCutter::endReturn(std::string_view& aBytes,
                       std::vector<std::string>& aEvents)
{
  mEndsWithFeed = aBytes.front() == '\n';
  if (mEndsWithFeed) {
    aBytes.remove_prefix(1);
    if (mPending.empty() && aEvents.empty()) {
      aEvents.emplace_back();
    }
    (mPending.empty() ? aEvents.back() : mPending) += '\n';
  }
  if (std::exchange(mAwaitsFeed, false)) {
    aEvents.push_back(std::exchange(mPending, {}));
  }
}

std::vector<std::string>
SseReader::add(std::string_view aBytes)
{
  std::vector<std::string> all;
  for (const std::string& event : mCutter.add(aBytes)) {
    std::string data = dataOf(event);
    if (!data.empty()) {
      all.push_back(std::move(data));
    }
  }
  return all;
}

std::string
sseEvent(std::string_view aData)
{
  std::string event = "data: ";
  event.append(aData).append("\n\n");
  return event;
}

} // namespace laburnum::http
