#include "LibGateway/ResultWriter.h"
#include "Tests/LibMetadata/FakeStore.h"

#include <catch2/catch.hpp>

namespace pumiceturn::gateway {

using namespace std::chrono_literals;
using metadata::StoreStatus;

/// Jobs with two items each, and a fake store whose responses the test
/// provides.
class ResultWriterFixture
{
protected:
  void Begin(const std::string& aJob)
  {
    batch::BatchJobState state;
    state.itemCount_ = 2;
    jobs_.Apply(keys_.StateKey(aJob), batch::EncodeState(state), 5);
    writer_.Begin(*jobs_.Find(aJob));
  }

  void AddResult(const std::string& aJob,
                 int aItem,
                 base::Duration aDueAfter = 10s)
  {
    writer_.Add(
      aJob,
      { aJob + std::to_string(aItem), batch::ItemState::Completed, "output" },
      now_ + aDueAfter,
      now_);
  }

  void Advance(base::Duration aTime)
  {
    now_ += aTime;
    writer_.Tick(now_);
  }

  void Respond(const metadata::TransactionResponse& aResponse)
  {
    REQUIRE_FALSE(store_.commits_.empty());
    metadata::FakeStore::Pop(store_.commits_).second(aResponse);
  }

  [[nodiscard]] std::size_t StoredCount(const std::string& aJob) const
  {
    return jobs_.Find(aJob)->results_.size();
  }

  base::Instant now_ = base::MonotonicNow();
  batch::BatchJobKeySpace keys_{ "lot/", "data/" };
  batch::BatchJobTable jobs_{ keys_, [](std::string_view) {
                               return std::optional(
                                 std::vector<batch::BatchItem>{});
                             } };
  metadata::FakeStore store_;
  std::vector<std::string> notified_;
  ResultWriter writer_{ store_, jobs_, [this](const std::string& aJob) {
                         notified_.push_back(aJob);
                       } };
};

// Guards against one store call per job for results that arrive close together.
TEST_CASE_METHOD(ResultWriterFixture,
                 "ResultWriter_SeveralJobs_AreStoredInOneCall")
{
  Begin("a");
  Begin("b");
  AddResult("a", 0);
  Advance(200ms);
  AddResult("b", 0);
  AddResult("b", 1);
  CHECK(store_.commits_.empty());
  Advance(300ms);
  REQUIRE(store_.commits_.size() == 1);
  // One page per job, and the state of the finished job.
  CHECK(store_.commits_.front().first.writes_.size() == 3);
  CHECK(store_.commits_.front().first.expectations_.size() == 4);
  Respond({ StoreStatus::Ok, 9, {} });
  CHECK(StoredCount("a") == 1);
  CHECK(StoredCount("b") == 2);
  CHECK(jobs_.Find("b")->state_.isFinished_);
  CHECK(notified_ == std::vector<std::string>{ "a", "b" });
}

// Guards against delaying results that are due soon.
TEST_CASE_METHOD(ResultWriterFixture, "ResultWriter_DueSoon_IsStoredAtOnce")
{
  Begin("a");
  AddResult("a", 0, 1s);
  Advance(0ms);
  CHECK(store_.commits_.size() == 1);
}

// Guards against losing other jobs' results when one job conflicts.
TEST_CASE_METHOD(ResultWriterFixture,
                 "ResultWriter_OneJobConflicts_OtherJobsAreStored")
{
  Begin("a");
  Begin("b");
  AddResult("a", 0);
  AddResult("b", 0);
  Advance(500ms);
  metadata::TransactionResponse conflict;
  conflict.status_ = StoreStatus::Conflict;
  Respond(conflict);
  REQUIRE(store_.commits_.size() == 2);
  Respond(conflict);
  Respond({ StoreStatus::Ok, 9, {} });
  CHECK(StoredCount("a") == 0);
  CHECK(StoredCount("b") == 1);
}

// Guards against writing different results to one position after a lost
// response.
TEST_CASE_METHOD(ResultWriterFixture,
                 "ResultWriter_ResponseLost_SamePageIsRetried")
{
  Begin("a");
  AddResult("a", 0);
  Advance(500ms);
  const metadata::Transaction first = store_.commits_.front().first;
  Respond({ StoreStatus::Unknown, 0, {} });
  CHECK(writer_.IsStoring("a"));
  AddResult("a", 1);
  now_ = base::MonotonicNow() + 1s;
  Advance(0ms);
  REQUIRE(store_.commits_.size() == 1);
  const metadata::Transaction& again = store_.commits_.front().first;
  CHECK(again.writes_.front().key_ == first.writes_.front().key_);
  CHECK(again.writes_.front().value_ == first.writes_.front().value_);
  metadata::TransactionResponse storedResponse;
  storedResponse.status_ = StoreStatus::Conflict;
  storedResponse.current_.push_back(
    { first.writes_.front().key_, first.writes_.front().value_, 7 });
  Respond(storedResponse);
  CHECK(StoredCount("a") == 1);
  CHECK_FALSE(writer_.IsStoring("a"));
}

// Guards against losing queued results during handover.
TEST_CASE_METHOD(ResultWriterFixture,
                 "ResultWriter_HandedOver_ResultsAreInTheTransaction")
{
  Begin("a");
  AddResult("a", 0);
  metadata::Transaction transaction;
  CHECK_FALSE(writer_.AddUnstored(transaction, *jobs_.Find("a")));
  CHECK(transaction.writes_.size() == 1);
  Begin("b");
  AddResult("b", 0);
  AddResult("b", 1);
  CHECK(writer_.AddUnstored(transaction, *jobs_.Find("b")));
}

} // namespace pumiceturn::gateway
