#include "LibFleet/EndpointPace.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

class EndpointPaceFixture
{
protected:
  void Enable() { pace_.RecordSlowness({ "reporter" }, 100, now_); }

  void Record(const EndpointIncarnation& aEndpoint,
              base::Duration aInterval,
              int aEvents,
              std::uint32_t aInFlight = 4,
              std::string_view aService = "llm")
  {
    for (int event = 0; event < aEvents; ++event) {
      pace_.RecordEventInterval(
        aEndpoint, aService, aInterval, aInFlight, now_);
    }
  }

  /// Records intervals of three endpoints of speed 0.6, 1.0 and 1.6.
  void RecordThreeSpeeds()
  {
    for (int round = 0; round < 400; ++round) {
      Record({ "slow" }, 50ms, 1);
      Record({ "usual" }, 30ms, 1);
      Record({ "fast" }, 18750us, 1);
    }
  }

  base::Instant now_{ 24h };
  EndpointPace pace_;
};

// Guards against other choices in a deployment whose endpoints report none.
TEST_CASE_METHOD(EndpointPaceFixture, "EndpointPace_NoReport_SpeedsAreOne")
{
  RecordThreeSpeeds();
  CHECK_FALSE(pace_.IsEnabled());
  CHECK(pace_.SpeedOf({ "slow" }) == 1.0);
  CHECK(pace_.SpeedOf({ "fast" }) == 1.0);
  CHECK(pace_.MomentarySpeedOf({ "slow" }, now_) == 1.0);
}

// Guards against slow endpoints that get as much load as fast ones.
TEST_CASE_METHOD(EndpointPaceFixture,
                 "EndpointPace_UnequalEndpoints_SpeedsAreProportional")
{
  Enable();
  RecordThreeSpeeds();
  const double usual = pace_.SpeedOf({ "usual" });
  CHECK(pace_.SpeedOf({ "slow" }) / usual == Approx(0.6).epsilon(0.1));
  CHECK(pace_.SpeedOf({ "fast" }) / usual == Approx(1.6).epsilon(0.1));
}

// Guards against a speed that is derived from the first few events.
TEST_CASE_METHOD(EndpointPaceFixture,
                 "EndpointPace_FewerThanFiveEvents_UsesMeanOfService")
{
  Enable();
  RecordThreeSpeeds();
  Record({ "new" }, 50ms, 4);
  CHECK(pace_.SpeedOf({ "new" }) == 1.0);
  Record({ "new" }, 50ms, 1);
  CHECK(pace_.SpeedOf({ "new" }) < 0.9);
}

// Guards against a busy endpoint that is taken for a slow machine.
TEST_CASE_METHOD(EndpointPaceFixture,
                 "EndpointPace_BusyEndpoint_IsNotTakenForSlow")
{
  Enable();
  for (int round = 0; round < 600; ++round) {
    // Both have the same speed; each is at times the busier one.
    const bool isBusy = round % 3 == 0;
    Record({ "a" }, isBusy ? 30ms : 60ms, 1, isBusy ? 1 : 8);
    Record({ "b" }, isBusy ? 60ms : 30ms, 1, isBusy ? 8 : 1);
  }
  CHECK(pace_.SpeedOf({ "a" }) / pace_.SpeedOf({ "b" }) ==
        Approx(1.0).epsilon(0.1));
}

// Guards against speeds that are underrated because fast endpoints hold more
// attempts, so that few others are compared with them at these counts.
TEST_CASE_METHOD(EndpointPaceFixture,
                 "EndpointPace_FastEndpointBusier_SpeedIsNotUnderrated")
{
  Enable();
  for (int round = 0; round < 4000; ++round) {
    // Half of the time both have 4 attempts, else the fast one has 6 and the
    // slow one 2; the intervals grow by a tenth with each attempt.
    const bool isEqual = round % 2 == 0;
    Record({ "slow" }, isEqual ? 42ms : 36ms, 1, isEqual ? 4 : 2);
    Record({ "fast" }, isEqual ? 21ms : 24ms, 1, isEqual ? 4 : 6);
  }
  CHECK(pace_.SpeedOf({ "fast" }) / pace_.SpeedOf({ "slow" }) ==
        Approx(2.0).epsilon(0.1));
}

