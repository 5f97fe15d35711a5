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
      control_.RecordRun("llm", milliseconds(800));
    }
  }

  Admission Check(
    std::uint32_t aRunning,
    std::optional<base::Duration> aClientTimeout = milliseconds(5000))
  {
    return control_.Check(
      { "llm", "route", aRunning, 8, milliseconds(300), aClientTimeout },
      kHalf);
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
  CHECK_FALSE(Check(7).retryAfter_);
  CHECK_FALSE(Check(8).retryAfter_);
  const Admission late = Check(10);
  CHECK(late.expectedWait_ == milliseconds(300));
  REQUIRE(late.retryAfter_);
  CHECK(*late.retryAfter_ > milliseconds(900));
  CHECK(*late.retryAfter_ <= milliseconds(1650));
}

// A caller that was refused comes back, and is refused once more while the
// overload lasts: it has waited for nothing and gives up.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_CallerCameBack_IsQueued")
{
  LearnRunTime();
  REQUIRE(Check(12).retryAfter_);
  CHECK_FALSE(Check(12, milliseconds(3600)).retryAfter_);
  control_.ForgetRoutes();
  CHECK(Check(12, milliseconds(3600)).retryAfter_);
}

// Just started, a host refuses requests that would have been served in time,
// as it takes an unknown run time for a long one.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_RunTimeUnknown_AdmitsAll")
{
  CHECK_FALSE(Check(30).retryAfter_);
  control_.RecordRun("llm", milliseconds(800));
  CHECK_FALSE(Check(30).retryAfter_);
}

TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_NoObjectiveDeclared_AdmitsAll")
{
  LearnRunTime();
  CHECK_FALSE(
    control_.Check({ "llm", "r", 30, 8, {}, milliseconds(5000) }, kHalf)
      .retryAfter_);
}

TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_RunsGrowLonger_WaitFollows")
{
  LearnRunTime();
  for (int run = 0; run < 100; ++run) {
    control_.RecordRun("llm", milliseconds(1600));
  }
  CHECK(Check(8).expectedWait_ > milliseconds(190));
}

// A burst of requests is refused, and comes back at the same moment as another.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_ComeBack_IsSpreadWithinWhatCallersHeed")
{
  const base::Duration clientTimeout = milliseconds(3000);
  const auto soonest = AdmissionControl::RetryAfter(clientTimeout, 0.0);
  const auto latest = AdmissionControl::RetryAfter(clientTimeout, 0.999);
  CHECK(soonest >= milliseconds(500));
  CHECK(latest - soonest >= milliseconds(300));
  CHECK(latest <= milliseconds(1000));
}

} // namespace pumiceturn::fleet
