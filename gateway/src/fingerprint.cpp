#include "laburnum/gateway/fingerprint.hpp"

#include <array>
#include <charconv>

namespace laburnum::gateway {

std::string
fingerprintText(std::uint64_t aFingerprint)
{
  constexpr std::size_t kHexDigits = 16;
  std::array<char, kHexDigits> digits{};
  const auto end =
    std::to_chars(
      digits.data(), digits.data() + digits.size(), aFingerprint, 16)
      .ptr;
  return { digits.data(), end };
}

} // namespace laburnum::gateway
