#include "laburnum/gateway/prompt_parts.hpp"

#include "laburnum/kernel/hash.hpp"

#include <algorithm>
#include <cctype>
#include <string>

namespace laburnum::gateway {
namespace {

constexpr std::size_t kMaxParts = 32;

/// The ID of a part without surrounding spaces, in lower case.
std::string
normalizedId(std::string_view aPart)
{
  std::string id;
  for (const char letter : aPart.substr(0, aPart.find(':'))) {
    const auto code = static_cast<unsigned char>(letter);
    if (std::isspace(code) == 0) {
      id.push_back(static_cast<char>(std::tolower(code)));
    }
  }
  return id;
}

} // namespace

std::vector<std::uint64_t>
sharedPromptParts(std::string_view aList, std::uint64_t aSeed)
{
  std::vector<std::uint64_t> parts;
  std::size_t begin = 0;
  for (std::size_t comma = aList.find(',');
       comma != std::string_view::npos && parts.size() < kMaxParts;
       begin = comma + 1, comma = aList.find(',', begin)) {
    parts.push_back(
      hash64(normalizedId(aList.substr(begin, comma - begin)), aSeed));
  }
  return parts;
}

} // namespace laburnum::gateway
