#include "LibFleet/RateLimiter.h"

#include <catch2/catch.hpp>

#include <numeric>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

/// An owner's account of an organisation, and reports of two hosts to it.
class RateAccountRefundsFixture
{
protected:
  static constexpr base::Duration kSlice = 250ms;
  /// The hosts' clocks differ from the owner's by this many slices.
  static constexpr std::int64_t kClockDifference = 1000;

  RateAccountRefundsFixture()
  {
    limiter_.SetMembers(std::vector{ RateLimitMembership::Member{ "a", true },
                                     RateLimitMembership::Member{ "b", true } },
                        now_);
    for (const std::string& host : { std::string("a"), std::string("b") }) {
      RateReport& report = reports_[host];
      report = { "org", 7 };
      report.history_ =
        RateHistory{ std::vector<std::uint32_t>(WindowCounter::kSlices, 0) };
      report.candidatesHash_ = limiter_.CandidatesHash();
      Send(report, host);
    }
  }

  RateResponse Send(RateReport& aReport, const std::string& aHost)
  {
    ++aReport.query_;
    RateResponse response =
      *limiter_.HandleReport(aHost, aReport, organisation_, now_);
    granted_[aHost] += response.isGranted_ ? 1 : 0;
    return response;
  }

  /// Reports refunds of requests that a host admitted.
  /// @param aRequestsBySlice Totals, the current slice first.
  void Refund(const std::string& aHost,
              std::vector<std::uint32_t> aRequestsBySlice)
  {
    RateReport& report = reports_[aHost];
    report.refunded_ = std::accumulate(
      aRequestsBySlice.begin(), aRequestsBySlice.end(), std::uint64_t{ 0 });
    report.refunds_ =
      RateRefunds{ now_.time_since_epoch() / kSlice - kClockDifference,
                   std::move(aRequestsBySlice) };
    Send(report, aHost);
  }

  void Admit(const std::string& aHost, std::uint64_t aRequests)
  {
    reports_[aHost].admitted_ += aRequests;
    Send(reports_[aHost], aHost);
  }

  /// Queries for a host until a time has passed.
  void QueryFor(const std::string& aHost, base::Duration aTime)
  {
    for (base::Duration passed{}; passed < aTime; passed += 5ms) {
      now_ += 5ms;
      while (Send(reports_[aHost], aHost).isGranted_) {
      }
    }
  }

  base::Instant now_{ 24h };
  RateLimiter limiter_{ "worker", false, { 5s, 0.1, 20.0 } };
  Organisation organisation_{ "org", {}, { 130, 130 } };
  std::unordered_map<std::string, RateReport> reports_; ///< By host.
  std::unordered_map<std::string, int> granted_;        ///< Queries, by host.
};

// Guards against taking a refund from the slice of another request.
TEST_CASE_METHOD(RateAccountRefundsFixture,
                 "RateLimiter_RefundSaysSlice_RequestLeavesThatSlice")
{
  Admit("a", 130);
  for (int second = 0; second < 5; ++second) {
    now_ += 1s;
    Admit("b", 120);
    if (second == 1) {
      Admit("a", 400);
      Refund("a", { 400 });
    }
  }
  now_ += 900ms;
  granted_.clear();
  QueryFor("a", 50ms);
  // 780 fit into the window, of which the other host's 600 ran; the first 130
  // left it.
  CHECK(granted_["a"] >= 130);
}

// Guards against room beyond the window of requests that were refunded late.
TEST_CASE_METHOD(RateAccountRefundsFixture,
                 "RateLimiter_RefundSaysEarlierSlice_WindowHoldsLimit")
{
  Admit("a", 130);
  now_ += 1s;
  Admit("a", 130);
  Refund("a", { 0, 0, 0, 0, 130 });
  granted_.clear();
  // 5 s at the rate and the burst, of which 130 ran before.
  QueryFor("a", 4900ms);
  CHECK(granted_["a"] <= 650);
  CHECK(granted_["a"] >= 600);
}

// Guards against counting the refunds of a repeated or outdated report twice.
TEST_CASE_METHOD(RateAccountRefundsFixture,
                 "RateLimiter_RefundsAreRepeated_AreAppliedOnce")
{
  Admit("b", 600);
  Admit("a", 100);
  RateReport outdated = reports_["a"];
  Refund("a", { 40 });
  for (int repeat = 0; repeat < 5; ++repeat) {
    Refund("a", { 40 });
    Send(outdated, "a");
  }
  QueryFor("b", 4700ms);
  // 780 fit into the window, of which 660 ran before.
  CHECK(granted_["a"] + granted_["b"] <= 120);
  CHECK(granted_["a"] + granted_["b"] >= 115);
  CHECK(limiter_.TakeIgnoredRefunds().empty());
}

// Guards against a host that takes back what others admitted.
TEST_CASE_METHOD(RateAccountRefundsFixture,
                 "RateLimiter_RefundsExceedReported_OthersStayCounted")
{
  Admit("b", 700);
  Admit("a", 20);
  Refund("a", { 500, 500, 500 });
  Refund("a", { 900, 900, 900 });
  const auto ignored = limiter_.TakeIgnoredRefunds();
  REQUIRE(ignored.size() == 1);
  CHECK(ignored.front().host_ == "a");
  CHECK(ignored.front().organisation_ == "org");
  CHECK(ignored.front().requests_ >= 1400);
  CHECK(limiter_.TakeIgnoredRefunds().empty());
  // 780 fit into the window, of which 700 are the other host's.
  QueryFor("b", 4700ms);
  CHECK(granted_["b"] <= 80);
}

