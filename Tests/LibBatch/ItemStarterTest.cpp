#include "LibBatch/ItemStarter.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace pumiceturn::batch {

using namespace std::chrono_literals;

/// Simulates the waiting items of one host on virtual time. Each service has
/// slots of its own, and items run for a fixed time.
class ItemStarterFixture
{
protected:
  struct Item
  {
    std::string service_;
    base::Instant dueAt_;
    base::Duration remaining_;
    bool isHeld_ = false; ///< It may not start, though others may.
    bool isRunning_ = false;
    bool isDone_ = false;
  };

  static constexpr base::Duration kTick{ 100ms };
  static constexpr base::Duration kRunTime{ 4s };

  void AddItems(const std::string& aService,
                std::size_t aCount,
                base::Duration aDueAfter)
  {
    for (std::size_t item = 0; item < aCount; ++item) {
      items_.push_back({ aService, now_ + aDueAfter, kRunTime });
    }
  }

  [[nodiscard]] std::size_t RunningAt(const std::string& aService) const
  {
    return static_cast<std::size_t>(
      std::count_if(items_.begin(), items_.end(), [&](const Item& aItem) {
        return aItem.isRunning_ && aItem.service_ == aService;
      }));
  }

  [[nodiscard]] std::size_t DoneAt(const std::string& aService) const
  {
    return static_cast<std::size_t>(
      std::count_if(items_.begin(), items_.end(), [&](const Item& aItem) {
        return aItem.isDone_ && aItem.service_ == aService;
      }));
  }

  StartObstacle ObstacleOf(const std::string& aService) const
  {
    const auto slots = slots_.find(aService);
    if (slots == slots_.end()) {
      return StartObstacle::NoEndpoint;
    }
    return RunningAt(aService) < slots->second ? StartObstacle::None
                                               : StartObstacle::NoFreeSlot;
  }

  ItemStarter::ServiceQueues MakeQueues() const
  {
    ItemStarter::ServiceQueues queues;
    for (std::size_t index = 0; index < items_.size(); ++index) {
      const Item& item = items_[index];
      ServiceQueue& queue = queues[item.service_];
      queue.obstacle_ = ObstacleOf(item.service_);
      if (item.isRunning_) {
        ++queue.attempts_;
        queue.runningWork_ += item.remaining_;
      } else if (!item.isDone_) {
        queue.waiting_.push_back(
          { "lot", index, { item.dueAt_, item.remaining_ } });
      }
    }
    return queues;
  }

  std::vector<ServiceObstacle> Tick()
  {
    now_ += kTick;
    for (Item& item : items_) {
      if (item.isRunning_ && (item.remaining_ -= kTick) <= 0s) {
        item.isRunning_ = false;
        item.isDone_ = true;
      }
    }
    return starter_.StartWaiting(
      MakeQueues(),
      now_,
      [this](const std::string& aService, const StartCandidate& aCandidate) {
        ++tried_;
        Item& item = items_[aCandidate.item_];
        if (item.isHeld_) {
          return StartObstacle::Suspected;
        }
        const StartObstacle obstacle = ObstacleOf(aService);
        item.isRunning_ = obstacle == StartObstacle::None;
        return obstacle;
      });
  }

  /// @return the changes that were reported.
  std::vector<ServiceObstacle> RunFor(base::Duration aTime)
  {
    std::vector<ServiceObstacle> changes;
    for (const base::Instant end = now_ + aTime; now_ < end;) {
      for (ServiceObstacle& change : Tick()) {
        changes.push_back(std::move(change));
      }
    }
    return changes;
  }

  base::Instant now_{ base::Duration{ 1h } };
  /// By service; one that isn't listed has no endpoint.
  std::map<std::string, std::size_t> slots_;
  std::vector<Item> items_;
  ItemStarter starter_;
  std::size_t tried_ = 0;
};

