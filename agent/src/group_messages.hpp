#pragma once

#include "laburnum/experts/map_change.hpp"
#include "laburnum/wire/message.hpp"

#include <string>

namespace laburnum::agent {

// Messages about a group's expert map as frames, and back.
// Pre: none. Thread safety: any thread.

wire::RankMessageT
toWire(const std::string& aGroup,
       const experts::SwitchEnvelope& aNote,
       std::uint64_t aFence);
experts::SwitchEnvelope
fromWire(const wire::RankMessageT& aMessage);

wire::PrepareMapT
toWire(const std::string& aGroup,
       const experts::PrepareRanks& aPrepare,
       std::uint64_t aFence);
experts::GroupMap
fromWire(const wire::PrepareMapT& aMessage);

} // namespace laburnum::agent
