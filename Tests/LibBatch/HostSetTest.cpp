#include "LibBatch/HostSet.h"

#include <catch2/catch.hpp>

namespace pumiceturn::batch {

class HostSetFixture
{
protected:
  void PutEntry(const std::string& aHost)
  {
    hosts_.Put(
      aHost, aHost + "/1", BatchPreference::Fallback, aHost + ":1", now_);
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
  CHECK(hosts_.AssignedOwner("lot").empty());
  CHECK(hosts_.IsPreferred(BatchPreference::Fallback));
}

TEST_CASE_METHOD(HostSetFixture, "HostSet_WithWorkers_EntryHostsGetNoJobs")
{
  PutEntry("e1");
  CHECK(hosts_.AssignedOwner("lot") == "e1/1");
  PutWorker("w1");
  CHECK(hosts_.AssignedOwner("lot") == "w1/1");
  CHECK_FALSE(hosts_.IsPreferred(BatchPreference::Fallback));
  CHECK(hosts_.IsPreferred(BatchPreference::Worker));
  hosts_.Remove("w1", now_);
  CHECK(hosts_.AssignedOwner("lot") == "e1/1");
  CHECK(hosts_.IsPreferred(BatchPreference::Fallback));
}

// Guards against reassigning the jobs of other hosts when one host leaves.
TEST_CASE_METHOD(HostSetFixture, "HostSet_HostLeaves_OtherJobsStay")
{
  for (const char* host : { "w1", "w2", "w3" }) {
    PutWorker(host);
  }
  std::unordered_map<std::string, std::string> before;
  for (int job = 0; job < 100; ++job) {
    const std::string id = "lot" + std::to_string(job);
    before[id] = hosts_.AssignedOwner(id);
  }
  hosts_.Remove("w2", now_);
  for (const auto& [id, owner] : before) {
    if (owner != "w2/1") {
      CHECK(hosts_.AssignedOwner(id) == owner);
    }
  }
}

// Guards against running a job on two hosts when the owner's registration
// expires briefly.
TEST_CASE_METHOD(HostSetFixture,
                 "HostSet_RegistrationExpires_OwnerIsTakenOverAfterDelay")
{
  PutWorker("w1");
  hosts_.Remove("w1", now_);
  CHECK_FALSE(hosts_.CanTakeOverFrom("w1/1", now_));
  CHECK(hosts_.CanTakeOverFrom("w1/1", now_ + HostSet::kTakeoverDelay));
  PutWorker("w1");
  CHECK_FALSE(hosts_.CanTakeOverFrom("w1/1", now_ + HostSet::kTakeoverDelay));
}

TEST_CASE_METHOD(HostSetFixture,
                 "HostSet_HostRestarts_FormerOwnerCanBeTakenOverAtOnce")
{
  PutWorker("w1");
  hosts_.Put("w1", "w1/2", BatchPreference::Worker, "w1:1", now_);
  CHECK(hosts_.CanTakeOverFrom("w1/1", now_));
  CHECK_FALSE(hosts_.CanTakeOverFrom("w1/2", now_));
}

TEST_CASE_METHOD(HostSetFixture, "HostSet_Peers_ExcludeTheGivenOwner")
{
  PutEntry("e1");
  PutWorker("w1");
  CHECK(hosts_.PeersExcept("w1/1") ==
        std::vector<PeerAddress>{ { "e1", "e1:1", false } });
  CHECK(hosts_.Count() == 2);
}

} // namespace pumiceturn::batch
