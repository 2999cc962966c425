#include "laburnum/experts/copy_planner.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

namespace laburnum::experts {
namespace {

/// Ranks considered as targets of a copy. The limit keeps the time for a plan
/// of 72 ranks and 12 sets at a few ms on an instance with a seventh of a core.
constexpr std::size_t kMaxTargetRanks = 12;
/// Copies without sufficient gain after which the search ends. More than one is
/// needed when several ranks share the maximum load.
constexpr std::size_t kMaxLookAheadCopies = 8;

/// One step of a plan. It copies an expert of the most loaded rank to another
/// rank, where it may take the slot of an evicted expert; in a swap the evicted
/// expert goes to the most loaded rank. A removal takes the expert from the
/// most loaded rank and leaves it to its other holders.
struct Step
{
  std::size_t rank = 0;
  std::uint16_t expert = 0;
  std::optional<std::uint16_t> evicted;
  bool isSwap = false;
  bool isRemoval = false;
};

/// Relief below this share of the whole is a rounding error. Steps that need no
/// copy, as they restore what a rank held, would follow one another forever.
constexpr double kMinRelativeGain = 1e-9;

/// Cost of a removal, which needs no copy, relative to a step with one copy.
constexpr double kRemovalCost = 0.25;

/// A map and its rank loads, updated with each step.
class MapState
{
public:
  MapState(const ExpertMap& aPresent,
           const std::vector<double>& aLoads,
           const CopyPlanOptions& aOptions,
           std::vector<std::size_t> aCopyBudget)
    : mOptions(aOptions)
    , mLoads(aLoads)
    , mMap(aPresent)
    , mOriginal(aPresent)
    , mHolders(aLoads.size())
    , mRankLoads(aPresent.slots.size(), 0)
    , mCopiesToRank(aPresent.slots.size(), 0)
    , mCopyBudget(std::move(aCopyBudget))
  {
    for (std::size_t rank = 0; rank < mMap.slots.size(); ++rank) {
      for (const std::uint16_t expert : mMap.slots[rank]) {
        mHolders[expert].push_back(rank);
      }
    }
    for (std::size_t expert = 0; expert < aLoads.size(); ++expert) {
      adjustLoads(static_cast<std::uint16_t>(expert), 1);
    }
    mBalancedTime =
      balancedTime(std::accumulate(aLoads.begin(), aLoads.end(), 0.0),
                   mRankLoads.size(),
                   aOptions.paces);
  }

  /// Copies that each rank may still receive, over all sets.
  const std::vector<std::size_t>& copyBudget() const { return mCopyBudget; }

  double skew() const
  {
    return mBalancedTime <= 0 ? 1 : mRankLoads[mostLoaded()] / mBalancedTime;
  }

  /// Returns the rank that takes the longest.
  std::size_t mostLoaded() const
  {
    return static_cast<std::size_t>(
      std::max_element(mRankLoads.begin(), mRankLoads.end()) -
      mRankLoads.begin());
  }

  /// Returns the step that relieves the most loaded rank with the largest gain
  /// for its cost, or nothing.
  std::optional<Step> findBestStep()
  {
    const std::size_t hot = mostLoaded();
    std::optional<Step> best;
    const double potentialBefore = mPotential;
    double bestGain = potentialBefore * kMinRelativeGain;
    const auto evaluate = [&](const Step& aStep) {
      apply(aStep, hot);
      const double cost =
        aStep.isSwap ? 2 : (aStep.isRemoval ? kRemovalCost : 1);
      const double gain = (potentialBefore - mPotential) / cost;
      revert(aStep, hot);
      mPotential = potentialBefore; // Avoids accumulated rounding errors.
      if (gain > bestGain) {
        bestGain = gain;
        best = aStep;
      }
    };
    const auto experts = mMap.slots[hot];
    const auto targets = leastLoaded(hot);
    for (const std::uint16_t expert : experts) {
      // Only from slow ranks: on others the copy would be needed again after
      // the next shift of the load.
      if (mHolders[expert].size() > 1 && paceOf(mOptions.paces, hot) > 1) {
        evaluate({ .rank = hot, .expert = expert, .isRemoval = true });
      }
      for (const std::size_t rank : targets) {
        if (holds(rank, expert) || !canTake(rank, expert)) {
          continue;
        }
        if (mMap.slots[rank].size() < mOptions.slotsPerRank) {
          evaluate({ .rank = rank, .expert = expert });
        }
        const auto slots = mMap.slots[rank];
        for (const std::uint16_t other : slots) {
          if (mHolders[other].size() > 1) {
            evaluate({ .rank = rank, .expert = expert, .evicted = other });
          }
          if (mLoads[other] < mLoads[expert] && !holds(hot, other) &&
              canTake(hot, other)) {
            evaluate({ .rank = rank,
                       .expert = expert,
                       .evicted = other,
                       .isSwap = true });
          }
        }
      }
    }
    return best;
  }

