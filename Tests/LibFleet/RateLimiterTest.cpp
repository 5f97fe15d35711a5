#include "LibFleet/RateLimiter.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

/// Hosts of one fleet on virtual time. Datagrams take a millisecond, may be
/// lost or duplicated, and don't cross a partition. Compares the admitted
/// requests in each window with the limit.
class RateFleetFixture
{
protected:
  static constexpr base::Duration kStep = 1ms;
  static constexpr base::Duration kTick = 100ms;
  static constexpr base::Duration kOwnerTimeout = 60ms;
  static constexpr base::Duration kSilenceTimeout = 300ms;
  static constexpr RateTolerance kTolerance{ 5s, 0.1, 20.0 };

  struct Host
  {
    std::string name_;
    std::unique_ptr<RateLimiter> limiter_;
    int partition_ = 0; ///< Side of the partition.
    bool isUp_ = true;
    /// Times of pending queries, by query id.
    std::map<std::uint64_t, base::Instant> pendingQueries_;
  };

  void BuildFleet(std::size_t aHosts, RateLimit aLimit)
  {
    organisation_ = { "hot", {}, aLimit };
    for (std::size_t index = 0; index < aHosts; ++index) {
      const std::string name = "host" + std::to_string(index);
      hosts_.push_back({ name,
                         std::make_unique<RateLimiter>(name, true, kTolerance),
                         0,
                         true,
                         {} });
    }
    partitionedAt_ = now_ - 1h;
    for (Host& host : hosts_) {
      UpdateMembers(host);
    }
    now_ += 20s;
  }

  /// @param aPerSecond Requests at all hosts together, spread unevenly over the
  ///        hosts.
  void Advance(base::Duration aTime, double aPerSecond)
  {
    for (base::Duration passed{}; passed < aTime; passed += kStep) {
      now_ += kStep;
      Deliver();
      TimeOutQueries();
      if (++steps_ % (kTick / kStep) == 0) {
        Tick();
      }
      std::poisson_distribution<int> arrivals(
        aPerSecond * std::chrono::duration<double>(kStep).count());
      for (int count = arrivals(random_); count > 0; --count) {
        Arrive();
      }
    }
  }

  void Arrive()
  {
    // Squaring the draw gives some hosts many times the requests of others.
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    Host& host = hosts_[static_cast<std::size_t>(
      draw * draw * static_cast<double>(hosts_.size()))];
    if (!host.isUp_) {
      return;
    }
    ++requests_;
    Apply(host, host.limiter_->Check(organisation_, now_, random_));
  }

  void Apply(Host& aHost, const RateDecision& aDecision)
  {
    if (std::holds_alternative<RateAdmitted>(aDecision)) {
      admitted_.push_back(now_);
    } else if (const auto* query = std::get_if<RateQuery>(&aDecision)) {
      aHost.pendingQueries_[query->report_.query_] = now_;
      Send(aHost, query->owner_, query->report_);
    } else {
      ++refused_;
    }
  }

  void TimeOutQueries()
  {
    for (Host& host : hosts_) {
      for (auto pending = host.pendingQueries_.begin();
           pending != host.pendingQueries_.end();) {
        if (now_ - pending->second < kOwnerTimeout) {
          ++pending;
          continue;
        }
        pending = host.pendingQueries_.erase(pending);
        if (host.isUp_) {
          Apply(host, host.limiter_->CheckLocally(organisation_, now_));
        }
      }
    }
  }

  void Tick()
  {
    for (Host& host : hosts_) {
      if (!host.isUp_) {
        continue;
      }
      UpdateMembers(host);
      for (const auto& [owner, report] :
           host.limiter_->CollectDueReports(now_)) {
        Send(host, owner, report);
      }
    }
  }

  void UpdateMembers(Host& aHost)
  {
    std::vector<RateLimitMembership::Member> others;
    for (const Host& other : hosts_) {
      const bool isPartitioned = other.partition_ != aHost.partition_ &&
                                 now_ - partitionedAt_ > kSilenceTimeout;
      const bool isRegistered = other.isUp_ || now_ - downAt_ < 3s;
      if (&other != &aHost && isRegistered) {
        others.push_back({ other.name_, other.isUp_ && !isPartitioned, true });
      }
    }
    aHost.limiter_->SetMembers(others, now_);
  }

