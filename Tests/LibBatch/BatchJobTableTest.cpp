#include "LibBatch/BatchJobTable.h"
#include "LibBatch/HostSet.h"

#include <catch2/catch.hpp>

namespace pumiceturn::batch {

using namespace std::chrono_literals;

class BatchJobTableFixture
{
protected:
  static std::optional<std::vector<BatchItem>> Decode(std::string_view aContent)
  {
    BatchItem item;
    item.id_ = std::string(aContent);
    return std::vector<BatchItem>{ item };
  }

  static BatchJobState MakeState()
  {
    BatchJobState state;
    state.owner_ = "host/1";
    state.itemCount_ = 2;
    state.partCount_ = 2;
    return state;
  }

  void ApplyAll()
  {
    table_.Apply("d/lot/content/000001", "def", 2);
    table_.Apply("s/lot", EncodeState(MakeState()), 2);
    table_.Apply("d/lot/content/000000", "abc", 2);
  }

  BatchJobTable table_{ BatchJobKeySpace{ "s/", "d/" }, Decode };
};

TEST_CASE_METHOD(BatchJobTableFixture,
                 "BatchJobTable_KeysInAnyOrder_ContentIsJoined")
{
  ApplyAll();
  const BatchJob* job = table_.Find("lot");
  REQUIRE(job != nullptr);
  REQUIRE(job->items_);
  CHECK(job->items_->front().id_ == "abcdef");
  CHECK(table_.OpenJobs() == std::vector<std::string>{ "lot" });
}

// Guards against counts that are lost to an older or a malformed record.
TEST_CASE_METHOD(BatchJobTableFixture,
                 "BatchJobTable_SeveralRecordsOfFailures_AreMerged")
{
  ApplyAll();
  const FailureCounts newer{ { "a", { 2, false } } };
  table_.Apply("d/lot/failures", EncodeFailures(newer), 7);
  table_.Apply("d/lot/failures", EncodeFailures({ { "a", { 1, false } } }), 6);
  CHECK(table_.Find("lot")->failures_ == newer);
  CHECK(table_.Find("lot")->failuresRevision_ == 7);
  table_.Apply("d/lot/failures", "no record", 8);
  CHECK(table_.Find("lot")->failures_ == newer);
  CHECK(table_.Find("lot")->failuresRevision_ == 8);
  CHECK(table_.Find("lot")->areFailuresUnreadable_);
}

TEST_CASE_METHOD(BatchJobTableFixture,
                 "BatchJobTable_StateUnknown_JobIsNotFound")
{
  table_.Apply("d/lot/content/000000", "abc", 2);
  CHECK(table_.Find("lot") == nullptr);
}

// Guards against results changing position when pages arrive out of order.
TEST_CASE_METHOD(BatchJobTableFixture,
                 "BatchJobTable_PagesOutOfOrder_KeepPositions")
{
  ApplyAll();
  const std::vector<ItemResult> first = { { "x", ItemState::Completed, "1" } };
  const std::vector<ItemResult> second = { { "y", ItemState::Errored, "" } };
  table_.Apply("d/lot/result/000001", EncodeResults(second), 5);
  CHECK(table_.Find("lot")->results_.empty());
  table_.Apply("d/lot/result/000000", EncodeResults(first), 4);
  table_.Apply("d/lot/result/000000", EncodeResults(second), 4);
  REQUIRE(table_.Find("lot")->results_.size() == 2);
  CHECK(table_.Find("lot")->results_[0] == first[0]);
  CHECK(table_.Find("lot")->results_[1] == second[0]);
}

TEST_CASE_METHOD(BatchJobTableFixture,
                 "BatchJobTable_Unloaded_KeepsOnlyTheState")
{
  ApplyAll();
  CHECK(table_.FinishLoading("lot"));
  CHECK(table_.Find("lot")->isLoaded_);
  table_.Unload("lot");
  REQUIRE(table_.Find("lot") != nullptr);
  CHECK_FALSE(table_.Find("lot")->isLoaded_);
  CHECK_FALSE(table_.Find("lot")->items_);
  CHECK(table_.Find("lot")->state_ == MakeState());
}

TEST_CASE_METHOD(BatchJobTableFixture,
                 "BatchJobTable_ContentIncomplete_JobIsNotLoaded")
{
  table_.Apply("s/lot", EncodeState(MakeState()), 2);
  table_.Apply("d/lot/content/000000", "abc", 2);
  CHECK_FALSE(table_.FinishLoading("lot"));
}

TEST_CASE_METHOD(BatchJobTableFixture, "BatchJobTable_FinishedState_IsNotOpen")
{
  BatchJobState finished = MakeState();
  finished.isFinished_ = true;
  table_.Apply("s/lot", EncodeState(finished), 2);
  CHECK(table_.OpenJobs().empty());
  CHECK(table_.AllJobs().size() == 1);
}

TEST_CASE_METHOD(BatchJobTableFixture, "BatchJobKeySpace_AnyKey_IsParsedBack")
{
  for (const KeyKind part : { KeyKind::State,
                              KeyKind::Content,
                              KeyKind::Results,
                              KeyKind::Progress }) {
    const bool isNumbered =
      part == KeyKind::Content || part == KeyKind::Results;
    const BatchJobKey key{ "lot", part, isNumbered ? 12U : 0U };
    CHECK(table_.Keys().ParseKey(table_.Keys().MakeKey(key)) == key);
  }
  CHECK_FALSE(table_.Keys().ParseKey("d/lot/result/x"));
  CHECK_FALSE(table_.Keys().ParseKey("elsewhere"));
}

TEST_CASE_METHOD(BatchJobTableFixture, "BatchJobTable_OlderState_IsIgnored")
{
  ApplyAll();
  BatchJobState ended = MakeState();
  ended.isCancelled_ = true;
  table_.Apply("s/lot", EncodeState(ended), 9);
  table_.Apply("s/lot", EncodeState(MakeState()), 3);
  CHECK(table_.Find("lot")->state_.isCancelled_);
}

TEST_CASE_METHOD(BatchJobTableFixture,
                 "BatchJobTable_MalformedValues_ChangeNothing")
{
  ApplyAll();
  CHECK_FALSE(table_.Apply("nonsense", "x", 9));
  table_.Apply("s/lot", "{", 9);
  table_.Apply("d/lot/result/000000", "[{\"item\":1}]", 9);
  CHECK(table_.Find("lot")->state_ == MakeState());
  CHECK(table_.Find("lot")->results_.empty());
}

class TakeoverFixture
{
protected:
  HostSet hosts_;
  base::Instant now_{ base::Duration{ 1h } };
};

TEST_CASE_METHOD(TakeoverFixture, "HostSet_WorkersRegistered_JobsGoToWorkers")
{
  hosts_.Put(
    "entry", "entry/1", BatchPreference::Fallback, "127.0.0.1:1", now_);
  hosts_.Put(
    "worker", "worker/1", BatchPreference::Worker, "127.0.0.1:1", now_);
  for (const char* job : { "a", "b", "c", "d", "e" }) {
    CHECK(hosts_.AssignedOwner(job) == "worker/1");
  }
  hosts_.Remove("worker", now_);
  CHECK(hosts_.AssignedOwner("a") == "entry/1");
}

TEST_CASE_METHOD(TakeoverFixture, "HostSet_RegisteredOwner_HasAnAddress")
{
  hosts_.Put("worker", "worker/2", BatchPreference::Worker, "10.0.0.1:7", now_);
  CHECK(hosts_.AddressOf("worker/2") == "10.0.0.1:7");
  CHECK_FALSE(hosts_.AddressOf("worker/1"));
}

TEST_CASE_METHOD(TakeoverFixture,
                 "HostSet_HostRemoved_OwnerCanBeTakenOverAfterDelay")
{
  hosts_.Put(
    "worker", "worker/1", BatchPreference::Worker, "127.0.0.1:1", now_);
  hosts_.Remove("worker", now_);
  CHECK_FALSE(hosts_.CanTakeOverFrom("worker/1", now_ + 1s));
  CHECK(hosts_.CanTakeOverFrom("worker/1", now_ + 2s));
}

TEST_CASE_METHOD(TakeoverFixture,
                 "HostSet_HostRestarts_OldOwnerCanBeTakenOverAtOnce")
{
  hosts_.Put(
    "worker", "worker/1", BatchPreference::Worker, "127.0.0.1:1", now_);
  hosts_.Put(
    "worker", "worker/2", BatchPreference::Worker, "127.0.0.1:1", now_);
  CHECK(hosts_.CanTakeOverFrom("worker/1", now_));
  CHECK_FALSE(hosts_.CanTakeOverFrom("worker/2", now_ + 1h));
}

TEST_CASE_METHOD(TakeoverFixture,
                 "HostSet_UnknownOwner_DelayStartsAtFirstQuery")
{
  CHECK_FALSE(hosts_.CanTakeOverFrom("worker/0", now_));
  CHECK(hosts_.CanTakeOverFrom("worker/0", now_ + 2s));
  CHECK(hosts_.CanTakeOverFrom("", now_));
}

} // namespace pumiceturn::batch
