#include "LibBatch/ItemSchedule.h"

#include <catch2/catch.hpp>

#include <algorithm>

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
    limits_.abandonAt_ = now_ + 1min;
  }

  ItemSchedule MakeSchedule() const { return { job_, limits_ }; }

  std::optional<std::size_t> NextItem(ItemSchedule& aSchedule)
  {
    const auto items = aSchedule.StartableItems(
      now_, [this](const std::string&, base::Instant) { return hasSurvived_; });
    return items.empty() ? std::nullopt : std::optional(items.front());
  }

  std::optional<ItemResult> RunNextItem(ItemSchedule& aSchedule,
                                        ItemAttemptOutcome aOutcome,
                                        const PartialOutput& aProgress = {})
  {
    now_ += 1s;
    const auto item = NextItem(aSchedule);
    REQUIRE(item);
    aSchedule.Start(*item, "endpoint");
    auto result = aSchedule.End(*item, aOutcome, aProgress, now_);
    aSchedule.RecordFailuresStored(aSchedule.Failures());
    return result;
  }

  BatchJob job_;
  ItemLimits limits_;
  base::Instant now_{ base::Duration{ 1h } };
  bool hasSurvived_ = false;
};

TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_CompletedAttempt_ReturnsWholeOutput")
{
  ItemSchedule schedule = MakeSchedule();
  const auto result =
    RunNextItem(schedule, ItemAttemptOutcome::Completed, { 2, "a\nb" });
  REQUIRE(result);
  CHECK(*result == ItemResult{ "first", ItemState::Completed, "a\nb" });
  CHECK(NextItem(schedule) == 1);
}

TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_PreemptedAttempt_ResumesAfterLastEvent")
{
  ItemSchedule schedule = MakeSchedule();
  CHECK_FALSE(
    RunNextItem(schedule, ItemAttemptOutcome::Preempted, { 3, "a\nb\nc" }));
  CHECK(NextItem(schedule) == 0);
  CHECK(schedule.ProgressOf(0) == PartialOutput{ 3, "a\nb\nc" });
}

TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_FailuresReachTheLimit_ItemIsErrored")
{
  ItemSchedule schedule = MakeSchedule();
  CHECK_FALSE(RunNextItem(schedule, ItemAttemptOutcome::Failed));
  const auto result = RunNextItem(schedule, ItemAttemptOutcome::Failed);
  REQUIRE(result);
  CHECK(result->state_ == ItemState::Errored);
  CHECK(result->item_ == "first");
}

// Guards against an item that its next owner may run more often than it should.
TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_FailureIsNotStored_ItemWaits")
{
  ItemSchedule schedule = MakeSchedule();
  schedule.Start(0, "endpoint");
  CHECK_FALSE(schedule.End(0, ItemAttemptOutcome::Failed, {}, now_));
  now_ += 30s;
  CHECK(NextItem(schedule) == 1);
  schedule.RecordFailuresStored({ { "second", { 1, false } } });
  CHECK(NextItem(schedule) == 1);
  schedule.RecordFailuresStored({ { "first", { 1, false } } });
  CHECK(NextItem(schedule) == 0);
}

// Guards against a next owner that counts failures from zero.
TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_FailedAtFormerOwner_IsCountedOn")
{
  job_.failures_ = { { "first", { 1, false } } };
  ItemSchedule schedule = MakeSchedule();
  CHECK(schedule.FinishFailed().empty());
  CHECK(RunNextItem(schedule, ItemAttemptOutcome::Failed));
  CHECK(schedule.Failures() == FailureCounts{ { "first", { 2, false } } });
}

// Guards against an item that runs again, as the result was not stored that a
// former owner knew.
TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_FailedForGoodAtFormerOwner_IsNotRun")
{
  job_.failures_ = { { "first", { 2, false } }, { "second", { 0, true } } };
  ItemSchedule schedule = MakeSchedule();
  const auto results = schedule.FinishFailed();
  REQUIRE(results.size() == 2);
  CHECK(results[0] == ItemResult{ "first", ItemState::Errored, {} });
  CHECK(results[1] == ItemResult{ "second", ItemState::Errored, {} });
  CHECK_FALSE(NextItem(schedule));
}

TEST_CASE_METHOD(ItemScheduleFixture, "ItemSchedule_ItemRejected_ItemIsErrored")
{
  ItemSchedule schedule = MakeSchedule();
  const auto result = RunNextItem(schedule, ItemAttemptOutcome::Rejected);
  REQUIRE(result);
  CHECK(result->state_ == ItemState::Errored);
}

