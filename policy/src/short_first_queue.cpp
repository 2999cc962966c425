#include "laburnum/policy/work_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <unordered_map>

namespace laburnum::policy {
namespace {

/// Work that costs more than this multiple of the mean is long.
constexpr double kLongCostFactor = 3;

/// Costs are ranked in classes of this ratio; within a class the earlier
/// arrival goes first. Inaccurate predictions and later arrivals therefore do
/// not displace work of similar cost.
constexpr double kCostClassFactor = 4;

/// Waiting time that raises work by one class; short and long work age
/// separately.
constexpr Duration kAgeingPeriod = seconds(10);

/// One of this many slots is reserved for long work, so that it never starves.
/// Ageing does not raise long work above short work, because a backlog of long
/// work would then block all slots.
constexpr int kSlotsPerReservedLongSlot = 8;
constexpr int kMinSlotsForReservation = 4;

/// Classes that one step of priority raises work by.
constexpr double kClassesPerPriority = 0.5;

/// Weight of a new cost in the exponential average.
constexpr double kMeanCostSmoothing = 0.02;

constexpr int kNormalPriority = 5;

/// Short work precedes the long work of other accounts until its account has
/// exceeded its fair share by this many mean costs.
constexpr double kShortWorkLead = 20;

/// Lower bound of the rank of long work, above the rank of any short work.
constexpr double kMinLongRank = 100;

struct AccountQueue
{
  std::vector<WorkItem> work;
  double weight = 1;
  /// Virtual time at which the account's last started work finishes.
  double virtualFinish = 0;
};

/// Shares slots between accounts by weight and predicted cost, using start-time
/// fair queueing (Goyal, Vin and Cheng, 1996). Within an account the shortest
/// work runs first, with ageing. Ranks are ascending: the lowest runs next.
class ShortFirstQueue final : public WorkQueue
{
public:
  void add(WorkItem aWork) override
  {
    if (aWork.priorTokens == 0) {
      mMeanCost += kMeanCostSmoothing * (aWork.cost - mMeanCost);
    }
    AccountQueue& account = mAccounts[aWork.account];
    if (account.work.empty()) {
      account.virtualFinish = std::max(account.virtualFinish, mVirtualTime);
    }
    account.weight = aWork.weight;
    mCost += aWork.cost;
    ++mSize;
    account.work.push_back(std::move(aWork));
  }

