#include "LibFleet/AdmissionControl.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using std::chrono::milliseconds;

class AdmissionControlFixture
{
protected:
  static constexpr double kHalf = 0.5;

  /// Runs of 800 ms at endpoints with 8 places: one is free every 100 ms.
  void LearnRunTime()
  {
    for (int run = 0; run < 50; ++run) {
      control_.NoteRun("llm", milliseconds(800));
    }
  }

  Admission Judge(std::uint32_t aRunning,
                  std::optional<base::Duration> aPatience = milliseconds(5000))
  {
    return control_.Judge(
      { "llm", "route", aRunning, 8, milliseconds(300), aPatience }, kHalf);
  }

  AdmissionControl control_;
};

// Half of the servers are taken away, and a burst comes: requests queue at the
// rest, each longer than the one before, and for seconds every answer is late,
// since engines serve in order of arrival.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_QueueBeyondObjective_CallerComesBack")
{
  LearnRunTime();
  CHECK_FALSE(Judge(7).comeBackAfter_);
  CHECK_FALSE(Judge(8).comeBackAfter_);
  const Admission late = Judge(10);
  CHECK(late.expectedWait_ == milliseconds(300));
  REQUIRE(late.comeBackAfter_);
  CHECK(*late.comeBackAfter_ > milliseconds(900));
  CHECK(*late.comeBackAfter_ <= milliseconds(1650));
}

// A caller that was refused comes back, and is refused once more while the
// overload lasts: it has waited for nothing and gives up.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_CallerCameBack_IsQueued")
{
  LearnRunTime();
  REQUIRE(Judge(12).comeBackAfter_);
  CHECK_FALSE(Judge(12, milliseconds(3600)).comeBackAfter_);
  control_.ForgetRoutes();
  CHECK(Judge(12, milliseconds(3600)).comeBackAfter_);
}

// Just started, a host refuses requests that would have been served in time,
// as it takes an unknown run time for a long one.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_RunTimeUnknown_AdmitsAll")
{
  CHECK_FALSE(Judge(30).comeBackAfter_);
  control_.NoteRun("llm", milliseconds(800));
  CHECK_FALSE(Judge(30).comeBackAfter_);
}

TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_NoObjectiveDeclared_AdmitsAll")
{
  LearnRunTime();
  CHECK_FALSE(
    control_.Judge({ "llm", "r", 30, 8, {}, milliseconds(5000) }, kHalf)
      .comeBackAfter_);
}

TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_RunsGrowLonger_WaitFollows")
{
  LearnRunTime();
  for (int run = 0; run < 100; ++run) {
    control_.NoteRun("llm", milliseconds(1600));
  }
  CHECK(Judge(8).expectedWait_ > milliseconds(190));
}

// A burst of requests is refused, and comes back at the same moment as another.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_ComeBack_IsSpreadWithinWhatCallersHeed")
{
  const base::Duration patience = milliseconds(3000);
  const auto soonest = AdmissionControl::ComeBackAfter(patience, 0.0);
  const auto latest = AdmissionControl::ComeBackAfter(patience, 0.999);
  CHECK(soonest >= milliseconds(500));
  CHECK(latest - soonest >= milliseconds(300));
  CHECK(latest <= milliseconds(1000));
}

} // namespace pumiceturn::fleet
