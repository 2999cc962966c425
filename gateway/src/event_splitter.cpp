#include "laburnum/gateway/event_splitter.hpp"

#include <charconv>

namespace laburnum::gateway {
namespace {

/// The end of the first event in a text, past its blank line; npos if none.
std::size_t
endOfEvent(std::string_view aText)
{
  const std::size_t plain = aText.find("\n\n");
  const std::size_t wide = aText.find("\r\n\r\n");
  if (wide != std::string_view::npos && wide < plain) {
    return wide + 4;
  }
  return plain == std::string_view::npos ? plain : plain + 2;
}

std::optional<std::uint64_t>
idOf(std::string_view aEvent)
{
  std::size_t at = 0;
  while (at < aEvent.size()) {
    const std::size_t end = std::min(aEvent.find('\n', at), aEvent.size());
    std::string_view line = aEvent.substr(at, end - at);
    at = end + 1;
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [rest, error] =
      std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

} // namespace

std::vector<StreamEvent>
EventSplitter::add(std::string_view aBytes)
{
  std::vector<StreamEvent> events;
  mPending.append(aBytes);
  std::string_view rest = mPending;
  for (;;) {
    const std::size_t end = endOfEvent(rest);
    if (end == std::string_view::npos) {
      break;
    }
    const std::string_view event = rest.substr(0, end);
    events.push_back({ .id = idOf(event), .bytes = std::string(event) });
    rest.remove_prefix(end);
  }
  mPending.erase(0, mPending.size() - rest.size());
  return events;
}

bool
EventSequence::accept(const StreamEvent& aEvent)
{
  if (aEvent.id) {
    if (mLast && *aEvent.id != *mLast + 1) {
      return false;
    }
    mLast = aEvent.id;
  }
  ++mCount;
  return true;
}

} // namespace laburnum::gateway
