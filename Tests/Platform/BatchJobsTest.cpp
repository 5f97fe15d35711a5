#include "LibBatch/SpooledJob.h"
#include "Tests/Platform/BatchJobsFixture.h"
#include "Tests/Platform/RawServer.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::adapter {

using nlohmann::json;

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_NoFailures_EveryHostReturnsAllResults")
{
  StartWorker("worker");
  TestHost& other = StartHost("other", batch::BatchPreference::Fallback);
  CHECK(Submit(*entry_, 5) == 202);
  const json page = WaitForAll(*entry_, 5);
  CHECK(page["total"] == 5);
  CHECK(page["next"] == 5);
  for (const json& result : page["results"]) {
    CHECK(result["state"] == "completed");
    CHECK(result["output"] == WholeOutput());
  }
  CHECK(RequestCount() == 5);
  CHECK(WaitForAll(other, 5) == page);
  CHECK(Results(other, 3)["results"].size() == 2);
}

// Guards against items that are given up without a run, as the route of their
// job is looked for with the port.
TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_HostHasPort_ItemsComplete")
{
  hostField_ = "a.example:8161";
  CHECK(Submit(*entry_, 2) == 202);
  for (const json& result : WaitForAll(*entry_, 2)["results"]) {
    CHECK(result["state"] == "completed");
  }
}

// Guards against a process that ends each time it runs an item whose field is
// larger than a message of its HTTP library takes.
TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_ItemHasLargeField_IsSent")
{
  constexpr std::size_t kLarge = 72'000;
  RawServer server(context_,
                   "i-3",
                   "HTTP/1.1 422 Impossible\r\nServer-Seal: seal\r\n"
                   "Attempt-Id: item-0\r\nContent-Length: 0\r\n\r\n",
                   RawServer::End::Orderly);
  for (const char* name : { "i-1", "i-2" }) {
    store_.Remove(std::string("servers/") + name);
  }
  json entry = json::parse(servers_.front()->Registration("service", "ready"));
  entry["address"] = server.Address();
  store_.Put("servers/i-3", entry.dump());
  json job = json::parse(JobBody(1));
  job["items"][0]["headers"]["Prompt-Prefix"] = std::string(kLarge, 'a');
  job["items"][0]["headers"]["Attempt-Id"] = std::string(kLarge, 'b');
  CHECK(
    SendAndWait(*entry_, "POST", "/lots/1", "Attempt-Id: lot1\r\n", job.dump())
      ->status_ == 202);
  CHECK(WaitForAll(*entry_, 1)["results"][0]["state"] == "errored");
  REQUIRE(server.Requests().size() == 1);
  const std::string& request = server.Requests().front();
  CHECK(request.find("\r\nPrompt-Prefix: " + std::string(kLarge, 'a') +
                     "\r\n") != std::string::npos);
  CHECK(request.find("\r\nAttempt-Id: item-0\r\n") != std::string::npos);
  CHECK(request.find(std::string(kLarge, 'b')) == std::string::npos);
}

TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_SubmittedAgain_RunsOnce")
{
  TestHost& other = StartHost("other", batch::BatchPreference::Fallback);
  CHECK(Submit(*entry_, 3) == 202);
  CHECK(Submit(other, 3) == 202);
  CHECK(Submit(*entry_, 3) == 202);
  WaitForAll(*entry_, 3);
  CHECK(RequestCount() == 3);
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_ItemStreamInterrupted_ResumesWithoutGapOrDuplicate")
{
  servers_[0]->Enqueue({ ServerScript::Kind::Break, 2, 0 });
  servers_[1]->Enqueue({ ServerScript::Kind::Break, 4, 0 });
  CHECK(Submit(*entry_, 2) == 202);
  const json page = WaitForAll(*entry_, 2);
  CHECK(page["results"][0]["output"] == WholeOutput());
  CHECK(page["results"][1]["output"] == WholeOutput());
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_ItemRejected_IsErroredAndOthersComplete")
{
  servers_[0]->Enqueue({ ServerScript::Kind::Status, 0, 422 });
  servers_[1]->Enqueue({ ServerScript::Kind::Status, 0, 422 });
  CHECK(Submit(*entry_, 4) == 202);
  const json page = WaitForAll(*entry_, 4);
  int errored = 0;
  for (const json& result : page["results"]) {
    errored += result["state"] == "errored" ? 1 : 0;
  }
  CHECK(errored == 2);
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_EveryAttemptFails_ItemIsErroredAfterTheLimit")
{
  for (int attempt = 0; attempt < 2; ++attempt) {
    servers_[0]->Enqueue({ ServerScript::Kind::Status, 0, 500 });
    servers_[1]->Enqueue({ ServerScript::Kind::Status, 0, 500 });
  }
  CHECK(Submit(*entry_, 1) == 202);
  const json page = WaitForAll(*entry_, 1);
  CHECK(page["results"][0]["state"] == "errored");
  CHECK(RequestCount() == 2);
}

// Guards against running a job twice when the response to its creation is lost.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_StoreResponseLost_JobIsStoredOnce")
{
  store_.SetBehaviour(StoreBehaviour::DroppingWriteResponses);
  const auto call = Send(
    entry_->callerPort_, "POST", "/lots/1", "Attempt-Id: lot1\r\n", JobBody(2));
  RunUntil([this] { return !store_.Get("pumiceturn/lot/lot1").empty(); });
  store_.SetBehaviour(StoreBehaviour::Serving);
  RunUntil([&call] { return call->HasEnded(); });
  CHECK(call->status_ == 202);
  WaitForAll(*entry_, 2);
  CHECK(RequestCount() == 2);
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_StoreRefuses_JobIsRefusedAndNothingRuns")
{
  store_.SetBehaviour(StoreBehaviour::Refusing);
  const auto call =
    SendAndWait(*entry_, "POST", "/lots/1", "Attempt-Id: lot1\r\n", JobBody(2));
  CHECK(call->status_ == 503);
  CHECK_FALSE(call->retryAfter_.empty());
  CHECK(SendAndWait(*entry_, "GET", "/api/lots/lot1?after=0")->status_ == 503);
  store_.SetBehaviour(StoreBehaviour::Serving);
  RunUntil([this] {
    return SendAndWait(*entry_, "GET", "/api/lots/lot1?after=0")->status_ ==
           404;
  });
  CHECK(RequestCount() == 0);
}

TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_ReadAtHostWithoutState_IsFound")
{
  TestHost& other = StartHost("other", batch::BatchPreference::Fallback);
  CHECK(Submit(*entry_, 1) == 202);
  CHECK(SendAndWait(other, "GET", "/api/lots/lot1?after=0")->status_ == 200);
  const auto body = SendAndWait(other, "GET", "/api/items/lot1?id=item-0");
  CHECK(body->status_ == 200);
  CHECK(body->body_ == "prompt");
  CHECK(SendAndWait(other, "GET", "/api/items/lot1?id=none")->status_ == 404);
  CHECK(SendAndWait(other, "GET", "/api/lots/none?after=0")->status_ == 404);
}

// Guards against abandoning items early when the wall clocks of hosts differ.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_WallClocksDiffer_NoItemIsAbandonedEarly")
{
  constexpr std::chrono::seconds kGiveUpAfter{ 120 };
  constexpr std::chrono::seconds kClockDifference{ 5 };
  batch::SpooledJob job;
  job.id_ = "lot1";
  job.state_.owner_ = "nobody/0";
  job.state_.acceptedAtMs_ =
    base::ToUnixMs(base::WallNow() - kGiveUpAfter - kClockDifference);
  job.state_.itemCount_ = 2;
  job.state_.partCount_ = 1;
  job.state_.hostName_ = "a.example";
  job.state_.path_ = "/lots/1";
  store_.Put("pumiceturn/data/lot1/content/000000", JobBody(2));
  store_.Put("pumiceturn/lot/lot1", batch::EncodeState(job.state_));
  StartWorker("worker");
  for (const json& result : WaitForAll(*entry_, 2)["results"]) {
    CHECK(result["state"] == "completed");
  }
}

// Guards against a host returning fewer results than another has already
// returned.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_ReadAtAnotherHost_ReturnsSameResults")
{
  StartWorker("worker");
  TestHost& other = StartHost("other", batch::BatchPreference::Fallback);
  CHECK(Submit(*entry_, 4) == 202);
  const json page = WaitForAll(*entry_, 4);
  CHECK(Results(other) == page);
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_OwnerDoesNotAnswer_ResultsComeFromTheStore")
{
  StartWorker("worker");
  CHECK(Submit(*entry_, 2) == 202);
  const json page = WaitForAll(*entry_, 2);
  // The host is down, but its registration has not expired yet.
  hosts_.back()->gateway_.reset();
  CHECK(Results(*entry_) == page);
  CHECK(SendAndWait(*entry_, "GET", "/api/items/lot1?id=item-1")->body_ ==
        "prompt");
}

// Guards against losing the last result when the watch reports the finished job
// before the response to the write arrives.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_WatchPrecedesWriteResponse_LastResultIsReturned")
{
  StartWorker("worker");
  store_.SetBehaviour(StoreBehaviour::DelayingWriteResponses);
  CHECK(Submit(*entry_, 1) == 202);
  const json page = WaitForAll(*entry_, 1);
  CHECK(page["results"][0]["output"] == WholeOutput());
}

// Guards against losing the last result when the response to its write is lost
// and the watch reports the finished job before the retry.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_LastWriteResponseLost_ResultIsReturned")
{
  StartWorker("worker");
  // The held attempt gives the host time to start its next watch of the store.
  servers_[0]->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
  servers_[1]->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
  CHECK(Submit(*entry_, 1) == 202);
  RunUntil([this] { return RequestCount() == 1; });
  servers_[0]->ClearScripts();
  servers_[1]->ClearScripts();
  store_.SetBehaviour(StoreBehaviour::DroppingWriteResponses);
  RunUntil([this] {
    return store_.Get("pumiceturn/lot/lot1").find("\"finished\":true") !=
           std::string::npos;
  });
  store_.SetBehaviour(StoreBehaviour::Serving);
  const json page = WaitForAll(*entry_, 1);
  CHECK(page["results"][0]["output"] == WholeOutput());
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_ReaderWaits_IsAnsweredWithTheFirstResult")
{
  StartWorker("worker");
  servers_[0]->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
  servers_[1]->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
  CHECK(Submit(*entry_, 3) == 202);
  json page;
  RunUntil([&] {
    const auto call = SendAndWait(
      *entry_, "GET", "/api/lots/lot1?after=0", "Wait-Ms: 1000\r\n");
    page = json::parse(call->body_);
    return !page["results"].empty();
  });
  CHECK(page["results"].size() == page["next"]);
}

// Guards against a host that never stops because readers keep arriving while it
// shuts down.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_ReadersKeepArriving_DrainingHostStops")
{
  StartWorker("worker");
  for (int attempt = 0; attempt < 40; ++attempt) {
    servers_[0]->Enqueue({ ServerScript::Kind::Hold, 0, 0 });
    servers_[1]->Enqueue({ ServerScript::Kind::Hold, 0, 0 });
  }
  CHECK(Submit(*entry_, 2) == 202);
  bool isStopped = false;
  const auto begin = base::MonotonicNow();
  entry_->gateway_->Stop([&isStopped] { isStopped = true; });
  std::vector<std::unique_ptr<CallerCall>> readers;
  auto nextAt = begin;
  RunUntil([&] {
    if (!isStopped && base::MonotonicNow() >= nextAt) {
      nextAt += std::chrono::milliseconds(300);
      readers.push_back(Send(entry_->callerPort_,
                             "GET",
                             "/api/lots/lot1?after=0",
                             "Wait-Ms: 1000\r\n"));
    }
    return isStopped;
  });
  // Stopping takes 2.6 s until the balancer has noticed, plus 1 s for a waiting
  // reader. A host that waited for all readers would take its full
  // grace period of 8 s.
  CHECK(base::MonotonicNow() - begin < std::chrono::seconds(6));
}

TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_JobEnded_AttemptsAreCancelled")
{
  servers_[0]->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
  servers_[1]->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
  CHECK(Submit(*entry_, 2) == 202);
  RunUntil([this] { return RequestCount() == 2; });
  CHECK(SendAndWait(*entry_, "DELETE", "/api/lots/lot1")->status_ == 200);
  CHECK(SendAndWait(*entry_, "DELETE", "/api/lots/lot1")->status_ == 200);
  RunUntil([this] {
    return servers_[0]->DisconnectedCount() +
             servers_[1]->DisconnectedCount() ==
           2;
  });
  CHECK(Results(*entry_)["results"].empty());
}

// Guards against losing progress or duplicating results when the owner shuts
// down.
TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_OwnerShutsDown_AnotherResumes")
{
  StartWorker("worker");
  servers_[0]->Enqueue({ ServerScript::Kind::Hold, 3, 0 });
  servers_[1]->Enqueue({ ServerScript::Kind::Hold, 3, 0 });
  CHECK(Submit(*entry_, 2) == 202);
  RunUntil([this] { return RequestCount() == 2; });
  // Wait some rounds, so that the worker reads the first events at its next
  // tick.
  std::size_t rounds = 0;
  RunUntil([&] { return ++rounds > 30; });
  bool isStopped = false;
  hosts_.back()->gateway_->Stop([&isStopped] { isStopped = true; });
  const json page = WaitForAll(*entry_, 2);
  CHECK(page["results"][0]["output"] == WholeOutput());
  CHECK(page["results"][1]["output"] == WholeOutput());
  RunUntil([&isStopped] { return isStopped; });
}

// Guards against an unfinished job when its owner fails and its registration is
// removed.
TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_OwnerFails_AnotherTakesOver")
{
  StartWorker("worker");
  for (int attempt = 0; attempt < 2; ++attempt) {
    servers_[0]->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
    servers_[1]->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
  }
  CHECK(Submit(*entry_, 2) == 202);
  RunUntil([this] { return RequestCount() == 2; });
  hosts_.back()->gateway_.reset();
  store_.Remove("pumiceturn/host/worker");
  const json page = WaitForAll(*entry_, 2);
  CHECK(page["results"].size() == 2);
}

// Guards against restarting items from the beginning when their owner fails.
TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_OwnerFails_ItemsResume")
{
  StartWorker("worker");
  servers_[0]->Enqueue({ ServerScript::Kind::Hold, 3, 0 });
  servers_[1]->Enqueue({ ServerScript::Kind::Hold, 3, 0 });
  CHECK(Submit(*entry_, 2) == 202);
  RunUntil([this] {
    const std::string progress = store_.Get("pumiceturn/data/lot1/progress");
    return progress.find("item-0") != std::string::npos &&
           progress.find("item-1") != std::string::npos;
  });
  servers_[0]->ClearScripts();
  servers_[1]->ClearScripts();
  hosts_.back()->gateway_.reset();
  store_.Remove("pumiceturn/host/worker");
  const json page = WaitForAll(*entry_, 2);
  for (const auto& server : servers_) {
    const httpstream::Request& last = server->Requests().back();
    CHECK(httpstream::ValueOf(last, "Last-Event-Id") == "3");
  }
  CHECK(page["results"][0]["output"] == WholeOutput());
  CHECK(page["results"][1]["output"] == WholeOutput());
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_HostRetired_ReportsWhenJobsAreHandedOver")
{
  StartWorker("worker");
  servers_[0]->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
  servers_[1]->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
  CHECK(Submit(*entry_, 2) == 202);
  RunUntil([this] { return RequestCount() == 2; });
  store_.Put("op/retire/worker", "{\"durationS\": 10}");
  RunUntil([this] { return !store_.Get("status/retire/worker").empty(); });
  CHECK(json::parse(store_.Get("status/retire/worker"))["state"] ==
        "completed");
  WaitForAll(*entry_, 2);
}

// Guards against abandoning a job whose route hasn't reached this host yet.
TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_RouteNotKnownYet_ItemsWaitForIt")
{
  CHECK(Submit(*entry_, 2) == 202);
  WaitForAll(*entry_, 2);
  // A job on a route that exists from version 7 of the configuration.
  std::string state = store_.Get("pumiceturn/lot/lot1");
  state.replace(state.find("/lots/1"), 7, "/v7/1xx");
  state.replace(state.find("\"finished\":true"), 15, "\"finished\":false");
  store_.Put("pumiceturn/data/lot2/content/000000", JobBody(1));
  store_.Put("pumiceturn/lot/lot2", state);
  const auto read = [this] {
    return SendAndWait(*entry_, "GET", "/api/lots/lot2?after=0");
  };
  // Wait for several store calls, during which the job must not be abandoned.
  const std::size_t before = store_.CallCount();
  RunUntil([&] { return store_.CallCount() > before + 12; });
  CHECK(json::parse(read()->body_)["results"].empty());
  WriteConfiguration(7);
  RunUntil([&] { return !json::parse(read()->body_)["results"].empty(); });
  CHECK(json::parse(read()->body_)["results"][0]["state"] == "completed");
}

// Guards against jobs accumulating in the store.
TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_RetentionOver_JobIsRemoved")
{
  CHECK(Submit(*entry_, 3) == 202);
  WaitForAll(*entry_, 3);
  jobRetention_ = std::chrono::milliseconds(0);
  StartWorker("worker");
  RunUntil([this] {
    return store_.Keys("pumiceturn/lot/").empty() &&
           store_.Keys("pumiceturn/data/").empty();
  });
  RunUntil([this] {
    return SendAndWait(*entry_, "GET", "/api/lots/lot1?after=0")->status_ ==
           404;
  });
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_MalformedJobs_Are400AndNothingIsStored")
{
  const auto submit = [this](const std::string& aBody) {
    return SendAndWait(
             *entry_, "POST", "/lots/1", "Attempt-Id: lot1\r\n", aBody)
      ->status_;
  };
  CHECK(submit("{") == 400);
  CHECK(submit("{\"items\": []}") == 400);
  CHECK(submit(JobBody(201)) == 400);
  json twice = json::parse(JobBody(2));
  twice["items"][1]["id"] = "item-0";
  CHECK(submit(twice.dump()) == 400);
  json notBase64 = json::parse(JobBody(1));
  notBase64["items"][0]["body"] = "a%b";
  CHECK(submit(notBase64.dump()) == 400);
  CHECK(store_.Keys("pumiceturn/lot/").empty());
}

} // namespace pumiceturn::adapter
