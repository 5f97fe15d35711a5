#include "Tests/LibFleet/RateFleetFixture.h"

namespace pumiceturn::fleet {

/// A fleet whose hosts all restart, so that none knows what was admitted
/// before.
class RateRestartFixture : public RateFleetFixture
{
protected:
  static constexpr std::size_t kHosts = 20;
  static constexpr std::size_t kWorkers = 11;

  /// Builds the fleet anew and lets an organisation spend its burst.
  void BeginBeyondLimit(double aRate, std::uint64_t aSeed)
  {
    hosts_.clear();
    admitted_.clear();
    messages_.clear();
    random_.seed(aSeed);
    BuildFleet(kHosts, { aRate, aRate }, kWorkers);
    Advance(4s, 0.5 * aRate);
    AdvanceBeyondLimit(1s);
  }

  void AdvanceBeyondLimit(base::Duration aTime)
  {
    Advance(aTime, 8 * organisation_.limit_.ratePerSecond_);
  }
};

// Guards against credit that each restart of the whole fleet grants anew.
TEST_CASE_METHOD(RateRestartFixture,
                 "RateLimiter_AllRestartRepeatedly_BoundHolds")
{
  const double rate = GENERATE(130.0, 30.0, 10.0, 3.5, 2.0);
  struct Restarts
  {
    int count_;
    base::Duration apart_;
  };
  const auto [count, apart] = GENERATE(Restarts{ 1, 1200ms },
                                       Restarts{ 2, 1200ms },
                                       Restarts{ 3, 1200ms },
                                       Restarts{ 8, 500ms });
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BeginBeyondLimit(rate, seed);
    for (int restart = 0; restart < count; ++restart) {
      RestartAll();
      AdvanceBeyondLimit(apart);
    }
    AdvanceBeyondLimit(5s);
    INFO("rate " << rate << ", restarts " << count << ", seed " << seed);
    CHECK(static_cast<double>(MaxInWindow()) <= Bound());
  }
}

// Guards against restarted hosts that each grant the whole limit until they
// have read which other hosts are registered.
TEST_CASE_METHOD(RateRestartFixture,
                 "RateLimiter_AllStartBeforeMembersAreRead_BoundHolds")
{
  const double rate = GENERATE(130.0, 30.0, 10.0, 3.5, 2.0);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BeginBeyondLimit(rate, seed);
    StopAll();
    AdvanceBeyondLimit(1s);
    RestartAll(300ms);
    AdvanceBeyondLimit(6s);
    INFO("rate " << rate << ", seed " << seed);
    CHECK(static_cast<double>(MaxInWindow()) <= Bound());
  }
}

} // namespace pumiceturn::fleet
