#include "Tests/Platform/BatchJobsFixture.h"

#include "LibBatch/SpoolFiles.h"
#include "Tests/Platform/TestRoute.h"
#include "Tests/TemporaryFolder.h"

#include <sys/stat.h>

#include <fstream>

namespace pumiceturn::adapter {

class BatchJobSpoolFixture : protected BatchJobsFixture
{
protected:
  TestHost& StartWorkerWithDisk(const std::string& aName)
  {
    spoolFolder_ = FolderOf(aName);
    TestHost& worker = StartWorker(aName);
    spoolFolder_.clear();
    return worker;
  }

  /// Starts "worker-1" with a job, "lot1", on a disk whose reading hangs.
  /// @return a pipe; reading goes on once it is opened for writing.
  std::string StartWorkerWithHangingDisk()
  {
    batch::SpooledJob job;
    job.id_ = "lot1";
    job.state_.acceptedAtMs_ = base::ToUnixMs(base::WallNow());
    job.state_.itemCount_ = 1;
    job.state_.hostName_ = "a.example";
    job.state_.path_ = "/lots/1";
    job.content_ = JobBody(1);
    REQUIRE_FALSE(batch::SpoolFiles(FolderOf("worker-1")).Write(job).error_);
    std::string pipe = FolderOf("worker-1") + "/lot-pipe";
    REQUIRE(mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR) == 0);
    StartWorkerWithDisk("worker-1");
    return pipe;
  }

  [[nodiscard]] std::string FolderOf(const std::string& aName) const
  {
    return folder_.Path() + "/" + aName;
  }

  /// Waits until the entry host knows the given number of peers.
  void AwaitPeers(int aCount)
  {
    RunUntil([&] {
      return Metrics(*entry_).find(fmt::format("pumiceturn_peers_heard {}",
                                               aCount)) != std::string::npos;
    });
  }

  /// Sets the route's cap on waiting tokens and waits until all hosts know it.
  void SetCap(int aTokens)
  {
    nlohmann::json route = MakeTestRoute("lots", "batch");
    route["cap"] = aTokens;
    const nlohmann::json configuration = {
      { "version", 7 },
      { "routes", { std::move(route), MakeTestRoute("capped", "safe") } },
      { "services", { { { "name", "service" }, { "maxConns", 100 } } } }
    };
    store_.Put("op/config", configuration.dump());
    for (const auto& host : hosts_) {
      RunUntil(
        [&] { return SendAndWait(*host, "GET", "/capped/1")->status_ != 404; });
    }
  }

  [[nodiscard]] std::size_t FileCount(const std::string& aName) const
  {
    return batch::SpoolFiles(FolderOf(aName)).ReadAll().jobs_.size();
  }

  TemporaryFolder folder_;
};

// Guards against rejecting jobs while the store is unavailable.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_StoreUnavailable_JobIsSpooledAndRunLater")
{
  StartWorkerWithDisk("worker-1");
  StartWorkerWithDisk("worker-2");
  AwaitPeers(2);
  store_.SetBehaviour(StoreBehaviour::Refusing);
  CHECK(Submit(*entry_, 5) == 202);
  CHECK(FileCount("worker-1") + FileCount("worker-2") == 2);
  CHECK(store_.Get("pumiceturn/lot/lot1").empty());
  // Submitting it again is idempotent.
  CHECK(Submit(*entry_, 5) == 202);
  store_.SetBehaviour(StoreBehaviour::Serving);
  WaitForAll(*entry_, 5);
  CHECK(RequestCount() == 5);
  RunUntil(
    [this] { return FileCount("worker-1") + FileCount("worker-2") == 0; });
}

// Guards against acknowledging a job with a copy on only one disk.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_SingleCopy_JobIsNotAccepted")
{
  StartWorkerWithDisk("worker-1");
  StartWorker("worker-2");
  AwaitPeers(2);
  store_.SetBehaviour(StoreBehaviour::Refusing);
  // One worker may have spooled the job and run it later, so the response must
  // not promise that it won't run (503).
  CHECK(Submit(*entry_, 2) == 504);
  store_.SetBehaviour(StoreBehaviour::Serving);
  WaitForAll(*entry_, 2);
}

TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_NoWorkerHasSpool_JobIsRejected")
{
  StartWorker("worker-1");
  StartWorker("worker-2");
  AwaitPeers(2);
  store_.SetBehaviour(StoreBehaviour::Refusing);
  CHECK(Submit(*entry_, 2) == 503);
  store_.SetBehaviour(StoreBehaviour::Serving);
  RunUntil([this] { return Submit(*entry_, 2) == 202; });
  WaitForAll(*entry_, 2);
  CHECK(RequestCount() == 2);
}

