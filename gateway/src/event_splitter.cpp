#include "laburnum/gateway/event_splitter.hpp"

#include "leading_number.hpp"

#include <algorithm>

namespace laburnum::gateway {
namespace {

std::optional<std::uint64_t>
eventId(std::string_view aEvent)
{
  std::optional<std::uint64_t> id;
  http::eachField(aEvent, "id", [&id](std::string_view aValue) {
    aValue.remove_prefix(
      std::min(aValue.find_first_not_of(' '), aValue.size()));
    if (!id) {
      id = leadingNumber<std::uint64_t>(aValue);
    }
  });
  return id;
}

} // namespace

bool
StreamEvent::hasData() const
{
  bool hasData = id.has_value();
  http::eachField(
    bytes, "data", [&hasData](std::string_view) { hasData = true; });
  return hasData;
}

std::vector<StreamEvent>
EventSplitter::add(std::string_view aBytes)
{
  std::vector<StreamEvent> events;
  for (std::string& bytes : mCutter.add(aBytes)) {
    const auto id = eventId(bytes);
    events.push_back({ .id = id, .bytes = std::move(bytes) });
  }
  return events;
}

bool
EventSequence::accept(const StreamEvent& aEvent)
{
  if (aEvent.id) {
    if (mLastId && *aEvent.id != *mLastId + 1) {
      return false;
    }
    mIsConfirmed = mIsConfirmed || mLastId || *aEvent.id <= kMaxFirstId;
    mLastId = aEvent.id;
    mIsLastUnnumbered = false;
  } else if (aEvent.hasData()) {
    mIsLastUnnumbered = true;
  }
  ++mDeliveredCount;
  return true;
}

} // namespace laburnum::gateway
