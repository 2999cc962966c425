#pragma once

#include "laburnum/steward/group_summary.hpp"
#include "laburnum/steward/map_duty.hpp"
#include "laburnum/wire/message.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace laburnum::steward {

// Conversion of maps, orders and reports to and from wire frames.
// Thread safety: any thread.

/// Encodes an optional number; -1 stands for no value.
std::int64_t
optionalToSigned(const std::optional<std::uint64_t>& aValue);

/// Decodes an optional number; any negative number stands for no value.
std::optional<std::uint64_t>
signedToOptional(std::int64_t aValue);

/// Decodes the whole map in a Prepare frame; nothing if the frame has none or
/// it is malformed.
std::optional<experts::GroupMap>
decodeMap(const wire::RankOrderT& aFrame);

/// Encodes an order into a frame; a Prepare order with its whole map.
void
encodeOrder(wire::RankOrderT& aFrame, const experts::EngineOrder& aOrder);

/// Decodes the order of a frame.
/// @pre The frame is not a Prepare frame.
experts::EngineOrder
decodeOrder(const wire::RankOrderT& aFrame);

/// Decodes a rank's report.
RankUpdate
decodeReport(const wire::RankReportT& aReport);

/// Encodes the requests of each rank in a byte; an unknown number has the
/// largest value, and any number that does not fit the one below.
std::vector<std::uint8_t>
encodeLoads(const std::vector<std::optional<std::uint32_t>>& aLoads);

/// Encodes IPv4 addresses; any other address becomes port 0, which stands for
/// an unknown one.
std::vector<wire::ServerAddress>
encodeAddresses(const std::vector<contract::Address>& aAddresses);

std::vector<contract::Address>
decodeAddresses(const std::vector<wire::ServerAddress>& aAddresses);

/// Decodes what a rank's report says for the summary of its group.
RankPresence
decodePresence(const wire::RankReportT& aReport);

/// Returns the changes that turn one map of a group into another.
/// @pre Both maps have the same number of sets and ranks.
std::vector<wire::RankChange>
diffMaps(const experts::GroupMap& aOld, const experts::GroupMap& aNew);

/// Applies changes to a map. Returns false, with the map partly changed, if a
/// change refers to a set or a rank that the map does not have.
bool
applyChanges(const std::vector<wire::RankChange>& aChanges,
             experts::GroupMap& aMap);

/// Returns the map with which a group starts: experts are assigned to ranks
/// round-robin, equally in all sets.
experts::GroupMap
initialMap(std::size_t aSets, std::size_t aExperts, std::size_t aRanks);

} // namespace laburnum::steward
