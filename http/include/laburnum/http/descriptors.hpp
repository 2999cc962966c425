#pragma once

#include <cstddef>

namespace laburnum::http {

/// Number of descriptors that the process may have open. Thread safety: any
/// thread.
std::size_t
descriptorLimit();

/// Connections that an address for operators takes: an eighth of the
/// descriptors, and enough for the usual questions in any case. Thread safety:
/// any thread.
std::size_t
operatorSessions();

} // namespace laburnum::http
