#include "KeeperFixture.h"

#include "LibRouting/Fingerprint.h"

namespace pumiceturn::keeper {

using base::Ran;
using base::ResultCode;
using wire::LinkState;
using wire::StartRun;

TEST_CASE_METHOD(KeeperFixture, "Lot_CreditsGranted_EachItemRunsAndIsRead")
{
  const auto lot = Submit("lot", 3);
  CHECK(keeper_->SentOne<wire::BatchDemand>("agent-1").waiting_ == 3);
  CHECK(keeper_->Sent<StartRun>("agent-1").empty());
  keeper_->Grant("agent-1", 2);
  keeper_->Grant("agent-2", 5);
  auto starts = keeper_->Sent<StartRun>("agent-1");
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].payload_ == "payload-0");
  CHECK(starts[0].fence_ == 1);
  CHECK_FALSE(starts[0].online_);
  const auto third = keeper_->SentOne<StartRun>("agent-2");
  keeper_->Finish("agent-2", third, "c");
  CHECK(keeper_->SentOne<wire::RunRecorded>("agent-2").run_ == third.run_);
  CHECK_FALSE(keeper_->Read(lot.id_).ended_);
  keeper_->Finish("agent-1", starts[0], "a");
  keeper_->Finish("agent-1", starts[1], "b");
  const auto page = keeper_->Read(lot.id_);
  CHECK(page.ended_);
  REQUIRE(page.items_.size() == 3);
  CHECK(page.items_[0].text_ == "c");
  CHECK(page.items_[0].name_ == "name-2");
  CHECK(page.items_[2].position_ == 2);
  CHECK(keeper_->Read(lot.id_, 1, 1).items_[0].text_ == "a");
  CHECK(keeper_->Status(lot.id_).state_ == wire::JobState::Finished);
}

TEST_CASE_METHOD(KeeperFixture, "Lot_SentTwiceAtOnceAndAfterTakeover_IsOneJob")
{
  // Two entries bring the same lot at once: a client resent it when its first
  // connection hung. The owner is lost right after it answered, and the client
  // sends the lot a third time. Each is told of the same job; nothing runs
  // twice.
  const auto lot = Lot("lot", 2);
  keeper_->mode_ = AppendMode::Held;
  keeper_->From("entry-1", Whole(lot));
  keeper_->From("entry-2", Whole(lot));
  CHECK(keeper_->Sent<wire::SubmitReply>("entry-2").empty());
  keeper_->Acknowledge();
  CHECK_FALSE(keeper_->SentOne<wire::SubmitReply>("entry-1").duplicate_);
  CHECK(keeper_->SentOne<wire::SubmitReply>("entry-2").duplicate_);
  TakeOver();
  keeper_->From("entry-2", Whole(lot));
  CHECK(keeper_->SentOne<wire::SubmitReply>("entry-2").duplicate_);
  Settle();
  keeper_->Grant("agent-1", 9);
  CHECK(keeper_->Sent<StartRun>("agent-1").size() == 2);
}

TEST_CASE_METHOD(KeeperFixture, "Lot_OwnerLostAfterAcknowledgement_AllRun")
{
  // The owner's host goes right after it told the caller that the lot is
  // accepted, with one result recorded and one run under way.
  const auto lot = Submit("lot", 3);
  keeper_->Grant("agent-1", 2);
  auto starts = keeper_->Sent<StartRun>("agent-1");
  keeper_->Finish("agent-1", starts[0], "a");
  TakeOver();
  keeper_->Grant("agent-2", 9);
  keeper_->Pass(std::chrono::milliseconds{ 500 });
  CHECK(keeper_->Sent<StartRun>("agent-2").empty());
  keeper_->Finish("agent-1", starts[1], "b");
  CHECK(keeper_->SentOne<wire::RunRecorded>("agent-1").run_ == starts[1].run_);
  Settle();
  keeper_->Finish("agent-2", keeper_->SentOne<StartRun>("agent-2"), "c");
  const auto page = keeper_->Read(lot.id_);
  REQUIRE(page.items_.size() == 3);
  CHECK(page.ended_);
  CHECK(page.items_[1].text_ == "b");
  CHECK(page.items_[1].name_ == "name-1");
}