// Guards against the items of a service without endpoints holding up those of
// all others.
TEST_CASE_METHOD(ItemStarterFixture,
                 "ItemStarter_ServiceHasNoEndpoint_OthersItemsRun")
{
  slots_["sound"] = 8;
  AddItems("gone", 60, 10s);
  AddItems("sound", 60, 60s);
  RunFor(60 / 8 * kRunTime + 5s);
  CHECK(DoneAt("sound") == 60);
  CHECK(DoneAt("gone") == 0);
  CHECK(starter_.WaitingCount(StartObstacle::NoEndpoint) == 60);
}

// Guards against the items of a service that is full for long holding up those
// of all others.
TEST_CASE_METHOD(ItemStarterFixture, "ItemStarter_ServiceIsFull_OthersItemsRun")
{
  slots_["sound"] = 8;
  slots_["small"] = 0;
  AddItems("small", 60, 10s);
  AddItems("sound", 8, 60s);
  Tick();
  CHECK(RunningAt("sound") == 8);
  CHECK(starter_.WaitingCount(StartObstacle::NoFreeSlot) == 60);
}

// Guards against the work of one service making the items of another be taken
// for ones that can't be done in time.
TEST_CASE_METHOD(ItemStarterFixture,
                 "ItemStarter_OtherServiceIsOverloaded_EarliestDueGoesFirst")
{
  slots_["sound"] = 1;
  slots_["small"] = 1;
  AddItems("small", 400, 20s);
  AddItems("sound", 1, 60s);
  AddItems("sound", 1, 30s);
  Tick();
  CHECK(items_.back().isRunning_);
}

// Guards against an item that may not start holding up the others of its
// service.
TEST_CASE_METHOD(ItemStarterFixture,
                 "ItemStarter_FirstItemIsHeld_LaterItemsStart")
{
  slots_["sound"] = 2;
  AddItems("sound", 3, 30s);
  items_.front().isHeld_ = true;
  Tick();
  CHECK(RunningAt("sound") == 2);
  CHECK_FALSE(items_.front().isRunning_);
  CHECK(starter_.WaitingCount(StartObstacle::Suspected) == 1);
}

// Guards against looking for an endpoint for each item of a service without
// one, ten times a second.
TEST_CASE_METHOD(ItemStarterFixture,
                 "ItemStarter_NoServiceHasSlots_NoItemIsTried")
{
  slots_["small"] = 0;
  AddItems("gone", 1000, 10s);
  AddItems("small", 1000, 10s);
  RunFor(1s);
  CHECK(tried_ == 0);
}

TEST_CASE_METHOD(ItemStarterFixture,
                 "ItemStarter_SlotsRunOut_OneItemIsTriedInVain")
{
  slots_["sound"] = 3;
  AddItems("sound", 10, 30s);
  Tick();
  CHECK(RunningAt("sound") == 3);
  CHECK(tried_ == 4);
  CHECK(starter_.WaitingCount(StartObstacle::NoFreeSlot) == 7);
}

TEST_CASE_METHOD(ItemStarterFixture,
                 "ItemStarter_ObstacleChanges_IsReportedWithItems")
{
  AddItems("small", 4, 30s);
  const auto gone = RunFor(6s);
  REQUIRE(gone.size() == 1);
  CHECK(gone[0].service_ == "small");
  CHECK(gone[0].obstacle_ == StartObstacle::NoEndpoint);
  CHECK(gone[0].waiting_ == 4);
  slots_["small"] = 4;
  const auto back = RunFor(6s);
  REQUIRE(back.size() == 1);
  CHECK(back[0].obstacle_ == StartObstacle::None);
}

// Guards against log lines at each tick of a service that is full at times.
TEST_CASE_METHOD(ItemStarterFixture,
                 "ItemStarter_ObstacleAlternates_ReportsAreBounded")
{
  AddItems("small", 10, 30s);
  std::size_t reports = 0;
  for (int tick = 0; tick < 600; ++tick) {
    if (tick % 2 == 0) {
      slots_["small"] = 0;
    } else {
      slots_.erase("small");
    }
    reports += Tick().size();
  }
  CHECK(reports > 1);
  CHECK(reports <= 600 * kTick / ItemStarter::kReportInterval + 1);
}

} // namespace pumiceturn::batch
