#include "laburnum/experts/switch_envelope.hpp"

#include "laburnum/contract/field_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace laburnum::experts {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
/// Stands for the coordinator in place of a rank.
constexpr std::int64_t kCoordinatorNumber = -1;

/// Names of the messages in JSON, by index in `SwitchMessage`.
constexpr std::string_view kKindNames[] = { "arm",    "armed", "pledged",
                                            "commit", "abort", "ask_outcome" };

std::int64_t
toNumber(const Endpoint& aEndpoint)
{
  const Rank* rank = std::get_if<Rank>(&aEndpoint);
  return rank == nullptr ? kCoordinatorNumber
                         : static_cast<std::int64_t>(*rank);
}

Endpoint
toEndpoint(std::int64_t aNumber)
{
  if (aNumber < 0) {
    return CoordinatorEndpoint{};
  }
  return static_cast<Rank>(aNumber);
}

Failure
malformed(std::string aDetail)
{
  return { .error = Error::MalformedRequest, .detail = std::move(aDetail) };
}

} // namespace

SwitchMessage
makeSwitchMessage(std::size_t aKind, const Proposal& aProposal)
{
  switch (aKind) {
    case 0:
      return Arm{ aProposal };
    case 1:
      return Armed{ aProposal.epoch };
    case 2:
      return Pledged{ aProposal.epoch };
    case 3:
      return Commit{ aProposal.epoch };
    case 4:
      return Abort{ aProposal.epoch };
    default:
      return AskOutcome{ aProposal.epoch };
  }
}

Proposal
proposalOf(const SwitchMessage& aMessage)
{
  struct Visitor
  {
    Proposal operator()(const Arm& aArm) const { return aArm.proposal; }
    Proposal operator()(const Armed& aVote) const
    {
      return withEpoch(aVote.epoch);
    }
    Proposal operator()(const Pledged& aVote) const
    {
      return withEpoch(aVote.epoch);
    }
    Proposal operator()(const Commit& aVote) const
    {
      return withEpoch(aVote.epoch);
    }
    Proposal operator()(const Abort& aVote) const
    {
      return withEpoch(aVote.epoch);
    }
    Proposal operator()(const AskOutcome& aVote) const
    {
      return withEpoch(aVote.epoch);
    }
    static Proposal withEpoch(Epoch aEpoch) { return { .epoch = aEpoch }; }
  };
  return std::visit(Visitor{}, aMessage);
}

json::value
toJson(const SwitchEnvelope& aEnvelope)
{
  const Proposal proposal = proposalOf(aEnvelope.message);
  return json::object{ { "from", toNumber(aEnvelope.from) },
                       { "to", toNumber(aEnvelope.to) },
                       { "kind", kKindNames[aEnvelope.message.index()] },
                       { "epoch", proposal.epoch },
                       { "first_step", proposal.firstStep },
                       { "fence", proposal.fence } };
}

Result<SwitchEnvelope>
parseSwitchEnvelope(const json::value& aValue)
{
  contract::FieldReader reader(aValue, "");
  SwitchEnvelope envelope;
  envelope.from =
    toEndpoint(reader.integer("from", kCoordinatorNumber, -1, kMaxNumber));
  envelope.to =
    toEndpoint(reader.integer("to", kCoordinatorNumber, -1, kMaxNumber));
  const std::string kind = reader.requiredText("kind");
  Proposal proposal;
  proposal.epoch =
    static_cast<Epoch>(reader.integer("epoch", 0, 0, kMaxNumber));
  proposal.firstStep =
    static_cast<StepNumber>(reader.integer("first_step", 0, 0, kMaxNumber));
  proposal.fence =
    static_cast<std::uint64_t>(reader.integer("fence", 0, 0, kMaxNumber));
  const auto* const found =
    std::find(std::begin(kKindNames), std::end(kKindNames), kind);
  if (found == std::end(kKindNames)) {
    reader.fault("kind", "found \"" + kind + "\", expected a kind of message");
  }
  const std::string faults = reader.faults();
  if (!faults.empty()) {
    return malformed(faults);
  }
  envelope.message = makeSwitchMessage(
    static_cast<std::size_t>(found - std::begin(kKindNames)), proposal);
  return envelope;
}

std::vector<SwitchEnvelope>
parseEnvelopes(const json::value& aDocument)
{
  std::vector<SwitchEnvelope> envelopes;
  const json::value* list = aDocument.is_object()
                              ? aDocument.as_object().if_contains("notes")
                              : nullptr;
  if (list == nullptr || !list->is_array()) {
    return envelopes;
  }
  for (const json::value& element : list->as_array()) {
    const auto envelope = parseSwitchEnvelope(element);
    if (envelope) {
      envelopes.push_back(*envelope);
    }
  }
  return envelopes;
}

json::value
toJson(const GroupMap& aMap)
{
  json::array layers;
  for (const ExpertMap& map : aMap) {
    json::array ranks;
    for (const auto& experts : map.slots) {
      ranks.push_back(json::array(experts.begin(), experts.end()));
    }
    layers.push_back(std::move(ranks));
  }
  return layers;
}

Result<GroupMap>
parseGroupMap(const json::value& aValue)
{
  GroupMap map;
  if (!aValue.is_array()) {
    return malformed("map: expected an array of layers");
  }
  for (const json::value& layer : aValue.as_array()) {
    ExpertMap layerMap;
    if (!layer.is_array()) {
      return malformed("map: expected an array of ranks in each layer");
    }
    for (const json::value& rank : layer.as_array()) {
      std::vector<std::uint16_t> experts;
      if (!rank.is_array()) {
        return malformed("map: expected an array of experts for each rank");
      }
      for (const json::value& expert : rank.as_array()) {
        json::error_code error;
        experts.push_back(expert.to_number<std::uint16_t>(error));
        if (error) {
          return malformed("map: expected experts as numbers below 65536");
        }
      }
      layerMap.slots.push_back(std::move(experts));
    }
    map.push_back(std::move(layerMap));
  }
  return map;
}

} // namespace laburnum::experts