// Guards against refunds of requests that already left the window.
TEST_CASE_METHOD(RateAccountRefundsFixture,
                 "RateLimiter_RefundsOutsideWindow_AreIgnored")
{
  Admit("a", 700);
  std::vector<std::uint32_t> requests(WindowCounter::kSlices + 5, 0);
  requests.back() = 400;
  Refund("a", requests);
  REQUIRE(limiter_.TakeIgnoredRefunds().size() == 1);
  QueryFor("a", 4700ms);
  CHECK(granted_["a"] <= 80);
}

/// A host that admits requests, and the one worker that it reaches.
class RateHostRefundsFixture
{
protected:
  RateHostRefundsFixture()
  {
    ReachOnly("w1");
    now_ += 1min;
  }

  void ReachOnly(const std::string& aWorker)
  {
    limiter_.SetMembers(
      std::vector{ RateLimitMembership::Member{ aWorker, true, false } }, now_);
  }

  void Admit(int aRequests)
  {
    for (int request = 0; request < aRequests; ++request) {
      REQUIRE(std::holds_alternative<RateAdmitted>(
        limiter_.Check(organisation_, now_, random_)));
    }
  }

  /// @return the report that is due a little later.
  RateReport Report()
  {
    now_ += 200ms;
    const auto due = limiter_.CollectDueReports(now_);
    REQUIRE(due.size() == 1);
    return due.front().second;
  }

  base::Instant now_{ 24h };
  std::mt19937_64 random_{ 1 };
  RateLimiter limiter_{ "entry", true, { 5s, 0.1, 20.0 } };
  Organisation organisation_{ "org", {}, { 100, 800 } };
};

// Guards against reporting requests that were rejected before the report.
TEST_CASE_METHOD(RateHostRefundsFixture,
                 "RateLimiter_RefundedBeforeReport_IsNeverReported")
{
  Admit(30);
  for (int request = 0; request < 10; ++request) {
    limiter_.Refund("org", now_);
  }
  const RateReport report = Report();
  CHECK(report.admitted_ == 20);
  CHECK(report.refunded_ == 0);
  CHECK_FALSE(report.refunds_);
}

// Guards against a late refund that cancels a request of a later slice.
TEST_CASE_METHOD(RateHostRefundsFixture,
                 "RateLimiter_RefundedLater_SaysSliceOfReport")
{
  const base::Instant admittedAt = now_;
  Admit(30);
  CHECK(Report().admitted_ == 30);
  now_ += 800ms;
  Admit(5);
  limiter_.Refund("org", admittedAt);
  const RateReport report = Report();
  CHECK(report.admitted_ == 35);
  CHECK(report.refunded_ == 1);
  REQUIRE(report.refunds_);
  CHECK(report.refunds_->requestsBySlice_ ==
        std::vector<std::uint32_t>{ 0, 0, 0, 0, 1 });
}

// Guards against losing a refund whose request was admitted at the very end of
// a slice.
TEST_CASE_METHOD(RateHostRefundsFixture,
                 "RateLimiter_AdmissionTimeIsInNextSlice_IsRefunded")
{
  Admit(30);
  static_cast<void>(Report());
  limiter_.Refund("org", now_ + 250ms);
  const RateReport report = Report();
  CHECK(report.refunded_ == 1);
  REQUIRE(report.refunds_);
  CHECK(report.refunds_->requestsBySlice_.back() == 1);
}

// Guards against a refund that comes back after its request left the window,
// and cancels another one.
TEST_CASE_METHOD(RateHostRefundsFixture,
                 "RateLimiter_RefundedAfterWindow_IsNotReported")
{
  const base::Instant admittedAt = now_;
  Admit(30);
  static_cast<void>(Report());
  now_ += 5500ms;
  Admit(5);
  static_cast<void>(Report());
  limiter_.Refund("org", admittedAt);
  now_ += 200ms;
  CHECK(limiter_.CollectDueReports(now_).empty());
}

// Guards against a new owner that counts requests which were refunded before it
// was chosen.
TEST_CASE_METHOD(RateHostRefundsFixture,
                 "RateLimiter_RefundedBeforeOwnerChanges_HistoryLacksIt")
{
  const base::Instant admittedAt = now_;
  Admit(30);
  static_cast<void>(Report());
  now_ += 600ms;
  Admit(4);
  static_cast<void>(Report());
  limiter_.Refund("org", admittedAt);
  ReachOnly("w2");
  const auto due = limiter_.CollectDueReports(now_);
  REQUIRE(due.size() == 1);
  REQUIRE(due.front().second.history_);
  const auto& requests = due.front().second.history_->requestsBySlice_;
  CHECK(std::accumulate(requests.begin(), requests.end(), 0U) == 33);
  CHECK(requests.front() == 4);
  CHECK_FALSE(due.front().second.refunds_);
}

} // namespace pumiceturn::fleet