// Guards against losing spooled jobs when the host restarts.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_SpoolFileAtStart_JobIsStored")
{
  batch::SpooledJob job;
  job.id_ = "lot1";
  job.state_.owner_ = "worker-1/0";
  job.state_.acceptedAtMs_ = base::ToUnixMs(base::WallNow());
  job.state_.itemCount_ = 3;
  job.state_.hostName_ = "a.example";
  job.state_.path_ = "/lots/1";
  job.content_ = JobBody(3);
  CHECK_FALSE(batch::SpoolFiles(FolderOf("worker-1")).Write(job).error_);
  StartWorkerWithDisk("worker-1");
  WaitForAll(*entry_, 3);
  RunUntil([this] { return FileCount("worker-1") == 0; });
}

// Guards against spooling a job whose ID belongs to another organisation.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_IdOfAnotherOrganisation_IsRejected")
{
  StartWorkerWithDisk("worker-1");
  batch::SpooledJob job;
  job.id_ = "lot1";
  job.state_.owner_ = "worker-1/1";
  job.state_.acceptedAtMs_ = base::ToUnixMs(base::WallNow());
  job.state_.itemCount_ = 3;
  job.state_.organisation_ = "archive";
  store_.Put("pumiceturn/lot/lot1", batch::EncodeState(job.state_));
  const auto sendToWorker = [this, &job] {
    return Send(hosts_.back()->forwardPort_,
                "PUT",
                "/held/lot1",
                {},
                batch::EncodeSpooledJob(job));
  };
  job.content_ = JobBody(3);
  RunUntil([this] {
    return SendAndWait(*entry_, "GET", "/api/lots/lot1")->status_ != 404;
  });
  const auto same = sendToWorker();
  RunUntil([&same] { return same->HasEnded(); });
  job.state_.organisation_ = "portal";
  const auto other = sendToWorker();
  RunUntil([&other] { return other->HasEnded(); });
  CHECK(other->status_ == 503);
  CHECK(same->status_ == 200);
}

// Guards against running a finished job again from the spool of a host that was
// down for a long time.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_OlderThanRetention_IsDropped")
{
  batch::SpooledJob job;
  job.id_ = "lot1";
  job.state_.acceptedAtMs_ =
    base::ToUnixMs(base::WallNow() - std::chrono::hours(1));
  job.state_.itemCount_ = 1;
  job.state_.hostName_ = "a.example";
  job.state_.path_ = "/lots/1";
  job.content_ = JobBody(1);
  CHECK_FALSE(batch::SpoolFiles(FolderOf("worker-1")).Write(job).error_);
  StartWorkerWithDisk("worker-1");
  RunUntil([this] { return FileCount("worker-1") == 0; });
  CHECK(store_.Get("pumiceturn/lot/lot1").empty());
  CHECK(RequestCount() == 0);
}

// Guards against spooled jobs exceeding their route's cap.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_CappedRoute_SpoolIsLimited")
{
  overage_ = 0.1;
  StartWorkerWithDisk("worker-1");
  StartWorkerWithDisk("worker-2");
  AwaitPeers(2);
  SetCap(1000);
  store_.SetBehaviour(StoreBehaviour::Refusing);
  // 11 items of 9 tokens each, spooled by both workers: 99 of the 100 tokens
  // allowed beyond the cap.
  CHECK(Submit(*entry_, 11) == 202);
  CHECK(
    SendAndWait(
      *entry_, "POST", "/lots/1", "Attempt-Id: lot2\r\n", JobBody(1, "second-"))
      ->status_ == 503);
  // Submitting the first job again is still accepted.
  CHECK(Submit(*entry_, 11) == 202);
  store_.SetBehaviour(StoreBehaviour::Serving);
  WaitForAll(*entry_, 11);
}

// Guards against leaving one of two concurrent requests for the same job
// unanswered.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_SentTwiceConcurrently_BothAreAnswered")
{
  TestHost& worker = StartWorkerWithDisk("worker-1");
  store_.SetBehaviour(StoreBehaviour::Refusing);
  batch::SpooledJob job;
  job.id_ = "lot1";
  job.state_.acceptedAtMs_ = base::ToUnixMs(base::WallNow());
  job.content_ = JobBody(1);
  const std::string body = batch::EncodeSpooledJob(job);
  const auto send = [&] {
    return SendTo(Loopback(worker.forwardPort_), "PUT", "/held/lot1", {}, body);
  };
  const auto first = send();
  const auto second = send();
  RunUntil([&] { return first->HasEnded() && second->HasEnded(); });
  CHECK(first->status_ == 200);
  CHECK(second->status_ == 200);
  CHECK(FileCount("worker-1") == 1);
}

