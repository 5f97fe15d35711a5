#include "Tests/Platform/GatewayFixture.h"
#include "Tests/PlatformPowerLoss/DurableFiles.h"
#include "Tests/TemporaryFolder.h"

#include <nlohmann/json.hpp>

#include <fmt/format.h>

#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

// After each acknowledgement, one worker's disk is lost and all hosts lose
// their power at the same moment. The store stays and keeps what it
// acknowledged.

namespace pumiceturn::adapter {

using nlohmann::json;

namespace {

/// As many workers as spool a job, so that each copy counts.
const std::vector<std::string> kWorkers = { "worker-1", "worker-2" };

/// Latest moment after an acknowledgement at which the power is lost.
constexpr int kMaxDelayMs = 400;

/// Losses of power for each acknowledgement, at moments of their own.
constexpr unsigned kMoments = 3;

/// What is left after a loss of power.
struct Remains
{
  std::map<std::string, std::string> store_;          ///< Values by key.
  std::map<std::string, std::string> spoolFolders_{}; ///< By worker.
};

/// All hosts from their start to their loss of power.
class HostLives : private GatewayFixture
{
public:
  /// @param aFolder New folder for the hosts' disks.
  /// @param aNumber Number of this life, from 1.
  HostLives(const std::string& aFolder, int aNumber, const Remains& aRemains)
    : folder_(fmt::format("{}/{}", aFolder, aNumber))
  {
    incarnation_ = std::to_string(aNumber);
    if (aRemains.store_.empty()) {
      WriteConfiguration(1);
    }
    for (const auto& [key, value] : aRemains.store_) {
      store_.Put(key, value);
    }
    for (const char* name : { "i-1", "i-2" }) {
      AddServer(fmt::format("{}-{}", name, aNumber));
    }
    entry_ = &StartHost("entry", batch::BatchPreference::Fallback);
  }

  /// Starts a worker with the content of its former disk.
  void StartWorker(DurableFiles& aFiles,
                   const Remains& aRemains,
                   const std::string& aName)
  {
    spoolFolder_ = folder_ + "/" + aName;
    if (const auto former = aRemains.spoolFolders_.find(aName);
        former != aRemains.spoolFolders_.end()) {
      aFiles.Restore(former->second, spoolFolder_);
    }
    StartHost(aName, batch::BatchPreference::Worker);
    spoolFolders_[aName] = spoolFolder_;
    spoolFolder_.clear();
  }

  void AwaitWorkers(std::size_t aCount)
  {
    RunUntil([&] {
      return Metrics(*entry_).find(fmt::format("pumiceturn_peers_heard {}",
                                               aCount)) != std::string::npos;
    });
  }

  void RunFor(std::chrono::milliseconds aDuration)
  {
    const auto end = std::chrono::steady_clock::now() + aDuration;
    while (std::chrono::steady_clock::now() < end) {
      context_.run_one_until(end);
      context_.restart();
    }
  }

  /// @return what is left if the power is lost now.
  [[nodiscard]] Remains LosePower(const std::string& aLostDisk) const
  {
    Remains remains;
    for (const std::string& key : store_.Keys({})) {
      // Leases of hosts and servers end meanwhile.
      const bool isLeased =
        key.starts_with("pumiceturn/host/") || key.starts_with("servers/");
      if (!isLeased) {
        remains.store_[key] = store_.Get(key);
      }
    }
    remains.spoolFolders_ = spoolFolders_;
    remains.spoolFolders_.erase(aLostDisk);
    return remains;
  }

  unsigned Submit(const std::string& aJob, int aItems)
  {
    return SendAndWait(*entry_,
                       "POST",
                       "/lots/1",
                       fmt::format("Attempt-Id: {}\r\n", aJob),
                       JobBody(aItems, aJob + "-"))
      ->status_;
  }

  unsigned End(const std::string& aJob)
  {
    return SendAndWait(*entry_, "DELETE", "/api/lots/" + aJob)->status_;
  }

  /// @return the job's results; null while the host can't tell.
  json Results(const std::string& aJob)
  {
    const auto call =
      SendAndWait(*entry_, "GET", "/api/lots/" + aJob + "?after=0");
    // Guards against reporting an accepted job as unknown.
    REQUIRE(call->status_ != 404);
    return call->status_ == 200 ? json::parse(call->body_)["results"] : json();
  }

  json WaitForResults(const std::string& aJob, std::size_t aAtLeast)
  {
    json results;
    RunUntil([&] {
      results = Results(aJob);
      return results.is_array() && results.size() >= aAtLeast;
    });
    return results;
  }

  /// Checks that a job completes with one result for each item, and that its
  /// items can be read.
  json CheckCompletes(const std::string& aJob, std::size_t aItems)
  {
    json results = WaitForResults(aJob, aItems);
    std::set<std::string> items;
    for (const json& result : results) {
      CHECK(result["state"] == "completed");
      CHECK(result["output"] == WholeOutput());
      items.insert(result["id"].get<std::string>());
    }
    CHECK(items.size() == aItems);
    CHECK(results.size() == aItems);
    const auto body = SendAndWait(
      *entry_, "GET", fmt::format("/api/items/{}?id={}-item-0", aJob, aJob));
    CHECK(body->status_ == 200);
    CHECK(body->body_ == "prompt");
    return results;
  }

