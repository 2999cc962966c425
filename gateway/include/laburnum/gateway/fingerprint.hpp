#pragma once

#include <cstdint>
#include <string>

namespace laburnum::gateway {

/// The hash of a request's content as it stands in log lines, in hexadecimal.
/// Thread safety: any thread.
std::string
fingerprintText(std::uint64_t aFingerprint);

} // namespace laburnum::gateway
