#include "LibGateway/ResultWriter.h"
#include "Tests/LibMetadata/FakeStore.h"

#include <catch2/catch.hpp>

namespace pumiceturn::gateway {

using namespace std::chrono_literals;
using metadata::StoreStatus;

/// Jobs of two items each that this host runs, and a store whose answers the
/// test gives.
class ResultWriterFixture
{
protected:
  void Begin(const std::string& aJob)
  {
    batch::BatchJobState state;
    state.itemCount_ = 2;
    jobs_.Apply(keys_.StateOf(aJob), batch::EncodeState(state), 5);
    writer_.Begin(*jobs_.Find(aJob));
  }

  void Finish(const std::string& aJob,
              int aItem,
              base::Duration aDueAfter = 10s)
  {
    writer_.Add(
      aJob,
      { aJob + std::to_string(aItem), batch::ItemState::Completed, "output" },
      now_ + aDueAfter,
      now_);
  }

  void Pass(base::Duration aTime)
  {
    now_ += aTime;
    writer_.Tick(now_);
  }

  void Respond(const metadata::TransactionResponse& aResponse)
  {
    REQUIRE_FALSE(store_.commits_.empty());
    metadata::FakeStore::Take(store_.commits_).second(aResponse);
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
  std::vector<std::string> told_;
  ResultWriter writer_{ store_, jobs_, [this](const std::string& aJob) {
                         told_.push_back(aJob);
                       } };
};

// Load: results of several jobs within a short while. Each was a call, most of
// all calls to the store.
TEST_CASE_METHOD(ResultWriterFixture, "ResultWriter_SeveralJobs_AreOneCall")
{
  Begin("a");
  Begin("b");
  Finish("a", 0);
  Pass(200ms);
  Finish("b", 0);
  Finish("b", 1);
  CHECK(store_.commits_.empty());
  Pass(300ms);
  REQUIRE(store_.commits_.size() == 1);
  // A page each, and the state of the job that is finished by it.
  CHECK(store_.commits_.front().first.writes_.size() == 3);
  CHECK(store_.commits_.front().first.expectations_.size() == 4);
  Respond({ StoreStatus::Ok, 9, {} });
  CHECK(StoredCount("a") == 1);
  CHECK(StoredCount("b") == 2);
  CHECK(jobs_.Find("b")->state_.isFinished_);
  CHECK(told_ == std::vector<std::string>{ "a", "b" });
}

// A report was late, as its last line had waited for others.
TEST_CASE_METHOD(ResultWriterFixture, "ResultWriter_DueSoon_DoesNotWait")
{
  Begin("a");
  Finish("a", 0, 1s);
  Pass(0ms);
  CHECK(store_.commits_.size() == 1);
}

// One job's sender had ended it, and the others' results were not stored.
TEST_CASE_METHOD(ResultWriterFixture,
                 "ResultWriter_OneJobConflicts_OthersAreStoredAlone")
{
  Begin("a");
  Begin("b");
  Finish("a", 0);
  Finish("b", 0);
  Pass(500ms);
  metadata::TransactionResponse conflict;
  conflict.status_ = StoreStatus::Conflict;
  Respond(conflict);
  REQUIRE(store_.commits_.size() == 2);
  Respond(conflict);
  Respond({ StoreStatus::Ok, 9, {} });
  CHECK(StoredCount("a") == 0);
  CHECK(StoredCount("b") == 1);
}

// A call without an answer was carried out; made again with more results, it
// gave one position two contents.
TEST_CASE_METHOD(ResultWriterFixture,
                 "ResultWriter_AnswerIsLost_SamePageGoesAgain")
{
  Begin("a");
  Finish("a", 0);
  Pass(500ms);
  const metadata::Transaction first = store_.commits_.front().first;
  Respond({ StoreStatus::Unknown, 0, {} });
  CHECK(writer_.IsStoring("a"));
  Finish("a", 1);
  now_ = base::MonotonicNow() + 1s;
  Pass(0ms);
  REQUIRE(store_.commits_.size() == 1);
  const metadata::Transaction& again = store_.commits_.front().first;
  CHECK(again.writes_.front().key_ == first.writes_.front().key_);
  CHECK(again.writes_.front().value_ == first.writes_.front().value_);
  metadata::TransactionResponse isThere;
  isThere.status_ = StoreStatus::Conflict;
  isThere.current_.push_back(
    { first.writes_.front().key_, first.writes_.front().value_, 7 });
  Respond(isThere);
  CHECK(StoredCount("a") == 1);
  CHECK_FALSE(writer_.IsStoring("a"));
}

// A host that leaves hands over what it has gathered, and doesn't lose it.
TEST_CASE_METHOD(ResultWriterFixture, "ResultWriter_HandedOver_IsInThatCall")
{
  Begin("a");
  Finish("a", 0);
  metadata::Transaction transaction;
  CHECK_FALSE(writer_.AddTo(transaction, *jobs_.Find("a")));
  CHECK(transaction.writes_.size() == 1);
  Begin("b");
  Finish("b", 0);
  Finish("b", 1);
  CHECK(writer_.AddTo(transaction, *jobs_.Find("b")));
}

} // namespace pumiceturn::gateway
