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

/// A host that was just started.
class RateStartFixture
{
protected:
  base::Instant now_{ 24h };
  std::mt19937_64 random_{ 1 };
  Organisation organisation_{ "a", {}, { 100, 100 } };
  RateLimiter limiter_{ "entry", true, { 5s, 0.1, 20.0 } };
};

// Guards against a host that takes itself for the only one until it has read
// the registered hosts.
TEST_CASE_METHOD(RateStartFixture,
                 "RateLimiter_MembersUnknown_NothingIsAdmitted")
{
  CHECK(std::holds_alternative<RateWait>(
    limiter_.Check(organisation_, now_, random_)));
  now_ += 1s;
  const RateDecision decision =
    limiter_.Check(organisation_, now_, random_, 1s);
  REQUIRE(std::holds_alternative<RateRefused>(decision));
  CHECK(std::get<RateRefused>(decision).basis_ == RateBasis::MembersUnknown);

  limiter_.SetMembers({}, now_);
  now_ += 1s;
  CHECK(std::holds_alternative<RateAdmitted>(
    limiter_.Check(organisation_, now_, random_, 2s)));
}

// Guards against an owner that grants a whole limit before it knows which share
// of the hosts chose it.
TEST_CASE_METHOD(RateStartFixture, "RateLimiter_MembersUnknown_OwnerIsSilent")
{
  RateReport report{ "a", 7 };
  report.query_ = 1;
  CHECK_FALSE(limiter_.HandleReport("other", report, organisation_, now_));
}

// Guards against counting a restarted host twice while its former registration
// is still in the store.
TEST_CASE("RateLimitMembership_FormerProcessIsRegistered_IsNotCounted")
{
  RateLimitMembership membership("entry-1", true);
  membership.Update(
    std::vector<RateLimitMembership::Member>{ { "entry-1" }, { "entry-2" } },
    base::Instant{ 24h });
  CHECK(membership.AdmittingCount() == 2);
}

} // namespace pumiceturn::fleet
