#include "Tests/LibFleet/RateFleetFixture.h"

namespace pumiceturn::fleet {

/// The owner of an account and the reports of one host to it.
class RateRefundFixture
{
protected:
  RateRefundFixture()
  {
    limiter_.SetMembers(
      std::vector{ RateLimitMembership::Member{ "entry", true } }, now_);
    report_.history_ =
      RateHistory{ std::vector<std::uint32_t>(WindowCounter::kSlices, 0),
                   std::nullopt };
    report_.candidatesHash_ = limiter_.CandidatesHash();
  }

  RateResponse Report()
  {
    ++report_.query_;
    return *limiter_.HandleReport("entry", report_, organisation_, now_);
  }

  /// @return the requests that are granted until a time has passed.
  int CountGranted(base::Duration aTime)
  {
    int granted = 0;
    for (base::Duration passed{}; passed < aTime; passed += 5ms) {
      now_ += 5ms;
      while (Report().isGranted_) {
        ++granted;
      }
    }
    return granted;
  }

  base::Instant now_{ 24h };
  RateLimiter limiter_{ "worker", false, { 5s, 0.1, 20.0 } };
  Organisation organisation_{ "a", {}, { 130, 130 } };
  RateReport report_{ "a", 7 };
};

// Guards against credit of requests that weren't executed, but waited until the
// bucket was full again: it would come on top of a full bucket.
TEST_CASE_METHOD(RateRefundFixture,
                 "RateLimiter_RefundedAfterSecond_WindowHoldsLimit")
{
  report_.admitted_ = 130;
  static_cast<void>(Report());
  now_ += 1s;
  report_.admitted_ = 260;
  static_cast<void>(Report());
  report_.refunded_ = 130;
  // 5 s at the rate and the burst, of which 130 ran before.
  CHECK(CountGranted(5s) <= 650);
}

// Guards against charging for requests that were rejected just after they were
// admitted.
TEST_CASE_METHOD(RateRefundFixture,
                 "RateLimiter_RefundedAtOnce_CreditIsGrantedAgain")
{
  for (int second = 0; second < 3; ++second) {
    report_.admitted_ += 100;
    static_cast<void>(Report());
    report_.refunded_ += 100;
    CHECK(Report().queryFirstFor_ == base::Duration::zero());
  }
}

} // namespace pumiceturn::fleet
