#include "JobFixture.h"

#include <catch2/catch.hpp>

namespace pumiceturn::jobs {

using base::Ran;
using base::ResultCode;

namespace {

struct JobTableFixture : LoggedTable
{
  wire::JobDescription lot_ = MakeLot("lot", 1, 4);

  void AcceptLot()
  {
    REQUIRE(Submit(MakeFrame(lot_, 0, 2)) == Acceptance::Append);
    REQUIRE(Submit(MakeFrame(lot_, 2, 2)) == Acceptance::Append);
  }

  base::RunId Take() { return table_.TakeItem(lot_.id_).value().run_; }
};

} // namespace

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_LotInterruptedHalfway_IsNotAccepted")
{
  // An entry dies between two frames. Its caller got no answer, so nothing of
  // the lot may run; when the lot is resent, the rest is enough.
  REQUIRE(Submit(MakeFrame(lot_, 0, 2)) == Acceptance::Append);
  CHECK(table_.Status(lot_.id_, "slaegtsspor").code_ == ResultCode::NotFound);
  CHECK_FALSE(table_.TakeItem(lot_.id_));

  LoggedTable next = TakeOver();
  CHECK(next.Submit(MakeFrame(lot_, 0, 2)) == Acceptance::Received);
  CHECK(next.Submit(MakeFrame(lot_, 2, 2)) == Acceptance::Append);
  CHECK(next.table_.Status(lot_.id_, "slaegtsspor").waiting_ == 4);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_SameLotTwice_IsOneJob")
{
  // A society sends the same lot through two entries at once, and once more
  // after the owner was lost. Counting it twice would bill it twice.
  const wire::SubmitFrame whole = MakeFrame(lot_, 0, 4);
  const AcceptDecision first = table_.AcceptFrame(whole, kNow);
  REQUIRE(first.answer_ == Acceptance::Append);
  CHECK(table_.AcceptFrame(whole, kNow).answer_ == Acceptance::Wait);
  Write(first.records_, lot_.id_);
  CHECK(table_.AcceptFrame(whole, kNow).answer_ == Acceptance::Duplicate);

  LoggedTable next = TakeOver();
  CHECK(next.Submit(whole) == Acceptance::Duplicate);
  CHECK(next.table_.Status(lot_.id_, "slaegtsspor").waiting_ == 4);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_OtherContentUnderAKey_IsAConflict")
{
  AcceptLot();
  CHECK(Submit(MakeFrame(MakeLot("lot", 2, 4), 0, 4)) == Acceptance::Conflict);
  CHECK(Submit(MakeFrame(MakeLot("other", 2, 1), 0, 1)) == Acceptance::Append);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_FramesOutOfOrder_AreInvalid")
{
  CHECK(Submit(MakeFrame(lot_, 2, 2)) == Acceptance::Invalid);
  CHECK(Submit(MakeFrame(lot_, 0, 5)) == Acceptance::Invalid);
}

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_UncertainAcceptance_KeepsItsKeyForItsContent")
{
  // The disk of a copy fails while a request is recorded: the caller is
  // refused, but the records lie in the log. If other content were accepted
  // under the key, the next owner's replay would find the first one accepted
  // and lose the second.
  const wire::RecordRequest first = MakeRequest("key", 1);
  const AcceptDecision decision = table_.AcceptOnline(first, 3, kNow);
  table_.SettleAccept(first.job_, false);
  CHECK(Ask(MakeRequest("key", 2)) == Acceptance::Conflict);
  CHECK(Ask(first) == Acceptance::Append);
  CHECK(Ask(first) == Acceptance::Running);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_LateResultAfterRerun_FirstOneStays")
{
  // An agent is cut off with an item, the item is run again elsewhere and
  // recorded, then the first agent comes back with its own result. Readers must
  // see one result, the same before and after a takeover.
  AcceptLot();
  const base::RunId lost = Take();
  CHECK(End(MakeEnded(lost, ResultCode::EndpointLost, Ran::Unknown)) ==
        EndAction::Requeue);
  const base::RunId rerun = Take();
  CHECK(rerun.item_ == lost.item_);
  CHECK(rerun.attempt_ > lost.attempt_);
  CHECK(End(MakeEnded(rerun, ResultCode::Ok, Ran::Ran, "second")) ==
        EndAction::Record);
  CHECK(End(MakeEnded(lost, ResultCode::Ok, Ran::Ran, "first")) ==
        EndAction::Forget);
  CHECK(ResultAt(lot_.id_, 0).text_ == "second");
  CHECK(TakeOver().ResultAt(lot_.id_, 0).text_ == "second");
  CHECK(table_.Find(lot_.id_)->results_.size() == 1);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_LateResultBeforeRerun_EndsTheItem")
{
  AcceptLot();
  const base::RunId lost = Take();
  End(MakeEnded(lost, ResultCode::EndpointLost, Ran::Unknown));
  CHECK(End(MakeEnded(lost, ResultCode::Ok, Ran::Ran, "late")) ==
        EndAction::Record);
  for (int left = 0; left < 3; ++left) {
    CHECK(Take().item_ != lost.item_);
  }
  CHECK_FALSE(table_.TakeItem(lot_.id_));
}

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_ItemThatAlwaysFails_EndsAndSiblingsGoOn")
{
  // One prompt of a lot makes every engine answer with an error. It ends with
  // its own code after the attempts of its kind, also when an owner is lost in
  // between; the rest of the report is complete.
  AcceptLot();
  Take();
  base::RunId failing{ lot_.id_, 0, 1 };
  CHECK(End(MakeEnded(failing, ResultCode::EndpointFailed, Ran::Ran)) ==
        EndAction::Requeue);
  const Dispatch second = table_.TakeItem(lot_.id_).value();
  REQUIRE(second.recordStart_);
  Write({ kNow, ItemStarted{ second.run_, "endpoint" } });

  LoggedTable next = TakeOver();
  failing = next.table_.TakeItem(lot_.id_).value().run_;
  CHECK(next.End(MakeEnded(failing, ResultCode::EndpointFailed, Ran::Ran)) ==
        EndAction::Requeue);
  failing = next.table_.TakeItem(lot_.id_).value().run_;
  CHECK(next.End(MakeEnded(failing, ResultCode::EndpointFailed, Ran::Ran)) ==
        EndAction::Record);
  CHECK(next.ResultAt(lot_.id_, 0).code_ == ResultCode::AttemptsExhausted);
  for (int left = 0; left < 3; ++left) {
    const base::RunId run = next.table_.TakeItem(lot_.id_).value().run_;
    next.End(MakeEnded(run, ResultCode::Ok, Ran::Ran, "fine"));
  }
  const wire::JobStatusReply status =
    next.table_.Status(lot_.id_, "slaegtsspor");
  CHECK(status.state_ == wire::JobState::Finished);
  CHECK(status.succeeded_ == 3);
  CHECK(status.failed_ == 1);
}

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_LotAfterTakeover_GoesOnBehindItemsInFlight")
{
  AcceptLot();
  End(MakeEnded(Take(), ResultCode::Ok, Ran::Ran, "first"));
  LoggedTable next = TakeOver();
  CHECK(next.table_.SkipInFlight(lot_.id_, 3) == 0);
  CHECK(next.table_.SkipInFlight(lot_.id_, 1) == 2);
  for (const std::uint32_t item : { 2U, 3U, 1U }) {
    CHECK(next.table_.TakeItem(lot_.id_).value().run_.item_ == item);
  }
  CHECK_FALSE(next.table_.TakeItem(lot_.id_));
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_TrueRefusal_CountsNoAttempt")
{
  AcceptLot();
  for (int round = 0; round < 10; ++round) {
    CHECK(End(MakeEnded(Take(), ResultCode::Overloaded, Ran::NotRun)) ==
          EndAction::Requeue);
  }
  CHECK(End(MakeEnded(Take(), ResultCode::Quarantined, Ran::NotRun)) ==
        EndAction::Record);
  CHECK(ResultAt(lot_.id_, 0).code_ == ResultCode::Quarantined);
}

TEST_CASE_METHOD(JobTableFixture,
                 "JobTable_NonIdempotentWithUnknownEnd_IsNeverRunAgain")
{
  // A call that may not be repeated was sent, and its agent was lost. Nobody
  // can tell whether it ran, so it ends as unknown, live and after a takeover.
  lot_.idempotent_ = false;
  AcceptLot();
  const Dispatch first = table_.TakeItem(lot_.id_).value();
  REQUIRE(first.recordStart_);
  Write({ kNow, ItemStarted{ first.run_, "endpoint" } });

  LoggedTable next = TakeOver();
  CHECK(next.table_.UncertainRuns() == std::vector<base::RunId>{ first.run_ });
  CHECK(next.table_.TakeItem(lot_.id_).value().run_.item_ != first.run_.item_);

  CHECK(End(MakeEnded(first.run_, ResultCode::EndpointLost, Ran::Unknown)) ==
        EndAction::Record);
  CHECK(ResultAt(lot_.id_, 0).code_ == ResultCode::OutcomeUnknown);
  CHECK(ResultAt(lot_.id_, 0).ran_ == Ran::Unknown);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_CancelRacingCompletion_LogDecides")
{
  // A caller cancels while a result is on its way into the log. That result
  // stays; the others are cancelled, and later results are dropped. If the
  // cancellation could overtake the result, a takeover could swap the two.
  AcceptLot();
  const base::RunId early = Take();
  const base::RunId late = Take();
  const EndDecision ending =
    table_.DecideRunEnd(MakeEnded(early, ResultCode::Ok, Ran::Ran, "early"));
  CHECK(table_.Cancel(lot_.id_, kNow).action_ == CancelAction::Wait);
  CHECK_FALSE(table_.TakeItem(lot_.id_));
  CHECK(End(MakeEnded(late, ResultCode::Ok, Ran::Ran, "late")) ==
        EndAction::Wait);
  Write({ kNow, ItemsEnded{ { *ending.record_ } } });
  Write(table_.Cancel(lot_.id_, kNow).record_.value());
  CHECK(End(MakeEnded(late, ResultCode::Ok, Ran::Ran, "late")) ==
        EndAction::Forget);
  const wire::JobStatusReply status =
    TakeOver().table_.Status(lot_.id_, "slaegtsspor");
  CHECK(status.state_ == wire::JobState::Cancelled);
  CHECK(status.succeeded_ == 1);
  CHECK(status.cancelled_ == 3);
  CHECK(table_.Find(lot_.id_)->SourceOf(0) == ResultSource::Recorded);
  CHECK(table_.Find(lot_.id_)->SourceOf(1) == ResultSource::Cancelled);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_RefusedOnlineRequest_MayComeAgain")
{
  const wire::RecordRequest request = MakeRequest("key", 1);
  REQUIRE(Ask(request) == Acceptance::Append);
  wire::ItemResult refusal;
  refusal.code_ = ResultCode::Overloaded;
  refusal.ran_ = Ran::NotRun;
  const base::RunId run{ request.job_, 0, 1 };
  CHECK(table_.DecideResult(run, refusal, false).action_ == EndAction::Refuse);
  const EndDecision decision = table_.DecideResult(run, refusal, true);
  REQUIRE(decision.action_ == EndAction::Record);
  const Applied applied = Write({ kNow, ItemsEnded{ { *decision.record_ } } });
  CHECK(applied.withdrawn_.size() == 1);
  CHECK(Ask(MakeRequest("key", 2)) == Acceptance::Append);
  CHECK(TakeOver().Ask(MakeRequest("key", 2)) == Acceptance::Running);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_RetentionPassed_IsExpiredThenFree")
{
  const wire::RecordRequest request = MakeRequest("key", 1);
  Ask(request);
  End(MakeEnded({ request.job_, 0, 1 }, ResultCode::Ok, Ran::Ran, "answer"));
  CHECK(Ask(request) == Acceptance::Finished);
  CHECK(table_.FirstNeededSequence() == 1U);
  CHECK(table_.Expire(kNow + 3'599'999) == 0);
  CHECK(table_.Expire(kNow + 3'600'000) == 1);
  CHECK(table_.Status(request.job_, "slaegtsspor").code_ ==
        ResultCode::Expired);
  CHECK_FALSE(table_.FirstNeededSequence());
  CHECK(Ask(MakeRequest("key", 2)) == Acceptance::Append);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_AnotherPartnersJob_IsNotFound")
{
  AcceptLot();
  CHECK(table_.Status(lot_.id_, "kilimanjaro").code_ == ResultCode::NotFound);
}

TEST_CASE_METHOD(JobTableFixture, "JobTable_EachRecordTwice_ChangesNothing")
{
  AcceptLot();
  End(MakeEnded(Take(), ResultCode::Ok, Ran::Ran, "answer"));
  Write(table_.Cancel(lot_.id_, kNow).record_.value());
  LoggedTable twice;
  for (const Record& record : log_) {
    twice.Write(record);
    twice.Write(record);
  }
  const wire::JobStatusReply status = table_.Status(lot_.id_, "slaegtsspor");
  CHECK(twice.table_.Status(lot_.id_, "slaegtsspor") == status);
  for (const Record& record : log_) {
    twice.Write(record);
    CHECK(twice.table_.Status(lot_.id_, "slaegtsspor") == status);
  }
}

} // namespace pumiceturn::jobs
