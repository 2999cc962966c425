#include "laburnum/kernel/hash.hpp"

#include <algorithm>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace laburnum {
namespace {

std::string
hexadecimal(const unsigned char* aBytes, std::size_t aSize)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(aSize * 2);
  for (std::size_t i = 0; i < aSize; ++i) {
    text.push_back(kDigits[aBytes[i] >> 4]);
    text.push_back(kDigits[aBytes[i] & 15]);
  }
  return text;
}

} // namespace

std::uint64_t
hash64(std::string_view aText, std::uint64_t aSeed)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

std::uint64_t
mix(std::uint64_t aLeft, std::uint64_t aRight)
{
  const std::uint64_t words[2]{ aLeft, aRight };
  return XXH64(words, sizeof(words), 0);
}

std::string
sha256Label(std::string_view aText)
{
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(
    reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest);
  return "sha256:" + hexadecimal(digest, sizeof(digest));
}

std::string
hmacSha256(std::string_view aKey, std::string_view aText)
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       digest,
       &size);
  return hexadecimal(digest, size);
}

std::vector<std::size_t>
rendezvous(std::uint64_t aKey,
           const std::vector<std::uint64_t>& aCandidates,
           std::size_t aCount)
{
  std::vector<std::pair<std::uint64_t, std::size_t>> scored;
  scored.reserve(aCandidates.size());
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    scored.emplace_back(mix(aKey, aCandidates[i]), i);
  }
  const std::size_t count = std::min(aCount, scored.size());
  std::partial_sort(
    scored.begin(), scored.begin() + count, scored.end(), std::greater<>());
  std::vector<std::size_t> chosen;
  chosen.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(scored[i].second);
  }
  return chosen;
}

} // namespace laburnum
