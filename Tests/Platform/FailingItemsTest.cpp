#include "Tests/Platform/BatchJobsFixture.h"
#include "Tests/Platform/RawServerFixture.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace pumiceturn::adapter {

namespace {

/// Attempts that the tests' route allows an item.
constexpr std::size_t kMaxAttempts = 2;

constexpr std::string_view kFailuresKey = "pumiceturn/data/lot1/failures";

} // namespace

/// Items that fail at each attempt while their job changes its owner.
class FailingItemsFixture : protected BatchJobsFixture
{
protected:
  FailingItemsFixture()
  {
    StartWorker("worker");
    // The entry host then leaves jobs to the worker.
    RunUntil([this] {
      return Metrics(*entry_).find("pumiceturn_peers_heard 1") !=
             std::string::npos;
    });
  }

  /// Makes the next requests at each server fail.
  void FailNext(std::size_t aCount, unsigned aStatus)
  {
    for (const auto& server : servers_) {
      for (std::size_t request = 0; request < aCount; ++request) {
        server->Enqueue({ ServerScript::Kind::Status, 0, aStatus });
      }
    }
  }

  void SubmitToWorker()
  {
    CHECK(Submit(*entry_, 1) == 202);
    CHECK(json::parse(store_.Get("pumiceturn/lot/lot1"))["owner"] ==
          "worker/1");
  }

  /// Waits until the owner has stored a failure, which it does before it runs
  /// the item again.
  void WaitForStoredFailure()
  {
    RunUntil([this] {
      return !store_.Get(std::string(kFailuresKey)).empty() ||
             RequestCount() >= kMaxAttempts;
    });
    REQUIRE_FALSE(store_.Get(std::string(kFailuresKey)).empty());
  }

  /// Waits until the owner has stored a failure, but not for long.
  void WaitForRecord(std::chrono::milliseconds aTime)
  {
    const auto end = std::chrono::steady_clock::now() + aTime;
    RunUntil([this, end] {
      return !store_.Get(std::string(kFailuresKey)).empty() ||
             std::chrono::steady_clock::now() >= end;
    });
  }

  void KillWorker()
  {
    hosts_.back()->gateway_.reset();
    store_.Remove("pumiceturn/host/worker");
  }

  void CheckErroredAfter(std::size_t aRequests)
  {
    const json page = WaitForAll(*entry_, 1);
    CHECK(page["results"][0]["state"] == "errored");
    CHECK(RequestCount() == aRequests);
  }
};

// Guards against an item that runs again after enough failures, as the next
// owner counts them from zero.
TEST_CASE_METHOD(FailingItemsFixture,
                 "FailingItems_OwnerFails_FailuresAreCountedOn")
{
  FailNext(2 * kMaxAttempts, 500);
  SubmitToWorker();
  WaitForStoredFailure();
  KillWorker();
  CheckErroredAfter(kMaxAttempts);
}

// Guards against the same when the owner shuts down.
TEST_CASE_METHOD(FailingItemsFixture,
                 "FailingItems_OwnerShutsDown_FailuresAreCountedOn")
{
  FailNext(2 * kMaxAttempts, 500);
  SubmitToWorker();
  RunUntil([this] { return RequestCount() == 1; });
  // The item isn't retried before.
  WaitForRecord(std::chrono::milliseconds(150));
  bool isStopped = false;
  hosts_.back()->gateway_->Stop([&isStopped] { isStopped = true; });
  CheckErroredAfter(kMaxAttempts);
  RunUntil([&isStopped] { return isStopped; });
}

// Guards against a rejected item that runs again, as its owner failed before
// the result was stored.
TEST_CASE_METHOD(FailingItemsFixture,
                 "FailingItems_OwnerFailsBeforeResultIsStored_IsNotRunAgain")
{
  FailNext(2, 422);
  SubmitToWorker();
  RunUntil([this] { return RequestCount() == 1; });
  // Results are collected for longer than that.
  WaitForRecord(std::chrono::milliseconds(450));
  KillWorker();
  CheckErroredAfter(1);
}

