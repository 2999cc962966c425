#include "laburnum/gateway/event_splitter.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace laburnum::gateway {
namespace {

/// Fields of the format. Others are ignored by clients.
constexpr std::array<std::string_view, 4> kFieldNames = { "data",
                                                          "event",
                                                          "id",
                                                          "retry" };

bool
isOfFormat(std::string_view aName)
{
  return std::ranges::find(kFieldNames, aName) != kFieldNames.end();
}

/// True if the line is a field of the format behind one byte, to which the
/// blank line before it was changed.
bool
isFieldBehindLostBlankLine(const http::EventField& aField)
{
  const auto fields = http::eventFields(aField.line.substr(1));
  return !fields.empty() && isOfFormat(fields.front().name);
}

/// The number that is the whole text, as a server writes it.
std::optional<std::uint64_t>
wholeNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* const textEnd = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), textEnd, number);
  const bool isPadded = aText.size() > 1 && aText.front() == '0';
  return error == std::errc() && end == textEnd && !isPadded
           ? std::optional(number)
           : std::nullopt;
}

bool
isPossibleSecondId(std::uint64_t aId)
{
  return aId > 0 && aId - 1 <= FirstEventIds::kMaxId;
}

} // namespace

StreamEvent
parseEvent(std::string aBytes)
{
  StreamEvent event{ .bytes = std::move(aBytes) };
  std::size_t ids = 0;
  bool hasForeignField = false;
  bool hasDataEnded = false;
  for (const http::EventField& field : http::eventFields(event.bytes)) {
    const bool isData = field.name == "data";
    if ((isData && hasDataEnded) ||
        (event.hasDataLines && isFieldBehindLostBlankLine(field))) {
      event.isSound = false;
    }
    hasDataEnded = event.hasDataLines && !isData;
    event.hasDataLines = event.hasDataLines || isData;
    hasForeignField =
      hasForeignField || (!field.name.empty() && !isOfFormat(field.name));
    if (field.name == "id") {
      ++ids;
      event.id = wholeNumber(field.value);
      event.hasOtherId = !event.id;
    }
  }
  event.isSound = event.isSound && ids <= 1 &&
                  (event.hasDataLines || (ids == 0 && !hasForeignField));
  return event;
}

std::vector<StreamEvent>
EventSplitter::add(std::string_view aBytes)
{
  std::vector<StreamEvent> events;
  for (std::string& bytes : mCutter.add(aBytes)) {
    events.push_back(parseEvent(std::move(bytes)));
  }
  return events;
}

bool
EventSequence::accept(const StreamEvent& aEvent)
{
  if (!aEvent.isSound || (aEvent.hasOtherId && mLastId)) {
    return false;
  }
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
