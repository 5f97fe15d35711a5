#include "LibJobs/LaxityQueue.h"

#include "LibJobs/BatchScheduler.h"

#include <catch2/catch.hpp>

#include <map>

namespace pumiceturn::jobs {

namespace {

constexpr std::int64_t kNow = 1'000'000;
constexpr std::int64_t kFarOff = kNow + 10'000'000;

struct LaxityQueueFixture
{
  LaxityQueue queue_;

  std::map<std::string, int> PopMany(int aCount)
  {
    std::map<std::string, int> selections;
    for (int index = 0; index < aCount; ++index) {
      ++selections[std::string(queue_.Pop(kNow).value().partner_)];
    }
    return selections;
  }
};

struct BatchSchedulerFixture
{
  BatchScheduler scheduler_;
  wire::JobDescription job_;
  base::Instant now_{ std::chrono::seconds{ 10 } };

  BatchSchedulerFixture()
  {
    job_.id_ = { 1, 1 };
    job_.partner_ = "society";
    job_.service_ = "origin-llm";
    job_.dueUnixMs_ = kFarOff;
    scheduler_.SetAgents("origin-llm", { "agent-1", "agent-2" });
    scheduler_.OnLinkUp("agent-1");
  }

  std::optional<Assignment> Next()
  {
    return scheduler_.AssignNext("origin-llm", now_, kNow);
  }
};

} // namespace

TEST_CASE_METHOD(LaxityQueueFixture, "LaxityQueue_OnePartner_LeastLaxityFirst")
{
  queue_.Add({ 1, 1 }, "society", 1, kFarOff, 1);
  queue_.Add({ 2, 2 }, "society", 1, kFarOff - 1000, 1);
  // Due later than the others, but with much more remaining work.
  queue_.Add({ 3, 3 }, "society", 1, kFarOff + 1000, 1000);
  CHECK(queue_.Pop(kNow)->job_ == base::JobId{ 3, 3 });
  queue_.Remove({ 3, 3 });
  CHECK(queue_.Pop(kNow)->job_ == base::JobId{ 2, 2 });
  CHECK(queue_.Pop(kNow)->job_ == base::JobId{ 1, 1 });
  CHECK_FALSE(queue_.Pop(kNow));
  CHECK(queue_.Waiting() == 0);
}

TEST_CASE_METHOD(LaxityQueueFixture, "LaxityQueue_TwoPartners_ShareByWeight")
{
  queue_.Add({ 1, 1 }, "large", 3, kFarOff, 1000);
  queue_.Add({ 2, 2 }, "small", 1, kFarOff, 1000);
  const auto selections = PopMany(400);
  CHECK(selections.at("large") == 300);
  CHECK(selections.at("small") == 100);
}

TEST_CASE_METHOD(LaxityQueueFixture,
                 "LaxityQueue_PartnerIdleThenActive_GetsOnlyItsShare")
{
  // A partner that used an otherwise idle service must not be blocked when
  // another partner submits work.
  queue_.Add({ 1, 1 }, "night", 1, kFarOff, 2000);
  PopMany(1000);
  queue_.Add({ 2, 2 }, "morning", 1, kFarOff, 1000);
  const auto selections = PopMany(100);
  CHECK(selections.at("night") == 50);
  CHECK(selections.at("morning") == 50);
}

TEST_CASE_METHOD(LaxityQueueFixture,
                 "LaxityQueue_UrgentJob_GetsLimitedFractionOfSelections")
{
  // A large late job of one partner must not block the other partners.
  queue_.Add({ 1, 1 }, "late", 1, kNow, 10'000);
  queue_.Add({ 2, 2 }, "first", 1, kFarOff, 10'000);
  queue_.Add({ 3, 3 }, "second", 1, kFarOff, 10'000);
  queue_.Add({ 4, 4 }, "third", 1, kFarOff, 10'000);
  const auto selections = PopMany(1000);
  // A quarter of the 1000 selections may be urgent. They count for the
  // partner's share, so it gets few others, and three partners divide the rest.
  CHECK(selections.at("late") >= 250);
  CHECK(selections.at("late") <= 300);
  CHECK(selections.at("first") >= 220);
}

TEST_CASE_METHOD(LaxityQueueFixture,
                 "LaxityQueue_MeasuredServiceTime_ReordersJobs")
{
  queue_.Add({ 1, 1 }, "society", 1, kNow + 200'000, 100);
  queue_.Add({ 2, 2 }, "society", 1, kNow + 120'000, 1);
  CHECK(queue_.Pop(kNow)->job_ == base::JobId{ 1, 1 });
  for (int sample = 0; sample < 200; ++sample) {
    queue_.RecordServiceTime(std::chrono::milliseconds{ 10 });
  }
  CHECK(queue_.Pop(kNow)->job_ == base::JobId{ 2, 2 });
}

TEST_CASE_METHOD(LaxityQueueFixture,
                 "LaxityQueue_ExpectedDuration_CountsJobsAheadAndShares")
{
  // Items take one second each and run one at a time.
  queue_.Add({ 1, 1 }, "society", 1, kFarOff, 10);
  CHECK(queue_.ExpectedDurationMs({ 1, 1 }, 0) == 10'000);
  CHECK(queue_.ExpectedDurationMs({ 1, 1 }, 2) == 12'000);
  queue_.Add({ 2, 2 }, "society", 1, kFarOff - 100'000, 5);
  CHECK(queue_.ExpectedDurationMs({ 1, 1 }, 0) == 15'000);
  CHECK(queue_.ExpectedDurationMs({ 2, 2 }, 0) == 5'000);
  queue_.Add({ 3, 3 }, "publisher", 3, kFarOff, 1000);
  CHECK(queue_.ExpectedDurationMs({ 2, 2 }, 0) == 20'000);
  CHECK(queue_.ExpectedDurationMs({ 9, 9 }, 0) == 1'000);
}

TEST_CASE_METHOD(BatchSchedulerFixture,
                 "BatchScheduler_NoCredit_NothingIsAssigned")
{
  scheduler_.AddWork(job_, 1, 5);
  CHECK_FALSE(Next());
  scheduler_.Grant("agent-1", "origin-llm", 2);
  scheduler_.Grant("agent-1", "origin-llm", 2);
  scheduler_.Grant("agent-2", "origin-llm", 9);
  CHECK(Next()->agent_ == "agent-1");
  CHECK(Next()->remainingCredits_ == 0);
  CHECK_FALSE(Next());
  scheduler_.ReturnCredit("agent-1", "origin-llm");
  CHECK(Next());
  scheduler_.OnLinkUp("agent-1");
  scheduler_.Grant("agent-1", "origin-llm", 1);
  CHECK(Next());
  CHECK_FALSE(Next());
}

TEST_CASE_METHOD(BatchSchedulerFixture,
                 "BatchScheduler_Demand_IsReportedAtOnceThenCoalesced")
{
  CHECK(scheduler_.CollectRisenFromZero(kNow).empty());
  scheduler_.AddWork(job_, 1, 5);
  const auto first = scheduler_.CollectRisenFromZero(kNow);
  REQUIRE(first.size() == 1);
  CHECK(first[0].agent_ == "agent-1");
  CHECK(first[0].demand_.waiting_ == 5);
  scheduler_.AddWork(job_, 1, 5);
  CHECK(scheduler_.CollectRisenFromZero(kNow).empty());
  CHECK(scheduler_.CollectChangedDemand(kNow)[0].demand_.waiting_ == 10);
  CHECK(scheduler_.CollectChangedDemand(kNow).empty());
  scheduler_.RemoveJob(job_.id_, "origin-llm");
  CHECK(scheduler_.CollectChangedDemand(kNow)[0].demand_.waiting_ == 0);
}

TEST_CASE_METHOD(BatchSchedulerFixture,
                 "BatchScheduler_AgentRefused_IsPausedUntilTime")
{
  scheduler_.AddWork(job_, 1, 5);
  scheduler_.Grant("agent-1", "origin-llm", 2);
  scheduler_.Pause("agent-1", now_ + std::chrono::seconds{ 1 });
  CHECK_FALSE(Next());
  now_ += std::chrono::seconds{ 1 };
  CHECK(Next());
}

} // namespace pumiceturn::jobs
