#include "Tests/Platform/BatchJobsFixture.h"

#include "LibBase/Base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pumiceturn::adapter {

/// Batch items whose attempts are interrupted, though nothing is wrong with
/// them.
class OwedItemsFixture : protected BatchJobsFixture
{
protected:
  /// As long as the users' batch jobs have until they are due.
  static constexpr std::chrono::seconds kTimeToServe{ 18 };

  /// Makes the next requests at each server end in a reset.
  void ResetNext(int aCount)
  {
    for (const auto& server : servers_) {
      for (int reset = 0; reset < aCount; ++reset) {
        server->Enqueue({ ServerScript::Kind::Reset, 0, 0 });
      }
    }
  }

  /// Gives a server another process under its id, as after a crash.
  void Restart(std::size_t aServer)
  {
    servers_[aServer]->SimulateRestart();
    store_.Put(fmt::format("servers/i-{}", aServer + 1),
               servers_[aServer]->Registration("service", "ready"));
  }

  /// Submits a job whose items share a part of their prompts.
  void SubmitSharing(int aItems)
  {
    json job = json::parse(JobBody(aItems));
    int item = 0;
    for (json& entry : job["items"]) {
      entry["headers"]["Prompt-Prefix"] =
        fmt::format("shared:9,own-{}:9", ++item);
      entry["body"] = base::EncodeBase64(fmt::format("prompt {}", item));
    }
    CHECK(SendAndWait(
            *entry_, "POST", "/lots/1", "Attempt-Id: lot1\r\n", job.dump())
            ->status_ == 202);
  }

  void CheckAllCompleteInTime(std::size_t aItems)
  {
    const auto start = std::chrono::steady_clock::now();
    const json page = WaitForAll(*entry_, aItems);
    CHECK(std::chrono::steady_clock::now() - start < kTimeToServe);
    for (const json& result : page["results"]) {
      CHECK(result["state"] == "completed");
      CHECK(result["output"] == WholeOutput());
    }
  }
};

// Guards against an item that is never placed again after servers crashed under
// it three times.
TEST_CASE_METHOD(OwedItemsFixture,
                 "OwedItems_ServersCrashUnderOneItem_ItIsCompleted")
{
  constexpr std::size_t kCrashes = 3;
  ResetNext(kCrashes);
  CHECK(Submit(*entry_, 1) == 202);
  std::size_t crashes = 0;
  RunUntil([&] {
    if (RequestCount() > crashes) {
      crashes = RequestCount();
      Restart(0);
      Restart(1);
    }
    return crashes >= kCrashes;
  });
  for (const auto& server : servers_) {
    server->ClearScripts();
  }
  CheckAllCompleteInTime(1);
  CHECK(RequestCount() > kCrashes);
}

// Guards against items that wait for good, as the part that they share was
// taken for one that crashes servers, though these lived on.
TEST_CASE_METHOD(OwedItemsFixture,
                 "OwedItems_SoundServersResetItems_AllAreCompleted")
{
  constexpr int kItems = 12;
  ResetNext(6);
  SubmitSharing(kItems);
  CheckAllCompleteInTime(kItems);
}

} // namespace pumiceturn::adapter
