#include "laburnum/http/descriptors.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace laburnum::http {
namespace {

/// Where the system names no limit.
constexpr std::size_t kUsualDescriptors = 1024;
constexpr std::size_t kMinOperatorSessions = 16;

} // namespace

std::size_t
descriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return kUsualDescriptors;
  }
  return limit.rlim_cur;
}

std::size_t
operatorSessions()
{
  return std::max(kMinOperatorSessions, descriptorLimit() / 8);
}

} // namespace laburnum::http