  void commit(const Step& aStep)
  {
    const std::size_t hot = mostLoaded();
    apply(aStep, hot);
    if (aStep.isRemoval) {
      return;
    }
    countCopy(aStep.rank, aStep.expert);
    if (aStep.isSwap) {
      countCopy(hot, *aStep.evicted);
    }
  }

  std::size_t copies() const { return mCopies; }
  const ExpertMap& map() const { return mMap; }

private:
  /// Returns the least loaded ranks, on which a copy brings the most relief.
  std::vector<std::size_t> leastLoaded(std::size_t aHot) const
  {
    std::vector<std::size_t> ranks;
    for (std::size_t rank = 0; rank < mRankLoads.size(); ++rank) {
      if (rank != aHot) {
        ranks.push_back(rank);
      }
    }
    const std::size_t targetCount = std::min(ranks.size(), kMaxTargetRanks);
    std::partial_sort(ranks.begin(),
                      ranks.begin() + static_cast<std::ptrdiff_t>(targetCount),
                      ranks.end(),
                      [this](std::size_t aLeft, std::size_t aRight) {
                        return std::pair(mRankLoads[aLeft], aLeft) <
                               std::pair(mRankLoads[aRight], aRight);
                      });
    ranks.resize(targetCount);
    return ranks;
  }

  bool holds(std::size_t aRank, std::uint16_t aExpert) const
  {
    const auto& slots = mMap.slots[aRank];
    return std::find(slots.begin(), slots.end(), aExpert) != slots.end();
  }

  bool heldOriginally(std::size_t aRank, std::uint16_t aExpert) const
  {
    const auto& slots = mOriginal.slots[aRank];
    return std::find(slots.begin(), slots.end(), aExpert) != slots.end();
  }

  bool canTake(std::size_t aRank, std::uint16_t aExpert) const
  {
    return heldOriginally(aRank, aExpert) ||
           (mCopiesToRank[aRank] < mOptions.maxCopiesPerRank &&
            mCopyBudget[aRank] > 0);
  }

  void countCopy(std::size_t aRank, std::uint16_t aExpert)
  {
    if (!heldOriginally(aRank, aExpert)) {
      ++mCopiesToRank[aRank];
      --mCopyBudget[aRank];
      ++mCopies;
    }
  }

  /// Adds (aSign 1) or subtracts (aSign -1) the load of an expert on the ranks
  /// that hold it.
  void adjustLoads(std::uint16_t aExpert, double aSign)
  {
    const auto& holders = mHolders[aExpert];
    for (const std::size_t rank : holders) {
      double& load = mRankLoads[rank];
      mPotential -= fourthPower(load);
      load += aSign * mLoads[aExpert] * paceOf(mOptions.paces, rank) /
              static_cast<double>(holders.size());
      mPotential += fourthPower(load);
    }
  }

  void addCopy(std::size_t aRank, std::uint16_t aExpert)
  {
    adjustLoads(aExpert, -1);
    mHolders[aExpert].push_back(aRank);
    mMap.slots[aRank].push_back(aExpert);
    adjustLoads(aExpert, 1);
  }

  void removeCopy(std::size_t aRank, std::uint16_t aExpert)
  {
    adjustLoads(aExpert, -1);
    std::erase(mHolders[aExpert], aRank);
    std::erase(mMap.slots[aRank], aExpert);
    adjustLoads(aExpert, 1);
  }

  void apply(const Step& aStep, std::size_t aHot)
  {
    if (aStep.isRemoval) {
      removeCopy(aHot, aStep.expert);
      return;
    }
    addCopy(aStep.rank, aStep.expert);
    if (aStep.isSwap) {
      addCopy(aHot, *aStep.evicted);
      removeCopy(aHot, aStep.expert);
    }
    if (aStep.evicted) {
      removeCopy(aStep.rank, *aStep.evicted);
    }
  }

