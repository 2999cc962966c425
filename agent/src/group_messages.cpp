#include "group_messages.hpp"

namespace laburnum::agent {
namespace {

constexpr std::int64_t kCoordinator = -1;

std::int32_t
numberOf(const experts::Endpoint& aReceiver)
{
  const auto* rank = std::get_if<experts::Rank>(&aReceiver);
  return static_cast<std::int32_t>(
    rank == nullptr ? kCoordinator : static_cast<std::int64_t>(*rank));
}

experts::Endpoint
receiverOf(std::int32_t aNumber)
{
  if (aNumber < 0) {
    return experts::CoordinatorEndpoint{};
  }
  return static_cast<experts::Rank>(aNumber);
}

} // namespace

wire::RankMessageT
toWire(const std::string& aGroup,
       const experts::SwitchEnvelope& aNote,
       std::uint64_t aFence)
{
  const experts::Proposal proposal = experts::proposalOf(aNote.message);
  wire::RankMessageT message;
  message.group = aGroup;
  message.from = numberOf(aNote.from);
  message.to = numberOf(aNote.to);
  message.kind = static_cast<std::uint8_t>(aNote.message.index());
  message.epoch = proposal.epoch;
  message.first_step = proposal.firstStep;
  message.fence = aFence;
  return message;
}

experts::SwitchEnvelope
fromWire(const wire::RankMessageT& aMessage)
{
  return { .from = receiverOf(aMessage.from),
           .to = receiverOf(aMessage.to),
           .message =
             experts::makeSwitchMessage(aMessage.kind,
                                        { .epoch = aMessage.epoch,
                                          .firstStep = aMessage.first_step,
                                          .fence = aMessage.fence }) };
}

experts::GroupMap
fromWire(const wire::PrepareMapT& aMessage)
{
  experts::GroupMap map;
  for (const auto& layer : aMessage.layers) {
    experts::ExpertMap one;
    for (const auto& rank : layer->ranks) {
      one.slots.push_back(rank->experts);
    }
    map.push_back(std::move(one));
  }
  return map;
}

wire::PrepareMapT
toWire(const std::string& aGroup,
       const experts::PrepareRanks& aPrepare,
       std::uint64_t aFence)
{
  wire::PrepareMapT message;
  message.group = aGroup;
  message.epoch = aPrepare.epoch;
  message.fence = aFence;
  for (const experts::ExpertMap& map : aPrepare.map) {
    auto layer = std::make_unique<wire::LayerMapT>();
    for (const auto& slots : map.slots) {
      auto rank = std::make_unique<wire::RankExpertsT>();
      rank->experts = slots;
      layer->ranks.push_back(std::move(rank));
    }
    message.layers.push_back(std::move(layer));
  }
  return message;
}

} // namespace laburnum::agent
