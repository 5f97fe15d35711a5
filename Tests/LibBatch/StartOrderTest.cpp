#include "LibBatch/StartOrder.h"
#include "LibBatch/ItemDurationEstimator.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

namespace pumiceturn::batch {

using namespace std::chrono_literals;

/// Simulates the items of one host on virtual time: items arrive, run in the
/// slots that online work leaves free, and are preempted and resumed.
class StartOrderFixture
{
protected:
  struct Item
  {
    base::Instant arrivesAt_;
    base::Duration remaining_;
    bool isRunning_ = false;
    bool hasStarted_ = false;
    bool isDone_ = false;
  };
  struct Outcome
  {
    int onTime_ = 0;
    int late_ = 0;
  };
  enum class Order : std::uint8_t
  {
    Planned,
    ByDueTime, ///< Baseline: overdue items last, otherwise by due time.
  };

  static constexpr base::Duration kTick{ 100ms };
  static constexpr base::Duration kDueAfter{ 18s };

  /// Adds items at a constant rate.
  void AddItems(double aPerSecond, base::Duration aFrom, base::Duration aTo)
  {
    // Run times in seconds, with a mean of 3.65.
    std::uniform_real_distribution<double> seconds(1.8, 5.5);
    const auto gap = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(1.0 / aPerSecond));
    for (base::Duration at = aFrom; at < aTo; at += gap) {
      const std::chrono::duration<double> length(seconds(random_));
      items_.push_back(
        { start_ + at, std::chrono::duration_cast<base::Duration>(length) });
    }
  }

  /// Online work alternates every 3.3 s and leaves 24 or 8 slots to batch
  /// items.
  static std::size_t SlotsAt(base::Duration aTime)
  {
    constexpr std::size_t kMany = 24;
    constexpr std::size_t kFew = 8;
    return (aTime / 3300ms) % 2 == 0 ? kMany : kFew;
  }

  ItemUrgency UrgencyOf(const Item& aItem) const
  {
    // The host estimates each item with the mean run time.
    constexpr base::Duration kMean{ 3650ms };
    return { aItem.arrivesAt_ + kDueAfter, std::min(kMean, aItem.remaining_) };
  }

  std::vector<StartCandidate> StartableItems(base::Instant aNow) const
  {
    std::vector<StartCandidate> candidates;
    for (std::size_t index = 0; index < items_.size(); ++index) {
      const Item& item = items_[index];
      if (!item.isDone_ && !item.isRunning_ && item.arrivesAt_ <= aNow) {
        candidates.push_back(
          { "lot", index, UrgencyOf(item), item.hasStarted_ });
      }
    }
    return candidates;
  }

  std::vector<StartCandidate> Sorted(std::vector<StartCandidate> aCandidates,
                                     Order aOrder,
                                     const StartConditions& aConditions)
  {
    if (aOrder == Order::Planned) {
      return OrderStarts(std::move(aCandidates), aConditions);
    }
    std::stable_sort(aCandidates.begin(),
                     aCandidates.end(),
                     [&aConditions](const auto& aLeft, const auto& aRight) {
                       const base::Instant left = aLeft.urgency_.dueAt_;
                       const base::Instant right = aRight.urgency_.dueAt_;
                       return std::make_pair(left < aConditions.now_, left) <
                              std::make_pair(right < aConditions.now_, right);
                     });
    return aCandidates;
  }

  void PreemptDownTo(std::size_t aSlots, base::Instant aNow)
  {
    while (RunningCount() > aSlots) {
      Item* chosen = nullptr;
      for (Item& item : items_) {
        if (item.isRunning_ &&
            (chosen == nullptr ||
             IsPreemptedBefore(UrgencyOf(item), UrgencyOf(*chosen), aNow))) {
          chosen = &item;
        }
      }
      if (chosen == nullptr) {
        return;
      }
      chosen->isRunning_ = false;
    }
  }

  [[nodiscard]] std::size_t RunningCount() const
  {
    return static_cast<std::size_t>(
      std::count_if(items_.begin(), items_.end(), [](const Item& aItem) {
        return aItem.isRunning_;
      }));
  }

