#include "Tests/LibFleet/RateFleetFixture.h"

namespace pumiceturn::fleet {

/// A fleet in which an organisation stays within its limit.
class RateWaitFixture : public RateFleetFixture
{
protected:
  static constexpr std::size_t kHosts = 20;
  static constexpr std::size_t kWorkers = 11;

  /// Sends at 0.6 of the rate.
  void AdvanceWithinLimit(base::Duration aTime)
  {
    Advance(aTime, 0.6 * organisation_.limit_.ratePerSecond_);
  }

  /// Builds the fleet anew; what is counted begins now.
  void BeginWithinLimit(double aRate, std::uint64_t aSeed)
  {
    hosts_.clear();
    messages_.clear();
    random_.seed(aSeed);
    BuildFleet(kHosts, { aRate, aRate }, kWorkers);
    AdvanceWithinLimit(6s);
  }

  void StopOwner()
  {
    for (std::size_t index = kHosts; index < hosts_.size(); ++index) {
      if (hosts_[index].limiter_->ShareOf("hot") > 0.5) {
        Stop(index);
      }
    }
  }

  /// Compares the requests that are refused within two seconds of a fault with
  /// a share of those that were sent, for several seeds together.
  template<typename Fault>
  void CheckFewAreRefusedAfter(double aRate, Fault&& aFault)
  {
    std::size_t requests = 0;
    std::size_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      BeginWithinLimit(aRate, seed);
      requests_ = 0;
      refused_ = 0;
      aFault();
      AdvanceWithinLimit(2s);
      requests += requests_;
      refused += refused_;
    }
    INFO("rate " << aRate);
    CHECK(static_cast<double>(refused) <= 0.02 * static_cast<double>(requests));
  }
};

// Guards against refusing requests within the limit since nobody remembers what
// was admitted before all hosts restarted.
TEST_CASE_METHOD(RateWaitFixture,
                 "RateLimiter_AllRestartWithinLimit_AtMostOneIn50IsRefused")
{
  const double rate = GENERATE(130.0, 30.0, 10.0);
  CheckFewAreRefusedAfter(rate, [this] { RestartAll(); });
}

// Guards against refusing requests within the limit until hosts notice that the
// account's owner is lost, or until all have chosen the next one.
TEST_CASE_METHOD(RateWaitFixture,
                 "RateLimiter_OwnerIsLostWithinLimit_AtMostOneIn50IsRefused")
{
  const double rate = GENERATE(130.0, 30.0, 10.0, 3.5);
  CheckFewAreRefusedAfter(rate, [this] { StopOwner(); });
}

// Guards against holding requests that are beyond the limit and can't be served
// anyway.
TEST_CASE_METHOD(RateWaitFixture,
                 "RateLimiter_AllRestartBeyondLimit_FewRequestsWait")
{
  BeginWithinLimit(30, 1);
  RestartAll();
  for (int step = 0; step < 20; ++step) {
    Advance(100ms, 2000);
    for (const Host& host : hosts_) {
      CHECK(host.waiting_.size() <= 8);
    }
  }
}

} // namespace pumiceturn::fleet
