#include "laburnum/contract/reply_parser.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <string>

namespace laburnum::contract {
namespace {

namespace json = boost::json;

/// Depth within a reply at which the elements of its arrays begin.
constexpr int kElementDepth = 2;

/// Replaces elements that cannot be parsed by null. Linear in the length of the
/// text, as each element is parsed once.
class ElementFilter
{
public:
  explicit ElementFilter(std::string_view aText)
    : mText(aText)
  {
  }

  std::string run()
  {
    for (std::size_t at = 0; at < mText.size(); ++at) {
      step(at);
    }
    mResult += mText.substr(mCopied);
    return std::move(mResult);
  }

private:
  void step(std::size_t aAt)
  {
    const char c = mText[aAt];
    if (mIsInString) {
      mIsInString = mIsEscaped || c != '"';
      mIsEscaped = !mIsEscaped && c == '\\';
    } else if (c == '"') {
      mIsInString = true;
    } else if (c == '[' || c == '{') {
      if (++mDepth == kElementDepth) {
        mIsInArray = c == '[';
        mElement = aAt + 1;
      }
    } else if (mDepth == kElementDepth && (c == ',' || c == ']')) {
      endElement(aAt);
    }
    if (!mIsInString && (c == ']' || c == '}')) {
      --mDepth;
    }
  }

  void endElement(std::size_t aAt)
  {
    json::error_code error;
    json::parse(mText.substr(mElement, aAt - mElement), error);
    if (mIsInArray && error) {
      mResult += mText.substr(mCopied, mElement - mCopied);
      mResult += "null";
      mCopied = aAt;
    }
    mElement = aAt + 1;
  }

  std::string_view mText;
  std::string mResult;
  std::size_t mCopied = 0;  ///< Characters of the text that are in the result.
  std::size_t mElement = 0; ///< Start of the element.
  int mDepth = 0;
  bool mIsInArray = false; ///< The value at `kElementDepth` is an array.
  bool mIsInString = false;
  bool mIsEscaped = false;
};

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
parseReply(std::string_view aText)
{
  if (hasTooManyValues(aText)) {
    return std::nullopt;
  }
  json::error_code error;
  json::value reply = json::parse(aText, error);
  if (error) {
    reply = json::parse(ElementFilter(aText).run(), error);
  }
  if (error || !reply.is_object()) {
    return std::nullopt;
  }
  return reply;
}

} // namespace laburnum::contract
