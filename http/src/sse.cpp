#include "laburnum/http/sse.hpp"

namespace laburnum::http {
namespace {

std::string
dataOf(std::string_view aEvent)
{
  std::string data;
  eachField(aEvent, "data", [&data](std::string_view aLine) {
    data.append(data.empty() ? "" : "\n").append(aLine);
  });
  return data;
}

} // namespace

std::vector<std::string>
EventCutter::add(std::string_view aBytes)
{
  mPending.append(aBytes);
  std::vector<std::string> events;
  std::size_t begin = 0;
  for (;;) {
    std::size_t end = mPending.find("\n\n", begin);
    std::size_t skip = 2;
    const std::size_t other = mPending.find("\r\n\r\n", begin);
    if (other < end) {
      end = other;
      skip = 4;
    }
    if (end == std::string::npos) {
      break;
    }
    events.push_back(mPending.substr(begin, end + skip - begin));
    begin = end + skip;
  }
  mPending.erase(0, begin);
  return events;
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
