#include "LibFleet/OutlierDetector.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

/// Detectors of several hosts that exchange their reports each 100 ms.
class OutlierDetectorFixture
{
protected:
  OutlierDetectorFixture()
  {
    for (int host = 0; host < 4; ++host) {
      hosts_.emplace_back().Enable();
    }
    for (int endpoint = 0; endpoint < 10; ++endpoint) {
      endpoints_.push_back(
        { "e" + std::to_string(endpoint), "service", "127.0.0.1:1", "a", 8 });
    }
  }

  void Record(std::size_t aHost,
              const std::string& aEndpoint,
              int aSuccesses,
              int aFailures)
  {
    for (int count = 0; count < aSuccesses + aFailures; ++count) {
      hosts_[aHost].RecordOutcome({ aEndpoint }, count < aFailures, now_);
    }
  }

  /// @return the changes at the first host.
  std::vector<VerdictChange> Advance(base::Duration aTime)
  {
    std::vector<VerdictChange> changes;
    for (base::Duration passed{}; passed < aTime; passed += 100ms) {
      now_ += 100ms;
      Exchange();
      for (std::size_t host = 0; host < hosts_.size(); ++host) {
        const auto changed = hosts_[host].Update(
          endpoints_, [this](const std::string&) { return isShort_; }, now_);
        if (host == 0) {
          changes.insert(changes.end(), changed.begin(), changed.end());
        }
      }
    }
    return changes;
  }

  void Exchange()
  {
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      const auto rows = hosts_[from].OutcomesToReport(now_);
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (to != from && from != silentHost_) {
          hosts_[to].SetPeerOutcomes("host" + std::to_string(from), rows, now_);
        }
      }
    }
  }

  [[nodiscard]] EndpointVerdict VerdictAt(std::size_t aHost,
                                          const std::string& aEndpoint) const
  {
    return hosts_[aHost].VerdictOf({ aEndpoint });
  }

  std::vector<OutlierDetector> hosts_;
  std::vector<EndpointRecord> endpoints_;
  std::size_t silentHost_ = 99;
  bool isShort_ = false;
  base::Instant now_{ 24h };
};

// Guards against an endpoint that fails at once and therefore always has free
// slots: each host alone sees too few of its failures.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_FailuresAtSeveralHosts_EjectAtAllHosts")
{
  for (std::size_t host = 0; host < 3; ++host) {
    Record(host, "e0", 0, 1);
    Record(host, "e1", 5, 0);
  }
  const auto changes = Advance(300ms);
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    CHECK(VerdictAt(host, "e0") == EndpointVerdict::Ejected);
    CHECK(VerdictAt(host, "e1") == EndpointVerdict::Sound);
  }
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].recent_ == OutcomeCounts{ 0, 3 });
  CHECK(changes[0].failedHosts_ == 3);
}

// Guards against ejecting a sound endpoint because the successes that other
// hosts observed arrive later than the failures.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_PeersSucceed_EndpointStaysSound")
{
  Record(0, "e0", 0, 2);
  Record(1, "e0", 0, 1);
  CHECK(Advance(100ms).empty());
  Record(2, "e0", 5, 0);
  Record(3, "e0", 5, 0);
  CHECK(Advance(1s).empty());
}

// Guards against one host's own fault, such as a broken link, ejecting an
// endpoint at all hosts.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_OneHostFails_EndpointStaysSound")
{
  Record(0, "e0", 0, 10);
  Record(1, "e0", 1, 0);
  CHECK(Advance(1s).empty());
}

// Guards against a host that is cut off from the endpoints ejecting them.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_HostIsCutOff_ItsFailuresDontCount")
{
  for (const EndpointRecord& endpoint : endpoints_) {
    Record(0, endpoint.id_, 0, 4);
    Record(1, endpoint.id_, 4, 0);
  }
  Record(1, "e0", 0, 1);
  CHECK(hosts_[0].OutcomesToReport(now_).empty());
  CHECK(Advance(1s).empty());
}

// Guards against ejecting endpoints in an outage that all of them share, such
// as requests that no endpoint can run.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_AllEndpointsFail_NoneIsEjected")
{
  for (const EndpointRecord& endpoint : endpoints_) {
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      Record(host, endpoint.id_, 2, 2);
    }
  }
  CHECK(Advance(1s).empty());
}

// Guards against content that fails everywhere being held against endpoints.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_OneRequestInThreeFailsAnywhere_NoneIsEjected")
{
  for (const EndpointRecord& endpoint : endpoints_) {
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      Record(host, endpoint.id_, 2, 1);
    }
  }
  CHECK(Advance(1s).empty());
}