// Guards against a job that isn't run on, or an item that fails for good, after
// a record of failures that can't be read.
TEST_CASE_METHOD(FailingItemsFixture,
                 "FailingItems_RecordIsUnreadable_ItemsComplete")
{
  FailNext(1, 500);
  SubmitToWorker();
  WaitForStoredFailure();
  store_.Put(std::string(kFailuresKey), "no record");
  KillWorker();
  CHECK(WaitForAll(*entry_, 1)["results"][0]["state"] == "completed");
}

/// Servers whose answers say that an item failed, and don't end well.
class CutFailureFixture : protected RawServerFixture
{
protected:
  /// Runs one item at servers that answer it in the same way.
  /// @return how often it ran until it was listed; more than enough if it
  ///         wasn't.
  std::size_t RunItem(std::string_view aStatus, RawServer::End aEnd)
  {
    const std::string answer =
      fmt::format("HTTP/1.1 {}\r\nServer-Seal: seal\r\nAttempt-Id: item-0\r\n"
                  "Content-Length: 100\r\n\r\nshort",
                  aStatus);
    for (const char* name : { "i-1", "i-2" }) {
      AddRawServer(name, answer, aEnd);
    }
    Start();
    Submit();
    return CountRuns();
  }

  /// @return how often the item ran until it was listed; more than enough if it
  ///         wasn't.
  std::size_t CountRuns()
  {
    RunUntil([this] { return IsErrored() || RunCount() > 2 * kMaxAttempts; });
    return RunCount();
  }

  [[nodiscard]] std::size_t RunCount() const
  {
    return rawServers_[0]->Requests().size() +
           rawServers_[1]->Requests().size();
  }

  bool IsErrored()
  {
    const auto call = SendAndWait(*host_, "GET", "/api/lots/job?after=0");
    return call->body_.find("errored") != std::string::npos;
  }
};

// Guards against items that fail again and again, as a failure whose answer is
// reset after its head isn't counted.
TEST_CASE_METHOD(CutFailureFixture, "CutFailure_AnswerIsReset_IsCounted")
{
  CHECK(RunItem("500 Failed", RawServer::End::Reset) == kMaxAttempts);
}

// Guards against the same if the answer is shorter than its length.
TEST_CASE_METHOD(CutFailureFixture, "CutFailure_AnswerIsShort_IsCounted")
{
  CHECK(RunItem("500 Failed", RawServer::End::Orderly) == kMaxAttempts);
}

// Guards against an item that was rejected and runs again, as the answer is
// reset after its head.
TEST_CASE_METHOD(CutFailureFixture, "CutFailure_RejectionIsReset_IsNotRunAgain")
{
  CHECK(RunItem("422 Impossible", RawServer::End::Reset) == 1);
}

// Guards against the same if the answer is shorter than its length.
TEST_CASE_METHOD(CutFailureFixture, "CutFailure_RejectionIsShort_IsNotRunAgain")
{
  CHECK(RunItem("422 Impossible", RawServer::End::Orderly) == 1);
}

// Guards against the same if the job is handed over while the answer's body is
// awaited.
TEST_CASE_METHOD(CutFailureFixture, "CutFailure_OwnerShutsDown_IsCounted")
{
  constexpr std::chrono::milliseconds kTimeToReadHead{ 300 };
  const std::string answer =
    "HTTP/1.1 500 Failed\r\nServer-Seal: seal\r\nAttempt-Id: item-0\r\n"
    "Content-Length: 100\r\n\r\nshort";
  AddRawServer("i-1", answer, RawServer::End::Late);
  AddRawServer("i-2", answer, RawServer::End::Late);
  Start();
  TestHost& worker = StartHost("worker", batch::BatchPreference::Worker);
  RunUntil([this] {
    return Metrics(*host_).find("pumiceturn_peers_heard 1") !=
           std::string::npos;
  });
  Submit();
  RunUntil([this] { return RunCount() == 1; });
  const auto end = std::chrono::steady_clock::now() + kTimeToReadHead;
  RunUntil([end] { return std::chrono::steady_clock::now() >= end; });
  bool isStopped = false;
  worker.gateway_->Stop([&isStopped] { isStopped = true; });
  CHECK(CountRuns() == kMaxAttempts);
  RunUntil([&isStopped] { return isStopped; });
}

} // namespace pumiceturn::adapter
