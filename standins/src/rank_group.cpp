#include "laburnum/standins/rank_group.hpp"

#include <algorithm>
#include <cmath>

namespace laburnum::standins {
namespace {

/// Popularity of the expert that is so many places behind the hottest.
constexpr double kZipfExponent = 0.7;

/// Steps without progress after which a waiting rank asks the others.
constexpr std::uint64_t kPatience = 10;

/// Each expert once, in order, and the spare slots with second copies.
experts::ExpertMap
plainMap(const RankGroupOptions& aOptions)
{
  experts::ExpertMap map;
  map.slots.resize(aOptions.ranks);
  for (std::size_t i = 0; i < aOptions.ranks * aOptions.slots; ++i) {
    const std::size_t perRank = aOptions.experts / aOptions.ranks;
    const std::size_t rank = i < aOptions.experts
                               ? i / perRank
                               : (i - aOptions.experts) % aOptions.ranks;
    map.slots[rank].push_back(static_cast<std::uint16_t>(i % aOptions.experts));
  }
  return map;
}

} // namespace

RankGroup::RankGroup(RankGroupOptions aOptions)
  : mOptions(std::move(aOptions))
  , mLoading(mOptions.ranks)
  , mPrepared(mOptions.ranks)
{
  for (experts::Rank rank = 0; rank < mOptions.ranks; ++rank) {
    mVotes.emplace_back(rank, mOptions.ranks);
  }
  for (std::size_t layer = 0; layer < mOptions.layers; ++layer) {
    mMaps[0].push_back(plainMap(mOptions));
    std::vector<double> loads;
    for (std::size_t expert = 0; expert < mOptions.experts; ++expert) {
      const auto place = static_cast<double>(
        (expert + layer * mOptions.experts / 2) % mOptions.experts);
      loads.push_back(1 / std::pow(place + 1, kZipfExponent));
    }
    mLoads.push_back(std::move(loads));
  }
}

void
RankGroup::step()
{
  std::set<experts::Epoch> used;
  for (experts::RankVote& vote : mVotes) {
    const auto epoch = vote.epochFor(mStep);
    if (!epoch) {
      ++mStall;
      mLongestStall = std::max(mLongestStall, mStall);
      return;
    }
    used.insert(*epoch);
  }
  mMixed += used.size() > 1 ? 1 : 0;
  mEpoch = *used.rbegin();
  mStall = 0;
  ++mStep;
}

bool
RankGroup::prepare(experts::Rank aFirst,
                   std::size_t aCount,
                   experts::Epoch aEpoch,
                   const experts::GroupMap& aMap)
{
  mMaps.try_emplace(aEpoch, aMap);
  bool all = true;
  for (experts::Rank rank = aFirst; rank < aFirst + aCount; ++rank) {
    const bool isNew = mLoading[rank].insert(aEpoch).second;
    if (isNew) {
      all = false;
    } else {
      mPrepared[rank].insert(aEpoch);
    }
  }
  return all;
}

std::vector<experts::SwitchEnvelope>
RankGroup::handle(const experts::SwitchEnvelope& aNote)
{
  const auto* to = std::get_if<experts::Rank>(&aNote.to);
  if (to == nullptr || *to >= mOptions.ranks) {
    return {};
  }
  experts::SwitchMessage message = aNote.message;
  if (const auto* arm = std::get_if<experts::Arm>(&message);
      arm && !mPrepared[*to].contains(arm->proposal.epoch)) {
    // Without the weights the rank can't vote for the epoch.
    message = experts::AskOutcome{ arm->proposal.epoch };
  }
  std::vector<experts::SwitchEnvelope> replies;
  for (const auto& out : mVotes[*to].handle(aNote.from, message)) {
    replies.push_back({ .from = *to, .to = out.to, .message = out.message });
  }
  return replies;
}

std::vector<experts::SwitchEnvelope>
RankGroup::questions(experts::Rank aFirst, std::size_t aCount) const
{
  std::vector<experts::SwitchEnvelope> notes;
  if (mStall < kPatience) {
    return notes;
  }
  for (experts::Rank rank = aFirst; rank < aFirst + aCount; ++rank) {
    for (const auto& out : mVotes[rank].requestOutcome()) {
      notes.push_back({ .from = rank, .to = out.to, .message = out.message });
    }
  }
  return notes;
}

void
RankGroup::drift()
{
  for (auto& loads : mLoads) {
    std::rotate(loads.begin(), loads.begin() + 5, loads.end());
  }
}

bool
RankGroup::isArmed(experts::Rank aFirst, std::size_t aCount) const
{
  return std::any_of(mVotes.begin() + aFirst,
                     mVotes.begin() + aFirst + static_cast<long>(aCount),
                     [](const auto& aVote) { return aVote.isArmed(); });
}

double
RankGroup::skew() const
{
  double worst = 0;
  for (std::size_t layer = 0; layer < mOptions.layers; ++layer) {
    worst = std::max(worst, experts::skewOf(map()[layer], mLoads[layer]));
  }
  return worst;
}

} // namespace laburnum::standins