  void revert(const Step& aStep, std::size_t aHot)
  {
    if (aStep.isRemoval) {
      addCopy(aHot, aStep.expert);
      return;
    }
    if (aStep.evicted) {
      addCopy(aStep.rank, *aStep.evicted);
    }
    if (aStep.isSwap) {
      addCopy(aHot, aStep.expert);
      removeCopy(aHot, *aStep.evicted);
    }
    removeCopy(aStep.rank, aStep.expert);
  }

  static double fourthPower(double aLoad)
  {
    return aLoad * aLoad * aLoad * aLoad;
  }

  const CopyPlanOptions& mOptions;
  const std::vector<double>& mLoads;
  ExpertMap mMap;
  const ExpertMap& mOriginal;
  std::vector<std::vector<std::size_t>> mHolders;
  std::vector<double> mRankLoads;
  std::vector<std::size_t> mCopiesToRank;
  std::vector<std::size_t> mCopyBudget;
  /// Sum of the rank loads to the fourth power. It decreases with every step
  /// towards a balanced load, most for the largest loads.
  double mPotential = 0;
  double mBalancedTime = 0;
  std::size_t mCopies = 0;
};

/// Plans one set and subtracts its copies from the budget of the ranks.
MapPlan
planSet(const ExpertMap& aPresent,
        const std::vector<double>& aLoads,
        const CopyPlanOptions& aOptions,
        std::vector<std::size_t>& aCopyBudget)
{
  MapState state(aPresent, aLoads, aOptions, aCopyBudget);
  MapPlan plan{ .map = aPresent, .skew = state.skew() };
  while (state.copies() < aOptions.maxCopies) {
    const auto step = state.findBestStep();
    if (!step) {
      break;
    }
    state.commit(*step);
    // If several ranks share the maximum load, one step alone gains nothing.
    // Continue for a few steps, and keep them only if the total gain suffices.
    const std::size_t newCopies = state.copies() - plan.moves;
    const double gain = plan.skew - state.skew();
    if (gain >= aOptions.minGain * static_cast<double>(newCopies)) {
      plan = { .map = state.map(),
               .moves = state.copies(),
               .skew = state.skew() };
      aCopyBudget = state.copyBudget();
    } else if (newCopies >= kMaxLookAheadCopies) {
      break;
    }
  }
  return plan;
}

} // namespace

GroupPlan
planCopies(const GroupMap& aPresent,
           const std::vector<std::vector<double>>& aLoads,
           const CopyPlanOptions& aOptions)
{
  GroupPlan plan{ .map = aPresent };
  if (aPresent.empty()) {
    return plan;
  }
  std::vector<std::pair<double, std::size_t>> order;
  for (std::size_t set = 0; set < aPresent.size(); ++set) {
    const double skew = skewOf(aPresent[set], aLoads[set], aOptions.paces);
    plan.skewBefore += skew;
    order.emplace_back(-skew, set);
  }
  std::sort(order.begin(), order.end());
  const std::size_t ranks = aPresent[0].slots.size();
  std::vector<std::size_t> copyBudget(ranks, aOptions.maxTotalCopiesPerRank);
  CopyPlanOptions options = aOptions;
  for (const auto& [skew, set] : order) {
    options.maxCopies = std::min(
      aOptions.maxCopies,
      aOptions.maxTotalCopies - std::min(aOptions.maxTotalCopies, plan.copies));
    MapPlan setPlan = planSet(aPresent[set], aLoads[set], options, copyBudget);
    plan.skewAfter += setPlan.skew;
    plan.copies += setPlan.moves;
    plan.map[set] = std::move(setPlan.map);
    for (auto& slots : plan.map[set].slots) {
      std::sort(slots.begin(), slots.end());
    }
  }
  plan.maxCopiesOnRank =
    aOptions.maxTotalCopiesPerRank -
    *std::min_element(copyBudget.begin(), copyBudget.end());
  return plan;
}

double
skewOf(const GroupMap& aMap,
       const std::vector<std::vector<double>>& aLoads,
       const std::vector<double>& aPaces)
{
  double sum = 0;
  for (std::size_t set = 0; set < aMap.size(); ++set) {
    sum += skewOf(aMap[set], aLoads[set], aPaces);
  }
  return sum;
}

} // namespace laburnum::experts
