#pragma once

#include "laburnum/experts/switch_envelope.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnum::standins {

struct RankGroupOptions
{
  std::string name = "group";
  std::size_t ranks = 4;
  std::size_t layers = 2;
  std::size_t experts = 16;
  std::size_t slots = 5; ///< Of a rank, in a layer.
};

/// The ranks of one group in lock-step on an expert map, each with its vote.
/// A rank votes for an epoch only after it has loaded the epoch's weights.
/// Free of I/O. Thread safety: loop thread.
class RankGroup
{
public:
  explicit RankGroup(RankGroupOptions aOptions);

  /// One step of all ranks, unless one of them has to wait. Pre: none.
  void step();

  /// Has ranks load what a map needs; true when they have, which takes two
  /// calls. The first map of an epoch stays. Pre: the ranks exist.
  bool prepare(experts::Rank aFirst,
               std::size_t aCount,
               experts::Epoch aEpoch,
               const experts::GroupMap& aMap);

  /// A message to a rank; the answers. Pre: none.
  std::vector<experts::SwitchEnvelope> handle(
    const experts::SwitchEnvelope& aNote);

  /// What ranks that wait for an outcome ask the others. Pre: none.
  std::vector<experts::SwitchEnvelope> questions(experts::Rank aFirst,
                                                 std::size_t aCount) const;

  /// Other experts become popular. Pre: none.
  void drift();

  // Reading.

  const RankGroupOptions& options() const { return mOptions; }
  experts::Epoch epoch() const { return mEpoch; }
  experts::StepNumber steps() const { return mStep; }
  bool isArmed(experts::Rank aFirst, std::size_t aCount) const;
  const experts::GroupMap& map() const { return mMaps.at(mEpoch); }
  const std::vector<std::vector<double>>& loads() const { return mLoads; }
  std::uint64_t mixed() const { return mMixed; }
  std::uint64_t longestStall() const { return mLongestStall; }
  double skew() const;

private:
  RankGroupOptions mOptions;
  std::vector<experts::RankVote> mVotes;
  std::vector<std::set<experts::Epoch>> mLoading; ///< By rank.
  std::vector<std::set<experts::Epoch>> mPrepared;
  std::map<experts::Epoch, experts::GroupMap> mMaps;
  std::vector<std::vector<double>> mLoads; ///< By layer and expert.
  experts::Epoch mEpoch = 0;
  experts::StepNumber mStep = 0;
  std::uint64_t mMixed = 0;
  std::uint64_t mStall = 0;
  std::uint64_t mLongestStall = 0;
};

} // namespace laburnum::standins