// Guards against dropping a job that was never stored, when the store is
// unavailable for longer than finished jobs are kept.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_StoreUnavailableBeyondRetention_JobRuns")
{
  jobRetention_ = std::chrono::milliseconds(1500);
  StartWorkerWithDisk("worker-1");
  StartWorkerWithDisk("worker-2");
  AwaitPeers(2);
  store_.SetBehaviour(StoreBehaviour::Refusing);
  REQUIRE(Submit(*entry_, 3) == 202);
  const auto end = base::MonotonicNow() + 2 * jobRetention_;
  RunUntil([&] { return base::MonotonicNow() > end; });
  CHECK(FileCount("worker-1") == 1);
  CHECK(FileCount("worker-2") == 1);
  store_.SetBehaviour(StoreBehaviour::Serving);
  RunUntil([this] { return RequestCount() == 3; });
}

// Guards against reporting a host as retired, after which its disk is removed,
// while the jobs on the disk haven't been read yet.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_RetiredWhileDiskHangs_WaitsForItsJobs")
{
  const std::string pipe = StartWorkerWithHangingDisk();
  store_.Put("op/retire/worker-1", "{\"durationS\": 10}");
  const std::size_t before = store_.CallCount();
  RunUntil([&] { return store_.CallCount() > before + 12; });
  CHECK(store_.Get("status/retire/worker-1").empty());
  std::ofstream(pipe) << "";
  RunUntil([this] { return !store_.Get("status/retire/worker-1").empty(); });
  CHECK_FALSE(store_.Get("pumiceturn/lot/lot1").empty());
}

// Guards against dropping a job that a restarted host read from its disk,
// before the store had it.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_ReadWhileStoreIsUnavailable_IsKept")
{
  jobRetention_ = std::chrono::milliseconds(3000);
  const std::string pipe = StartWorkerWithHangingDisk();
  store_.SetBehaviour(StoreBehaviour::Refusing);
  std::ofstream(pipe) << "";
  const auto end = base::MonotonicNow() + 2 * jobRetention_;
  RunUntil([&] { return base::MonotonicNow() > end; });
  CHECK(FileCount("worker-1") == 1);
  store_.SetBehaviour(StoreBehaviour::Serving);
  RunUntil([this] { return RequestCount() == 1; });
}

// Guards against rejecting a job that is spooled and will run, when it is sent
// again to a full spool.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_SentAgainToAFullSpool_IsAccepted")
{
  TestHost& worker = StartWorkerWithDisk("worker-1");
  store_.SetBehaviour(StoreBehaviour::Refusing);
  const auto send = [&](const std::string& aJob, std::size_t aBytes) {
    batch::SpooledJob job;
    job.id_ = aJob;
    job.state_.acceptedAtMs_ = base::ToUnixMs(base::WallNow());
    job.content_.assign(aBytes, 'x');
    return SendToAndWait(Loopback(worker.forwardPort_),
                         "PUT",
                         "/held/" + aJob,
                         {},
                         batch::EncodeSpooledJob(job))
      ->status_;
  };
  constexpr std::size_t kBytes = 10000000;
  REQUIRE(send("first", kBytes) == 200);
  REQUIRE(send("second", kBytes) == 200);
  REQUIRE(send("third", kBytes) == 200);
  CHECK(send("fourth", kBytes) == 503);
  CHECK(send("first", kBytes) == 200);
}

// Guards against acknowledging a job with a copy on only one disk, whose host
// is registered under a former name too.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_HostRegisteredTwice_CountsOnce")
{
  StartWorkerWithDisk("worker-1");
  AwaitPeers(1);
  std::string record = store_.Get("pumiceturn/host/worker-1");
  record.replace(record.find("worker-1/"), 8, "worker-0");
  store_.Put("pumiceturn/host/worker-0", record);
  const std::size_t before = store_.CallCount();
  RunUntil([&] { return store_.CallCount() > before + 12; });
  store_.SetBehaviour(StoreBehaviour::Refusing);
  CHECK(Submit(*entry_, 2) != 202);
}

// Guards against rejecting an accepted job as beyond the cap when it is sent
// again after the store's return, before a worker has stored it.
TEST_CASE_METHOD(BatchJobSpoolFixture,
                 "BatchJobSpool_SentAgainBeforeItIsStored_IsNotRejected")
{
  overage_ = 0.1;
  StartWorkerWithDisk("worker-1");
  StartWorkerWithDisk("worker-2");
  AwaitPeers(2);
  SetCap(1000);
  for (const auto& server : servers_) {
    for (int item = 0; item < 111; ++item) {
      server->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
    }
  }
  // 111 items of 9 tokens fill the cap.
  REQUIRE(SendAndWait(*entry_,
                      "POST",
                      "/lots/1",
                      "Attempt-Id: lot2\r\n",
                      JobBody(111, "second-"))
            ->status_ == 202);
  store_.SetBehaviour(StoreBehaviour::Refusing);
  REQUIRE(Submit(*entry_, 11) == 202);
  store_.SetBehaviour(StoreBehaviour::Serving);
  const unsigned status = Submit(*entry_, 11);
  CHECK(status != 429);
  CHECK(status != 503);
}

} // namespace pumiceturn::adapter
