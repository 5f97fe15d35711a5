#include "LibFleet/RateLimiter.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

/// Hosts of one fleet on virtual time, whose datagrams take a millisecond, get
/// lost, come twice, and don't cross a cut. Counts in each window what ran of
/// an organisation against what its limit allows.
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
    std::unique_ptr<RateLimiter> limits_;
    int side_ = 0; ///< Of a cut.
    bool isUp_ = true;
    std::map<std::uint64_t, base::Instant> asked_; ///< By query.
  };

  void Build(std::size_t aHosts, RateLimit aLimit)
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
    cutAt_ = now_ - 1h;
    for (Host& host : hosts_) {
      TellMembers(host);
    }
    now_ += 20s;
  }

  /// @param aPerSecond Requests at all hosts together; each host gets those of
  ///   its callers, and the share of hosts is uneven.
  void Play(base::Duration aTime, double aPerSecond)
  {
    for (base::Duration passed{}; passed < aTime; passed += kStep) {
      now_ += kStep;
      Deliver();
      GiveUpQuestions();
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
    // The square makes some hosts see many times what others do.
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    Host& host = hosts_[static_cast<std::size_t>(
      draw * draw * static_cast<double>(hosts_.size()))];
    if (!host.isUp_) {
      return;
    }
    ++asked_;
    Apply(host, host.limits_->Check(organisation_, now_, random_));
  }

  void Apply(Host& aHost, const RateDecision& aDecision)
  {
    if (std::holds_alternative<RateAdmitted>(aDecision)) {
      ran_.push_back(now_);
    } else if (const auto* query = std::get_if<RateQuery>(&aDecision)) {
      aHost.asked_[query->report_.query_] = now_;
      Send(aHost, query->owner_, query->report_);
    } else {
      ++refused_;
    }
  }

  void GiveUpQuestions()
  {
    for (Host& host : hosts_) {
      for (auto asked = host.asked_.begin(); asked != host.asked_.end();) {
        if (now_ - asked->second < kOwnerTimeout) {
          ++asked;
          continue;
        }
        asked = host.asked_.erase(asked);
        if (host.isUp_) {
          Apply(host, host.limits_->CheckLocally(organisation_, now_));
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
      TellMembers(host);
      for (const auto& [owner, report] :
           host.limits_->CollectDueReports(now_)) {
        Send(host, owner, report);
      }
    }
  }

  void TellMembers(Host& aHost)
  {
    std::vector<RateLimitMembership::Member> others;
    for (const Host& other : hosts_) {
      const bool isCut =
        other.side_ != aHost.side_ && now_ - cutAt_ > kSilenceTimeout;
      const bool isRegistered = other.isUp_ || now_ - downAt_ < 3s;
      if (&other != &aHost && isRegistered) {
        others.push_back({ other.name_, other.isUp_ && !isCut, true });
      }
    }
    aHost.limits_->SetMembers(others, now_);
  }

  void Cut(std::size_t aHosts)
  {
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
      hosts_[index].side_ = index < aHosts ? 1 : 0;
    }
    cutAt_ = now_;
  }

  void RestartAll()
  {
    for (Host& host : hosts_) {
      host.limits_ =
        std::make_unique<RateLimiter>(host.name_, true, kTolerance);
      host.asked_.clear();
      TellMembers(host);
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
    if (Draw(doubledShare_)) {
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
    if (aFrom.side_ != aTo.side_ || !aTo.isUp_) {
      return;
    }
    if (const auto* report = std::get_if<RateReport>(&aMessage)) {
      const auto response =
        aTo.limits_->HandleReport(aFrom.name_, *report, organisation_, now_);
      if (response) {
        Send(aTo, aFrom.name_, *response);
      }
      return;
    }
    const auto& response = std::get<RateResponse>(aMessage);
    const auto decision = aTo.limits_->HandleResponse(response, now_);
    if (decision && aTo.asked_.erase(response.query_) > 0) {
      Apply(aTo, *decision);
    }
  }

  /// @return the most that ran in any window.
  [[nodiscard]] std::size_t MostInWindow() const
  {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < ran_.size(); ++last) {
      while (ran_[last] - ran_[first] > kTolerance.window_) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  /// @return what operators allow in a window, with the tolerance.
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
  base::Instant cutAt_;
  base::Instant downAt_{ 0s };
  std::mt19937_64 random_{ 7 };
  double lossShare_ = 0.0;
  double doubledShare_ = 0.0;
  Organisation organisation_;
  std::vector<Host> hosts_;
  std::deque<Sent> messages_;
  std::vector<base::Instant> ran_;
  std::size_t asked_ = 0;
  std::size_t refused_ = 0;
  std::size_t sent_ = 0;
  std::uint64_t steps_ = 0;
};

// Load: an organisation within its limit, its callers spread unevenly. With a
// fixed share of the limit at each host it was refused at the busy ones.
TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_WithinLimit_NobodyIsRefused")
{
  Build(20, { 30, 30 });
  Play(20s, 18);
  CHECK(refused_ == 0);
  CHECK(ran_.size() == asked_);
}

// Load: one organisation sends seven times its usual.
TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_FarBeyondLimit_LimitIsUsedUp")
{
  Build(20, { 30, 30 });
  Play(5s, 18);
  Play(10s, 130);
  CHECK(static_cast<double>(MostInWindow()) <= Bound());
  // What is allowed is served: the rate for 15 s.
  CHECK(ran_.size() >= 420);
}

TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_LossesAndDoubles_BoundHolds")
{
  Build(20, { 30, 30 });
  lossShare_ = 0.1;
  doubledShare_ = 0.1;
  Play(15s, 130);
  CHECK(static_cast<double>(MostInWindow()) <= Bound());
  CHECK(ran_.size() >= 380);
}

// Each half of a split fleet let the whole limit run.
TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_FleetIsSplit_HalvesShareLimit")
{
  Build(20, { 30, 30 });
  Play(5s, 130);
  Cut(10);
  Play(15s, 130);
  CHECK(static_cast<double>(MostInWindow()) <= Bound());
}

// All hosts started anew with full credit right after it had been spent.
TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_AllRestart_BeginWithNothing")
{
  Build(20, { 30, 30 });
  Play(5s, 130);
  RestartAll();
  Play(5s, 130);
  CHECK(static_cast<double>(MostInWindow()) <= Bound());
}

// The owner of an account is lost while its organisation is at its limit.
TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_OwnerIsLost_AnotherGoesOn")
{
  Build(20, { 30, 30 });
  Play(5s, 130);
  for (Host& host : hosts_) {
    if (host.limits_->AccountCount() > 0) {
      host.isUp_ = false;
      downAt_ = now_;
    }
  }
  const std::size_t before = ran_.size();
  Play(5s, 130);
  CHECK(static_cast<double>(MostInWindow()) <= Bound());
  CHECK(ran_.size() - before >= 100);
}

// Load: a limit far below what is sent comes into force.
TEST_CASE_METHOD(RateFleetFixture,
                 "RateLimiter_LimitIsLowered_BindsAWindowLater")
{
  Build(20, { 60, 60 });
  Play(5s, 55);
  organisation_.limit_ = { 10, 10 };
  Play(5s, 55);
  ran_.clear();
  Play(10s, 55);
  CHECK(static_cast<double>(MostInWindow()) <= Bound());
}

// Load: 400 hosts, one organisation within its limit and far beyond it.
TEST_CASE_METHOD(RateFleetFixture, "RateLimiter_400Hosts_BoundAndService")
{
  Build(400, { 200, 200 });
  Play(3s, 120);
  CHECK(refused_ == 0);
  const std::size_t before = ran_.size();
  Play(6s, 900);
  CHECK(static_cast<double>(MostInWindow()) <= Bound());
  CHECK(ran_.size() - before >= 1100);
}

// A request that never ran must not cost its organisation another.
TEST_CASE("RateLimiter_CertainlyNotRun_GivesCreditBack")
{
  RateLimiter limits("host", true, { 5s, 0.1, 20.0 });
  base::Instant now{ 24h };
  std::mt19937_64 random{ 1 };
  limits.SetMembers({}, now);
  now += 1h;
  const Organisation organisation{ "a", {}, { 1, 5 } };
  for (int request = 0; request < 50; ++request) {
    CHECK(std::holds_alternative<RateAdmitted>(
      limits.Check(organisation, now, random)));
    limits.Refund("a");
  }
}

TEST_CASE("RateLimiter_NoLimit_IsNotCounted")
{
  RateLimiter limits("host", true, {});
  std::mt19937_64 random{ 1 };
  const Organisation organisation{ "a", {}, {} };
  CHECK(std::holds_alternative<RateAdmitted>(
    limits.Check(organisation, base::Instant{ 24h }, random)));
  CHECK(limits.CollectDueReports(base::Instant{ 24h }).empty());
  CHECK(limits.AccountCount() == 0);
}

// The time that is told with a refusal is when there may be credit.
TEST_CASE("RateLimiter_Refused_TellsWhenToComeBack")
{
  RateLimiter limits("host", true, {});
  base::Instant now{ 24h };
  std::mt19937_64 random{ 1 };
  limits.SetMembers({}, now);
  now += 1h;
  const Organisation organisation{ "a", {}, { 2, 1 } };
  CHECK(std::holds_alternative<RateAdmitted>(
    limits.Check(organisation, now, random)));
  const RateDecision refused = limits.Check(organisation, now, random);
  REQUIRE(std::holds_alternative<RateRefused>(refused));
  CHECK(std::get<RateRefused>(refused).retryAfter_ == 500ms);
  now += 500ms;
  CHECK(std::holds_alternative<RateAdmitted>(
    limits.Check(organisation, now, random)));
}

} // namespace pumiceturn::fleet