  Outcome Simulate(Order aOrder)
  {
    Outcome outcome;
    double averageRunning = 0.0;
    for (base::Duration time{ 0 }; time < 80s; time += kTick) {
      const base::Instant now = start_ + time;
      for (Item& item : items_) {
        if (!item.isRunning_) {
          continue;
        }
        item.remaining_ -= kTick;
        if (item.remaining_ <= base::Duration::zero()) {
          item.isRunning_ = false;
          item.isDone_ = true;
          ++(now <= item.arrivesAt_ + kDueAfter ? outcome.onTime_
                                                : outcome.late_);
        }
      }
      const std::size_t slots = SlotsAt(time);
      PreemptDownTo(slots, now);
      auto candidates = StartableItems(now);
      StartConditions conditions{ now };
      // The weight is that of kAverageAttemptsWeight in BatchWorker.
      if (!candidates.empty()) {
        averageRunning +=
          (static_cast<double>(RunningCount()) - averageRunning) * 0.02;
      }
      conditions.averageAttempts_ = averageRunning;
      for (const Item& item : items_) {
        conditions.runningWork_ +=
          item.isRunning_ ? UrgencyOf(item).remaining_ : base::Duration::zero();
      }
      for (const StartCandidate& candidate :
           Sorted(std::move(candidates), aOrder, conditions)) {
        if (RunningCount() >= slots) {
          break;
        }
        items_[candidate.item_].isRunning_ = true;
        items_[candidate.item_].hasStarted_ = true;
      }
    }
    return outcome;
  }

  std::vector<Item> items_;
  base::Instant start_{ base::Duration{ 1h } };
  std::mt19937_64 random_{ 4 };
};

// Guards against finishing many items slightly late under overload. An average
// of 16 slots (24 and 8) and a mean run time of 3.65 s allow 4.4 items per
// second. Items arrive for 15 s and are due after 18 s, so 145 items can be
// done in time.
TEST_CASE_METHOD(StartOrderFixture, "StartOrder_Overload_SlotsGoToItemsInTime")
{
  AddItems(14.0, 0s, 15s);
  const auto before = items_;
  const Outcome planned = Simulate(Order::Planned);
  items_ = before;
  const Outcome byDueTime = Simulate(Order::ByDueTime);
  constexpr int kPossible = 145;
  CHECK(planned.onTime_ >= kPossible * 85 / 100);
  CHECK(planned.onTime_ > byDueTime.onTime_);
  CHECK(planned.onTime_ + planned.late_ == static_cast<int>(before.size()));
}

// Guards against deferring items when there is enough capacity.
TEST_CASE_METHOD(StartOrderFixture, "StartOrder_EnoughSlots_AllItemsAreInTime")
{
  AddItems(3.5, 0s, 30s);
  const Outcome planned = Simulate(Order::Planned);
  CHECK(planned.late_ == 0);
  CHECK(planned.onTime_ == static_cast<int>(items_.size()));
}

// Guards against deferring items in a burst that can be finished in time.
TEST_CASE_METHOD(StartOrderFixture, "StartOrder_ShortBurst_AllItemsAreInTime")
{
  AddItems(14.0, 0s, 3s);
  const Outcome planned = Simulate(Order::Planned);
  CHECK(planned.late_ == 0);
}

TEST_CASE("StartOrder_DifferentRanks_AreInRankOrder")
{
  const base::Instant now{ base::Duration{ 1h } };
  const std::vector<StartCandidate> ordered =
    OrderStarts({ { "late", 0, { now - 1s, 1s } },
                  { "due_later", 1, { now + 18s, 4s } },
                  { "due_soon", 2, { now + 9s, 4s } },
                  { "interrupted", 3, { now + 12s, 2s }, true } },
                { now, 8.0, base::Duration::zero() });
  std::vector<std::string> jobs;
  jobs.reserve(ordered.size());
  for (const StartCandidate& candidate : ordered) {
    jobs.push_back(candidate.job_);
  }
  CHECK(jobs == std::vector<std::string>{
                  "interrupted", "due_soon", "due_later", "late" });
}

TEST_CASE("StartOrder_ItemsThatCannotFinishInTime_ArePreemptedFirst")
{
  const base::Instant now{ base::Duration{ 1h } };
  const ItemUrgency late{ now + 1s, 4s };
  const ItemUrgency tight{ now + 6s, 4s };
  const ItemUrgency relaxed{ now + 18s, 4s };
  CHECK(IsPreemptedBefore(late, relaxed, now));
  CHECK(IsPreemptedBefore(relaxed, tight, now));
  CHECK_FALSE(IsPreemptedBefore(tight, late, now));
}

TEST_CASE("ItemDurationEstimator_AttemptsRecorded_EstimateUsesThem")
{
  ItemDurationEstimator estimator;
  CHECK(estimator.EstimateRemaining(1000, 0) == base::Duration::zero());
  estimator.RecordAttempt(200, 4s);
  estimator.RecordCompleted(1000, 250);
  // Short attempts are ignored: the wait at the endpoint dominates their
  // duration.
  estimator.RecordAttempt(2, 4s);
  CHECK(base::ToMs(estimator.EstimateRemaining(1000, 0)) == 5000);
  CHECK(base::ToMs(estimator.EstimateRemaining(1000, 200)) == 1000);
  // The item has exceeded its estimate: one event remains.
  CHECK(base::ToMs(estimator.EstimateRemaining(1000, 300)) == 20);
}

} // namespace pumiceturn::batch
