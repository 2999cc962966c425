#pragma once

#include "laburnum/experts/map_planner.hpp"
#include "laburnum/experts/map_switch.hpp"
#include "laburnum/kernel/result.hpp"

#include <boost/json/value.hpp>
#include <string_view>
#include <vector>

namespace laburnum::experts {

/// The maps of a group, one for each layer.
using GroupMap = std::vector<ExpertMap>;

/// A message of the map switch with its sender and receiver, as engines send
/// and receive it.
struct SwitchEnvelope
{
  Endpoint from;
  Endpoint to;
  SwitchMessage message;
};

// All functions below are thread-safe.

/// Builds the message with index aKind in `SwitchMessage`. Kinds other than
/// `Arm` use the epoch of the proposal alone. An unknown kind gives an
/// `AskOutcome`, which commits to nothing.
SwitchMessage
makeSwitchMessage(std::size_t aKind, const Proposal& aProposal);

/// Returns the proposal of an `Arm`, or a proposal with only the epoch of any
/// other message.
Proposal
proposalOf(const SwitchMessage& aMessage);

// JSON representation in the interface to engines.

boost::json::value
toJson(const SwitchEnvelope& aEnvelope);
Result<SwitchEnvelope>
parseSwitchEnvelope(const boost::json::value& aValue);

/// Parses the array in the field "notes" of a document; skips invalid elements.
std::vector<SwitchEnvelope>
parseEnvelopes(const boost::json::value& aDocument);

boost::json::value
toJson(const GroupMap& aMap);
Result<GroupMap>
parseGroupMap(const boost::json::value& aValue);

} // namespace laburnum::experts
