#include "LibFleet/EndpointTable.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

/// 22 hosts that send requests to 48 endpoints of 8 slots each, and tell each
/// other their counts and outcomes each 100 ms. Some endpoints are faulty.
class FaultyEndpointsFixture
{
protected:
  static constexpr std::size_t kHosts = 22;
  static constexpr std::size_t kEndpoints = 48;
  static constexpr double kRequestsPerSecond = 235;
  static constexpr base::Duration kRunTime = 750ms;
  static constexpr base::Duration kSilenceTimeout = 1s;

  enum class Fault : std::uint8_t
  {
    None,
    FailsAtOnce,
    Silent,
    FailsMostly, ///< Fails 60 in 100 requests.
  };

  void Build(bool aDetectsOutliers)
  {
    for (std::size_t host = 0; host < kHosts; ++host) {
      EndpointTable& table = hosts_.emplace_back("a", EndpointTable::Limits{});
      if (aDetectsOutliers) {
        table.Outliers().Enable();
      }
      for (std::size_t index = 0; index < kEndpoints; ++index) {
        table.Put({ NameOf(index), "service", "127.0.0.1:1", "a", 8 }, now_);
      }
    }
  }

  static std::string NameOf(std::size_t aEndpoint)
  {
    return "e" + std::to_string(aEndpoint);
  }

  void Advance(base::Duration aTime)
  {
    for (base::Duration passed{}; passed < aTime; passed += 1ms) {
      now_ += 1ms;
      EndAttempts();
      std::poisson_distribution<int> arrivals(kRequestsPerSecond / 1000);
      for (int count = arrivals(random_); count > 0; --count) {
        Arrive();
      }
      if (++steps_ % 100 == 0) {
        Exchange();
      }
    }
  }

  void Arrive()
  {
    const std::size_t host =
      std::uniform_int_distribution<std::size_t>(0, kHosts - 1)(random_);
    const auto choice =
      hosts_[host].Choose({ "service", WorkClass::Online, {} }, now_, random_);
    REQUIRE(choice);
    const std::string& id = choice->endpoint_.id_;
    ++sent_[id];
    hosts_[host].CountStart({ id }, WorkClass::Online);
    const Fault fault = faults_[id];
    const bool isFailure = fault == Fault::FailsAtOnce ||
                           fault == Fault::Silent ||
                           (fault == Fault::FailsMostly &&
                            std::bernoulli_distribution(0.6)(random_));
    base::Duration duration = kRunTime;
    if (isFailure) {
      duration = fault == Fault::Silent ? kSilenceTimeout : base::Duration(1ms);
    }
    attempts_.emplace(now_ + duration, Attempt{ host, id, isFailure });
  }

  void EndAttempts()
  {
    while (!attempts_.empty() && attempts_.begin()->first <= now_) {
      const Attempt attempt = attempts_.begin()->second;
      attempts_.erase(attempts_.begin());
      EndpointTable& table = hosts_[attempt.host_];
      table.CountEnd({ attempt.endpoint_ }, WorkClass::Online);
      table.Outliers().RecordOutcome(
        { attempt.endpoint_ }, attempt.isFailure_, now_);
      failures_[attempt.endpoint_] += attempt.isFailure_ ? 1 : 0;
    }
  }

  void Exchange()
  {
    for (std::size_t from = 0; from < kHosts; ++from) {
      const auto counts = hosts_[from].OwnCounts(now_);
      const auto outcomes = hosts_[from].Outliers().OutcomesToReport(now_);
      const std::string name = "host" + std::to_string(from);
      for (std::size_t to = 0; to < kHosts; ++to) {
        if (to != from) {
          hosts_[to].SetPeerCounts(name, counts, now_);
          hosts_[to].Outliers().SetPeerOutcomes(name, outcomes, now_);
        }
      }
    }
    for (EndpointTable& table : hosts_) {
      table.UpdateVerdicts(now_);
    }
  }

  /// @return the share of all requests that went to faulty endpoints.
  [[nodiscard]] double ShareOfFaulty()
  {
    double faulty = 0.0;
    double all = 0.0;
    for (const auto& [id, count] : sent_) {
      all += count;
      faulty += faults_[id] == Fault::None ? 0 : count;
    }
    return faulty / all;
  }

  struct Attempt
  {
    std::size_t host_;
    std::string endpoint_;
    bool isFailure_;
  };

  base::Instant now_{ 24h };
  std::mt19937_64 random_{ 11 };
  std::vector<EndpointTable> hosts_;
  std::map<std::string, Fault> faults_;
  std::multimap<base::Instant, Attempt> attempts_;
  std::map<std::string, int> sent_;
  std::map<std::string, int> failures_;
  std::uint64_t steps_ = 0;
};

// Load: 3 of 48 endpoints fail within a millisecond, 7 are silent. Without
// detection the three draw several times the traffic of a sound endpoint.
TEST_CASE_METHOD(FaultyEndpointsFixture,
                 "FaultyEndpoints_TenOf48_GetUnderAHundredthOfTraffic")
{
  Build(true);
  Advance(3s);
  for (std::size_t index = 0; index < 10; ++index) {
    faults_[NameOf(index)] = index < 3 ? Fault::FailsAtOnce : Fault::Silent;
  }
  Advance(3s);
  for (const auto& [id, fault] : faults_) {
    INFO(id);
    CHECK(failures_[id] <= 20);
  }
  sent_.clear();
  Advance(10s);
  CHECK(ShareOfFaulty() < 0.01);
}

// Load: as above without detection, to show what the test above guards against.
TEST_CASE_METHOD(FaultyEndpointsFixture,
                 "FaultyEndpoints_WithoutDetection_GetMoreThanTheirShare")
{
  Build(false);
  for (std::size_t index = 0; index < 3; ++index) {
    faults_[NameOf(index)] = Fault::FailsAtOnce;
  }
  Advance(5s);
  // 3 of 48 would be 0.0625.
  CHECK(ShareOfFaulty() > 0.1);
}

// Load: an endpoint fails 60 in 100 requests, at 5 requests a second.
TEST_CASE_METHOD(FaultyEndpointsFixture,
                 "FaultyEndpoints_FailsMostly_IsEjectedWithin3s")
{
  Build(true);
  Advance(2s);
  faults_["e5"] = Fault::FailsMostly;
  Advance(3s);
  CHECK(hosts_[0].Outliers().VerdictOf({ "e5" }) != EndpointVerdict::Sound);
}

// Guards against endpoints that don't get their requests back.
TEST_CASE_METHOD(FaultyEndpointsFixture,
                 "FaultyEndpoints_Recovered_GetTheirShareAgain")
{
  Build(true);
  faults_["e5"] = Fault::FailsAtOnce;
  Advance(3s);
  faults_.clear();
  Advance(12s);
  sent_.clear();
  Advance(10s);
  const double fairShare = kRequestsPerSecond * 10 / kEndpoints;
  CHECK(sent_["e5"] > 0.8 * fairShare);
}

} // namespace pumiceturn::fleet
