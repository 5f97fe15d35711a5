#include "JobFixture.h"

#include <catch2/catch.hpp>

namespace pumiceturn::jobs {

using base::Ran;
using base::ResultCode;

namespace {

struct JobTableFixture : LoggedTable
{
  wire::JobDescription batchJob_ = MakeBatchJob("lot", 1, 4);

  void AcceptBatchJob()
  {
    REQUIRE(Submit(MakeFrame(batchJob_, 0, 2)) == AcceptAction::Append);
    REQUIRE(Submit(MakeFrame(batchJob_, 2, 2)) == AcceptAction::Append);
  }

  base::RunId TakeItem() { return table_.TakeItem(batchJob_.id_).value().run_; }
};

} // namespace

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_SubmissionInterrupted_IsNotAccepted")
{
  // A partly submitted job must not run, and a resend continues after the items
  // received.
  REQUIRE(Submit(MakeFrame(batchJob_, 0, 2)) == AcceptAction::Append);
  CHECK(table_.Status(batchJob_.id_, "slaegtsspor").code_ ==
        ResultCode::NotFound);
  CHECK_FALSE(table_.TakeItem(batchJob_.id_));

  LoggedTable next = TakeOver();
  CHECK(next.Submit(MakeFrame(batchJob_, 0, 2)) == AcceptAction::Received);
  CHECK(next.Submit(MakeFrame(batchJob_, 2, 2)) == AcceptAction::Append);
  CHECK(next.table_.Status(batchJob_.id_, "slaegtsspor").waiting_ == 4);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_SameJobSubmittedTwice_IsOneJob")
{
  // A job that is submitted concurrently and after a takeover must not run
  // twice.
  const wire::SubmitFrame whole = MakeFrame(batchJob_, 0, 4);
  const AcceptDecision first = table_.DecideFrame(whole, kNow);
  REQUIRE(first.action_ == AcceptAction::Append);
  CHECK(table_.DecideFrame(whole, kNow).action_ == AcceptAction::Wait);
  Write(first.records_, batchJob_.id_);
  CHECK(table_.DecideFrame(whole, kNow).action_ == AcceptAction::Duplicate);

  LoggedTable next = TakeOver();
  CHECK(next.Submit(whole) == AcceptAction::Duplicate);
  CHECK(next.table_.Status(batchJob_.id_, "slaegtsspor").waiting_ == 4);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_DifferentContentForKey_IsConflict")
{
  AcceptBatchJob();
  CHECK(Submit(MakeFrame(MakeBatchJob("lot", 2, 4), 0, 4)) ==
        AcceptAction::Conflict);
  CHECK(Submit(MakeFrame(MakeBatchJob("other", 2, 1), 0, 1)) ==
        AcceptAction::Append);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_FramesOutOfOrder_AreInvalid")
{
  CHECK(Submit(MakeFrame(batchJob_, 2, 2)) == AcceptAction::Invalid);
  CHECK(Submit(MakeFrame(batchJob_, 0, 5)) == AcceptAction::Invalid);
}

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_AcceptanceAppendFailed_KeyStaysBoundToContent")
{
  // The records of a failed append may be in the log. If different content were
  // accepted under the key, a replay would accept the first and lose the
  // second.
  const wire::RecordRequest first = MakeRequest("key", 1);
  const AcceptDecision decision = table_.DecideOnline(first, 3, kNow);
  table_.OnAcceptAppended(first.job_, false);
  CHECK(SubmitRequest(MakeRequest("key", 2)) == AcceptAction::Conflict);
  CHECK(SubmitRequest(first) == AcceptAction::Append);
  CHECK(SubmitRequest(first) == AcceptAction::Running);
}

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_LateResultAfterRerun_FirstRecordedIsKept")
{
  // The late result of a lost agent must not replace the recorded result of the
  // rerun, live or after a takeover.
  AcceptBatchJob();
  const base::RunId lost = TakeItem();
  CHECK(End(MakeEnded(lost, ResultCode::EndpointLost, Ran::Unknown)) ==
        EndAction::Requeue);
  const base::RunId rerun = TakeItem();
  CHECK(rerun.item_ == lost.item_);
  CHECK(rerun.attempt_ > lost.attempt_);
  CHECK(End(MakeEnded(rerun, ResultCode::Ok, Ran::Ran, "second")) ==
        EndAction::Append);
  CHECK(End(MakeEnded(lost, ResultCode::Ok, Ran::Ran, "first")) ==
        EndAction::Discard);
  CHECK(ResultAt(batchJob_.id_, 0).text_ == "second");
  CHECK(TakeOver().ResultAt(batchJob_.id_, 0).text_ == "second");
  CHECK(table_.Find(batchJob_.id_)->results_.size() == 1);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_LateResultBeforeRerun_EndsItem")
{
  AcceptBatchJob();
  const base::RunId lost = TakeItem();
  End(MakeEnded(lost, ResultCode::EndpointLost, Ran::Unknown));
  CHECK(End(MakeEnded(lost, ResultCode::Ok, Ran::Ran, "late")) ==
        EndAction::Append);
  for (int left = 0; left < 3; ++left) {
    CHECK(TakeItem().item_ != lost.item_);
  }
  CHECK_FALSE(table_.TakeItem(batchJob_.id_));
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_ItemAlwaysFails_OtherItemsComplete")
{
  // An item that always fails must end at the attempt limit, also across a
  // takeover, and must not affect the other items.
  AcceptBatchJob();
  TakeItem();
  base::RunId failing{ batchJob_.id_, 0, 1 };
  CHECK(End(MakeEnded(failing, ResultCode::EndpointFailed, Ran::Ran)) ==
        EndAction::Requeue);
  const DispatchedItem second = table_.TakeItem(batchJob_.id_).value();
  REQUIRE(second.recordStart_);
  Write({ kNow, ItemStarted{ second.run_, "endpoint" } });

  LoggedTable next = TakeOver();
  failing = next.table_.TakeItem(batchJob_.id_).value().run_;
  CHECK(next.End(MakeEnded(failing, ResultCode::EndpointFailed, Ran::Ran)) ==
        EndAction::Requeue);
  failing = next.table_.TakeItem(batchJob_.id_).value().run_;
  CHECK(next.End(MakeEnded(failing, ResultCode::EndpointFailed, Ran::Ran)) ==
        EndAction::Append);
  CHECK(next.ResultAt(batchJob_.id_, 0).code_ == ResultCode::AttemptsExhausted);
  for (int left = 0; left < 3; ++left) {
    const base::RunId run = next.table_.TakeItem(batchJob_.id_).value().run_;
    next.End(MakeEnded(run, ResultCode::Ok, Ran::Ran, "fine"));
  }
  const wire::JobStatusReply status =
    next.table_.Status(batchJob_.id_, "slaegtsspor");
  CHECK(status.state_ == wire::JobState::Finished);
  CHECK(status.succeeded_ == 3);
  CHECK(status.failed_ == 1);
}

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_Takeover_DispatchContinuesAfterItemsInFlight")
{
  AcceptBatchJob();
  End(MakeEnded(TakeItem(), ResultCode::Ok, Ran::Ran, "first"));
  LoggedTable next = TakeOver();
  CHECK(next.table_.SkipInFlight(batchJob_.id_, 3) == 0);
  CHECK(next.table_.SkipInFlight(batchJob_.id_, 1) == 2);
  for (const std::uint32_t item : { 2U, 3U, 1U }) {
    CHECK(next.table_.TakeItem(batchJob_.id_).value().run_.item_ == item);
  }
  CHECK_FALSE(next.table_.TakeItem(batchJob_.id_));
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_RunRefused_IsNotCountedAsAttempt")
{
  AcceptBatchJob();
  for (int round = 0; round < 10; ++round) {
    CHECK(End(MakeEnded(TakeItem(), ResultCode::Overloaded, Ran::NotRun)) ==
          EndAction::Requeue);
  }
  CHECK(End(MakeEnded(TakeItem(), ResultCode::Quarantined, Ran::NotRun)) ==
        EndAction::Append);
  CHECK(ResultAt(batchJob_.id_, 0).code_ == ResultCode::Quarantined);
}

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_NonIdempotentWithUnknownOutcome_IsNeverRerun")
{
  // A non-idempotent run whose agent is lost may have run. It must end as
  // unknown and not be rerun, live or after a takeover.
  batchJob_.idempotent_ = false;
  AcceptBatchJob();
  const DispatchedItem first = table_.TakeItem(batchJob_.id_).value();
  REQUIRE(first.recordStart_);
  Write({ kNow, ItemStarted{ first.run_, "endpoint" } });

  LoggedTable next = TakeOver();
  CHECK(next.table_.UncertainRuns() == std::vector<base::RunId>{ first.run_ });
  CHECK(next.table_.TakeItem(batchJob_.id_).value().run_.item_ !=
        first.run_.item_);

  CHECK(End(MakeEnded(first.run_, ResultCode::EndpointLost, Ran::Unknown)) ==
        EndAction::Append);
  CHECK(ResultAt(batchJob_.id_, 0).code_ == ResultCode::OutcomeUnknown);
  CHECK(ResultAt(batchJob_.id_, 0).ran_ == Ran::Unknown);
}

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_CancelDuringResultAppend_WaitsForResult")
{
  // A cancellation must not overtake a result that is being appended; otherwise
  // a replay could apply the two in a different order.
  AcceptBatchJob();
  const base::RunId early = TakeItem();
  const base::RunId late = TakeItem();
  const EndDecision ending =
    table_.DecideRunEnd(MakeEnded(early, ResultCode::Ok, Ran::Ran, "early"));
  CHECK(table_.DecideCancel(batchJob_.id_, kNow).action_ == CancelAction::Wait);
  CHECK_FALSE(table_.TakeItem(batchJob_.id_));
  CHECK(End(MakeEnded(late, ResultCode::Ok, Ran::Ran, "late")) ==
        EndAction::Wait);
  Write({ kNow, ItemsEnded{ { *ending.record_ } } });
  Write(table_.DecideCancel(batchJob_.id_, kNow).record_.value());
  CHECK(End(MakeEnded(late, ResultCode::Ok, Ran::Ran, "late")) ==
        EndAction::Discard);
  const wire::JobStatusReply status =
    TakeOver().table_.Status(batchJob_.id_, "slaegtsspor");
  CHECK(status.state_ == wire::JobState::Cancelled);
  CHECK(status.succeeded_ == 1);
  CHECK(status.cancelled_ == 3);
  CHECK(table_.Find(batchJob_.id_)->SourceOf(0) == ResultSource::Recorded);
  CHECK(table_.Find(batchJob_.id_)->SourceOf(1) == ResultSource::Cancelled);
}

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_RefusedOnlineRequest_MayBeSentAgain")
{
  const wire::RecordRequest request = MakeRequest("key", 1);
  REQUIRE(SubmitRequest(request) == AcceptAction::Append);
  wire::ItemResult refusal;
  refusal.code_ = ResultCode::Overloaded;
  refusal.ran_ = Ran::NotRun;
  const base::RunId run{ request.job_, 0, 1 };
  CHECK(table_.DecideResult(run, refusal, false).action_ == EndAction::Reject);
  const EndDecision decision = table_.DecideResult(run, refusal, true);
  REQUIRE(decision.action_ == EndAction::Append);
  const RecordEffects effects =
    Write({ kNow, ItemsEnded{ { *decision.record_ } } });
  CHECK(effects.withdrawn_.size() == 1);
  CHECK(SubmitRequest(MakeRequest("key", 2)) == AcceptAction::Append);
  CHECK(TakeOver().SubmitRequest(MakeRequest("key", 2)) ==
        AcceptAction::Running);
}

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_RetentionPassed_IsExpiredAndKeyIsFree")
{
  const wire::RecordRequest request = MakeRequest("key", 1);
  SubmitRequest(request);
  End(MakeEnded({ request.job_, 0, 1 }, ResultCode::Ok, Ran::Ran, "answer"));
  CHECK(SubmitRequest(request) == AcceptAction::Finished);
  CHECK(table_.FirstNeededSequence() == 1U);
  CHECK(table_.DropDueJobs(kNow + 3'599'999) == 0);
  CHECK(table_.DropDueJobs(kNow + 3'600'000) == 1);
  CHECK(table_.Status(request.job_, "slaegtsspor").code_ ==
        ResultCode::Expired);
  CHECK_FALSE(table_.FirstNeededSequence());
  CHECK(SubmitRequest(MakeRequest("key", 2)) == AcceptAction::Append);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_AnotherPartnersJob_IsNotFound")
{
  AcceptBatchJob();
  CHECK(table_.Status(batchJob_.id_, "kilimanjaro").code_ ==
        ResultCode::NotFound);
}

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_EachRecordAppliedTwice_StateIsUnchanged")
{
  AcceptBatchJob();
  End(MakeEnded(TakeItem(), ResultCode::Ok, Ran::Ran, "answer"));
  Write(table_.DecideCancel(batchJob_.id_, kNow).record_.value());
  LoggedTable twice;
  for (const Record& record : log_) {
    twice.Write(record);
    twice.Write(record);
  }
  const wire::JobStatusReply status =
    table_.Status(batchJob_.id_, "slaegtsspor");
  CHECK(twice.table_.Status(batchJob_.id_, "slaegtsspor") == status);
  for (const Record& record : log_) {
    twice.Write(record);
    CHECK(twice.table_.Status(batchJob_.id_, "slaegtsspor") == status);
  }
}

} // namespace pumiceturn::jobs
