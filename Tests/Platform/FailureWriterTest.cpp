#include "LibGateway/FailureWriter.h"
#include "Tests/LibMetadata/FakeStore.h"

#include <catch2/catch.hpp>

namespace pumiceturn::gateway {

using namespace std::chrono_literals;
using batch::FailureCounts;
using metadata::StoreStatus;

/// Two jobs, and a fake store whose responses the test provides.
class FailureWriterFixture
{
protected:
  static constexpr std::uint64_t kStateRevision = 5;

  FailureWriterFixture()
  {
    for (const std::string job : { "a", "b" }) {
      jobs_.Apply(keys_.StateKey(job), batch::EncodeState({}), kStateRevision);
    }
  }

  [[nodiscard]] std::string RecordKey(const std::string& aJob) const
  {
    return keys_.MakeKey({ aJob, batch::KeyKind::Failures, 0 });
  }

  void Store(base::Duration aTime = 1s)
  {
    now_ += aTime;
    writer_.Store(1, now_);
  }

  [[nodiscard]] const metadata::Transaction& Pending() const
  {
    REQUIRE_FALSE(store_.commits_.empty());
    return store_.commits_.front().first;
  }

  void Respond(const metadata::TransactionResponse& aResponse)
  {
    REQUIRE_FALSE(store_.commits_.empty());
    metadata::FakeStore::Pop(store_.commits_).second(aResponse);
  }

  base::Instant now_ = base::MonotonicNow();
  batch::BatchJobKeySpace keys_{ "lot/", "data/" };
  batch::BatchJobTable jobs_{ keys_, [](std::string_view) {
                               return std::optional(
                                 std::vector<batch::BatchItem>{});
                             } };
  metadata::FakeStore store_;
  std::vector<FailureCounts> stored_;
  FailureWriter writer_{ store_,
                         jobs_,
                         [this](const std::string& /*aJob*/,
                                const FailureCounts& aStored) {
                           stored_.push_back(aStored);
                         } };
};

TEST_CASE_METHOD(FailureWriterFixture, "FailureWriter_ItemFails_IsStoredAtOnce")
{
  const FailureCounts counts{ { "item", { 1, false } } };
  writer_.Add("a", counts);
  Store();
  CHECK(Pending().writes_.front().value_ == batch::EncodeFailures(counts));
  Respond({ StoreStatus::Ok, 6, {} });
  CHECK(stored_ == std::vector{ counts });
  CHECK(jobs_.Find("a")->failures_ == counts);
  Store();
  CHECK(store_.commits_.empty());
}

// Guards against one call to the store for each failure.
TEST_CASE_METHOD(FailureWriterFixture,
                 "FailureWriter_SeveralJobs_AreStoredInOneCall")
{
  writer_.Add("a", { { "item", { 1, false } } });
  Store();
  writer_.Add("a", { { "other", { 1, false } } });
  writer_.Add("b", { { "item", { 0, true } } });
  Store();
  CHECK(store_.commits_.size() == 1);
  Respond({ StoreStatus::Ok, 6, {} });
  Store();
  REQUIRE(store_.commits_.size() == 1);
  CHECK(Pending().writes_.size() == 2);
}

// Guards against a count that goes down, as a write that had no response takes
// effect after the next one.
TEST_CASE_METHOD(FailureWriterFixture,
                 "FailureWriter_ResponseIsLost_LateWriteHasNoEffect")
{
  writer_.Add("a", { { "item", { 1, false } } });
  Store();
  const std::uint64_t expected = Pending().expectations_.back().revision_;
  Respond({ StoreStatus::Unknown, 0, {} });
  writer_.Add("a", { { "item", { 2, false } } });
  Store();
  CHECK(Pending().expectations_.back().key_ == RecordKey("a"));
  CHECK(Pending().expectations_.back().revision_ == expected);
}

// Guards against failures that are never stored, as a write without a response
// had taken effect.
TEST_CASE_METHOD(FailureWriterFixture,
                 "FailureWriter_RecordHasChanged_CountsAreMergedAndStored")
{
  writer_.Add("a", { { "item", { 1, false } } });
  Store();
  Respond({ StoreStatus::Conflict,
            0,
            { { keys_.StateKey("a"), {}, kStateRevision },
              { RecordKey("a"),
                batch::EncodeFailures({ { "other", { 2, false } } }),
                9 } } });
  CHECK(stored_.empty());
  Store();
  CHECK(Pending().expectations_.back().revision_ == 9);
  CHECK(Pending().writes_.front().value_ ==
        batch::EncodeFailures(
          { { "item", { 1, false } }, { "other", { 2, false } } }));
}

// Guards against a former owner that writes on, and against other jobs that
// wait for its one.
TEST_CASE_METHOD(FailureWriterFixture,
                 "FailureWriter_JobWasTakenOver_OthersAreStored")
{
  writer_.Add("a", { { "item", { 1, false } } });
  writer_.Add("b", { { "item", { 1, false } } });
  Store();
  Respond({ StoreStatus::Conflict,
            0,
            { { keys_.StateKey("a"), {}, kStateRevision + 1 },
              { keys_.StateKey("b"), {}, kStateRevision } } });
  Store();
  REQUIRE(Pending().writes_.size() == 1);
  CHECK(Pending().writes_.front().key_ == RecordKey("b"));
  writer_.Forget("a");
  Respond({ StoreStatus::Ok, 8, {} });
  Store(10s);
  CHECK(store_.commits_.empty());
}

} // namespace pumiceturn::gateway
