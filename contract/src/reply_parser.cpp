#include "laburnum/contract/reply_parser.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <string>
#include <vector>

namespace laburnum::contract {
namespace {

namespace json = boost::json;

/// Limit of the values that are kept of an element that cannot be kept whole.
constexpr std::size_t kMaxPartValues = 1000;
/// Depth of naming members in an element.
constexpr int kMaxNamingDepth = 2;

/// Finds the characters of a JSON text that are outside its strings, and how
/// deeply they are nested. The text may be invalid.
class Structure
{
public:
  /// Takes the next character. Returns true if it is outside of strings.
  bool take(char aCharacter)
  {
    if (mIsInString) {
      mIsInString = mIsEscaped || aCharacter != '"';
      mIsEscaped = !mIsEscaped && aCharacter == '\\';
      return false;
    }
    mIsInString = aCharacter == '"';
    if (aCharacter == '[' || aCharacter == '{') {
      ++mDepth;
    } else if (aCharacter == ']' || aCharacter == '}') {
      --mDepth;
    }
    return true;
  }

  int depth() const { return mDepth; }
  bool isInString() const { return mIsInString; }

private:
  int mDepth = 0;
  bool mIsInString = false;
  bool mIsEscaped = false;
};

std::string_view
trim(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t\r\n";
  const std::size_t begin = aText.find_first_not_of(kBlanks);
  return begin == std::string_view::npos
           ? std::string_view()
           : aText.substr(begin, aText.find_last_not_of(kBlanks) + 1 - begin);
}

/// The text between two brackets, or nothing if it is not in them.
std::optional<std::string_view>
inside(std::string_view aText, char aOpening, char aClosing)
{
  const std::string_view text = trim(aText);
  return text.size() >= 2 && text.front() == aOpening && text.back() == aClosing
           ? std::optional(text.substr(1, text.size() - 2))
           : std::nullopt;
}

/// Splits a text at separators that are neither nested nor in strings.
std::vector<std::string_view>
split(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> parts;
  Structure structure;
  std::size_t begin = 0;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (structure.take(aText[at]) && structure.depth() == 0 &&
        aText[at] == aSeparator) {
      parts.push_back(aText.substr(begin, at - begin));
      begin = at + 1;
    }
  }
  if (!parts.empty() || !trim(aText).empty()) {
    parts.push_back(aText.substr(begin));
  }
  return parts;
}

/// The values of a text, at most; those in its strings are none.
std::size_t
countValues(std::string_view aText)
{
  Structure structure;
  return 1 + static_cast<std::size_t>(std::count_if(
               aText.begin(), aText.end(), [&structure](char aCharacter) {
                 return structure.take(aCharacter) &&
                        (aCharacter == ',' || aCharacter == '[' ||
                         aCharacter == '{');
               }));
}

/// A member of an object.
struct Member
{
  std::string name;
  std::string_view value;
  std::size_t values = 0; ///< As `countValues` of the value.
};

/// The members of an object whose names can be read.
std::vector<Member>
membersOf(std::string_view aInside)
{
  std::vector<Member> members;
  for (const std::string_view part : split(aInside, ',')) {
    Structure structure;
    std::size_t colon = 0;
    while (colon < part.size() &&
           !(structure.take(part[colon]) && part[colon] == ':')) {
      ++colon;
    }
    json::error_code error;
    const json::value name = json::parse(part.substr(0, colon), error);
    if (!error && name.is_string() && colon < part.size()) {
      const std::string_view value = part.substr(colon + 1);
      members.push_back({ .name = std::string(name.as_string()),
                          .value = value,
                          .values = countValues(value) });
    }
  }
  return members;
}

/// Parses a text of at most aMaxValues values; nothing if it cannot be read.
std::optional<json::value>
parseValue(std::string_view aText, std::size_t aMaxValues)
{
  if (countValues(aText) > aMaxValues) {
    return std::nullopt;
  }
  json::error_code error;
  json::value value = json::parse(aText, error);
  return error ? std::nullopt : std::optional(std::move(value));
}

/// What can be read of an object: its members, null where they cannot be read
/// or have more values than are left; of a naming member, what can be read of
/// that. Null for other values.
json::value
readablePart(std::string_view aText,
             std::span<const std::string_view> aNamingMembers,
             std::size_t& aValuesLeft,
             int aDepth = 0)
{
  const auto text = inside(aText, '{', '}');
  if (!text) {
    return nullptr;
  }
  std::vector<Member> members = membersOf(*text);
  std::stable_sort(members.begin(),
                   members.end(),
                   [](const Member& aLeft, const Member& aRight) {
                     return aLeft.values < aRight.values;
                   });
  json::object object;
  for (const Member& member : members) {
    const bool isNaming =
      aDepth < kMaxNamingDepth &&
      std::find(aNamingMembers.begin(), aNamingMembers.end(), member.name) !=
        aNamingMembers.end();
    auto value = parseValue(member.value, aValuesLeft);
    if (value) {
      aValuesLeft -= member.values;
      object[member.name] = std::move(*value);
    } else if (isNaming) {
      object[member.name] =
        readablePart(member.value, aNamingMembers, aValuesLeft, aDepth + 1);
    } else if (aValuesLeft > 0) {
      --aValuesLeft;
      object[member.name] = nullptr;
    }
  }
  return object;
}

/// The limit of the values of an element: elements within it have fewer than
/// `kMaxReplyValues` values together.
std::size_t
elementLimit(const std::vector<std::string_view>& aElements)
{
  std::vector<std::size_t> counts;
  counts.reserve(aElements.size());
  for (const std::string_view element : aElements) {
    counts.push_back(countValues(element));
  }
  std::sort(counts.begin(), counts.end());
  std::size_t total = 0;
  std::size_t limit = 0;
  for (const std::size_t count : counts) {
    total += count;
    if (total >= kMaxReplyValues) {
      return std::min(limit, count - 1);
    }
    limit = count;
  }
  return limit;
}

json::array
parseElements(std::string_view aInside,
              std::span<const std::string_view> aNamingMembers)
{
  const auto elements = split(aInside, ',');
  const std::size_t limit = elementLimit(elements);
  json::array array;
  for (const std::string_view element : elements) {
    auto value = parseValue(element, limit);
    if (!value) {
      std::size_t valuesLeft = kMaxPartValues;
      value = readablePart(element, aNamingMembers, valuesLeft);
    }
    array.push_back(std::move(*value));
  }
  return array;
}

/// True if all brackets and strings of a text end in order, so that a value
/// that cannot be read does not hide where the next one begins.
bool
isBalanced(std::string_view aText)
{
  Structure structure;
  std::string closing;
  for (const char c : aText) {
    if (!structure.take(c)) {
      continue;
    }
    if (c == '[' || c == '{') {
      closing += c == '[' ? ']' : '}';
    } else if (c == ']' || c == '}') {
      if (closing.empty() || closing.back() != c) {
        return false;
      }
      closing.pop_back();
    }
  }
  return closing.empty() && !structure.isInString();
}

/// Parses a reply element by element.
std::optional<json::value>
parseParts(std::string_view aText,
           std::span<const std::string_view> aNamingMembers)
{
  const auto text = inside(aText, '{', '}');
  if (!text || !isBalanced(aText)) {
    return std::nullopt;
  }
  json::object reply;
  for (const Member& member : membersOf(*text)) {
    if (const auto elements = inside(member.value, '[', ']')) {
      reply[member.name] = parseElements(*elements, aNamingMembers);
    } else if (auto value = parseValue(member.value, kMaxReplyValues)) {
      reply[member.name] = std::move(*value);
    } else {
      return std::nullopt;
    }
  }
  return reply;
}

/// Each value but the first one of an array or object follows a separator.
bool
hasTooManyValues(std::string_view aText)
{
  return static_cast<std::size_t>(
           std::count_if(aText.begin(), aText.end(), [](char aCharacter) {
             return aCharacter == ',' || aCharacter == '[' || aCharacter == '{';
           })) >= kMaxReplyValues;
}

} // namespace

std::optional<json::value>
parseBounded(std::string_view aText)
{
  if (hasTooManyValues(aText)) {
    return std::nullopt;
  }
  json::error_code error;
  json::value value = json::parse(aText, error);
  return error ? std::nullopt : std::optional(std::move(value));
}

std::optional<json::value>
parseReply(std::string_view aText,
           std::span<const std::string_view> aNamingMembers)
{
  auto reply = parseBounded(aText);
  if (!reply) {
    reply = parseParts(aText, aNamingMembers);
  }
  return reply && reply->is_object() ? std::move(reply) : std::nullopt;
}

} // namespace laburnum::contract