TEST_CASE_METHOD(KeeperFixture, "Lot_LongLotAfterTakeover_GoesOnAtOnce")
{
  // A long lot need not stand still while agents report what the former owner
  // had out, and what they report need not run again.
  const auto lot = Submit("lot", 300);
  keeper_->Grant("agent-1", 20);
  const auto out = keeper_->Sent<StartRun>("agent-1");
  TakeOver();
  keeper_->Grant("agent-2", 400);
  CHECK(keeper_->Sent<StartRun>("agent-2").size() == 44);
  for (const StartRun& start : out) {
    keeper_->Finish("agent-1", start, "reported");
  }
  Settle();
  CHECK(keeper_->Sent<StartRun>("agent-2").size() == 236);
  CHECK(keeper_->Status(lot.id_).succeeded_ == 20);
}

TEST_CASE_METHOD(KeeperFixture, "Lot_OwnerLostBeforeAcknowledgement_StillOnce")
{
  // The lot is in the log, but the owner is lost before it can say so. The
  // caller, who heard nothing, sends it again.
  const auto lot = Lot("lot", 2);
  keeper_->mode_ = AppendMode::Swallowed;
  keeper_->From("entry-1", Whole(lot));
  TakeOver();
  keeper_->From("entry-1", Whole(lot));
  CHECK(keeper_->SentOne<wire::SubmitReply>("entry-1").duplicate_);
  CHECK(keeper_->Status(lot.id_).waiting_ == 2);
}

TEST_CASE_METHOD(KeeperFixture, "Lot_AgentLostThenItsLateResult_FirstOneStays")
{
  // An agent's host is cut off with an item. After the grace the item runs
  // elsewhere and is recorded; then the link comes back with the old result.
  const auto lot = Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  const auto first = keeper_->SentOne<StartRun>("agent-1");
  keeper_->Link("agent-1", LinkState::Lost);
  keeper_->Pass(std::chrono::seconds{ 1 });
  CHECK(keeper_->Sent<StartRun>("agent-2").empty());
  keeper_->Pass(std::chrono::seconds{ 5 });
  keeper_->Grant("agent-2", 1);
  const auto rerun = keeper_->SentOne<StartRun>("agent-2");
  CHECK(rerun.run_.item_ == first.run_.item_);
  keeper_->Finish("agent-2", rerun, "rerun");
  keeper_->Link("agent-1", LinkState::Up);
  keeper_->Sent<wire::RunRecorded>("agent-1");
  keeper_->Finish("agent-1", first, "late");
  CHECK(keeper_->SentOne<wire::RunRecorded>("agent-1").run_ == first.run_);
  const auto page = keeper_->Read(lot.id_);
  REQUIRE(page.items_.size() == 1);
  CHECK(page.items_[0].text_ == "rerun");
  CHECK(keeper_->service_->Counts().resultsDropped_ == 1);
}

TEST_CASE_METHOD(KeeperFixture, "Lot_LateResultFirst_RerunIsStopped")
{
  const auto lot = Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  const auto first = keeper_->SentOne<StartRun>("agent-1");
  keeper_->Link("agent-1", LinkState::Lost);
  keeper_->Pass(std::chrono::seconds{ 5 });
  keeper_->Grant("agent-2", 1);
  const auto rerun = keeper_->SentOne<StartRun>("agent-2");
  keeper_->Finish("agent-1", first, "late");
  CHECK(keeper_->SentOne<wire::CancelRun>("agent-2").run_ == rerun.run_);
  CHECK(keeper_->Read(lot.id_).items_[0].text_ == "late");
}

TEST_CASE_METHOD(KeeperFixture, "Lot_LinkBackInTime_RunIsAttachedNotRepeated")
{
  Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  const auto start = keeper_->SentOne<StartRun>("agent-1");
  keeper_->Link("agent-1", LinkState::Lost);
  keeper_->Pass(std::chrono::seconds{ 2 });
  keeper_->Link("agent-1", LinkState::Up);
  CHECK(keeper_->SentOne<wire::AttachRun>("agent-1").run_ == start.run_);
  keeper_->Pass(std::chrono::seconds{ 10 });
  keeper_->Grant("agent-2", 1);
  CHECK(keeper_->Sent<StartRun>("agent-2").empty());
}

