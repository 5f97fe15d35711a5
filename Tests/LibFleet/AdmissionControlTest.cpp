#include "LibFleet/AdmissionControl.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using std::chrono::milliseconds;

class AdmissionControlFixture
{
protected:
  static constexpr double kRandom = 0.5;

  /// Records attempts of 800 ms; with 8 slots, one is freed every 100 ms.
  void RecordSlotTimes()
  {
    for (int attempt = 0; attempt < 50; ++attempt) {
      control_.RecordSlotTime("llm", milliseconds(800));
    }
  }

  AdmissionDecision Check(
    std::uint32_t aInFlight,
    std::optional<base::Duration> aCallerTimeout = milliseconds(5000))
  {
    return control_.Check(
      { "llm", "route", aInFlight, 8, milliseconds(300), aCallerTimeout },
      kRandom);
  }

  AdmissionControl control_;
};

// Guards against queues that grow without bound in an overload, so that every
// response is late.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_QueueBeyondObjective_IsRefused")
{
  RecordSlotTimes();
  CHECK_FALSE(Check(7).retryAfter_);
  CHECK_FALSE(Check(8).retryAfter_);
  const AdmissionDecision late = Check(10);
  CHECK(late.expectedWait_ == milliseconds(300));
  REQUIRE(late.retryAfter_);
  CHECK(*late.retryAfter_ > milliseconds(900));
  CHECK(*late.retryAfter_ <= milliseconds(1650));
}

// Guards against refusing a caller again that already waited after a refusal.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_CallerRetries_IsQueued")
{
  RecordSlotTimes();
  REQUIRE(Check(12).retryAfter_);
  CHECK_FALSE(Check(12, milliseconds(3600)).retryAfter_);
  control_.ClearCallerTimeouts();
  CHECK(Check(12, milliseconds(3600)).retryAfter_);
}

// Guards against refusals by a freshly started host that doesn't know the slot
// time.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_SlotTimeUnknown_AdmitsAll")
{
  CHECK_FALSE(Check(30).retryAfter_);
  control_.RecordSlotTime("llm", milliseconds(800));
  CHECK_FALSE(Check(30).retryAfter_);
}

TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_NoObjectiveDeclared_AdmitsAll")
{
  RecordSlotTimes();
  CHECK_FALSE(
    control_.Check({ "llm", "r", 30, 8, {}, milliseconds(5000) }, kRandom)
      .retryAfter_);
}

TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_SlotTimeGrows_ExpectedWaitGrows")
{
  RecordSlotTimes();
  for (int attempt = 0; attempt < 100; ++attempt) {
    control_.RecordSlotTime("llm", milliseconds(1600));
  }
  CHECK(Check(8).expectedWait_ > milliseconds(190));
}

// Guards against refused callers that all retry at the same moment.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_RetryAfter_IsSpreadWithinCallerTimeout")
{
  const base::Duration callerTimeout = milliseconds(3000);
  const auto soonest = AdmissionControl::RetryAfter(callerTimeout, 0.0);
  const auto latest = AdmissionControl::RetryAfter(callerTimeout, 0.999);
  CHECK(soonest >= milliseconds(500));
  CHECK(latest - soonest >= milliseconds(300));
  CHECK(latest <= milliseconds(1000));
}

// Guards against urgent requests that are as late as all others in a rush.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_LowerPriority_IsRefusedEarlier")
{
  RecordSlotTimes();
  const auto check = [this](std::uint32_t aInFlight, std::uint32_t aRank) {
    return control_
      .Check({ "llm",
               "route",
               aInFlight,
               8,
               milliseconds(300),
               milliseconds(5000),
               aRank },
             kRandom)
      .retryAfter_;
  };
  CHECK_FALSE(check(8, 0));
  CHECK(check(8, 1));
  // While slots are free, priorities don't matter.
  CHECK_FALSE(check(7, 5));
}

// Guards against requests that are admitted to the queue of a slow endpoint by
// the mean slot time of all, and are late there, or rejected by a fast one.
TEST_CASE_METHOD(AdmissionControlFixture,
                 "AdmissionControl_EndpointsPace_ScalesTheExpectedWait")
{
  RecordSlotTimes();
  const auto check = [this](std::uint32_t aInFlight, double aPace) {
    return control_.Check({ "llm",
                            "route",
                            aInFlight,
                            8,
                            milliseconds(300),
                            milliseconds(5000),
                            0,
                            aPace },
                          kRandom);
  };
  CHECK(check(8, 1.0).expectedWait_ == milliseconds(100));
  CHECK_FALSE(check(8, 1.0).retryAfter_);
  CHECK(check(8, 0.5).expectedWait_ == milliseconds(200));
  CHECK(check(8, 0.5).retryAfter_);
  CHECK(check(9, 1.0).retryAfter_);
  CHECK(check(9, 1.6).expectedWait_ == milliseconds(125));
  CHECK_FALSE(check(9, 1.6).retryAfter_);
  // With a free slot nothing waits, however slow the endpoint is.
  CHECK(check(7, 0.25).expectedWait_ == milliseconds(0));
}

} // namespace pumiceturn::fleet
