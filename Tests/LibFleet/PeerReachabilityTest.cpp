#include "LibFleet/PeerReachability.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using std::chrono::milliseconds;

class PeerReachabilityFixture
{
protected:
  PeerReachabilityFixture()
  {
    for (const char* peer : { "relay", "other", "worker" }) {
      reachability_.Add(peer);
      reachability_.RecordActivity(peer, now_);
    }
  }

  /// Advances time, with messages from all peers except one.
  void AdvanceWithout(const std::string& aSilent, milliseconds aTime)
  {
    now_ += aTime;
    for (const char* peer : { "relay", "other", "worker" }) {
      if (peer != aSilent) {
        reachability_.RecordActivity(peer, now_);
      }
    }
  }

  std::vector<RelayRequest> RelayRequests()
  {
    return reachability_.RelayRequests(now_, random_);
  }

  PeerReachability reachability_;
  base::Instant now_{ std::chrono::hours{ 1 } };
  std::mt19937_64 random_{ 1 };
};

TEST_CASE_METHOD(PeerReachabilityFixture,
                 "PeerReachability_AllReachable_RequestsNoRelay")
{
  AdvanceWithout("", milliseconds(1000));
  CHECK(RelayRequests().empty());
  CHECK_FALSE(reachability_.RelayFor("worker", now_));
}

// Guards against losing counts and preemption requests between hosts that are
// cut off from each other but have a common peer.
TEST_CASE_METHOD(PeerReachabilityFixture,
                 "PeerReachability_PeerSilent_IsRelayedByOne")
{
  AdvanceWithout("worker", milliseconds(400));
  const auto requests = RelayRequests();
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].peers_ == std::vector<std::string>{ "worker" });
  CHECK(requests[0].relay_ != "worker");
  CHECK_FALSE(reachability_.RelayFor("worker", now_));

  reachability_.RecordRelayed("worker", "other", now_);
  CHECK(reachability_.RelayFor("worker", now_) == "other");
  for (int round = 0; round < 10; ++round) {
    CHECK(RelayRequests()[0].relay_ == "other");
  }
}

// Guards against asking only a relay that is itself unreachable.
TEST_CASE_METHOD(PeerReachabilityFixture,
                 "PeerReachability_RelayIsSilent_AsksAnother")
{
  AdvanceWithout("worker", milliseconds(400));
  reachability_.RecordRelayed("worker", "other", now_);
  now_ += milliseconds(400);
  reachability_.RecordActivity("relay", now_);
  CHECK_FALSE(reachability_.RelayFor("worker", now_));
  const auto requests = RelayRequests();
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].relay_ == "relay");
  CHECK(requests[0].peers_ == std::vector<std::string>{ "other", "worker" });
}

TEST_CASE_METHOD(PeerReachabilityFixture,
                 "PeerReachability_PeerReachableAgain_NeedsNoRelay")
{
  AdvanceWithout("worker", milliseconds(400));
  reachability_.RecordRelayed("worker", "other", now_);
  AdvanceWithout("", milliseconds(10));
  CHECK(RelayRequests().empty());
  CHECK_FALSE(reachability_.RelayFor("worker", now_));
}

TEST_CASE_METHOD(PeerReachabilityFixture,
                 "PeerReachability_NewPeer_IsUnreachableUntilFirstMessage")
{
  CHECK(reachability_.ReachableCount(now_) == 3);
  reachability_.Add("new");
  CHECK_FALSE(reachability_.IsReachable("new", now_));
  CHECK(reachability_.ReachableCount(now_) == 3);
  reachability_.RecordActivity("new", now_);
  CHECK(reachability_.ReachableCount(now_) == 4);
  reachability_.Remove("new");
  CHECK(reachability_.ReachableCount(now_) == 3);
}

TEST_CASE_METHOD(PeerReachabilityFixture,
                 "PeerReachability_RelayRequested_ExpiresAfterTimeout")
{
  reachability_.RecordRelayRequest("cut-off", "worker", now_);
  CHECK(reachability_.RelayRequesters("worker", now_) ==
        std::vector<std::string>{ "cut-off" });
  CHECK(reachability_.RelayRequesters("relay", now_).empty());
  CHECK(
    reachability_.RelayRequesters("worker", now_ + milliseconds(400)).empty());
}

// Guards against relays that spend all their time on forwarding in a partition
// of a large fleet.
TEST_CASE_METHOD(PeerReachabilityFixture,
                 "PeerReachability_ManyRelayRequests_AreBounded")
{
  for (int requester = 0; requester < 500; ++requester) {
    reachability_.RecordRelayRequest(
      "host-" + std::to_string(requester), "worker", now_);
  }
  CHECK(reachability_.RelayRequesters("worker", now_).size() ==
        PeerReachability::kMaxRelayed);
}

} // namespace pumiceturn::fleet
