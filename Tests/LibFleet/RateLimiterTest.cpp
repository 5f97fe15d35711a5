#include "Tests/LibFleet/RateFleetFixture.h"

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

// Guards against refusals at the busiest hosts while the organisation is within
// its limit.
TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_WithinLimit_NobodyIsRefused")
{
  BuildFleet(20, { 30, 30 });
  Advance(20s, 18);
  CHECK(refused_ == 0);
  CHECK(admitted_.size() == requests_);
}

// Load: one organisation sends seven times its usual rate.
TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_FarBeyondLimit_AdmitsTheLimit")
{
  BuildFleet(20, { 30, 30 });
  Advance(5s, 18);
  Advance(10s, 130);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
  // 5 s at 18 a second, 10 s at the limit of 30, and the burst of 30.
  CHECK(admitted_.size() >= 420);
}

TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_LossesAndDuplicates_BoundHolds")
{
  BuildFleet(20, { 30, 30 });
  lossShare_ = 0.1;
  duplicatedShare_ = 0.1;
  Advance(15s, 130);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
  // Less than 15 s at the limit of 30 a second, as messages get lost.
  CHECK(admitted_.size() >= 380);
}

// Guards against each half of a partitioned fleet admitting the whole limit.
TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_FleetIsSplit_HalvesShareLimit")
{
  BuildFleet(20, { 30, 30 });
  Advance(5s, 130);
  Partition(10);
  Advance(15s, 130);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

// Guards against restarted hosts that begin with full credit right after it was
// spent.
TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_AllRestart_BoundHolds")
{
  BuildFleet(20, { 30, 30 });
  Advance(5s, 130);
  RestartAll();
  Advance(5s, 130);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

// Guards against admitting all or no requests after the owner of the account
// is lost.
TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_OwnerIsLost_AnotherTakesOver")
{
  BuildFleet(20, { 30, 30 });
  Advance(5s, 130);
  for (Host& host : hosts_) {
    if (host.limiter_->AccountCount() > 0) {
      Stop(IndexOf(host));
    }
  }
  const std::size_t before = admitted_.size();
  Advance(5s, 130);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
  // Two thirds of 5 s at the limit of 30 a second.
  CHECK(admitted_.size() - before >= 100);
}

// Load: one organisation with a small limit sends to all hosts of a larger
// fleet at once. Guards against each host admitting a request before the owner
// knows of any.
TEST_CASE_METHOD(RateFleetFixture,
                 "RateLimiter_SmallLimitAtManyHosts_BoundHolds")
{
  const std::size_t hosts = GENERATE(18, 60, 133);
  BuildFleet(hosts, { 2, 2 }, 6);
  Advance(2s, 0.6);
  Advance(5s, 1000);
  INFO("hosts " << hosts);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

// Guards against a lowered limit that isn't enforced.
TEST_CASE_METHOD(RateFleetFixture,
                 "RateLimiter_LimitIsLowered_HoldsAfterOneWindow")
{
  BuildFleet(20, { 60, 60 });
  Advance(5s, 55);
  organisation_.limit_ = { 10, 10 };
  Advance(5s, 55);
  admitted_.clear();
  Advance(10s, 55);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

// Load: 400 hosts, one organisation within its limit and then far beyond it.
TEST_CASE_METHOD(RateFleetFixture,
                 "RateLimiter_400Hosts_BoundHoldsAndLimitIsUsed")
{
  BuildFleet(400, { 200, 200 });
  Advance(3s, 120);
  CHECK(refused_ == 0);
  const std::size_t before = admitted_.size();
  Advance(6s, 900);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
  // A little less than 6 s at the limit of 200 a second.
  CHECK(admitted_.size() - before >= 1100);
}

// Guards against charging an organisation for requests that were not executed.
TEST_CASE("RateLimiter_CertainlyNotExecuted_RefundsCredit")
{
  RateLimiter limiter("host", true, { 5s, 0.1, 20.0 });
  base::Instant now{ 24h };
  std::mt19937_64 random{ 1 };
  limiter.SetMembers({}, now);
  now += 1h;
  const Organisation organisation{ "a", {}, { 1, 5 } };
  for (int request = 0; request < 50; ++request) {
    CHECK(std::holds_alternative<RateAdmitted>(
      limiter.Check(organisation, now, random)));
    limiter.Refund("a");
  }
}

TEST_CASE("RateLimiter_NoLimit_IsNotCounted")
{
  RateLimiter limiter("host", true, {});
  std::mt19937_64 random{ 1 };
  const Organisation organisation{ "a", {}, {} };
  CHECK(std::holds_alternative<RateAdmitted>(
    limiter.Check(organisation, base::Instant{ 24h }, random)));
  CHECK(limiter.CollectDueReports(base::Instant{ 24h }).empty());
  CHECK(limiter.AccountCount() == 0);
}

// Guards against admitting what the owner granted to others meanwhile, when it
// stops answering a second time.
TEST_CASE("RateLimiter_OwnerAnsweredJustNow_LocalCreditIsEmpty")
{
  RateLimiter limiter("entry", true, {});
  base::Instant now{ 24h };
  std::mt19937_64 random{ 1 };
  limiter.SetMembers(
    std::vector{ RateLimitMembership::Member{ "worker", true, false } }, now);
  const Organisation organisation{ "a", {}, { 100, 100 } };
  const auto query = [&] {
    auto decision = limiter.Check(organisation, now, random);
    while (!std::holds_alternative<RateQuery>(decision)) {
      decision = limiter.Check(organisation, now, random);
    }
    return std::get<RateQuery>(decision).report_;
  };
  static_cast<void>(query());
  static_cast<void>(limiter.CheckLocally(organisation, now));
  now += 2s;
  const RateReport answered = query();
  static_cast<void>(limiter.HandleResponse(
    { "a", answered.seriesId_, answered.query_, true, 1s }, now));
  static_cast<void>(query());
  now += 50ms;
  int admitted = 0;
  for (int request = 0; request < 50; ++request) {
    admitted += std::holds_alternative<RateAdmitted>(
                  limiter.CheckLocally(organisation, now))
                  ? 1
                  : 0;
  }
  // 50 ms at the only admitting host's rate of 100 a second.
  CHECK(admitted == 5);
}

// Guards against telling a caller to retry before there can be credit.
TEST_CASE("RateLimiter_Refused_ReturnsTimeToCredit")
{
  RateLimiter limiter("host", true, {});
  base::Instant now{ 24h };
  std::mt19937_64 random{ 1 };
  limiter.SetMembers({}, now);
  now += 1h;
  const Organisation organisation{ "a", {}, { 2, 1 } };
  CHECK(std::holds_alternative<RateAdmitted>(
    limiter.Check(organisation, now, random)));
  const RateDecision refused = limiter.Check(organisation, now, random);
  REQUIRE(std::holds_alternative<RateRefused>(refused));
  CHECK(std::get<RateRefused>(refused).retryAfter_ == 500ms);
  now += 500ms;
  CHECK(std::holds_alternative<RateAdmitted>(
    limiter.Check(organisation, now, random)));
}

} // namespace pumiceturn::fleet
