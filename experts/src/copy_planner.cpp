#include "laburnum/experts/copy_planner.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

namespace laburnum::experts {
namespace {

/// Ranks that are tried for a copy. A plan for 72 ranks and 12 sets has to take
/// a few ms on an instance with a seventh of a core.
constexpr std::size_t kTargets = 12;
/// Copies looked ahead for a gain: ranks that share the largest load.
constexpr std::size_t kLookAhead = 8;

/// One change of a rank's places: an expert is added, another may go; with a
/// swap the relieved rank takes the latter. Or the relieved rank leaves the
/// expert to its other holders.
struct Change
{
  std::size_t rank = 0;
  std::uint16_t added = 0;
  std::optional<std::uint16_t> dropped;
  bool isSwap = false;
  bool isLeft = false;
};

/// A change without a copy against one with a copy, when both relieve.
constexpr double kCostOfLeaving = 0.25;

/// The map under change, with loads that follow each step.
class Board
{
public:
  Board(const ExpertMap& aPresent,
        const std::vector<double>& aLoads,
        const CopyPlanOptions& aOptions,
        std::vector<std::size_t> aRoom)
    : mOptions(aOptions)
    , mLoads(aLoads)
    , mMap(aPresent)
    , mOriginal(aPresent)
    , mHolders(aLoads.size())
    , mRankLoads(aPresent.slots.size(), 0)
    , mNew(aPresent.slots.size(), 0)
    , mRoom(std::move(aRoom))
  {
    for (std::size_t rank = 0; rank < mMap.slots.size(); ++rank) {
      for (const std::uint16_t expert : mMap.slots[rank]) {
        mHolders[expert].push_back(rank);
      }
    }
    for (std::size_t expert = 0; expert < aLoads.size(); ++expert) {
      spread(static_cast<std::uint16_t>(expert), 1);
    }
    mMean = evenTime(std::accumulate(aLoads.begin(), aLoads.end(), 0.0),
                     mRankLoads.size(),
                     aOptions.paces);
  }

  /// Copies that each rank may still take in all sets. Pre: none.
  const std::vector<std::size_t>& room() const { return mRoom; }

  double skew() const { return mMean <= 0 ? 1 : mRankLoads[hottest()] / mMean; }

  std::size_t hottest() const
  {
    return static_cast<std::size_t>(
      std::max_element(mRankLoads.begin(), mRankLoads.end()) -
      mRankLoads.begin());
  }

  /// The best step that relieves the hottest rank; nothing if none does.
  std::optional<Change> best()
  {
    const std::size_t hot = hottest();
    std::optional<Change> best;
    double bestGain = 0;
    const double before = mPotential;
    const auto offer = [&](const Change& aChange) {
      apply(aChange, hot);
      const double copies =
        aChange.isSwap ? 2 : (aChange.isLeft ? kCostOfLeaving : 1);
      const double gain = (before - mPotential) / copies;
      revert(aChange, hot);
      mPotential = before; // Sums of differences would drift.
      if (gain > bestGain) {
        bestGain = gain;
        best = aChange;
      }
    };
    const auto experts = mMap.slots[hot];
    const auto targets = coolest(hot);
    for (const std::uint16_t expert : experts) {
      // At other ranks a copy that is left now is missed after the next shift.
      if (mHolders[expert].size() > 1 && paceOf(mOptions.paces, hot) > 1) {
        offer({ .rank = hot, .added = expert, .isLeft = true });
      }
      for (const std::size_t rank : targets) {
        if (holds(rank, expert) || !mayTake(rank, expert)) {
          continue;
        }
        if (mMap.slots[rank].size() < mOptions.placements) {
          offer({ .rank = rank, .added = expert });
        }
        const auto places = mMap.slots[rank];
        for (const std::uint16_t other : places) {
          if (mHolders[other].size() > 1) {
            offer({ .rank = rank, .added = expert, .dropped = other });
          }
          if (mLoads[other] < mLoads[expert] && !holds(hot, other) &&
              mayTake(hot, other)) {
            offer({ .rank = rank,
                    .added = expert,
                    .dropped = other,
                    .isSwap = true });
          }
        }
      }
    }
    return best;
  }

  void take(const Change& aChange)
  {
    const std::size_t hot = hottest();
    apply(aChange, hot);
    if (aChange.isLeft) {
      return;
    }
    count(aChange.rank, aChange.added);
    if (aChange.isSwap) {
      count(hot, *aChange.dropped);
    }
  }

  std::size_t moves() const { return mMoves; }
  const ExpertMap& map() const { return mMap; }

private:
  /// The least loaded ranks, where a copy relieves most.
  std::vector<std::size_t> coolest(std::size_t aHot) const
  {
    std::vector<std::size_t> ranks;
    for (std::size_t rank = 0; rank < mRankLoads.size(); ++rank) {
      if (rank != aHot) {
        ranks.push_back(rank);
      }
    }
    const std::size_t count = std::min(ranks.size(), kTargets);
    std::partial_sort(ranks.begin(),
                      ranks.begin() + static_cast<std::ptrdiff_t>(count),
                      ranks.end(),
                      [this](std::size_t aLeft, std::size_t aRight) {
                        return std::pair(mRankLoads[aLeft], aLeft) <
                               std::pair(mRankLoads[aRight], aRight);
                      });
    ranks.resize(count);
    return ranks;
  }

