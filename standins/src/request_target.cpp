#include "laburnum/standins/request_target.hpp"

#include <algorithm>
#include <charconv>

namespace laburnum::standins {
namespace {

enum class PlusSign
{
  Plain,
  Blank
};

std::string
decode(std::string_view aText, PlusSign aPlusSign)
{
  std::string decoded;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    unsigned char byte = 0;
    const char* digits = aText.data() + at + 1;
    if (aText[at] == '%' && at + 2 < aText.size() &&
        std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
      decoded += static_cast<char>(byte);
      at += 2;
    } else {
      const bool isBlank = aText[at] == '+' && aPlusSign == PlusSign::Blank;
      decoded += isBlank ? ' ' : aText[at];
    }
  }
  return decoded;
}

std::vector<std::string_view>
split(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> parts;
  for (;;) {
    const std::size_t end = std::min(aText.find(aSeparator), aText.size());
    parts.push_back(aText.substr(0, end));
    if (end == aText.size()) {
      return parts;
    }
    aText.remove_prefix(end + 1);
  }
}

} // namespace

std::string
RequestTarget::parameter(const std::string& aName) const
{
  const auto found = parameters.find(aName);
  return found == parameters.end() ? "" : found->second;
}

RequestTarget
parseTarget(std::string_view aTarget)
{
  RequestTarget target;
  aTarget = aTarget.substr(0, aTarget.find('#'));
  const std::size_t pathEnd = std::min(aTarget.find('?'), aTarget.size());
  const auto segments = split(aTarget.substr(0, pathEnd), '/');
  for (std::size_t i = 1; i < segments.size(); ++i) {
    std::string segment = decode(segments[i], PlusSign::Plain);
    if (segment == "..") {
      if (!target.segments.empty()) {
        target.segments.pop_back();
      }
    } else if (segment != ".") {
      target.segments.push_back(std::move(segment));
    }
  }
  if (pathEnd == aTarget.size()) {
    return target;
  }
  for (const std::string_view pair : split(aTarget.substr(pathEnd + 1), '&')) {
    const std::size_t nameEnd = std::min(pair.find('='), pair.size());
    const std::string_view value =
      pair.substr(std::min(nameEnd + 1, pair.size()));
    target.parameters[decode(pair.substr(0, nameEnd), PlusSign::Blank)] =
      decode(value, PlusSign::Blank);
  }
  return target;
}

} // namespace laburnum::standins