// Guards against taking endpoints out of use that complete most requests while
// the service is short of slots, which costs more than their retries.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_Shortage_OnlyWorstEndpointIsEjected")
{
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    Record(host, "e0", 5, 4);
    Record(host, "e1", 1, 8);
    Record(host, "e2", 9, 0);
    Record(host, "e3", 9, 0);
  }
  isShort_ = true;
  Advance(1s);
  CHECK(VerdictAt(0, "e0") == EndpointVerdict::Sound);
  CHECK(VerdictAt(0, "e1") == EndpointVerdict::Ejected);
  isShort_ = false;
  Advance(200ms);
  CHECK(VerdictAt(0, "e0") == EndpointVerdict::Ejected);
}

// Guards against losing more capacity to ejections than to the failures.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_ManyFail_AtMostThreeTenthsAreEjected")
{
  for (int endpoint = 0; endpoint < 4; ++endpoint) {
    for (std::size_t host = 0; host < 2; ++host) {
      Record(host, endpoints_[endpoint].id_, 0, 2 + endpoint);
    }
  }
  for (std::size_t host = 0; host < 2; ++host) {
    for (const EndpointRecord& endpoint : endpoints_) {
      Record(host, endpoint.id_, 1, 0);
    }
  }
  Advance(300ms);
  CHECK(hosts_[0].EjectedCount() == 3);
  // The one with the fewest failures stays.
  CHECK(VerdictAt(0, "e0") == EndpointVerdict::Sound);
}

// Guards against an endpoint that stays without requests after it recovered,
// and against one that still fails getting its usual requests.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_EjectionIsOver_FewRequestsDecide")
{
  Record(0, "e0", 0, 3);
  Record(1, "e0", 0, 3);
  Advance(300ms);
  CHECK(VerdictAt(0, "e0") == EndpointVerdict::Ejected);
  Advance(2s);
  CHECK(VerdictAt(0, "e0") == EndpointVerdict::Probation);

  Record(1, "e0", 0, 1);
  auto changes = Advance(100ms);
  CHECK(VerdictAt(0, "e0") == EndpointVerdict::Ejected);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].duration_ == 4s);

  Advance(4s);
  CHECK(VerdictAt(0, "e0") == EndpointVerdict::Probation);
  Record(1, "e0", 1, 0);
  Record(2, "e0", 1, 0);
  Advance(100ms);
  CHECK(VerdictAt(0, "e0") == EndpointVerdict::Probation);
  Record(0, "e0", 1, 0);
  Advance(200ms);
  CHECK(VerdictAt(0, "e0") == EndpointVerdict::Sound);
  CHECK(Advance(1s).empty());
}

// Guards against ejecting the next process of an endpoint for failures of the
// previous one.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_EndpointRestarts_NewProcessIsSound")
{
  Record(0, "e0", 0, 3);
  Record(1, "e0", 0, 3);
  Advance(300ms);
  endpoints_[0].startedAtMs_ = 7;
  CHECK(hosts_[0].VerdictOf({ "e0", 7 }) == EndpointVerdict::Sound);
  CHECK(Advance(1s).empty());
}

// Guards against counting a failure twice, or not at all, when reports get
// lost.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_ReportsGetLost_EachFailureCountsOnce")
{
  Record(1, "e0", 20, 1);
  Advance(300ms);
  silentHost_ = 1;
  Record(1, "e0", 0, 1);
  Advance(300ms);
  silentHost_ = 99;
  Record(0, "e0", 0, 1);
  CHECK(Advance(1s).empty());
  Record(0, "e0", 0, 30);
  const auto changes = Advance(300ms);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].recent_ == OutcomeCounts{ 20, 33 });
}

// Guards against ejecting by what peers reported before they were cut off.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_PeersAreSilent_TheirRowsDontCount")
{
  Record(1, "e0", 0, 2);
  Advance(100ms);
  silentHost_ = 1;
  Advance(1100ms);
  Record(0, "e0", 0, 2);
  Record(0, "e0", 0, 0);
  CHECK(VerdictAt(0, "e0") == EndpointVerdict::Sound);
  const auto changes = Advance(500ms);
  CHECK(changes.empty());
}

// Guards against late rows of an ended process clearing what is known of the
// next one.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_RowOfEndedProcess_IsIgnored")
{
  hosts_[0].RecordOutcome({ "e0", 7 }, true, now_);
  hosts_[0].SetPeerOutcomes(
    "late",
    std::vector<EndpointOutcomes>{ { "e0", 5, { 0, 3 }, { 9, 3 } } },
    now_);
  CHECK(hosts_[0].HasRecentFailure({ "e0", 7 }, now_));
}

// Guards against evidence that outlives the window.
TEST_CASE_METHOD(OutlierDetectorFixture,
                 "OutlierDetector_FailuresAreOld_DontCount")
{
  Record(0, "e0", 0, 2);
  Record(1, "e0", 0, 0);
  Advance(6s);
  CHECK_FALSE(hosts_[0].HasRecentFailure({ "e0" }, now_));
  Record(1, "e0", 0, 2);
  CHECK(Advance(1s).empty());
}

} // namespace pumiceturn::fleet
