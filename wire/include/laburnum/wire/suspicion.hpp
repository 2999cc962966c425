#pragma once

#include "laburnum/policy/quarantine.hpp"
#include "laburnum/wire/message.hpp"

#include <vector>

namespace laburnum::wire {

/// Encodes suspicions as a message. Thread safety: any thread.
SuspectsT
encodeSuspicions(const std::vector<policy::SuspicionRecord>& aRecords);

/// Merges a message into a quarantine. Returns the records that changed it, to
/// be passed on: each then reaches every daemon once. Records that are not
/// complete are ignored. Thread safety: one thread per quarantine.
std::vector<policy::SuspicionRecord>
mergeSuspicions(policy::Quarantine& aQuarantine,
                const SuspectsT& aMessage,
                Instant aNow);

} // namespace laburnum::wire
