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

bool
isPossibleSecondId(std::uint64_t aId)
{
  return aId > 0 && aId - 1 <= FirstEventIds::kMaxId;
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
      mIsContradicted = mIsContradicted || isPossibleSecondId(*aEvent.id);
      return false;
    }
    acceptId(*aEvent.id);
  } else if (aEvent.hasData()) {
    mIsLastUnnumbered = true;
    mHasUnnumbered = true;
  }
  ++mDeliveredCount;
  return true;
}

void
EventSequence::acceptId(std::uint64_t aId)
{
  // Another server goes on after whatever ID it is given, so only two events of
  // one server confirm each other.
  if (mLastId && !mIsConfirmed && mAttemptHasId && !mHasUnnumbered) {
    mConfirmedFirstId = mLastId;
  }
  mIsConfirmed = mLastId.has_value();
  mLastId = aId;
  mAttemptHasId = true;
  mIsLastUnnumbered = false;
}

bool
EventSequence::canResume(const FirstEventIds& aFirstIds) const
{
  if (!mLastId || mIsLastUnnumbered) {
    return false;
  }
  return mIsConfirmed || (mIsContradicted ? aFirstIds.isCertain(*mLastId)
                                          : aFirstIds.isPossible(*mLastId));
}

} // namespace laburnum::gateway
