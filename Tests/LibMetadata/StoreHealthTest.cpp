#include "LibMetadata/StoreHealth.h"

#include <catch2/catch.hpp>

namespace pumiceturn::metadata {

using std::chrono::milliseconds;

class StoreHealthFixture
{
protected:
  void Call(bool aHasResponse, int aAfterMs)
  {
    now_ += milliseconds(aAfterMs);
    health_.RecordCall(aHasResponse, now_);
  }

  StoreHealth health_;
  base::Instant now_{ std::chrono::hours{ 1 } };
};

// Guards against taking a single failed call for an outage and so keeping
// endpoints that have ended.
TEST_CASE_METHOD(StoreHealthFixture, "StoreHealth_SingleFailedCall_IsNoOutage")
{
  Call(true, 0);
  Call(false, 1000);
  CHECK(health_.IsLost());
  CHECK_FALSE(health_.RecoveredAt(now_));
  Call(true, 550);
  CHECK_FALSE(health_.IsLost());
  CHECK_FALSE(health_.RecoveredAt(now_));
}

// Guards against dropping all endpoints whose registrations lapsed in an
// outage.
TEST_CASE_METHOD(StoreHealthFixture,
                 "StoreHealth_UnavailableForSeconds_IsOutage")
{
  Call(true, 0);
  Call(false, 1000);
  Call(false, 600);
  Call(false, 600);
  CHECK(health_.RecoveredAt(now_) == now_);
  Call(true, 600);
  CHECK(health_.RecoveredAt(now_ + milliseconds(900)) == now_);
}

// Guards against a single failed call that replaces the time of the last
// outage.
TEST_CASE_METHOD(StoreHealthFixture,
                 "StoreHealth_FailureAfterOutage_KeepsRecoveryTime")
{
  Call(false, 0);
  Call(true, 3000);
  const base::Instant recoveredAt = now_;
  Call(false, 300);
  CHECK(health_.RecoveredAt(now_) == recoveredAt);
  Call(true, 200);
  CHECK(health_.RecoveredAt(now_) == recoveredAt);
}

// Guards against reporting as unknown a job that was accepted in an outage and
// isn't in the store yet.
TEST_CASE_METHOD(StoreHealthFixture, "StoreHealth_RecentlyLost_IsReported")
{
  Call(true, 0);
  CHECK_FALSE(health_.WasLostWithin(milliseconds(3000), now_));
  Call(false, 5000);
  CHECK(health_.WasLostWithin(milliseconds(3000), now_));
  Call(true, 100);
  CHECK(health_.WasLostWithin(milliseconds(3000), now_ + milliseconds(2000)));
  CHECK_FALSE(
    health_.WasLostWithin(milliseconds(3000), now_ + milliseconds(3000)));
}

} // namespace pumiceturn::metadata
