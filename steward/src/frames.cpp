#include "frames.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <iterator>

namespace laburnum::steward {
namespace {

/// Stands for no expert in a change, and for the end of a rank's experts in a
/// whole map. No engine has that many experts.
constexpr std::uint16_t kNoExpert = 65535;

/// Lists the experts of each rank, set by set; `kNoExpert` ends each list.
std::vector<std::uint16_t>
encodeMap(const experts::GroupMap& aMap)
{
  std::vector<std::uint16_t> places;
  for (const experts::ExpertMap& set : aMap) {
    for (const auto& slots : set.slots) {
      places.insert(places.end(), slots.begin(), slots.end());
      places.push_back(kNoExpert);
    }
  }
  return places;
}

/// Encodes each kind of order into a frame.
struct OrderEncoder
{
  wire::RankOrderT& frame;

  void operator()(const experts::PrepareOrder& aOrder) const
  {
    frame.kind = wire::RankOrderKind::Prepare;
    frame.version = aOrder.version;
    frame.sets = static_cast<std::uint16_t>(aOrder.map->size());
    frame.places = encodeMap(*aOrder.map);
  }
  void operator()(const experts::ArmOrder& aOrder) const
  {
    frame.kind = wire::RankOrderKind::Arm;
    frame.version = aOrder.armed.version;
    frame.step = aOrder.armed.step;
  }
  void operator()(const experts::DisarmOrder& aOrder) const
  {
    frame.kind = wire::RankOrderKind::Disarm;
    frame.version = aOrder.version;
  }
  void operator()(const experts::HoldOrder& aOrder) const
  {
    frame.kind = wire::RankOrderKind::Hold;
    frame.step = aOrder.step;
  }
  void operator()(const experts::ReleaseOrder& aOrder) const
  {
    frame.kind = wire::RankOrderKind::Release;
    frame.step = aOrder.step;
  }
};

/// Returns the elements of aCandidates that are not in aExcluded.
std::vector<std::uint16_t>
elementsNotIn(const std::vector<std::uint16_t>& aExcluded,
              const std::vector<std::uint16_t>& aCandidates)
{
  std::vector<std::uint16_t> elements;
  std::copy_if(aCandidates.begin(),
               aCandidates.end(),
               std::back_inserter(elements),
               [&aExcluded](std::uint16_t aExpert) {
                 return std::find(aExcluded.begin(),
                                  aExcluded.end(),
                                  aExpert) == aExcluded.end();
               });
  return elements;
}

} // namespace

std::int64_t
optionalToSigned(const std::optional<std::uint64_t>& aValue)
{
  return aValue ? static_cast<std::int64_t>(*aValue) : -1;
}

std::optional<std::uint64_t>
signedToOptional(std::int64_t aValue)
{
  return aValue < 0 ? std::nullopt
                    : std::optional(static_cast<std::uint64_t>(aValue));
}

std::optional<experts::GroupMap>
decodeMap(const wire::RankOrderT& aFrame)
{
  const auto separators = static_cast<std::size_t>(
    std::count(aFrame.places.begin(), aFrame.places.end(), kNoExpert));
  if (aFrame.sets == 0 || separators == 0 || separators % aFrame.sets != 0 ||
      aFrame.places.back() != kNoExpert) {
    return std::nullopt;
  }
  const std::size_t ranks = separators / aFrame.sets;
  experts::GroupMap map(aFrame.sets);
  std::vector<std::uint16_t> slots;
  std::size_t rank = 0;
  for (const std::uint16_t expert : aFrame.places) {
    if (expert != kNoExpert) {
      slots.push_back(expert);
      continue;
    }
    map[rank++ / ranks].slots.push_back(std::move(slots));
    slots.clear();
  }
  return map;
}

void
encodeOrder(wire::RankOrderT& aFrame, const experts::EngineOrder& aOrder)
{
  std::visit(OrderEncoder{ aFrame }, aOrder);
}

experts::EngineOrder
decodeOrder(const wire::RankOrderT& aFrame)
{
  switch (aFrame.kind) {
    case wire::RankOrderKind::Arm:
      return experts::ArmOrder{ { aFrame.version, aFrame.step } };
    case wire::RankOrderKind::Disarm:
      return experts::DisarmOrder{ aFrame.version };
    case wire::RankOrderKind::Hold:
      return experts::HoldOrder{ aFrame.step };
    case wire::RankOrderKind::Prepare:
    case wire::RankOrderKind::Release:
      break;
  }
  return experts::ReleaseOrder{ aFrame.step };
}

std::vector<wire::RankChange>
diffMaps(const experts::GroupMap& aOld, const experts::GroupMap& aNew)
{
  std::vector<wire::RankChange> changes;
  for (std::size_t set = 0; set < aNew.size(); ++set) {
    for (std::size_t rank = 0; rank < aNew[set].slots.size(); ++rank) {
      const auto dropped =
        elementsNotIn(aNew[set].slots[rank], aOld[set].slots[rank]);
      const auto added =
        elementsNotIn(aOld[set].slots[rank], aNew[set].slots[rank]);
      for (std::size_t i = 0; i < std::max(dropped.size(), added.size()); ++i) {
        changes.emplace_back(static_cast<std::uint16_t>(set),
                             static_cast<std::uint16_t>(rank),
                             i < dropped.size() ? dropped[i] : kNoExpert,
                             i < added.size() ? added[i] : kNoExpert);
      }
    }
  }
  return changes;
}

bool
applyChanges(const std::vector<wire::RankChange>& aChanges,
             experts::GroupMap& aMap)
{
  for (const wire::RankChange& change : aChanges) {
    if (change.set() >= aMap.size() ||
        change.rank() >= aMap[change.set()].slots.size()) {
      return false;
    }
    auto& slots = aMap[change.set()].slots[change.rank()];
    std::erase(slots, change.dropped());
    if (change.added() != kNoExpert) {
      // Keeps the order that a plan has: engines compare the lists in order.
      slots.insert(std::upper_bound(slots.begin(), slots.end(), change.added()),
                   change.added());
    }
  }
  return true;
}

experts::GroupMap
initialMap(std::size_t aSets, std::size_t aExperts, std::size_t aRanks)
{
  experts::ExpertMap set;
  set.slots.resize(aRanks);
  for (std::size_t expert = 0; expert < aExperts; ++expert) {
    set.slots[expert % aRanks].push_back(static_cast<std::uint16_t>(expert));
  }
  return experts::GroupMap(aSets, set);
}

RankUpdate
decodeReport(const wire::RankReportT& aReport)
{
  RankUpdate update{ .rank = aReport.rank,
                     .groupSize = aReport.size,
                     .isOpen = aReport.open,
                     .hasFullMap = aReport.knows_map,
                     .slowdown =
                       std::max(1.0, static_cast<double>(aReport.pace)) };
  update.state.epoch = aReport.epoch;
  update.state.step = aReport.step;
  update.state.inForce = aReport.in_force;
  update.state.prepared = signedToOptional(aReport.prepared);
  if (aReport.armed_version >= 0) {
    update.state.armed =
      experts::ArmedMap{ static_cast<std::uint64_t>(aReport.armed_version),
                         static_cast<std::uint64_t>(aReport.armed_step) };
  }
  update.state.held = signedToOptional(aReport.held);
  if (aReport.experts) {
    for (const auto& set : aReport.experts->ranks) {
      update.experts.push_back(set->experts);
    }
  }
  if (!aReport.scales.empty() &&
      aReport.counts.size() % aReport.scales.size() == 0) {
    const std::size_t countsPerSet =
      aReport.counts.size() / aReport.scales.size();
    for (std::size_t i = 0; i < aReport.counts.size(); ++i) {
      update.counts.push_back(
        aReport.counts[i] *
        static_cast<double>(aReport.scales[i / countsPerSet]));
    }
  }
  return update;
}

RankPresence
decodePresence(const wire::RankReportT& aReport)
{
  RankPresence presence{ .rank = aReport.rank,
                         .load = aReport.load,
                         .gateways = aReport.gateways,
                         .news = { .configurationVersion =
                                     aReport.config_version,
                                   .serversRevision = aReport.servers_revision,
                                   .storeEra = aReport.store_era } };
  if (const auto address = contract::parseAddress(aReport.server)) {
    presence.server = *address;
  }
  return presence;
}

std::vector<std::uint8_t>
encodeLoads(const std::vector<std::optional<std::uint32_t>>& aLoads)
{
  std::vector<std::uint8_t> loads;
  for (const auto& load : aLoads) {
    loads.push_back(load ? static_cast<std::uint8_t>(
                             std::min<std::uint32_t>(*load, wire::kMaxRankLoad))
                         : wire::kUnknownRankLoad);
  }
  return loads;
}

std::vector<wire::ServerAddress>
encodeAddresses(const std::vector<contract::Address>& aAddresses)
{
  std::vector<wire::ServerAddress> encoded;
  for (const contract::Address& address : aAddresses) {
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(address.host, error);
    encoded.emplace_back(error ? 0 : ip.to_uint(), error ? 0 : address.port);
  }
  return encoded;
}

std::vector<contract::Address>
decodeAddresses(const std::vector<wire::ServerAddress>& aAddresses)
{
  std::vector<contract::Address> decoded;
  for (const wire::ServerAddress& address : aAddresses) {
    decoded.push_back(
      { .host = boost::asio::ip::address_v4(address.ip()).to_string(),
        .port = address.port() });
  }
  return decoded;
}

} // namespace laburnum::steward