TEST_CASE_METHOD(KeeperFixture, "Lot_AgentReplaced_ItemsRunElsewhereAtOnce")
{
  Submit("lot", 2);
  keeper_->Grant("agent-1", 2);
  CHECK(keeper_->Sent<StartRun>("agent-1").size() == 2);
  keeper_->Grant("agent-2", 2);
  keeper_->Link("agent-1", LinkState::Replaced);
  CHECK(keeper_->Sent<StartRun>("agent-2").size() == 2);
}

TEST_CASE_METHOD(KeeperFixture, "Lot_CancelRacingCompletion_SameForAllReaders")
{
  // The caller cancels while one result is on its way into the log, one item
  // runs and one waits. The result stays, the run is stopped, the waiting item
  // never starts, and the next owner says the same.
  const auto lot = Submit("lot", 3);
  keeper_->Grant("agent-1", 2);
  const auto starts = keeper_->Sent<StartRun>("agent-1");
  keeper_->mode_ = AppendMode::Held;
  keeper_->Finish("agent-1", starts[0], "a");
  keeper_->From("entry-1", wire::CancelJob{ 6, lot.id_, "slaegtsspor" });
  keeper_->Grant("agent-2", 5);
  CHECK(keeper_->Sent<StartRun>("agent-2").empty());
  keeper_->Acknowledge();
  const auto reply = keeper_->SentOne<wire::JobStatusReply>("entry-1");
  CHECK(reply.state_ == wire::JobState::Cancelled);
  CHECK(reply.cancelled_ == 2);
  CHECK(keeper_->SentOne<wire::CancelRun>("agent-1").run_ == starts[1].run_);
  keeper_->Finish("agent-1", starts[1], "too late");
  CHECK(keeper_->Sent<StartRun>("agent-2").empty());
  const auto before = keeper_->Read(lot.id_);
  TakeOver();
  const auto after = keeper_->Read(lot.id_);
  CHECK(before == after);
  REQUIRE(after.items_.size() == 3);
  CHECK(after.ended_);
  CHECK(after.items_[0].text_ == "a");
  CHECK(after.items_[1].code_ == ResultCode::Cancelled);
  CHECK(after.items_[1].name_ == "name-1");
  Settle();
  keeper_->Grant("agent-2", 5);
  CHECK(keeper_->Sent<StartRun>("agent-2").empty());
}

TEST_CASE_METHOD(KeeperFixture, "Lot_CancelWhilePayloadIsRead_ItemNeverStarts")
{
  const auto lot = Submit("lot", 1);
  keeper_->service_->OnMessage("agent-1", wire::BatchGrant{ "origin-llm", 1 });
  keeper_->service_->OnMessage("entry-1",
                               wire::CancelJob{ 6, lot.id_, "slaegtsspor" });
  keeper_->Run();
  CHECK(keeper_->Sent<StartRun>("agent-1").empty());
}

TEST_CASE_METHOD(KeeperFixture, "Lot_ItemThatAlwaysFails_EndsAlone")
{
  const auto lot = Submit("lot", 2);
  keeper_->Grant("agent-1", 9);
  const auto starts = keeper_->Sent<StartRun>("agent-1");
  keeper_->Finish("agent-1", starts[1], "b");
  base::RunId run = starts[0].run_;
  for (int attempt = 1; attempt < 3; ++attempt) {
    keeper_->Fail("agent-1", run, ResultCode::EndpointCrashed, Ran::Ran);
    run = keeper_->SentOne<StartRun>("agent-1").run_;
  }
  keeper_->Fail("agent-1", run, ResultCode::EndpointCrashed, Ran::Ran);
  CHECK(keeper_->Sent<StartRun>("agent-1").empty());
  const auto page = keeper_->Read(lot.id_);
  CHECK(page.ended_);
  CHECK(page.items_[1].code_ == ResultCode::AttemptsExhausted);
  CHECK(page.items_[1].detail_ == "EndpointCrashed");
}

