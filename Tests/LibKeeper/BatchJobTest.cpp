#include "KeeperFixture.h"

#include "LibRouting/Fingerprint.h"

namespace pumiceturn::keeper {

using base::Ran;
using base::ResultCode;
using wire::LinkState;
using wire::StartRun;

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_CreditsGranted_EachItemRunsAndIsReadable")
{
  const auto job = Submit("lot", 3);
  CHECK(keeper_->PopOnlySent<wire::BatchDemand>("agent-1").waiting_ == 3);
  CHECK(keeper_->PopSent<StartRun>("agent-1").empty());
  keeper_->Grant("agent-1", 2);
  keeper_->Grant("agent-2", 5);
  auto starts = keeper_->PopSent<StartRun>("agent-1");
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].payload_ == "payload-0");
  CHECK(starts[0].fence_ == 1);
  CHECK_FALSE(starts[0].online_);
  const auto third = keeper_->PopOnlySent<StartRun>("agent-2");
  keeper_->Finish("agent-2", third, "c");
  CHECK(keeper_->PopOnlySent<wire::RunRecorded>("agent-2").run_ == third.run_);
  CHECK_FALSE(keeper_->Read(job.id_).ended_);
  keeper_->Finish("agent-1", starts[0], "a");
  keeper_->Finish("agent-1", starts[1], "b");
  const auto page = keeper_->Read(job.id_);
  CHECK(page.ended_);
  REQUIRE(page.items_.size() == 3);
  CHECK(page.items_[0].text_ == "c");
  CHECK(page.items_[0].name_ == "name-2");
  CHECK(page.items_[2].position_ == 2);
  CHECK(keeper_->Read(job.id_, 1, 1).items_[0].text_ == "a");
  CHECK(keeper_->Status(job.id_).state_ == wire::JobState::Finished);
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_SubmittedTwiceAndAfterTakeover_IsOneJob")
{
  // A job that is submitted concurrently and after a takeover must not run
  // twice.
  const auto job = MakeBatchJob("lot", 2);
  keeper_->mode_ = AppendMode::Delayed;
  keeper_->Receive("entry-1", MakeWholeFrame(job));
  keeper_->Receive("entry-2", MakeWholeFrame(job));
  CHECK(keeper_->PopSent<wire::SubmitReply>("entry-2").empty());
  keeper_->CompleteDelayedAppends();
  CHECK_FALSE(keeper_->PopOnlySent<wire::SubmitReply>("entry-1").duplicate_);
  CHECK(keeper_->PopOnlySent<wire::SubmitReply>("entry-2").duplicate_);
  TakeOver();
  keeper_->Receive("entry-2", MakeWholeFrame(job));
  CHECK(keeper_->PopOnlySent<wire::SubmitReply>("entry-2").duplicate_);
  FinishSettling();
  keeper_->Grant("agent-1", 9);
  CHECK(keeper_->PopSent<StartRun>("agent-1").size() == 2);
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_OwnerLostAfterAcknowledgement_AllItemsRun")
{
  // A takeover must neither lose accepted items nor rerun recorded or reported
  // ones.
  const auto job = Submit("lot", 3);
  keeper_->Grant("agent-1", 2);
  auto starts = keeper_->PopSent<StartRun>("agent-1");
  keeper_->Finish("agent-1", starts[0], "a");
  TakeOver();
  keeper_->Grant("agent-2", 9);
  keeper_->AdvanceTime(std::chrono::milliseconds{ 500 });
  CHECK(keeper_->PopSent<StartRun>("agent-2").empty());
  keeper_->Finish("agent-1", starts[1], "b");
  CHECK(keeper_->PopOnlySent<wire::RunRecorded>("agent-1").run_ ==
        starts[1].run_);
  FinishSettling();
  keeper_->Finish("agent-2", keeper_->PopOnlySent<StartRun>("agent-2"), "c");
  const auto page = keeper_->Read(job.id_);
  REQUIRE(page.items_.size() == 3);
  CHECK(page.ended_);
  CHECK(page.items_[1].text_ == "b");
  CHECK(page.items_[1].name_ == "name-1");
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_LongJobAfterTakeover_DispatchContinuesAtOnce")
{
  // A takeover must not stall a long job while agents report the items in
  // flight, and must not rerun reported items.
  const auto job = Submit("lot", 300);
  keeper_->Grant("agent-1", 20);
  const auto inFlight = keeper_->PopSent<StartRun>("agent-1");
  TakeOver();
  keeper_->Grant("agent-2", 400);
  // 300 items less the 256 that may be in flight at a takeover.
  CHECK(keeper_->PopSent<StartRun>("agent-2").size() == 44);
  for (const StartRun& start : inFlight) {
    keeper_->Finish("agent-1", start, "reported");
  }
  FinishSettling();
  // 300 items less the 44 started and the 20 reported.
  CHECK(keeper_->PopSent<StartRun>("agent-2").size() == 236);
  CHECK(keeper_->Status(job.id_).succeeded_ == 20);
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_OwnerLostBeforeAcknowledgement_IsOneJob")
{
  // A job that is recorded but not acknowledged must not run twice when it is
  // resent.
  const auto job = MakeBatchJob("lot", 2);
  keeper_->mode_ = AppendMode::Unacknowledged;
  keeper_->Receive("entry-1", MakeWholeFrame(job));
  TakeOver();
  keeper_->Receive("entry-1", MakeWholeFrame(job));
  CHECK(keeper_->PopOnlySent<wire::SubmitReply>("entry-1").duplicate_);
  CHECK(keeper_->Status(job.id_).waiting_ == 2);
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_AgentLostThenLateResult_FirstRecordedIsKept")
{
  // The late result of a lost agent must not replace the recorded result of the
  // rerun.
  const auto job = Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  const auto first = keeper_->PopOnlySent<StartRun>("agent-1");
  keeper_->SetLinkState("agent-1", LinkState::Lost);
  keeper_->AdvanceTime(std::chrono::seconds{ 1 });
  CHECK(keeper_->PopSent<StartRun>("agent-2").empty());
  keeper_->AdvanceTime(std::chrono::seconds{ 5 });
  keeper_->Grant("agent-2", 1);
  const auto rerun = keeper_->PopOnlySent<StartRun>("agent-2");
  CHECK(rerun.run_.item_ == first.run_.item_);
  keeper_->Finish("agent-2", rerun, "rerun");
  keeper_->SetLinkState("agent-1", LinkState::Up);
  keeper_->PopSent<wire::RunRecorded>("agent-1");
  keeper_->Finish("agent-1", first, "late");
  CHECK(keeper_->PopOnlySent<wire::RunRecorded>("agent-1").run_ == first.run_);
  const auto page = keeper_->Read(job.id_);
  REQUIRE(page.items_.size() == 1);
  CHECK(page.items_[0].text_ == "rerun");
  CHECK(keeper_->service_->Counts().resultsDropped_ == 1);
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_LateResultDuringRerun_RerunIsCancelled")
{
  const auto job = Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  const auto first = keeper_->PopOnlySent<StartRun>("agent-1");
  keeper_->SetLinkState("agent-1", LinkState::Lost);
  keeper_->AdvanceTime(std::chrono::seconds{ 5 });
  keeper_->Grant("agent-2", 1);
  const auto rerun = keeper_->PopOnlySent<StartRun>("agent-2");
  keeper_->Finish("agent-1", first, "late");
  CHECK(keeper_->PopOnlySent<wire::CancelRun>("agent-2").run_ == rerun.run_);
  CHECK(keeper_->Read(job.id_).items_[0].text_ == "late");
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_LinkRestoredInTime_RunIsAttachedNotRerun")
{
  Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  const auto start = keeper_->PopOnlySent<StartRun>("agent-1");
  keeper_->SetLinkState("agent-1", LinkState::Lost);
  keeper_->AdvanceTime(std::chrono::seconds{ 2 });
  keeper_->SetLinkState("agent-1", LinkState::Up);
  CHECK(keeper_->PopOnlySent<wire::AttachRun>("agent-1").run_ == start.run_);
  keeper_->AdvanceTime(std::chrono::seconds{ 10 });
  keeper_->Grant("agent-2", 1);
  CHECK(keeper_->PopSent<StartRun>("agent-2").empty());
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_AgentReplaced_ItemsRunElsewhereAtOnce")
{
  Submit("lot", 2);
  keeper_->Grant("agent-1", 2);
  CHECK(keeper_->PopSent<StartRun>("agent-1").size() == 2);
  keeper_->Grant("agent-2", 2);
  keeper_->SetLinkState("agent-1", LinkState::Replaced);
  CHECK(keeper_->PopSent<StartRun>("agent-2").size() == 2);
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_CancelDuringResultAppend_ReadersSeeSameResults")
{
  // After a cancellation that races with a result, all readers must see the
  // same results, also after a takeover, and no further item may start.
  const auto job = Submit("lot", 3);
  keeper_->Grant("agent-1", 2);
  const auto starts = keeper_->PopSent<StartRun>("agent-1");
  keeper_->mode_ = AppendMode::Delayed;
  keeper_->Finish("agent-1", starts[0], "a");
  keeper_->Receive("entry-1", wire::CancelJob{ 6, job.id_, "slaegtsspor" });
  keeper_->Grant("agent-2", 5);
  CHECK(keeper_->PopSent<StartRun>("agent-2").empty());
  keeper_->CompleteDelayedAppends();
  const auto reply = keeper_->PopOnlySent<wire::JobStatusReply>("entry-1");
  CHECK(reply.state_ == wire::JobState::Cancelled);
  CHECK(reply.cancelled_ == 2);
  CHECK(keeper_->PopOnlySent<wire::CancelRun>("agent-1").run_ ==
        starts[1].run_);
  keeper_->Finish("agent-1", starts[1], "too late");
  CHECK(keeper_->PopSent<StartRun>("agent-2").empty());
  const auto before = keeper_->Read(job.id_);
  TakeOver();
  const auto after = keeper_->Read(job.id_);
  CHECK(before == after);
  REQUIRE(after.items_.size() == 3);
  CHECK(after.ended_);
  CHECK(after.items_[0].text_ == "a");
  CHECK(after.items_[1].code_ == ResultCode::Cancelled);
  CHECK(after.items_[1].name_ == "name-1");
  FinishSettling();
  keeper_->Grant("agent-2", 5);
  CHECK(keeper_->PopSent<StartRun>("agent-2").empty());
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_CancelWhilePayloadIsRead_ItemNeverStarts")
{
  const auto job = Submit("lot", 1);
  keeper_->service_->OnMessage("agent-1", wire::BatchGrant{ "origin-llm", 1 });
  keeper_->service_->OnMessage("entry-1",
                               wire::CancelJob{ 6, job.id_, "slaegtsspor" });
  keeper_->RunTasks();
  CHECK(keeper_->PopSent<StartRun>("agent-1").empty());
}

TEST_CASE_METHOD(KeeperFixture, "BatchJob_ItemAlwaysFails_OnlyThatItemFails")
{
  const auto job = Submit("lot", 2);
  keeper_->Grant("agent-1", 9);
  const auto starts = keeper_->PopSent<StartRun>("agent-1");
  keeper_->Finish("agent-1", starts[1], "b");
  base::RunId run = starts[0].run_;
  for (int attempt = 1; attempt < 3; ++attempt) {
    keeper_->Fail("agent-1", run, ResultCode::EndpointCrashed, Ran::Ran);
    run = keeper_->PopOnlySent<StartRun>("agent-1").run_;
  }
  keeper_->Fail("agent-1", run, ResultCode::EndpointCrashed, Ran::Ran);
  CHECK(keeper_->PopSent<StartRun>("agent-1").empty());
  const auto page = keeper_->Read(job.id_);
  CHECK(page.ended_);
  CHECK(page.items_[1].code_ == ResultCode::AttemptsExhausted);
  CHECK(page.items_[1].detail_ == "EndpointCrashed");
}

TEST_CASE_METHOD(KeeperFixture, "BatchJob_QuarantinedContent_EndsAsQuarantined")
{
  keeper_->quarantined_.insert(
    routing::MakeFingerprint("origin-llm", "payload-0"));
  const auto job = Submit("lot", 2);
  keeper_->Grant("agent-1", 2);
  CHECK(keeper_->PopOnlySent<StartRun>("agent-1").payload_ == "payload-1");
  const auto page = keeper_->Read(job.id_);
  REQUIRE(page.items_.size() == 1);
  CHECK(page.items_[0].code_ == ResultCode::Quarantined);
  CHECK(page.items_[0].ran_ == Ran::NotRun);
  CHECK(page.items_[0].name_ == "name-0");
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_NonIdempotentItem_RunsAtMostOnceAcrossOwners")
{
  // A non-idempotent item must not be sent before its start is durable, and
  // must not be rerun after a takeover.
  auto job = MakeBatchJob("lot", 2);
  job.idempotent_ = false;
  keeper_->Receive("entry-1", MakeWholeFrame(job));
  keeper_->mode_ = AppendMode::Delayed;
  keeper_->Grant("agent-1", 1);
  CHECK(keeper_->PopSent<StartRun>("agent-1").empty());
  keeper_->CompleteDelayedAppends();
  CHECK(keeper_->PopSent<StartRun>("agent-1").size() == 1);
  TakeOver();
  FinishSettling();
  keeper_->Grant("agent-2", 9);
  CHECK(keeper_->PopOnlySent<StartRun>("agent-2").payload_ == "payload-1");
  const auto page = keeper_->Read(job.id_);
  REQUIRE(page.items_.size() == 1);
  CHECK(page.items_[0].code_ == ResultCode::OutcomeUnknown);
  CHECK(page.items_[0].ran_ == Ran::Unknown);
  CHECK(page.items_[0].name_ == "name-0");
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_ResultAppendFails_SameResultIsAppendedAgain")
{
  // A result whose append failed may be in the log. A rerun could give a
  // different result than a replay, so the same result must be appended again.
  const auto job = Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  const auto start = keeper_->PopOnlySent<StartRun>("agent-1");
  keeper_->mode_ = AppendMode::Failing;
  keeper_->Finish("agent-1", start, "a");
  CHECK(keeper_->PopSent<wire::RunRecorded>("agent-1").empty());
  CHECK(keeper_->Read(job.id_).items_.empty());
  keeper_->mode_ = AppendMode::Durable;
  keeper_->AdvanceTime(std::chrono::milliseconds{ 100 });
  CHECK(keeper_->PopSent<wire::RunRecorded>("agent-1").size() == 1);
  CHECK(keeper_->Read(job.id_).items_[0].text_ == "a");
  TakeOver();
  CHECK(keeper_->Read(job.id_).items_.size() == 1);
}

TEST_CASE_METHOD(KeeperFixture, "BatchJob_ResultsDuringAppend_ShareNextRecord")
{
  const auto job = Submit("lot", 4);
  keeper_->Grant("agent-1", 4);
  const auto starts = keeper_->PopSent<StartRun>("agent-1");
  const std::size_t before = log_->records_.size();
  keeper_->mode_ = AppendMode::Delayed;
  for (const StartRun& start : starts) {
    keeper_->Finish("agent-1", start, "a");
  }
  keeper_->CompleteDelayedAppends();
  CHECK(log_->records_.size() == before + 2);
  CHECK(keeper_->PopSent<wire::RunRecorded>("agent-1").size() == 4);
  CHECK(keeper_->Read(job.id_).items_.size() == 4);
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_PreviousOwnersRunFails_RerunIsUnaffected")
{
  // After a takeover an item may be rerun under the same attempt number. A
  // failure of the old run must not end the rerun.
  Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  const auto old = keeper_->PopOnlySent<StartRun>("agent-1");
  TakeOver();
  FinishSettling();
  keeper_->Grant("agent-2", 1);
  const auto rerun = keeper_->PopOnlySent<StartRun>("agent-2");
  REQUIRE(rerun.run_ == old.run_);
  keeper_->Grant("agent-1", 1);
  keeper_->Fail("agent-1", old.run_, ResultCode::EndpointLost, Ran::Unknown);
  CHECK(keeper_->PopSent<StartRun>("agent-1").empty());
  CHECK(keeper_->PopOnlySent<wire::RunRecorded>("agent-1").run_ == old.run_);
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_RefusedOrUnsent_IsRequeuedWithoutCountingAttempt")
{
  const auto job = Submit("lot", 1);
  keeper_->unreachable_.insert("agent-1");
  keeper_->Grant("agent-1", 1);
  CHECK(keeper_->Status(job.id_).running_ == 0);
  keeper_->Grant("agent-2", 9);
  for (int round = 0; round < 5; ++round) {
    const auto start = keeper_->PopOnlySent<StartRun>("agent-2");
    keeper_->Fail("agent-2", start.run_, ResultCode::Overloaded, Ran::NotRun);
  }
  CHECK(keeper_->Read(job.id_).items_.empty());
}

TEST_CASE_METHOD(KeeperFixture,
                 "BatchJob_RetentionPassed_ResultsExpireAndLogIsTrimmed")
{
  const auto job = Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  keeper_->Finish("agent-1", keeper_->PopOnlySent<StartRun>("agent-1"), "a");
  keeper_->AdvanceTime(std::chrono::seconds{ 59 });
  CHECK(keeper_->trimmedBefore_ == 0);
  keeper_->AdvanceTime(std::chrono::seconds{ 1 });
  CHECK(keeper_->Read(job.id_).code_ == ResultCode::Expired);
  CHECK(keeper_->trimmedBefore_ == log_->records_.size());
}

TEST_CASE_METHOD(KeeperFixture, "Keeper_NotOwnerOrRecovering_RefusesRequests")
{
  keeper_->otherOwner_ = "keeper-2";
  keeper_->Release();
  keeper_->Receive("entry-1", MakeWholeFrame(MakeBatchJob("lot", 1)));
  const auto moved = keeper_->PopOnlySent<wire::SubmitReply>("entry-1");
  CHECK(moved.code_ == ResultCode::NotOwner);
  CHECK(moved.ownerHint_ == "keeper-2");
  keeper_->Recover(2);
  CHECK(SubmitRequest("entry-1", MakeRequest("key")).code_ ==
        ResultCode::Recovering);
}

TEST_CASE_METHOD(KeeperFixture, "Keeper_ReportForAnotherOwner_IsForwarded")
{
  // A report to a keeper that has released the partition must reach the new
  // owner; otherwise the item would be rerun.
  Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  const auto start = keeper_->PopOnlySent<StartRun>("agent-1");
  keeper_->otherOwner_ = "keeper-2";
  keeper_->Release();
  keeper_->Finish("agent-1", start, "a");
  CHECK(keeper_->PopOnlySent<wire::RunEnded>("keeper-2").text_ == "a");
  keeper_->Receive("keeper-2", wire::RunRecorded{ start.run_ });
  CHECK(keeper_->PopOnlySent<wire::RunRecorded>("agent-1").run_ == start.run_);
}

TEST_CASE_METHOD(KeeperFixture, "Keeper_Draining_FinishesRunsThenHandsOver")
{
  Submit("lot", 2);
  keeper_->Grant("agent-1", 1);
  const auto start = keeper_->PopOnlySent<StartRun>("agent-1");
  keeper_->service_->BeginDrain();
  keeper_->Receive("entry-1", MakeWholeFrame(MakeBatchJob("other", 1)));
  CHECK(keeper_->PopOnlySent<wire::SubmitReply>("entry-1").code_ ==
        ResultCode::Draining);
  keeper_->Grant("agent-1", 5);
  CHECK(keeper_->PopSent<StartRun>("agent-1").empty());
  keeper_->AdvanceTime(std::chrono::seconds{ 1 });
  CHECK_FALSE(keeper_->handedOver_);
  keeper_->Finish("agent-1", start, "a");
  keeper_->AdvanceTime(std::chrono::milliseconds{ 100 });
  CHECK(keeper_->handedOver_);
  CHECK_FALSE(keeper_->service_->IsIdle());
  keeper_->Release();
  CHECK(keeper_->service_->IsIdle());
}

} // namespace pumiceturn::keeper
