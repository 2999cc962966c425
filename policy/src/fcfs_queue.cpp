#include "laburnum/policy/work_queue.hpp"

#include <algorithm>
#include <deque>

namespace laburnum::policy {
namespace {

/// First come, first served. The baseline that other queues are compared to.
class FcfsQueue final : public WorkQueue
{
public:
  void add(WorkItem aWork) override
  {
    mCost += aWork.cost;
    mWork.push_back(std::move(aWork));
  }

  std::optional<WorkItem> take(Instant, const SlotState&) override
  {
    if (mWork.empty()) {
      return std::nullopt;
    }
    WorkItem work = std::move(mWork.front());
    mWork.pop_front();
    mCost -= work.cost;
    return work;
  }

  bool remove(AttemptId aId) override
  {
    const auto found =
      std::find_if(mWork.begin(), mWork.end(), [&](const WorkItem& aWork) {
        return aWork.id == aId;
      });
    if (found == mWork.end()) {
      return false;
    }
    mCost -= found->cost;
    mWork.erase(found);
    return true;
  }

  std::vector<WorkItem> takeExpired(Instant) override { return {}; }
  std::vector<WorkItem> takeAll() override
  {
    std::vector<WorkItem> all(mWork.begin(), mWork.end());
    mWork.clear();
    mCost = 0;
    return all;
  }

  void recordActualCost(const std::string&, double, double) override {}
  bool isLong(const WorkItem&) const override { return false; }
  bool hasShortWork() const override { return false; }
  int reservedLongSlots(const SlotState&) const override { return 0; }

  std::vector<double> costsAhead(const WorkItem&) const override
  {
    std::vector<double> costs;
    for (const WorkItem& work : mWork) {
      costs.push_back(work.cost);
    }
    return costs;
  }

  std::size_t size() const override { return mWork.size(); }
  double cost() const override { return mCost; }

private:
  std::deque<WorkItem> mWork;
  double mCost = 0;
};

const Registry<WorkQueueFactory>::Registrar kFcfs(
  "fcfs",
  []() -> std::unique_ptr<WorkQueue> { return std::make_unique<FcfsQueue>(); });

} // namespace
} // namespace laburnum::policy