TEST_CASE_METHOD(KeeperFixture, "Lot_QuarantinedContent_EndsWithItsCode")
{
  keeper_->quarantined_.insert(
    routing::MakeFingerprint("origin-llm", "payload-0"));
  const auto lot = Submit("lot", 2);
  keeper_->Grant("agent-1", 2);
  CHECK(keeper_->SentOne<StartRun>("agent-1").payload_ == "payload-1");
  const auto page = keeper_->Read(lot.id_);
  REQUIRE(page.items_.size() == 1);
  CHECK(page.items_[0].code_ == ResultCode::Quarantined);
  CHECK(page.items_[0].ran_ == Ran::NotRun);
  CHECK(page.items_[0].name_ == "name-0");
}

TEST_CASE_METHOD(KeeperFixture, "Lot_NonIdempotentItem_AtMostOnceAcrossOwners")
{
  // A call that may not be repeated: its start is durable before it leaves.
  // Then the owner is lost, and nobody can tell how it ended.
  auto lot = Lot("lot", 2);
  lot.idempotent_ = false;
  keeper_->From("entry-1", Whole(lot));
  keeper_->mode_ = AppendMode::Held;
  keeper_->Grant("agent-1", 1);
  CHECK(keeper_->Sent<StartRun>("agent-1").empty());
  keeper_->Acknowledge();
  CHECK(keeper_->Sent<StartRun>("agent-1").size() == 1);
  TakeOver();
  Settle();
  keeper_->Grant("agent-2", 9);
  CHECK(keeper_->SentOne<StartRun>("agent-2").payload_ == "payload-1");
  const auto page = keeper_->Read(lot.id_);
  REQUIRE(page.items_.size() == 1);
  CHECK(page.items_[0].code_ == ResultCode::OutcomeUnknown);
  CHECK(page.items_[0].ran_ == Ran::Unknown);
  CHECK(page.items_[0].name_ == "name-0");
}

TEST_CASE_METHOD(KeeperFixture, "Lot_ResultAppendFails_SameResultAgain")
{
  // A copy is lost while a result is recorded: it is in the log, but not
  // acknowledged. A rerun could give another answer than the next owner's
  // replay, so the same result is appended until it holds.
  const auto lot = Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  const auto start = keeper_->SentOne<StartRun>("agent-1");
  keeper_->mode_ = AppendMode::Failing;
  keeper_->Finish("agent-1", start, "a");
  CHECK(keeper_->Sent<wire::RunRecorded>("agent-1").empty());
  CHECK(keeper_->Read(lot.id_).items_.empty());
  keeper_->mode_ = AppendMode::Durable;
  keeper_->Pass(std::chrono::milliseconds{ 100 });
  CHECK(keeper_->Sent<wire::RunRecorded>("agent-1").size() == 1);
  CHECK(keeper_->Read(lot.id_).items_[0].text_ == "a");
  TakeOver();
  CHECK(keeper_->Read(lot.id_).items_.size() == 1);
}

TEST_CASE_METHOD(KeeperFixture, "Lot_ResultsDuringAnAppend_ShareTheNextRecord")
{
  const auto lot = Submit("lot", 4);
  keeper_->Grant("agent-1", 4);
  const auto starts = keeper_->Sent<StartRun>("agent-1");
  const std::size_t before = log_->records_.size();
  keeper_->mode_ = AppendMode::Held;
  for (const StartRun& start : starts) {
    keeper_->Finish("agent-1", start, "a");
  }
  keeper_->Acknowledge();
  CHECK(log_->records_.size() == before + 2);
  CHECK(keeper_->Sent<wire::RunRecorded>("agent-1").size() == 4);
  CHECK(keeper_->Read(lot.id_).items_.size() == 4);
}

TEST_CASE_METHOD(KeeperFixture, "Lot_FormerOwnersRunFails_RerunIsNotDisturbed")
{
  // After a takeover an item runs again under the same attempt number, because
  // the former owner's dispatch left no record. Its old run then fails.
  Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  const auto old = keeper_->SentOne<StartRun>("agent-1");
  TakeOver();
  Settle();
  keeper_->Grant("agent-2", 1);
  const auto rerun = keeper_->SentOne<StartRun>("agent-2");
  REQUIRE(rerun.run_ == old.run_);
  keeper_->Grant("agent-1", 1);
  keeper_->Fail("agent-1", old.run_, ResultCode::EndpointLost, Ran::Unknown);
  CHECK(keeper_->Sent<StartRun>("agent-1").empty());
  CHECK(keeper_->SentOne<wire::RunRecorded>("agent-1").run_ == old.run_);
}

