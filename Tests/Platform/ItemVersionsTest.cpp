#include "Tests/Platform/BatchJobsFixture.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::adapter {

/// A second endpoint that has another software version than the first.
class ItemVersionsFixture : protected BatchJobsFixture
{
protected:
  ItemVersionsFixture()
  {
    servers_[1]->SetVersion("v2");
    store_.Put("servers/i-2", servers_[1]->Registration("service", "ready"));
  }

  void HoldAfterThreeEvents()
  {
    for (const auto& server : servers_) {
      server->Enqueue({ ServerScript::Kind::Hold, 3, 0 });
    }
  }

  void ClearScripts()
  {
    for (const auto& server : servers_) {
      server->ClearScripts();
    }
  }
};

// Guards against an item's text that joins events of two software versions.
TEST_CASE_METHOD(ItemVersionsFixture,
                 "ItemVersions_StreamInterrupted_GoesOnAtItsVersion")
{
  HoldAfterThreeEvents();
  CHECK(Submit(*entry_, 1) == 202);
  RunUntil([this] { return RequestCount() == 1; });
  ClearScripts();
  // The endpoint that stopped sending is avoided for a while.
  const std::string version = servers_[0]->Requests().empty() ? "v2" : "v1";
  CHECK(WaitForAll(*entry_, 1)["results"][0]["output"] == WholeOutput(version));
  CHECK(RequestCount() == 2);
}

// Guards against an item whose text can't be completed as no endpoint of its
// software version is left.
TEST_CASE_METHOD(ItemVersionsFixture,
                 "ItemVersions_VersionIsGone_ItemStartsAfreshAtAnother")
{
  HoldAfterThreeEvents();
  CHECK(Submit(*entry_, 1) == 202);
  RunUntil([this] { return RequestCount() == 1; });
  const bool isFirst = servers_[1]->Requests().empty();
  store_.Remove(isFirst ? "servers/i-1" : "servers/i-2");
  servers_[isFirst ? 1 : 0]->ClearScripts();
  const json page = WaitForAll(*entry_, 1);
  CHECK(page["results"][0]["state"] == "completed");
  CHECK(page["results"][0]["output"] == WholeOutput(isFirst ? "v2" : "v1"));
}

// Guards against a worker that takes a job over and goes on with its texts at
// another software version.
TEST_CASE_METHOD(ItemVersionsFixture,
                 "ItemVersions_OwnerFailsAndVersionDrains_ItemStartsAfresh")
{
  store_.Remove("servers/i-2");
  StartWorker("worker-1");
  HoldAfterThreeEvents();
  CHECK(Submit(*entry_, 1) == 202);
  RunUntil([this] {
    return store_.Get("pumiceturn/data/lot1/progress").find("text-3") !=
           std::string::npos;
  });
  ClearScripts();
  store_.Put("servers/i-1", servers_[0]->Registration("service", "draining"));
  store_.Put("servers/i-2", servers_[1]->Registration("service", "ready"));
  hosts_.back()->gateway_.reset();
  store_.Remove("pumiceturn/host/worker-1");
  const json page = WaitForAll(*entry_, 1);
  CHECK(page["results"][0]["state"] == "completed");
  CHECK(page["results"][0]["output"] == WholeOutput("v2"));
}

} // namespace pumiceturn::adapter