  std::optional<WorkItem> take(Instant aNow, const SlotState& aSlots) override
  {
    const bool suspectAllowed = aSlots.busySuspect == 0;
    const bool longWorkDue =
      longWaiting() > 0 && aSlots.busyLong < reservedLongSlots(aSlots);
    AccountQueue* best = nullptr;
    std::size_t bestIndex = 0;
    double bestTag = 0;
    for (auto& [name, account] : mAccounts) {
      const auto index = shortest(account, aNow, suspectAllowed, longWorkDue);
      if (!index) {
        continue;
      }
      const double tag =
        account.virtualFinish -
        (isLong(account.work[*index]) ? 0 : kShortWorkLead * mMeanCost);
      if (best == nullptr || tag < bestTag) {
        best = &account;
        bestIndex = *index;
        bestTag = tag;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    return takeFrom(*best, bestIndex);
  }

  bool remove(AttemptId aId) override
  {
    for (auto& [name, account] : mAccounts) {
      for (std::size_t i = 0; i < account.work.size(); ++i) {
        if (account.work[i].id == aId) {
          erase(account, i);
          return true;
        }
      }
    }
    return false;
  }

  std::vector<WorkItem> takeExpired(Instant aNow) override
  {
    std::vector<WorkItem> removed;
    for (auto& [name, account] : mAccounts) {
      for (std::size_t i = 0; i < account.work.size();) {
        if (account.work[i].startBy >= aNow) {
          ++i;
          continue;
        }
        removed.push_back(account.work[i]);
        erase(account, i);
      }
    }
    std::erase_if(mAccounts, [&](const auto& aEntry) {
      return aEntry.second.work.empty() &&
             aEntry.second.virtualFinish <= mVirtualTime;
    });
    return removed;
  }

  std::vector<WorkItem> takeAll() override
  {
    std::vector<WorkItem> all;
    for (auto& [name, account] : mAccounts) {
      all.insert(all.end(), account.work.begin(), account.work.end());
      account.work.clear();
    }
    mCost = 0;
    mSize = 0;
    return all;
  }

  void recordActualCost(const std::string& aAccount,
                        double aPredicted,
                        double aActual) override
  {
    const auto found = mAccounts.find(aAccount);
    if (found != mAccounts.end()) {
      found->second.virtualFinish +=
        (aActual - aPredicted) / found->second.weight;
    }
  }

  bool isLong(const WorkItem& aWork) const override
  {
    return aWork.cost > kLongCostFactor * mMeanCost;
  }

  bool hasShortWork() const override { return mSize > longWaiting(); }

  int reservedLongSlots(const SlotState& aSlots) const override
  {
    return aSlots.total < kMinSlotsForReservation
             ? 0
             : std::max(1, aSlots.total / kSlotsPerReservedLongSlot);
  }

  std::vector<double> costsAhead(const WorkItem& aWork) const override
  {
    std::vector<double> ahead;
    double ownCost = 0;
    double tag = mVirtualTime;
    const auto own = mAccounts.find(aWork.account);
    if (own != mAccounts.end()) {
      tag = std::max(tag, own->second.virtualFinish);
      for (const WorkItem& work : own->second.work) {
        if (classOf(work) <= classOf(aWork)) {
          ahead.push_back(work.cost);
          ownCost += work.cost;
        }
      }
    }
    // Work of another account precedes this work while that account's tag is
    // below the tag at which this work would start.
    tag += ownCost / aWork.weight;
    for (const auto& [name, account] : mAccounts) {
      if (name != aWork.account && account.virtualFinish < tag) {
        appendCostsBefore(account, tag, isLong(aWork), ahead);
      }
    }
    return ahead;
  }

  std::size_t size() const override { return mSize; }
  double cost() const override { return mCost; }

private:
  std::size_t longWaiting() const
  {
    std::size_t count = 0;
    for (const auto& [name, account] : mAccounts) {
      for (const WorkItem& work : account.work) {
        count += isLong(work) ? 1 : 0;
      }
    }
    return count;
  }

  static double classOf(const WorkItem& aWork)
  {
    return std::floor(std::log(std::max(1.0, aWork.cost)) /
                      std::log(kCostClassFactor)) -
           kClassesPerPriority * (aWork.priority - kNormalPriority);
  }

  double rank(const WorkItem& aWork, Instant aNow) const
  {
    const double ageingSteps =
      std::floor(toSeconds(aNow - aWork.arrived) / toSeconds(kAgeingPeriod));
    return isLong(aWork)
             ? kMinLongRank + std::max(0.0, classOf(aWork) - ageingSteps)
             : classOf(aWork) - ageingSteps;
  }

  void appendCostsBefore(const AccountQueue& aAccount,
                         double aTag,
                         bool aIncludeLong,
                         std::vector<double>& aAhead) const
  {
    std::vector<double> costs;
    for (const WorkItem& work : aAccount.work) {
      if (aIncludeLong || !isLong(work)) {
        costs.push_back(work.cost);
      }
    }
    std::sort(costs.begin(), costs.end());
    double virtualFinish = aAccount.virtualFinish;
    for (const double cost : costs) {
      if (virtualFinish >= aTag) {
        return;
      }
      aAhead.push_back(cost);
      virtualFinish += cost / aAccount.weight;
    }
  }

  std::optional<std::size_t> shortest(const AccountQueue& aAccount,
                                      Instant aNow,
                                      bool aSuspectAllowed,
                                      bool aLongOnly) const
  {
    std::optional<std::size_t> best;
    double bestRank = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < aAccount.work.size(); ++i) {
      const WorkItem& work = aAccount.work[i];
      if ((!aSuspectAllowed && work.suspect) || (aLongOnly && !isLong(work))) {
        continue;
      }
      const double value = rank(work, aNow);
      const bool earlier = best && value == bestRank &&
                           work.arrived < aAccount.work[*best].arrived;
      if (value < bestRank || earlier) {
        bestRank = value;
        best = i;
      }
    }
    return best;
  }

  WorkItem takeFrom(AccountQueue& aAccount, std::size_t aIndex)
  {
    WorkItem work = aAccount.work[aIndex];
    mVirtualTime = std::max(mVirtualTime, aAccount.virtualFinish);
    aAccount.virtualFinish += work.cost / aAccount.weight;
    erase(aAccount, aIndex);
    return work;
  }

  void erase(AccountQueue& aAccount, std::size_t aIndex)
  {
    mCost -= aAccount.work[aIndex].cost;
    --mSize;
    aAccount.work[aIndex] = std::move(aAccount.work.back());
    aAccount.work.pop_back();
  }

  std::map<std::string, AccountQueue> mAccounts;
  double mVirtualTime = 0;
  double mMeanCost = 100; ///< Exponential average, in tokens.
  double mCost = 0;
  std::size_t mSize = 0;
};

const Registry<WorkQueueFactory>::Registrar kShortFirst(
  "short_first",
  []() -> std::unique_ptr<WorkQueue> {
    return std::make_unique<ShortFirstQueue>();
  });

} // namespace

std::unique_ptr<WorkQueue>
makeWorkQueue(std::string_view aName)
{
  const WorkQueueFactory* factory = Registry<WorkQueueFactory>::find(aName);
  return factory == nullptr ? std::make_unique<ShortFirstQueue>()
                            : (*factory)();
}

} // namespace laburnum::policy