  bool holds(std::size_t aRank, std::uint16_t aExpert) const
  {
    const auto& slots = mMap.slots[aRank];
    return std::find(slots.begin(), slots.end(), aExpert) != slots.end();
  }

  bool isOriginal(std::size_t aRank, std::uint16_t aExpert) const
  {
    const auto& slots = mOriginal.slots[aRank];
    return std::find(slots.begin(), slots.end(), aExpert) != slots.end();
  }

  bool mayTake(std::size_t aRank, std::uint16_t aExpert) const
  {
    return isOriginal(aRank, aExpert) ||
           (mNew[aRank] < mOptions.newPerRank && mRoom[aRank] > 0);
  }

  void count(std::size_t aRank, std::uint16_t aExpert)
  {
    if (!isOriginal(aRank, aExpert)) {
      ++mNew[aRank];
      --mRoom[aRank];
      ++mMoves;
    }
  }

  /// Adds or takes away an expert's load at its holders.
  void spread(std::uint16_t aExpert, double aSign)
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

  void place(std::size_t aRank, std::uint16_t aExpert)
  {
    spread(aExpert, -1);
    mHolders[aExpert].push_back(aRank);
    mMap.slots[aRank].push_back(aExpert);
    spread(aExpert, 1);
  }

  void remove(std::size_t aRank, std::uint16_t aExpert)
  {
    spread(aExpert, -1);
    std::erase(mHolders[aExpert], aRank);
    std::erase(mMap.slots[aRank], aExpert);
    spread(aExpert, 1);
  }

  void apply(const Change& aChange, std::size_t aHot)
  {
    if (aChange.isLeft) {
      remove(aHot, aChange.added);
      return;
    }
    place(aChange.rank, aChange.added);
    if (aChange.isSwap) {
      place(aHot, *aChange.dropped);
      remove(aHot, aChange.added);
    }
    if (aChange.dropped) {
      remove(aChange.rank, *aChange.dropped);
    }
  }

  void revert(const Change& aChange, std::size_t aHot)
  {
    if (aChange.isLeft) {
      place(aHot, aChange.added);
      return;
    }
    if (aChange.dropped) {
      place(aChange.rank, *aChange.dropped);
    }
    if (aChange.isSwap) {
      place(aHot, aChange.added);
      remove(aHot, *aChange.dropped);
    }
    remove(aChange.rank, aChange.added);
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
  std::vector<std::size_t> mNew;
  std::vector<std::size_t> mRoom;
  /// Sum of the ranks' loads to the fourth: falls with every step towards an
  /// even load, most with the largest ones.
  double mPotential = 0;
  double mMean = 0;
  std::size_t mMoves = 0;
};

/// Plans one set; takes what it copies from the room of the ranks.
MapPlan
planWithin(const ExpertMap& aPresent,
           const std::vector<double>& aLoads,
           const CopyPlanOptions& aOptions,
           std::vector<std::size_t>& aRoom)
{
  Board board(aPresent, aLoads, aOptions, aRoom);
  MapPlan plan{ .map = aPresent, .skew = board.skew() };
  while (board.moves() < aOptions.maxCopies) {
    const auto change = board.best();
    if (!change) {
      break;
    }
    board.take(*change);
    // Several ranks may share the largest load: look a few steps ahead, and
    // keep the steps only if they paid.
    const std::size_t added = board.moves() - plan.moves;
    const double gain = plan.skew - board.skew();
    if (gain >= aOptions.leastGain * static_cast<double>(added)) {
      plan = { .map = board.map(),
               .moves = board.moves(),
               .skew = board.skew() };
      aRoom = board.room();
    } else if (added >= kLookAhead) {
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
    plan.before += skew;
    order.emplace_back(-skew, set);
  }
  std::sort(order.begin(), order.end());
  const std::size_t ranks = aPresent[0].slots.size();
  std::vector<std::size_t> room(ranks, aOptions.newPerRankInAll);
  CopyPlanOptions options = aOptions;
  for (const auto& [skew, set] : order) {
    options.maxCopies = std::min(
      aOptions.maxCopies,
      aOptions.maxCopiesInAll - std::min(aOptions.maxCopiesInAll, plan.copies));
    MapPlan one = planWithin(aPresent[set], aLoads[set], options, room);
    plan.after += one.skew;
    plan.copies += one.moves;
    plan.map[set] = std::move(one.map);
    for (auto& slots : plan.map[set].slots) {
      std::sort(slots.begin(), slots.end());
    }
  }
  plan.mostOfRank =
    aOptions.newPerRankInAll - *std::min_element(room.begin(), room.end());
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
