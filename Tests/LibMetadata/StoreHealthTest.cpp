#include "LibMetadata/StoreHealth.h"

#include <catch2/catch.hpp>

namespace pumiceturn::metadata {

using std::chrono::milliseconds;

class StoreHealthFixture
{
protected:
  void Call(bool aIsAnswered, int aAfterMs)
  {
    now_ += milliseconds(aAfterMs);
    health_.RecordCall(aIsAnswered, now_);
  }

  StoreHealth health_;
  base::Instant now_{ std::chrono::hours{ 1 } };
};

// A request goes to an engine two seconds after that has left. A single call to
// the store had failed and the next one was answered; the host took that for an
// outage, in which registrations lapse though their engines live, and kept the
// engine whose registration had been removed.
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

// All engines of a service are taken for gone when the store is back after some
// seconds, as their registrations lapsed meanwhile.
TEST_CASE_METHOD(StoreHealthFixture, "StoreHealth_AwayForSeconds_IsAnOutage")
{
  Call(true, 0);
  Call(false, 1000);
  Call(false, 600);
  Call(false, 600);
  CHECK(health_.RecoveredAt(now_) == now_);
  Call(true, 600);
  CHECK(health_.RecoveredAt(now_ + milliseconds(900)) == now_);
}

// After an outage a single call fails: the outage before is still the last one.
TEST_CASE_METHOD(StoreHealthFixture, "StoreHealth_FailureAfterOutage_KeepsIt")
{
  Call(false, 0);
  Call(true, 3000);
  const base::Instant returned = now_;
  Call(false, 300);
  CHECK(health_.RecoveredAt(now_) == returned);
  Call(true, 200);
  CHECK(health_.RecoveredAt(now_) == returned);
}

// A job that was accepted during an outage is denied: the host reads the store,
// which is back, before the hosts that keep the job have stored it.
TEST_CASE_METHOD(StoreHealthFixture, "StoreHealth_LatelyLost_IsRemembered")
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
