#include "Tests/LibFleet/RateFleetFixture.h"

#include <numeric>

namespace pumiceturn::fleet {

/// A fleet whose accounts are owned by workers, which are stopped.
class RateHandoverFixture : public RateFleetFixture
{
protected:
  static constexpr std::size_t kHosts = 18;
  static constexpr std::size_t kWorkers = 4;

  /// Stops the worker that owns the organisation's account.
  /// @return its index.
  std::size_t StopOwner()
  {
    for (std::size_t index = kHosts; index < hosts_.size(); ++index) {
      if (hosts_[index].isUp_ && hosts_[index].limiter_->ShareOf("hot") > 0.5) {
        Stop(index);
        return index;
      }
    }
    FAIL("no worker owns the account");
    return 0;
  }

  /// Advances, and returns the share of the requests that were refused.
  double AdvanceAndGetRefusedShare(base::Duration aTime, double aPerSecond)
  {
    const std::size_t requests = requests_;
    const std::size_t refused = refused_;
    Advance(aTime, aPerSecond);
    return static_cast<double>(refused_ - refused) /
           static_cast<double>(requests_ - requests);
  }
};

// Guards against a new owner that begins without the credit that the
// organisation had, and refuses a burst within the limit.
TEST_CASE_METHOD(RateHandoverFixture,
                 "RateLimiter_OwnerIsLostBeforeBurst_AtMostOneIn50IsRefused")
{
  const RateLimit limit = GENERATE(RateLimit{ 60, 400 }, RateLimit{ 130, 130 });
  BuildFleet(kHosts, limit, kWorkers);
  Advance(6s, 0.3 * limit.ratePerSecond_);
  StopOwner();
  Advance(500ms, 0.3 * limit.ratePerSecond_);
  INFO("rate " << limit.ratePerSecond_);
  CHECK(AdvanceAndGetRefusedShare(1s, 0.8 * limit.burst_) <= 0.02);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

// Guards against an owner that is restarted within the time after which hosts
// notice it, and charges the organisation again for all that it used before.
TEST_CASE_METHOD(RateHandoverFixture,
                 "RateLimiter_OwnerRestartsQuickly_AtMostOneIn50IsRefused")
{
  BuildFleet(kHosts, { 130, 130 }, kWorkers);
  Advance(6s, 39);
  for (int restart = 0; restart < 4; ++restart) {
    const std::size_t owner = StopOwner();
    Advance(200ms, 104);
    Restart(owner);
    Advance(300ms, 104);
    INFO("restart " << restart);
    CHECK(AdvanceAndGetRefusedShare(1s, 104) <= 0.02);
  }
}

// Guards against a new owner that grants the burst a second time.
TEST_CASE_METHOD(RateHandoverFixture,
                 "RateLimiter_OwnerIsLostAfterBurst_BurstIsGrantedOnce")
{
  const RateLimit limit = GENERATE(RateLimit{ 60, 400 }, RateLimit{ 130, 130 });
  BuildFleet(kHosts, limit, kWorkers);
  Advance(6s, 0.3 * limit.ratePerSecond_);
  const base::Duration untilStop = GENERATE(50ms, 300ms, 1500ms);
  const double beyond = 8 * limit.ratePerSecond_;
  admitted_.clear();
  Advance(untilStop, beyond);
  StopOwner();
  Advance(5s - untilStop, beyond);
  INFO("rate " << limit.ratePerSecond_ << ", stopped after "
               << untilStop / 1ms);
  CHECK(static_cast<double>(admitted_.size()) <= Bound());
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

// Guards against full credit at a new owner while hosts that were started anew
// don't know what they admitted before.
TEST_CASE_METHOD(RateHandoverFixture,
                 "RateLimiter_OwnerAndHostsRestart_BoundHolds")
{
  BuildFleet(kHosts, { 130, 130 }, kWorkers);
  Advance(6s, 39);
  Advance(300ms, 1040);
  const std::size_t owner = StopOwner();
  for (std::size_t host = 0; host < kHosts; host += 3) {
    Stop(host);
  }
  Advance(500ms, 1040);
  for (std::size_t host = 0; host < kHosts; host += 3) {
    Restart(host);
  }
  Restart(owner);
  Advance(6s, 1040);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
}

/// An owner's account and reports to it.
class RateHistoryFixture
{
protected:
  static constexpr RateTolerance kTolerance{ 5s, 0.1, 20.0 };

  RateHistoryFixture()
  {
    limiter_.SetMembers(
      std::vector{ RateLimitMembership::Member{ "entry", true } }, now_);
    now_ += 100ms;
  }

  /// @return the number of queries in a row that are granted.
  int CountGranted(const std::optional<RateHistory>& aHistory)
  {
    RateReport report{ "a", 7 };
    report.history_ = aHistory;
    report.candidatesHash_ = limiter_.CandidatesHash();
    for (int granted = 0; granted < 1000; ++granted) {
      ++report.query_;
      if (!limiter_.HandleReport("entry", report, organisation_, now_)
             ->isGranted_) {
        return granted;
      }
    }
    return 1000;
  }

  static RateHistory EmptyHistory()
  {
    return { std::vector<std::uint32_t>(WindowCounter::kSlices, 0),
             std::nullopt };
  }

  base::Instant now_{ 24h };
  RateLimiter limiter_{ "worker", false, kTolerance };
  Organisation organisation_{ "a", {}, { 20, 60 } };
};

// Guards against trusting a host of an earlier version, which sends no history,
// to have admitted nothing.
TEST_CASE_METHOD(RateHistoryFixture,
                 "RateLimiter_ReportWithoutHistory_GainsPartOfTolerance")
{
  // 100 ms at the rate, and 0.15 of the tolerance of 36 within 1.25 s.
  CHECK(CountGranted(std::nullopt) == 2);
  now_ += 1150ms;
  CHECK(CountGranted(std::nullopt) == 28);
  now_ += 1s;
  CHECK(CountGranted(std::nullopt) == 20);
}

TEST_CASE_METHOD(RateHistoryFixture,
                 "RateLimiter_HistoryIsEmpty_BeginsWithFullCredit")
{
  CHECK(CountGranted(EmptyHistory()) >= 60);
}

TEST_CASE_METHOD(RateHistoryFixture,
                 "RateLimiter_HistoryHasRequests_BeginsWithTheRest")
{
  RateHistory history = EmptyHistory();
  history.requestsBySlice_[0] = 50;
  const int granted = CountGranted(history);
  CHECK(granted >= 10);
  CHECK(granted <= 25);
}

// Guards against a full bucket for an organisation that used up its credit, by
// requests that are evenly spread over the window.
TEST_CASE_METHOD(RateHistoryFixture,
                 "RateLimiter_HistoryIsUsedUp_BeginsWithoutCredit")
{
  RateHistory history = EmptyHistory();
  history.requestsBySlice_.assign(WindowCounter::kSlices, 5);
  history.usedUpSlice_ = 0;
  CHECK(CountGranted(history) == 0);
}

// Guards against full credit for an organisation whose host was just started.
TEST_CASE_METHOD(RateHistoryFixture,
                 "RateLimiter_HistoryIsShort_BeginsWithPartOfTolerance")
{
  RateHistory history = EmptyHistory();
  history.requestsBySlice_.resize(2);
  CHECK(CountGranted(history) <= 12);
}

/// A host that admits requests, and the one worker that it reaches.
class RateReporterFixture
{
protected:
  void ReachOnly(const std::string& aWorker)
  {
    limiter_.SetMembers(
      std::vector{ RateLimitMembership::Member{ aWorker, true, false } }, now_);
  }

  RateDecision Check(const RateLimit& aLimit)
  {
    return limiter_.Check({ "a", {}, aLimit }, now_, random_);
  }

  RateLimiter limiter_{ "entry", true, { 5s, 0.1, 20.0 } };
  base::Instant now_{ 24h };
  std::mt19937_64 random_{ 1 };
};

// Guards against a history that is counted again when its report is repeated.
TEST_CASE_METHOD(RateReporterFixture,
                 "RateLimiter_OwnerResponds_HistoryIsSentNoMore")
{
  ReachOnly("w1");
  now_ += 1min;
  const RateLimit limit{ 100, 800 };
  for (int request = 0; request < 30; ++request) {
    CHECK(std::holds_alternative<RateAdmitted>(Check(limit)));
  }
  REQUIRE(limiter_.CollectDueReports(now_).empty());
  now_ += 200ms;
  REQUIRE(limiter_.CollectDueReports(now_).size() == 1);

  now_ += 1s;
  ReachOnly("w2");
  for (int repeat = 0; repeat < 3; ++repeat) {
    const auto due = limiter_.CollectDueReports(now_);
    REQUIRE(due.size() == 1);
    CHECK(due.front().first == "w2");
    REQUIRE(due.front().second.history_);
    CHECK(std::accumulate(due.front().second.history_->requestsBySlice_.begin(),
                          due.front().second.history_->requestsBySlice_.end(),
                          0U) == 30);
    CHECK(due.front().second.admitted_ == 0);
    CHECK(due.front().second.isResponseNeeded_);
    if (repeat == 2) {
      static_cast<void>(
        limiter_.HandleResponse({ "a", due.front().second.seriesId_ }, now_));
    }
    now_ += 200ms;
  }
  CHECK(limiter_.CollectDueReports(now_).empty());
}

// Guards against a grant of the former owner that the new one never hears of.
TEST_CASE_METHOD(RateReporterFixture,
                 "RateLimiter_FormerOwnerGrantsLate_IsReportedToOwner")
{
  ReachOnly("w1");
  const RateLimit limit{ 1, 8 };
  auto decision = Check(limit);
  while (std::holds_alternative<RateAdmitted>(decision)) {
    decision = Check(limit);
  }
  const RateReport query = std::get<RateQuery>(decision).report_;
  now_ += 10ms;
  ReachOnly("w2");
  static_cast<void>(limiter_.CollectDueReports(now_));
  static_cast<void>(limiter_.HandleResponse(
    { "a", query.seriesId_, query.query_, true }, now_));
  now_ += 200ms;
  const auto due = limiter_.CollectDueReports(now_);
  REQUIRE(due.size() == 1);
  CHECK(due.front().first == "w2");
  CHECK(due.front().second.admitted_ == 1);
}

} // namespace pumiceturn::fleet
