#include "LibBatch/ItemSchedule.h"

#include <catch2/catch.hpp>

namespace pumiceturn::batch {

using namespace std::chrono_literals;

class ItemScheduleFixture
{
protected:
  ItemScheduleFixture()
  {
    job_.state_.itemCount_ = 2;
    job_.items_ = std::vector<BatchItem>(2);
    (*job_.items_)[0].id_ = "first";
    (*job_.items_)[1].id_ = "second";
    limits_.maxAttempts_ = 2;
    limits_.giveUpAt_ = now_ + 1min;
  }

  ItemSchedule Make() const { return { job_, limits_ }; }

  std::optional<std::size_t> Next(ItemSchedule& aSchedule)
  {
    const auto items = aSchedule.StartableItems(
      now_, [this](const std::string&, base::Instant) { return livedOn_; });
    return items.empty() ? std::nullopt : std::optional(items.front());
  }

  std::optional<ItemResult> Run(ItemSchedule& aSchedule,
                                ItemAttemptOutcome aEnd,
                                const PartialOutput& aProgress = {})
  {
    now_ += 1s;
    const auto item = Next(aSchedule);
    REQUIRE(item);
    aSchedule.Start(*item, "endpoint");
    return aSchedule.End(*item, aEnd, aProgress, now_);
  }

  BatchJob job_;
  ItemLimits limits_;
  base::Instant now_{ base::Duration{ 1h } };
  bool livedOn_ = false;
};

TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_CompletedRun_GivesTheWholeOutput")
{
  ItemSchedule schedule = Make();
  const auto result =
    Run(schedule, ItemAttemptOutcome::Completed, { 2, "a\nb" });
  REQUIRE(result);
  CHECK(*result == ItemResult{ "first", ItemState::Completed, "a\nb" });
  CHECK(Next(schedule) == 1);
}

TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_PreemptedRun_GoesOnAfterItsLastEvent")
{
  ItemSchedule schedule = Make();
  CHECK_FALSE(Run(schedule, ItemAttemptOutcome::Preempted, { 3, "a\nb\nc" }));
  CHECK(Next(schedule) == 0);
  CHECK(schedule.ProgressOf(0) == PartialOutput{ 3, "a\nb\nc" });
}

TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_FailuresReachTheLimit_GivesUpTheItem")
{
  ItemSchedule schedule = Make();
  CHECK_FALSE(Run(schedule, ItemAttemptOutcome::Failed));
  const auto result = Run(schedule, ItemAttemptOutcome::Failed);
  REQUIRE(result);
  CHECK(result->state_ == ItemState::Errored);
  CHECK(result->item_ == "first");
}

TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_ImpossibleItem_IsGivenUpAtOnce")
{
  ItemSchedule schedule = Make();
  const auto result = Run(schedule, ItemAttemptOutcome::Impossible);
  REQUIRE(result);
  CHECK(result->state_ == ItemState::Errored);
}

// The whole fleet goes down in turn: one item crashes each endpoint that runs
// it, and is sent to the next one after each crash.
TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_ItemThatEndsEndpoints_IsHeldUntilGivenUp")
{
  ItemSchedule schedule = Make();
  for (std::size_t crash = 0; crash < ItemSchedule::kMaxCrashes; ++crash) {
    CHECK_FALSE(Run(schedule, ItemAttemptOutcome::Broken));
  }
  now_ += 1min;
  CHECK(Next(schedule) == 1);
  CHECK(schedule.GiveUp(limits_.giveUpAt_ - 1ms).empty());
  CHECK(schedule.GiveUp(limits_.giveUpAt_).size() == 2);
}

// A report goes out with a blank branch. Endpoints reset connections without
// ending; an item met three resets, was taken for one that crashes endpoints
// and never ran again.
TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_EndpointsLivedOnAfterResets_ItemRunsAgain")
{
  ItemSchedule schedule = Make();
  for (std::size_t reset = 0; reset < ItemSchedule::kMaxCrashes; ++reset) {
    CHECK_FALSE(Run(schedule, ItemAttemptOutcome::Broken));
  }
  now_ += 1s;
  livedOn_ = true;
  CHECK(Next(schedule) == 0);
}

TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_BreakAfterNewEvents_IsNoCrash")
{
  ItemSchedule schedule = Make();
  for (std::uint64_t event = 1; event <= 6; ++event) {
    CHECK_FALSE(Run(schedule, ItemAttemptOutcome::Broken, { event, "x" }));
  }
  now_ += 1s;
  CHECK(Next(schedule) == 0);
}

TEST_CASE_METHOD(ItemScheduleFixture, "ItemSchedule_ItemsEnd_WaitingTokensFall")
{
  (*job_.items_)[0].tokens_ = 300;
  (*job_.items_)[1].tokens_ = 20;
  ItemSchedule schedule = Make();
  CHECK(schedule.WaitingTokens() == 320);
  CHECK_FALSE(Run(schedule, ItemAttemptOutcome::Preempted, { 3, "x" }));
  CHECK(schedule.WaitingTokens() == 320);
  CHECK(Run(schedule, ItemAttemptOutcome::Completed, { 4, "x" }));
  CHECK(schedule.WaitingTokens() == 20);
  CHECK(Run(schedule, ItemAttemptOutcome::Impossible));
  CHECK(schedule.WaitingTokens() == 0);
}

TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_TakenOver_SkipsListedAndKeepsProgress")
{
  job_.results_.push_back({ "first", ItemState::Completed, "a" });
  job_.progress_["second"] = { 4, "w\nx\ny\nz" };
  ItemSchedule schedule = Make();
  CHECK(Next(schedule) == 1);
  CHECK(schedule.ProgressOf(1).lastEvent_ == 4);
  CHECK(schedule.Progress().size() == 1);
}

} // namespace pumiceturn::batch