TEST_CASE_METHOD(KeeperFixture, "Lot_RefusedOrUnsent_WaitsWithoutAnAttempt")
{
  const auto lot = Submit("lot", 1);
  keeper_->unreachable_.insert("agent-1");
  keeper_->Grant("agent-1", 1);
  CHECK(keeper_->Status(lot.id_).running_ == 0);
  keeper_->Grant("agent-2", 9);
  for (int round = 0; round < 5; ++round) {
    const auto start = keeper_->SentOne<StartRun>("agent-2");
    keeper_->Fail("agent-2", start.run_, ResultCode::Overloaded, Ran::NotRun);
  }
  CHECK(keeper_->Read(lot.id_).items_.empty());
}

TEST_CASE_METHOD(KeeperFixture, "Lot_RetentionPassed_ResultsExpireLogIsTrimmed")
{
  const auto lot = Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  keeper_->Finish("agent-1", keeper_->SentOne<StartRun>("agent-1"), "a");
  keeper_->Pass(std::chrono::seconds{ 59 });
  CHECK(keeper_->trimmedBefore_ == 0);
  keeper_->Pass(std::chrono::seconds{ 1 });
  CHECK(keeper_->Read(lot.id_).code_ == ResultCode::Expired);
  CHECK(keeper_->trimmedBefore_ == log_->records_.size());
}

TEST_CASE_METHOD(KeeperFixture, "Keeper_NotOwnerOrRecovering_SaysSo")
{
  keeper_->otherOwner_ = "keeper-2";
  keeper_->Release();
  keeper_->From("entry-1", Whole(Lot("lot", 1)));
  const auto moved = keeper_->SentOne<wire::SubmitReply>("entry-1");
  CHECK(moved.code_ == ResultCode::NotOwner);
  CHECK(moved.ownerHint_ == "keeper-2");
  keeper_->Recover(2);
  CHECK(Ask("entry-1", Request("key")).code_ == ResultCode::Recovering);
}

TEST_CASE_METHOD(KeeperFixture, "Keeper_ReportForAnotherOwner_IsForwarded")
{
  // An agent reports to the keeper that gave it the run, which has lost the
  // partition meanwhile. Without a forward the item would run again.
  Submit("lot", 1);
  keeper_->Grant("agent-1", 1);
  const auto start = keeper_->SentOne<StartRun>("agent-1");
  keeper_->otherOwner_ = "keeper-2";
  keeper_->Release();
  keeper_->Finish("agent-1", start, "a");
  CHECK(keeper_->SentOne<wire::RunEnded>("keeper-2").text_ == "a");
  keeper_->From("keeper-2", wire::RunRecorded{ start.run_ });
  CHECK(keeper_->SentOne<wire::RunRecorded>("agent-1").run_ == start.run_);
}

TEST_CASE_METHOD(KeeperFixture, "Keeper_Draining_FinishesRunsThenHandsOver")
{
  Submit("lot", 2);
  keeper_->Grant("agent-1", 1);
  const auto start = keeper_->SentOne<StartRun>("agent-1");
  keeper_->service_->BeginDrain();
  keeper_->From("entry-1", Whole(Lot("other", 1)));
  CHECK(keeper_->SentOne<wire::SubmitReply>("entry-1").code_ ==
        ResultCode::Draining);
  keeper_->Grant("agent-1", 5);
  CHECK(keeper_->Sent<StartRun>("agent-1").empty());
  keeper_->Pass(std::chrono::seconds{ 1 });
  CHECK_FALSE(keeper_->handedOver_);
  keeper_->Finish("agent-1", start, "a");
  keeper_->Pass(std::chrono::milliseconds{ 100 });
  CHECK(keeper_->handedOver_);
  CHECK_FALSE(keeper_->service_->IsIdle());
  keeper_->Release();
  CHECK(keeper_->service_->IsIdle());
}

} // namespace pumiceturn::keeper
