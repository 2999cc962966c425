#include "laburnum/http/target.hpp"

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

} // namespace

Target&
Target::segment(std::string_view aName)
{
  mIsValid = mIsValid && !aName.empty() && aName != "." && aName != "..";
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