  /// @return the items of a job that were sent to servers in this life.
  [[nodiscard]] std::size_t SentItems(const std::string& aJob) const
  {
    std::size_t count = 0;
    for (const auto& server : servers_) {
      for (const httpstream::Request& request : server->Requests()) {
        const std::string_view id = httpstream::ValueOf(request, "Attempt-Id");
        count += id.starts_with(aJob + "-") ? 1 : 0;
      }
    }
    return count;
  }

  void HoldItems(int aCount)
  {
    for (const auto& server : servers_) {
      for (int item = 0; item < aCount; ++item) {
        server->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
      }
    }
  }

  void SetStoreBehaviour(StoreBehaviour aBehaviour)
  {
    store_.SetBehaviour(aBehaviour);
  }

  void PutInStore(const std::string& aKey, const std::string& aValue)
  {
    store_.Put(aKey, aValue);
  }

  void AwaitKey(const std::string& aKey, const std::string& aText)
  {
    RunUntil([&] { return store_.Get(aKey).find(aText) != std::string::npos; });
  }

  [[nodiscard]] bool HasKey(const std::string& aKey) const
  {
    return !store_.Get(aKey).empty();
  }

  void Configure(std::uint64_t aVersion) { WriteConfiguration(aVersion); }

  unsigned Call(const std::string& aTarget)
  {
    return SendAndWait(*entry_, "GET", aTarget)->status_;
  }

  template<typename Predicate>
  void Await(Predicate&& aPredicate)
  {
    RunUntil(std::forward<Predicate>(aPredicate));
  }

private:
  std::string folder_;
  TestHost* entry_ = nullptr;
  std::map<std::string, std::string> spoolFolders_; ///< By worker.
};

} // namespace

class PowerLossFixture
{
protected:
  PowerLossFixture()
    : random_(seed_)
  {
    UNSCOPED_INFO(fmt::format("seed {}", seed_));
    StartHosts();
  }

  HostLives& Hosts() { return *lives_.back(); }

  /// Starts all hosts with what is left of their former lives.
  void StartHosts()
  {
    const int number = static_cast<int>(lives_.size()) + 1;
    lives_.push_back(
      std::make_unique<HostLives>(folder_.Path(), number, remains_));
    for (const std::string& worker : kWorkers) {
      Hosts().StartWorker(files_, remains_, worker);
    }
    Hosts().AwaitWorkers(kWorkers.size());
  }

  /// Lets all hosts lose power and one of them its disk, after up to
  /// kMaxDelayMs.
  /// @param aLostDisk Empty: one that the seed chooses.
  void LosePower(std::string aLostDisk = {})
  {
    const std::chrono::milliseconds delay{ std::uniform_int_distribution<int>(
      0, kMaxDelayMs)(random_) };
    if (aLostDisk.empty()) {
      aLostDisk = kWorkers[random_() % kWorkers.size()];
    }
    UNSCOPED_INFO(
      fmt::format("delay {} ms, disk of {}", delay.count(), aLostDisk));
    Hosts().RunFor(delay);
    remains_ = Hosts().LosePower(aLostDisk);
  }

  /// Lets all hosts lose power, then starts them again.
  void LosePowerAndStart()
  {
    LosePower();
    StartHosts();
  }

  /// Submits a job and waits until it is complete.
  void RunAnotherJob()
  {
    Hosts().Await([this] { return Hosts().Submit("b", 4) == 202; });
    Hosts().CheckCompletes("b", 4);
  }

