#include "LibBatch/SpooledJob.h"
#include "Tests/Platform/BatchJobsFixture.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::adapter {

using nlohmann::json;

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_CalmJob_IsAnsweredOnceAtEveryHost")
{
  StartWorker("worker");
  TestHost& other = StartHost("other", batch::BatchPreference::IfNoOther);
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

TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_SentAgain_IsAcceptedOnce")
{
  TestHost& other = StartHost("other", batch::BatchPreference::IfNoOther);
  CHECK(Submit(*entry_, 3) == 202);
  CHECK(Submit(other, 3) == 202);
  CHECK(Submit(*entry_, 3) == 202);
  WaitForAll(*entry_, 3);
  CHECK(RequestCount() == 3);
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_ItemStreamBreaks_GoesOnWithoutGapOrDouble")
{
  servers_[0]->Enqueue({ ServerScript::Kind::Break, 2, 0 });
  servers_[1]->Enqueue({ ServerScript::Kind::Break, 4, 0 });
  CHECK(Submit(*entry_, 2) == 202);
  const json page = WaitForAll(*entry_, 2);
  CHECK(page["results"][0]["output"] == WholeOutput());
  CHECK(page["results"][1]["output"] == WholeOutput());
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_ImpossibleItem_IsErroredAndOthersGoOn")
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
                 "BatchJobs_ItemFailsAtEachRun_IsErroredAfterTheLimit")
{
  for (int run = 0; run < 2; ++run) {
    servers_[0]->Enqueue({ ServerScript::Kind::Status, 0, 500 });
    servers_[1]->Enqueue({ ServerScript::Kind::Status, 0, 500 });
  }
  CHECK(Submit(*entry_, 1) == 202);
  const json page = WaitForAll(*entry_, 1);
  CHECK(page["results"][0]["state"] == "errored");
  CHECK(RequestCount() == 2);
}

// A society sends its job again and both reports are billed. The store had
// carried out the first write, and its answer was lost.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_AnswerOfTheStoreLost_JobIsKeptOnce")
{
  store_.SetBehaviour(StoreBehaviour::DroppingWriteResponses);
  const auto call = Send(
    entry_->callerPort_, "POST", "/lots/1", "Attempt-Id: lot1\r\n", JobBody(2));
  RunUntil([this] { return !store_.Get("pumiceturn/lot/lot1").empty(); });
  store_.SetBehaviour(StoreBehaviour::Serving);
  RunUntil([&call] { return call->IsOver(); });
  CHECK(call->status_ == 202);
  WaitForAll(*entry_, 2);
  CHECK(RequestCount() == 2);
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_StoreRefuses_JobIsRefusedAndNothingRuns")
{
  store_.SetBehaviour(StoreBehaviour::Refusing);
  const auto call =
    Ask(*entry_, "POST", "/lots/1", "Attempt-Id: lot1\r\n", JobBody(2));
  CHECK(call->status_ == 503);
  CHECK_FALSE(call->retryAfter_.empty());
  CHECK(Ask(*entry_, "GET", "/api/lots/lot1?after=0")->status_ == 503);
  store_.SetBehaviour(StoreBehaviour::Serving);
  RunUntil([this] {
    return Ask(*entry_, "GET", "/api/lots/lot1?after=0")->status_ == 404;
  });
  CHECK(RequestCount() == 0);
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_ReadAtAHostThatHasNotHeard_IsFound")
{
  TestHost& other = StartHost("other", batch::BatchPreference::IfNoOther);
  CHECK(Submit(*entry_, 1) == 202);
  CHECK(Ask(other, "GET", "/api/lots/lot1?after=0")->status_ == 200);
  const auto body = Ask(other, "GET", "/api/items/lot1?id=item-0");
  CHECK(body->status_ == 200);
  CHECK(body->body_ == "prompt");
  CHECK(Ask(other, "GET", "/api/items/lot1?id=none")->status_ == 404);
  CHECK(Ask(other, "GET", "/api/lots/none?after=0")->status_ == 404);
}

// Reports come back as given up although they had minutes left: the clock of
// the host that runs them had jumped ahead of that of the host that accepted
// them.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_ClocksOfDayDiffer_NothingIsGivenUpSooner")
{
  constexpr std::chrono::seconds kGiveUpAfter{ 120 };
  constexpr std::chrono::seconds kJump{ 5 };
  batch::SpooledJob job;
  job.id_ = "lot1";
  job.state_.owner_ = "nobody/0";
  job.state_.acceptedAtMs_ =
    base::ToUnixMs(base::WallNow() - kGiveUpAfter - kJump);
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

// A society sees two results at one host and none at another a second later:
// the other host's own copy of the results had fallen behind.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_ReadElsewhere_ShowsWhatWasReadBefore")
{
  StartWorker("worker");
  TestHost& other = StartHost("other", batch::BatchPreference::IfNoOther);
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
  // The host is gone, while its registration stands for a while.
  hosts_.back()->gateway_.reset();
  CHECK(Results(*entry_) == page);
  CHECK(Ask(*entry_, "GET", "/api/items/lot1?id=item-1")->body_ == "prompt");
}

// The last line of a script never comes, at any host. The store's watch tells
// that the job is finished before the answer to the write of its last result
// arrives, and the host that ran it forgets the write.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_WatchOvertakesTheAnswer_LastResultIsShown")
{
  StartWorker("worker");
  store_.SetBehaviour(StoreBehaviour::DelayingWriteResponses);
  CHECK(Submit(*entry_, 1) == 202);
  const json page = WaitForAll(*entry_, 1);
  CHECK(page["results"][0]["output"] == WholeOutput());
}

// The same end: the store carries out the write of the last result and its
// answer is lost. The watch tells of the finished job while the host waits to
// try again.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_AnswerToTheLastWriteLost_ResultIsShown")
{
  StartWorker("worker");
  // The run that falls silent gives the host's watch time to be waiting again.
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
    const auto call =
      Ask(*entry_, "GET", "/api/lots/lot1?after=0", "Wait-Ms: 1000\r\n");
    page = json::parse(call->body_);
    return !page["results"].empty();
  });
  CHECK(page["results"].size() == page["next"]);
}

// Each request is refused for the rest of a host's grace: it has nothing left
// to finish, but readers of jobs come and wait there all the time, as the
// balancer knows no other host, and so it never ends and starts anew.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_ReadersKeepComing_LeavingHostEnds")
{
  StartWorker("worker");
  for (int run = 0; run < 40; ++run) {
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
  // The balancer's notice of 2.6 s and a reader's second; the grace is 8 s.
  CHECK(base::MonotonicNow() - begin < std::chrono::seconds(6));
}

TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_Ended_RunsNoMore")
{
  servers_[0]->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
  servers_[1]->Enqueue({ ServerScript::Kind::Hold, 1, 0 });
  CHECK(Submit(*entry_, 2) == 202);
  RunUntil([this] { return RequestCount() == 2; });
  CHECK(Ask(*entry_, "DELETE", "/api/lots/lot1")->status_ == 200);
  CHECK(Ask(*entry_, "DELETE", "/api/lots/lot1")->status_ == 200);
  RunUntil([this] {
    return servers_[0]->AbandonedCount() + servers_[1]->AbandonedCount() == 2;
  });
  CHECK(Results(*entry_)["results"].empty());
}

// A job stays half done. The host that ran it leaves; another goes on where its
// runs were, and lists each item once.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_OwnerLeaves_AnotherGoesOnWhereItWas")
{
  StartWorker("worker");
  servers_[0]->Enqueue({ ServerScript::Kind::Hold, 3, 0 });
  servers_[1]->Enqueue({ ServerScript::Kind::Hold, 3, 0 });
  CHECK(Submit(*entry_, 2) == 202);
  RunUntil([this] { return RequestCount() == 2; });
  // The runs' first events are read at the worker's next look.
  std::size_t looks = 0;
  RunUntil([&] { return ++looks > 30; });
  bool isStopped = false;
  hosts_.back()->gateway_->Stop([&isStopped] { isStopped = true; });
  const json page = WaitForAll(*entry_, 2);
  CHECK(page["results"][0]["output"] == WholeOutput());
  CHECK(page["results"][1]["output"] == WholeOutput());
  RunUntil([&isStopped] { return isStopped; });
}

// A job never ends: the host that ran it lost its power, and its registration
// went with it.
TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_OwnerVanishes_AnotherTakesOver")
{
  StartWorker("worker");
  for (int run = 0; run < 2; ++run) {
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

// A job is late: the host that ran it lost its power, and items of several
// seconds run from their beginning, once more for each host that fails.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_OwnerVanishes_ItsRunsGoOnWhereTheyWere")
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
                 "BatchJobs_HostIsToBeEmptied_ReportsWhenItsJobsAreGone")
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

// A whole job comes back as failed, without one run. The host that is to run it
// has an older configuration than the host that accepted it, or none yet after
// its start, and took the missing route for one that operators had removed.
TEST_CASE_METHOD(BatchJobsFixture, "BatchJobs_RouteNotKnownYet_ItemsWaitForIt")
{
  CHECK(Submit(*entry_, 2) == 202);
  WaitForAll(*entry_, 2);
  // A job on a route that comes with the next configuration.
  std::string state = store_.Get("pumiceturn/lot/lot1");
  state.replace(state.find("/lots/1"), 7, "/v7/1xx");
  state.replace(state.find("\"finished\":true"), 15, "\"finished\":false");
  store_.Put("pumiceturn/data/lot2/content/000000", JobBody(1));
  store_.Put("pumiceturn/lot/lot2", state);
  const auto read = [this] {
    return Ask(*entry_, "GET", "/api/lots/lot2?after=0");
  };
  // Well past the looks in which such a job was given up.
  const std::size_t before = store_.CallCount();
  RunUntil([&] { return store_.CallCount() > before + 12; });
  CHECK(json::parse(read()->body_)["results"].empty());
  WriteConfiguration(7);
  RunUntil([&] { return !json::parse(read()->body_)["results"].empty(); });
  CHECK(json::parse(read()->body_)["results"][0]["state"] == "completed");
}

// The store fills up over weeks, and one day refuses every new job.
TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_RetentionOver_NothingIsLeftInTheStore")
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
    return Ask(*entry_, "GET", "/api/lots/lot1?after=0")->status_ == 404;
  });
}

TEST_CASE_METHOD(BatchJobsFixture,
                 "BatchJobs_MalformedJobs_Are400AndNothingIsStored")
{
  const auto submit = [this](const std::string& aBody) {
    return Ask(*entry_, "POST", "/lots/1", "Attempt-Id: lot1\r\n", aBody)
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