  void Partition(std::size_t aHosts)
  {
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
      hosts_[index].partition_ = index < aHosts ? 1 : 0;
    }
    partitionedAt_ = now_;
  }

  void RestartAll()
  {
    for (Host& host : hosts_) {
      host.limiter_ =
        std::make_unique<RateLimiter>(host.name_, true, kTolerance);
      host.pendingQueries_.clear();
      UpdateMembers(host);
    }
    messages_.clear();
  }

  using Message = std::variant<RateReport, RateResponse>;

  void Send(const Host& aFrom, const std::string& aTo, const Message& aMessage)
  {
    ++sent_;
    if (Draw(lossShare_)) {
      return;
    }
    messages_.push_back({ now_ + 1ms, aFrom.name_, aTo, aMessage });
    if (Draw(duplicatedShare_)) {
      messages_.push_back({ now_ + 5ms, aFrom.name_, aTo, aMessage });
    }
  }

  bool Draw(double aShare)
  {
    return aShare > 0.0 && std::bernoulli_distribution(aShare)(random_);
  }

  Host& Find(const std::string& aName)
  {
    return *std::find_if(
      hosts_.begin(), hosts_.end(), [&aName](const Host& aHost) {
        return aHost.name_ == aName;
      });
  }

  void Deliver()
  {
    const std::size_t count = messages_.size();
    for (std::size_t index = 0; index < count; ++index) {
      const Sent sent = std::move(messages_.front());
      messages_.pop_front();
      if (sent.at_ > now_) {
        messages_.push_back(sent);
      } else {
        Receive(Find(sent.from_), Find(sent.to_), sent.message_);
      }
    }
  }

  void Receive(Host& aFrom, Host& aTo, const Message& aMessage)
  {
    if (aFrom.partition_ != aTo.partition_ || !aTo.isUp_) {
      return;
    }
    if (const auto* report = std::get_if<RateReport>(&aMessage)) {
      const auto response =
        aTo.limiter_->HandleReport(aFrom.name_, *report, organisation_, now_);
      if (response) {
        Send(aTo, aFrom.name_, *response);
      }
      return;
    }
    const auto& response = std::get<RateResponse>(aMessage);
    const auto decision = aTo.limiter_->HandleResponse(response, now_);
    if (decision && aTo.pendingQueries_.erase(response.query_) > 0) {
      Apply(aTo, *decision);
    }
  }

  /// @return the largest number of requests admitted in any window.
  [[nodiscard]] std::size_t MaxInWindow() const
  {
    std::size_t maximum = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted_.size(); ++last) {
      while (admitted_[last] - admitted_[first] > kTolerance.window_) {
        ++first;
      }
      maximum = std::max(maximum, last - first + 1);
    }
    return maximum;
  }

  /// @return the number of requests allowed in a window, with the tolerance.
  [[nodiscard]] double Bound() const
  {
    const RateLimit& limit = organisation_.limit_;
    return (limit.ratePerSecond_ * 5 + limit.burst_) * 1.1 + 20;
  }

  struct Sent
  {
    base::Instant at_;
    std::string from_;
    std::string to_;
    Message message_;
  };

  base::Instant now_{ 24h };
  base::Instant partitionedAt_;
  base::Instant downAt_{ 0s };
  std::mt19937_64 random_{ 7 };
  double lossShare_ = 0.0;
  double duplicatedShare_ = 0.0;
  Organisation organisation_;
  std::vector<Host> hosts_;
  std::deque<Sent> messages_;
  std::vector<base::Instant> admitted_;
  std::size_t requests_ = 0;
  std::size_t refused_ = 0;
  std::size_t sent_ = 0;
  std::uint64_t steps_ = 0;
};

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
      host.isUp_ = false;
      downAt_ = now_;
    }
  }
  const std::size_t before = admitted_.size();
  Advance(5s, 130);
  CHECK(static_cast<double>(MaxInWindow()) <= Bound());
  // Two thirds of 5 s at the limit of 30 a second.
  CHECK(admitted_.size() - before >= 100);
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