  unsigned seed_ = GENERATE(range(0U, kMoments));
  std::mt19937 random_;
  TemporaryFolder folder_;
  DurableFiles files_{ folder_.Path() };
  Remains remains_;
  /// Former lives are kept but don't run any more.
  std::vector<std::unique_ptr<HostLives>> lives_;
};

// Guards against losing a job that was acknowledged by the store.
TEST_CASE_METHOD(PowerLossFixture, "PowerLoss_JobStored_Completes")
{
  REQUIRE(Hosts().Submit("a", 4) == 202);
  LosePowerAndStart();
  Hosts().CheckCompletes("a", 4);
}

// Guards against losing a job that was stored although the response was lost.
TEST_CASE_METHOD(PowerLossFixture, "PowerLoss_StoreResponseLate_JobCompletes")
{
  Hosts().SetStoreBehaviour(StoreBehaviour::DelayingWriteResponses);
  REQUIRE(Hosts().Submit("a", 4) == 202);
  LosePowerAndStart();
  Hosts().CheckCompletes("a", 4);
}

// Guards against acknowledging a job before as many copies are durable as
// outlive the loss of a disk.
TEST_CASE_METHOD(PowerLossFixture, "PowerLoss_JobSpooled_Completes")
{
  Hosts().SetStoreBehaviour(StoreBehaviour::Refusing);
  REQUIRE(Hosts().Submit("a", 4) == 202);
  LosePowerAndStart();
  Hosts().CheckCompletes("a", 4);
}

// Guards against dropping the copies of a spooled job before it is stored.
TEST_CASE_METHOD(PowerLossFixture,
                 "PowerLoss_StoreReturnsAfterSpooling_JobCompletes")
{
  Hosts().SetStoreBehaviour(StoreBehaviour::Refusing);
  REQUIRE(Hosts().Submit("a", 4) == 202);
  Hosts().SetStoreBehaviour(StoreBehaviour::Serving);
  LosePowerAndStart();
  Hosts().CheckCompletes("a", 4);
}

// Guards against losing the remaining copy of a spooled job at a second loss of
// power, while the store is still unavailable.
TEST_CASE_METHOD(PowerLossFixture,
                 "PowerLoss_TwiceWhileStoreIsUnavailable_JobCompletes")
{
  Hosts().SetStoreBehaviour(StoreBehaviour::Refusing);
  REQUIRE(Hosts().Submit("a", 4) == 202);
  LosePower();
  const std::string remaining = remains_.spoolFolders_.begin()->first;
  const std::string lost = remaining == kWorkers[0] ? kWorkers[1] : kWorkers[0];
  StartHosts();
  Hosts().SetStoreBehaviour(StoreBehaviour::Refusing);
  LosePower(lost);
  StartHosts();
  Hosts().CheckCompletes("a", 4);
}

// Guards against showing a result before it is stored.
TEST_CASE_METHOD(PowerLossFixture, "PowerLoss_ResultRead_ComesAgain")
{
  Hosts().HoldItems(1);
  REQUIRE(Hosts().Submit("a", 6) == 202);
  const json before = Hosts().WaitForResults("a", 1);
  LosePowerAndStart();
  const json after = Hosts().CheckCompletes("a", 6);
  for (std::size_t position = 0; position < before.size(); ++position) {
    CHECK(after[position] == before[position]);
  }
}

// Guards against running the items of a job whose cancellation was
// acknowledged.
TEST_CASE_METHOD(PowerLossFixture, "PowerLoss_JobCancelled_StaysCancelled")
{
  Hosts().HoldItems(4);
  REQUIRE(Hosts().Submit("a", 4) == 202);
  Hosts().Await([this] { return Hosts().SentItems("a") > 0; });
  REQUIRE(Hosts().End("a") == 200);
  LosePowerAndStart();
  // Later jobs complete, so items do run.
  RunAnotherJob();
  CHECK(Hosts().SentItems("a") == 0);
  CHECK(Hosts().End("a") == 200);
  CHECK(Hosts().Results("a").is_array());
}

// Guards against running the items of a cancelled job from a copy on a disk:
// the removal of the copy's file isn't durable.
TEST_CASE_METHOD(PowerLossFixture,
                 "PowerLoss_SpooledJobCancelled_StaysCancelled")
{
  Hosts().HoldItems(4);
  Hosts().SetStoreBehaviour(StoreBehaviour::Refusing);
  REQUIRE(Hosts().Submit("a", 4) == 202);
  // The end of a job that only disks hold isn't acknowledged.
  CHECK(Hosts().End("a") == 503);
  Hosts().SetStoreBehaviour(StoreBehaviour::Serving);
  Hosts().Await([this] { return Hosts().End("a") == 200; });
  LosePowerAndStart();
  RunAnotherJob();
  CHECK(Hosts().SentItems("a") == 0);
  CHECK(Hosts().Results("a").is_array());
}

// Guards against serving by an older configuration after a restart.
TEST_CASE_METHOD(PowerLossFixture, "PowerLoss_ConfigurationWritten_IsInForce")
{
  Hosts().Configure(2);
  LosePowerAndStart();
  Hosts().Await([this] { return Hosts().Call("/v2/1") == 200; });
  CHECK(Hosts().Call("/v1/1") == 404);
}

// Guards against reporting a worker as retired whose disk still holds jobs: its
// disk is removed, and the other one may be lost at the same moment.
TEST_CASE_METHOD(PowerLossFixture, "PowerLoss_WorkerRetired_JobCompletes")
{
  Hosts().SetStoreBehaviour(StoreBehaviour::Refusing);
  REQUIRE(Hosts().Submit("a", 4) == 202);
  Hosts().SetStoreBehaviour(StoreBehaviour::Serving);
  Hosts().PutInStore("op/retire/worker-1", "{\"durationS\": 10}");
  Hosts().AwaitKey("status/retire/worker-1", "completed");
  LosePower("worker-2");
  remains_.spoolFolders_.clear();
  remains_.store_.erase("op/retire/worker-1");
  StartHosts();
  Hosts().CheckCompletes("a", 4);
}

} // namespace pumiceturn::adapter
