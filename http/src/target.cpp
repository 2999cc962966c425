#include "laburnum/http/target.hpp"

#include <algorithm>

namespace laburnum::http {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr std::string_view kUnreserved =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";

void
appendEncoded(std::string& aText, std::string_view aName)
{
  for (const char c : aName) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      aText += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      aText += '%';
      aText += kHexDigits[byte / 16];
      aText += kHexDigits[byte % 16];
    }
  }
}

/// True if a part of a name between slashes is a dot segment.
bool
hasDotSegment(std::string_view aName)
{
  for (;;) {
    const std::size_t end = std::min(aName.find('/'), aName.size());
    const std::string_view part = aName.substr(0, end);
    if (part == "." || part == "..") {
      return true;
    }
    if (end == aName.size()) {
      return false;
    }
    aName.remove_prefix(end + 1);
  }
}

} // namespace

Target&
Target::segment(std::string_view aName)
{
  mIsValid = mIsValid && !aName.empty() && !hasDotSegment(aName);
  mText += '/';
  appendEncoded(mText, aName);
  return *this;
}

Target&
Target::parameter(std::string_view aName, std::string_view aValue)
{
  mText += mHasQuery ? '&' : '?';
  mHasQuery = true;
  mText += aName;
  mText += '=';
  appendEncoded(mText, aValue);
  return *this;
}

} // namespace laburnum::http
