#include "LibLoad/Schedule.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace pumiceturn::load {

namespace {

class ScheduleFixture
{
protected:
  ScheduleFixture()
  {
    plan_.set_seed(7);
    plan_.set_warm_up_s(1);
    plan_.set_alone_s(4);
    plan_.set_together_s(5);
    OnlineStream& stream = *plan_.add_online();
    stream.set_kind("look-up");
    stream.set_per_s(50);
    stream.set_resend_share(0.2);
    stream.mutable_prompt()->set_words(3);
    stream.mutable_prompt()->set_prefixes(2);
    stream.mutable_prompt()->set_prefix_words(4);
    LotPlan& lot = *plan_.add_lots();
    lot.set_items(20);
    lot.mutable_prompt()->set_words(3);
  }

  static std::size_t CountBetween(const Schedule& aSchedule,
                                  base::Duration aFrom,
                                  base::Duration aTo)
  {
    return static_cast<std::size_t>(
      std::count_if(aSchedule.arrivals_.begin(),
                    aSchedule.arrivals_.end(),
                    [&](const Arrival& aArrival) {
                      return aArrival.at_ >= aFrom && aArrival.at_ < aTo;
                    }));
  }

  LoadPlan plan_;
};

} // namespace

TEST_CASE_METHOD(ScheduleFixture, "MakeSchedule_SameSeed_IsTheSame")
{
  const Schedule first = MakeSchedule(plan_, "run");
  const Schedule second = MakeSchedule(plan_, "run");
  REQUIRE(first.arrivals_.size() == second.arrivals_.size());
  for (std::size_t index = 0; index < first.arrivals_.size(); ++index) {
    REQUIRE(first.arrivals_[index].at_ == second.arrivals_[index].at_);
    REQUIRE(first.arrivals_[index].prompt_ == second.arrivals_[index].prompt_);
  }
  plan_.set_seed(8);
  CHECK(MakeSchedule(plan_, "run").arrivals_.front().at_ !=
        first.arrivals_.front().at_);
}

TEST_CASE_METHOD(ScheduleFixture, "MakeSchedule_Arrivals_AreOrderedInPhases")
{
  const Schedule schedule = MakeSchedule(plan_, "run");
  // 500 expected; the seed is fixed, so the count is too.
  CHECK(schedule.arrivals_.size() > 400);
  CHECK(schedule.arrivals_.size() < 600);
  CHECK(std::is_sorted(schedule.arrivals_.begin(),
                       schedule.arrivals_.end(),
                       [](const Arrival& aLeft, const Arrival& aRight) {
                         return aLeft.at_ < aRight.at_;
                       }));
  for (const Arrival& arrival : schedule.arrivals_) {
    REQUIRE(arrival.at_ < std::chrono::seconds(10));
    REQUIRE(arrival.phase_ == PhaseAt(plan_, arrival.at_));
  }
  CHECK(PhaseAt(plan_, std::chrono::milliseconds(999)) == Phase::WarmUp);
  CHECK(PhaseAt(plan_, std::chrono::milliseconds(1000)) == Phase::Alone);
  CHECK(PhaseAt(plan_, std::chrono::milliseconds(5000)) == Phase::Together);
}

TEST_CASE_METHOD(ScheduleFixture, "MakeSchedule_Burst_AddsArrivalsInItsTime")
{
  const std::size_t before = CountBetween(MakeSchedule(plan_, "run"),
                                          std::chrono::seconds(6),
                                          std::chrono::seconds(7));
  Burst& burst = *plan_.add_bursts();
  burst.set_kind("look-up");
  burst.set_at_s(6);
  burst.set_length_s(1);
  burst.set_per_s(500);
  const Schedule schedule = MakeSchedule(plan_, "run");
  CHECK(CountBetween(schedule,
                     std::chrono::seconds(6),
                     std::chrono::seconds(7)) > before + 400);
  CHECK(CountBetween(
          schedule, std::chrono::seconds(7), std::chrono::seconds(8)) < 100);
}

// A second run of a plan would be answered from the records of the first one,
// and its latencies would say nothing, if the prompts were the same.
TEST_CASE_METHOD(ScheduleFixture, "MakeSchedule_Prompts_AreUniqueAndOfOneRun")
{
  std::set<std::string> prompts;
  std::size_t count = 0;
  for (const char* run : { "one", "two" }) {
    const Schedule schedule = MakeSchedule(plan_, run);
    for (const Arrival& arrival : schedule.arrivals_) {
      prompts.insert(arrival.prompt_);
      ++count;
    }
    REQUIRE(schedule.lots_.size() == 1);
    REQUIRE(schedule.lots_[0].size() == 20);
    for (const caller::JobItem& item : schedule.lots_[0]) {
      prompts.insert(item.prompt());
      ++count;
    }
  }
  CHECK(prompts.size() == count);
}

TEST_CASE_METHOD(ScheduleFixture, "MakeSchedule_Prefixes_AreShared")
{
  std::set<std::string> beginnings;
  for (const Arrival& arrival : MakeSchedule(plan_, "run").arrivals_) {
    beginnings.insert(arrival.prompt_.substr(0, arrival.prompt_.find('\n')));
  }
  CHECK(beginnings.size() == 2);
}

} // namespace pumiceturn::load
