#include "frames.hpp"

#include <algorithm>
#include <iterator>

namespace laburnum::steward {
namespace {

/// Instead of an expert: none, or the end of a rank's experts. No engine has as
/// many.
constexpr std::uint16_t kNoExpert = 65535;

std::vector<std::uint16_t>
placesOf(const experts::GroupMap& aMap)
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

/// An order in the form of its frame.
struct ToFrame
{
  wire::RankOrderT& frame;

  void operator()(const experts::PrepareOrder& aOrder) const
  {
    frame.kind = wire::RankOrderKind::Prepare;
    frame.version = aOrder.version;
    frame.sets = static_cast<std::uint16_t>(aOrder.map.size());
    frame.places = placesOf(aOrder.map);
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

/// What of the second list the first one lacks.
std::vector<std::uint16_t>
missingIn(const std::vector<std::uint16_t>& aList,
          const std::vector<std::uint16_t>& aOther)
{
  std::vector<std::uint16_t> missing;
  std::copy_if(aOther.begin(),
               aOther.end(),
               std::back_inserter(missing),
               [&aList](std::uint16_t aExpert) {
                 return std::find(aList.begin(), aList.end(), aExpert) ==
                        aList.end();
               });
  return missing;
}

} // namespace

std::int64_t
orNone(const std::optional<std::uint64_t>& aValue)
{
  return aValue ? static_cast<std::int64_t>(*aValue) : -1;
}

std::optional<std::uint64_t>
orNothing(std::int64_t aValue)
{
  return aValue < 0 ? std::nullopt
                    : std::optional(static_cast<std::uint64_t>(aValue));
}

std::optional<experts::GroupMap>
mapIn(const wire::RankOrderT& aFrame)
{
  const auto ends = static_cast<std::size_t>(
    std::count(aFrame.places.begin(), aFrame.places.end(), kNoExpert));
  if (aFrame.sets == 0 || ends == 0 || ends % aFrame.sets != 0 ||
      aFrame.places.back() != kNoExpert) {
    return std::nullopt;
  }
  const std::size_t ranks = ends / aFrame.sets;
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
fill(wire::RankOrderT& aFrame, const experts::EngineOrder& aOrder)
{
  std::visit(ToFrame{ aFrame }, aOrder);
}

experts::EngineOrder
toOrder(const wire::RankOrderT& aFrame)
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
changesBetween(const experts::GroupMap& aOld, const experts::GroupMap& aNew)
{
  std::vector<wire::RankChange> changes;
  for (std::size_t set = 0; set < aNew.size(); ++set) {
    for (std::size_t rank = 0; rank < aNew[set].slots.size(); ++rank) {
      const auto dropped =
        missingIn(aNew[set].slots[rank], aOld[set].slots[rank]);
      const auto added =
        missingIn(aOld[set].slots[rank], aNew[set].slots[rank]);
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
      // Sorted as in a plan: engines compare maps place by place.
      slots.insert(std::upper_bound(slots.begin(), slots.end(), change.added()),
                   change.added());
    }
  }
  return true;
}

experts::GroupMap
firstMap(std::size_t aSets, std::size_t aExperts, std::size_t aRanks)
{
  experts::ExpertMap set;
  set.slots.resize(aRanks);
  for (std::size_t expert = 0; expert < aExperts; ++expert) {
    set.slots[expert % aRanks].push_back(static_cast<std::uint16_t>(expert));
  }
  return experts::GroupMap(aSets, set);
}

RankNews
newsOf(const wire::RankReportT& aReport)
{
  RankNews news{ .rank = aReport.rank,
                 .size = aReport.size,
                 .isOpen = aReport.open,
                 .knowsMap = aReport.knows_map,
                 .pace = std::max(1.0, static_cast<double>(aReport.pace)) };
  news.state.epoch = aReport.epoch;
  news.state.step = aReport.step;
  news.state.inForce = aReport.in_force;
  news.state.prepared = orNothing(aReport.prepared);
  if (aReport.armed_version >= 0) {
    news.state.armed =
      experts::ArmedMap{ static_cast<std::uint64_t>(aReport.armed_version),
                         static_cast<std::uint64_t>(aReport.armed_step) };
  }
  news.state.held = orNothing(aReport.held);
  if (aReport.experts) {
    for (const auto& set : aReport.experts->ranks) {
      news.experts.push_back(set->experts);
    }
  }
  if (!aReport.scales.empty() &&
      aReport.counts.size() % aReport.scales.size() == 0) {
    const std::size_t each = aReport.counts.size() / aReport.scales.size();
    for (std::size_t i = 0; i < aReport.counts.size(); ++i) {
      news.counts.push_back(aReport.counts[i] *
                            static_cast<double>(aReport.scales[i / each]));
    }
  }
  return news;
}

} // namespace laburnum::steward
