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

  /// Time passes in which all but the named peer are heard.
  void PassWithout(const std::string& aSilent, milliseconds aTime)
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
                 "PeerReachability_AllHeard_AsksNobody")
{
  PassWithout("", milliseconds(1000));
  CHECK(RelayRequests().empty());
  CHECK_FALSE(reachability_.RelayTo("worker", now_));
}

// Translators wait half a second at an entry host that is cut off from the
// hosts that run jobs: it takes their runs for none, and its requests to let
// batch give way are lost, though the other entry hosts reach both.
TEST_CASE_METHOD(PeerReachabilityFixture,
                 "PeerReachability_PeerSilent_IsHeardThroughOne")
{
  PassWithout("worker", milliseconds(400));
  const auto requests = RelayRequests();
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].peers_ == std::vector<std::string>{ "worker" });
  CHECK(requests[0].relay_ != "worker");
  CHECK_FALSE(reachability_.RelayTo("worker", now_));

  reachability_.RecordRelayed("worker", "other", now_);
  CHECK(reachability_.RelayTo("worker", now_) == "other");
  for (int round = 0; round < 10; ++round) {
    CHECK(RelayRequests()[0].relay_ == "other");
  }
}

// The relay is lost as well: the host would go on asking it alone.
TEST_CASE_METHOD(PeerReachabilityFixture,
                 "PeerReachability_RelayFallsSilent_AsksAnother")
{
  PassWithout("worker", milliseconds(400));
  reachability_.RecordRelayed("worker", "other", now_);
  now_ += milliseconds(400);
  reachability_.RecordActivity("relay", now_);
  CHECK_FALSE(reachability_.RelayTo("worker", now_));
  const auto requests = RelayRequests();
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].relay_ == "relay");
  CHECK(requests[0].peers_ == std::vector<std::string>{ "other", "worker" });
}

TEST_CASE_METHOD(PeerReachabilityFixture,
                 "PeerReachability_PeerIsHeardAgain_NeedsNoRelay")
{
  PassWithout("worker", milliseconds(400));
  reachability_.RecordRelayed("worker", "other", now_);
  PassWithout("", milliseconds(10));
  CHECK(RelayRequests().empty());
  CHECK_FALSE(reachability_.RelayTo("worker", now_));
}

TEST_CASE_METHOD(PeerReachabilityFixture,
                 "PeerReachability_NewPeer_IsSilentUntilHeard")
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
                 "PeerReachability_AskedFor_PassesOnForAWhile")
{
  reachability_.RecordRelayRequest("cut-off", "worker", now_);
  CHECK(reachability_.RelayRequesters("worker", now_) ==
        std::vector<std::string>{ "cut-off" });
  CHECK(reachability_.RelayRequesters("relay", now_).empty());
  CHECK(
    reachability_.RelayRequesters("worker", now_ + milliseconds(400)).empty());
}

// A large fleet splits, and the few hosts that reach both halves spend all
// their time on passing messages on.
TEST_CASE_METHOD(PeerReachabilityFixture,
                 "PeerReachability_AskedByMany_PassesOnBounded")
{
  for (int asker = 0; asker < 500; ++asker) {
    reachability_.RecordRelayRequest(
      "host-" + std::to_string(asker), "worker", now_);
  }
  CHECK(reachability_.RelayRequesters("worker", now_).size() ==
        PeerReachability::kMaxRelayed);
}

} // namespace pumiceturn::fleet