// Guards against an item that is never placed again after several endpoints
// crashed under it, and against retries straight into the same burst of
// crashes.
TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_EndpointsCrashRepeatedly_IsRetriedAfterPauses")
{
  constexpr std::size_t kCrashes = 12;
  ItemSchedule schedule = MakeSchedule();
  base::Duration expected = ItemSchedule::kRetryDelay;
  for (std::size_t crash = 0; crash < kCrashes; ++crash) {
    CHECK_FALSE(RunNextItem(schedule, ItemAttemptOutcome::Interrupted));
    now_ += expected - 1ms;
    CHECK(NextItem(schedule) == 1);
    now_ += 1ms;
    CHECK(NextItem(schedule) == 0);
    expected = std::min(expected * 2, ItemSchedule::kMaxRetryDelay);
  }
  CHECK(schedule.WasInterruptedRepeatedly(0));
  CHECK(RunNextItem(schedule, ItemAttemptOutcome::Completed, { 2, "a\nb" }) ==
        ItemResult{ "first", ItemState::Completed, "a\nb" });
}

// Guards against an item that is given up before its time, as endpoints crashed
// under it.
TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_EndpointsCrashRepeatedly_IsAbandonedInTimeOnly")
{
  ItemSchedule schedule = MakeSchedule();
  for (std::size_t crash = 0; crash < ItemSchedule::kManyCrashes; ++crash) {
    CHECK_FALSE(RunNextItem(schedule, ItemAttemptOutcome::Interrupted));
  }
  CHECK(schedule.AbandonWaiting(limits_.abandonAt_ - 1ms).empty());
  CHECK(schedule.AbandonWaiting(limits_.abandonAt_).size() == 2);
}

// Guards against a text that starts anew because endpoints crashed under it.
TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_CrashesAfterEvents_KeepTheTextAndItsPlace")
{
  ItemSchedule schedule = MakeSchedule();
  CHECK_FALSE(
    RunNextItem(schedule, ItemAttemptOutcome::Interrupted, { 3, "a\nb\nc" }));
  for (std::size_t crash = 0; crash < ItemSchedule::kManyCrashes; ++crash) {
    now_ += ItemSchedule::kMaxRetryDelay;
    CHECK_FALSE(
      RunNextItem(schedule, ItemAttemptOutcome::Interrupted, { 3, "a\nb\nc" }));
  }
  now_ += ItemSchedule::kMaxRetryDelay;
  CHECK(NextItem(schedule) == 0);
  CHECK(schedule.ProgressOf(0) == PartialOutput{ 3, "a\nb\nc" });
}

// Guards against abandoning an item because endpoints reset its connections
// without crashing.
TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_EndpointsSurviveResets_ItemIsRetried")
{
  ItemSchedule schedule = MakeSchedule();
  for (std::size_t reset = 0; reset < ItemSchedule::kManyCrashes; ++reset) {
    CHECK_FALSE(RunNextItem(schedule, ItemAttemptOutcome::Interrupted));
  }
  now_ += 1s;
  hasSurvived_ = true;
  CHECK(NextItem(schedule) == 0);
  CHECK_FALSE(schedule.WasInterruptedRepeatedly(0));
}

TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_InterruptedAfterNewEvents_IsNotCountedAsCrash")
{
  ItemSchedule schedule = MakeSchedule();
  for (std::uint64_t event = 1; event <= 6; ++event) {
    CHECK_FALSE(
      RunNextItem(schedule, ItemAttemptOutcome::Interrupted, { event, "x" }));
  }
  now_ += 1s;
  CHECK(NextItem(schedule) == 0);
}

TEST_CASE_METHOD(ItemScheduleFixture, "ItemSchedule_ItemsEnd_WaitingTokensFall")
{
  (*job_.items_)[0].tokens_ = 300;
  (*job_.items_)[1].tokens_ = 20;
  ItemSchedule schedule = MakeSchedule();
  CHECK(schedule.UnfinishedTokens() == 320);
  CHECK_FALSE(RunNextItem(schedule, ItemAttemptOutcome::Preempted, { 3, "x" }));
  CHECK(schedule.UnfinishedTokens() == 320);
  CHECK(RunNextItem(schedule, ItemAttemptOutcome::Completed, { 4, "x" }));
  CHECK(schedule.UnfinishedTokens() == 20);
  CHECK(RunNextItem(schedule, ItemAttemptOutcome::Rejected));
  CHECK(schedule.UnfinishedTokens() == 0);
}

TEST_CASE_METHOD(ItemScheduleFixture,
                 "ItemSchedule_TakenOver_SkipsItemsWithResultsAndKeepsProgress")
{
  job_.results_.push_back({ "first", ItemState::Completed, "a" });
  job_.progress_["second"] = { 4, "w\nx\ny\nz" };
  ItemSchedule schedule = MakeSchedule();
  CHECK(NextItem(schedule) == 1);
  CHECK(schedule.ProgressOf(1).lastEvent_ == 4);
  CHECK(schedule.Progress().size() == 1);
}

} // namespace pumiceturn::batch
