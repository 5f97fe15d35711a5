#include "LibBatch/HostSet.h"

#include <catch2/catch.hpp>

namespace pumiceturn::batch {

class HostSetFixture
{
protected:
  void PutEntry(const std::string& aHost)
  {
    hosts_.Put(
      aHost, aHost + "/1", BatchPreference::IfNoOther, aHost + ":1", now_);
  }
  void PutWorker(const std::string& aHost)
  {
    hosts_.Put(
      aHost, aHost + "/1", BatchPreference::Worker, aHost + ":1", now_);
  }

  HostSet hosts_;
  base::Instant now_{ std::chrono::hours{ 1 } };
};

TEST_CASE_METHOD(HostSetFixture, "HostSet_Empty_HasNoOwner")
{
  CHECK(hosts_.OwnerFor("lot").empty());
  CHECK(hosts_.IsPreferred(BatchPreference::IfNoOther));
}

TEST_CASE_METHOD(HostSetFixture, "HostSet_WithWorkers_EntryHostsGetNoJobs")
{
  PutEntry("e1");
  CHECK(hosts_.OwnerFor("lot") == "e1/1");
  PutWorker("w1");
  CHECK(hosts_.OwnerFor("lot") == "w1/1");
  CHECK_FALSE(hosts_.IsPreferred(BatchPreference::IfNoOther));
  CHECK(hosts_.IsPreferred(BatchPreference::Worker));
  hosts_.Remove("w1", now_);
  CHECK(hosts_.OwnerFor("lot") == "e1/1");
  CHECK(hosts_.IsPreferred(BatchPreference::IfNoOther));
}

// All jobs of a fleet move when one host comes or goes, and each loses its
// runs.
TEST_CASE_METHOD(HostSetFixture, "HostSet_HostLeaves_OtherJobsStay")
{
  for (const char* host : { "w1", "w2", "w3" }) {
    PutWorker(host);
  }
  std::unordered_map<std::string, std::string> before;
  for (int job = 0; job < 100; ++job) {
    const std::string id = "lot" + std::to_string(job);
    before[id] = hosts_.OwnerFor(id);
  }
  hosts_.Remove("w2", now_);
  for (const auto& [id, owner] : before) {
    if (owner != "w2/1") {
      CHECK(hosts_.OwnerFor(id) == owner);
    }
  }
}

// A job runs at two hosts: the store was away for a moment, the registration of
// the host that runs it lapsed, and another took over at once.
TEST_CASE_METHOD(HostSetFixture, "HostSet_RegistrationLapses_OwnerIsGoneLater")
{
  PutWorker("w1");
  hosts_.Remove("w1", now_);
  CHECK_FALSE(hosts_.IsGone("w1/1", now_));
  CHECK(hosts_.IsGone("w1/1", now_ + HostSet::kGrace));
  PutWorker("w1");
  CHECK_FALSE(hosts_.IsGone("w1/1", now_ + HostSet::kGrace));
}

TEST_CASE_METHOD(HostSetFixture, "HostSet_StartedAnew_FormerOwnerIsGoneAtOnce")
{
  PutWorker("w1");
  hosts_.Put("w1", "w1/2", BatchPreference::Worker, "w1:1", now_);
  CHECK(hosts_.IsGone("w1/1", now_));
  CHECK_FALSE(hosts_.IsGone("w1/2", now_));
}

TEST_CASE_METHOD(HostSetFixture, "HostSet_Peers_AreAllButTheOneThatAsks")
{
  PutEntry("e1");
  PutWorker("w1");
  CHECK(hosts_.PeersBut("w1/1") ==
        std::vector<PeerAddress>{ { "e1", "e1:1", false } });
  CHECK(hosts_.Count() == 2);
}

} // namespace pumiceturn::batch