// Guards against one stall of a stream that halves an endpoint's share.
TEST_CASE_METHOD(EndpointPaceFixture,
                 "EndpointPace_OneStall_ChangesSpeedByUnderATenth")
{
  Enable();
  RecordThreeSpeeds();
  const double before = pace_.SpeedOf({ "usual" });
  Record({ "usual" }, 900ms, 1);
  CHECK(pace_.SpeedOf({ "usual" }) == Approx(before).epsilon(0.1));
}

// Guards against an endpoint that gets nothing, or everything.
TEST_CASE_METHOD(EndpointPaceFixture, "EndpointPace_Extremes_AreBounded")
{
  Enable();
  for (int round = 0; round < 400; ++round) {
    Record({ "slow" }, 10s, 1);
    Record({ "usual" }, 30ms, 20);
    Record({ "fast" }, 0ms, 1);
  }
  CHECK(pace_.SpeedOf({ "slow" }) >= EndpointPace::kMinSpeed);
  CHECK(pace_.SpeedOf({ "fast" }) <= EndpointPace::kMaxSpeed);
  pace_.RecordSlowness({ "fast" }, 1, now_);
  CHECK(pace_.MomentarySpeedOf({ "fast" }, now_) <= EndpointPace::kMaxSpeed);
}

// Guards against a division by zero if all events of a service arrive at once.
TEST_CASE_METHOD(EndpointPaceFixture, "EndpointPace_NoTimeBetween_SpeedIsOne")
{
  Enable();
  Record({ "a" }, 0ms, 10);
  CHECK(pace_.SpeedOf({ "a" }) == 1.0);
}

// Guards against comparing endpoints of different services with each other.
TEST_CASE_METHOD(EndpointPaceFixture,
                 "EndpointPace_OtherService_IsNotComparedWith")
{
  Enable();
  Record({ "a" }, 30ms, 50, 4, "llm");
  Record({ "b" }, 300ms, 50, 4, "images");
  CHECK(pace_.SpeedOf({ "a" }) == Approx(1.0));
  CHECK(pace_.SpeedOf({ "b" }) == Approx(1.0));
}

// Guards against an outdated report, as it changes several times a second.
TEST_CASE_METHOD(EndpointPaceFixture, "EndpointPace_Slowness_IsUsedFor300ms")
{
  pace_.RecordSlowness({ "a" }, 250, now_);
  CHECK(pace_.MomentarySpeedOf({ "a" }, now_) == Approx(0.4));
  CHECK(pace_.MomentarySpeedOf({ "a" }, now_ + 300ms) == Approx(0.4));
  CHECK(pace_.MomentarySpeedOf({ "a" }, now_ + 301ms) == 1.0);
  pace_.RecordSlowness({ "b" }, 0, now_);
  CHECK(pace_.MomentarySpeedOf({ "b" }, now_) == 1.0);
}

// Guards against a restarted endpoint that is judged by its former process.
TEST_CASE_METHOD(EndpointPaceFixture, "EndpointPace_Restart_StartsAnew")
{
  Enable();
  RecordThreeSpeeds();
  pace_.RecordSlowness({ "slow" }, 250, now_);
  pace_.RecordSlowness({ "slow", 1 }, 100, now_);
  CHECK(pace_.SpeedOf({ "slow", 1 }) == 1.0);
  CHECK(pace_.MomentarySpeedOf({ "slow", 1 }, now_) == 1.0);
  // Late events of the former process don't bring its state back.
  Record({ "slow" }, 50ms, 20);
  CHECK(pace_.SpeedOf({ "slow" }) == 1.0);
  CHECK(pace_.SpeedOf({ "slow", 1 }) == 1.0);
}

// Guards against state that stays after an endpoint was dropped.
TEST_CASE_METHOD(EndpointPaceFixture, "EndpointPace_Removed_IsForgotten")
{
  Enable();
  RecordThreeSpeeds();
  pace_.RecordSlowness({ "slow" }, 250, now_);
  pace_.Remove("slow");
  CHECK(pace_.SpeedOf({ "slow" }) == 1.0);
  CHECK(pace_.MomentarySpeedOf({ "slow" }, now_) == 1.0);
  pace_.Remove("unknown");
}

} // namespace pumiceturn::fleet
