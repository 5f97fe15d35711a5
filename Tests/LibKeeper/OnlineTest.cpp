#include "KeeperFixture.h"

namespace pumiceturn::keeper {

using base::Ran;
using base::ResultCode;
using wire::LinkState;
using wire::RecordState;
using wire::StartRun;

TEST_CASE_METHOD(KeeperFixture, "Online_SecondCaller_ReceivesFirstResult")
{
  // A request that is resent through another entry while it runs must not run
  // twice.
  const auto request = MakeRequest("key");
  CHECK(SubmitRequest("entry-1", request).state_ == RecordState::New);
  CHECK(SubmitRequest("entry-2", request).state_ == RecordState::Running);
  CHECK(SubmitRequest("entry-1", request).state_ == RecordState::New);
  keeper_->Receive("entry-1", MakeResult(request, "answer"));
  const auto recorded =
    keeper_->PopOnlySent<wire::RecordResultReply>("entry-1");
  CHECK(recorded.first_);
  const auto later = keeper_->PopOnlySent<wire::RecordReply>("entry-2");
  CHECK(later.state_ == RecordState::Finished);
  CHECK(later.result_.text_ == "answer");
  CHECK(SubmitRequest("entry-3", request).result_.text_ == "answer");
  auto other = request;
  other.digest_ = 2;
  CHECK(SubmitRequest("entry-3", other).code_ == ResultCode::KeyConflict);
}

TEST_CASE_METHOD(KeeperFixture, "Online_SecondResult_IsAnsweredWithFirst")
{
  const auto request = MakeRequest("key");
  SubmitRequest("entry-1", request);
  keeper_->Receive("entry-1", MakeResult(request, "answer"));
  keeper_->PopSent<wire::RecordResultReply>("entry-1");
  keeper_->Receive("entry-1", MakeResult(request, "answer"));
  CHECK(keeper_->PopOnlySent<wire::RecordResultReply>("entry-1").first_);
  keeper_->Receive("entry-2", MakeResult(request, "other"));
  const auto reply = keeper_->PopOnlySent<wire::RecordResultReply>("entry-2");
  CHECK_FALSE(reply.first_);
  CHECK(reply.result_.text_ == "answer");
}

TEST_CASE_METHOD(KeeperFixture,
                 "Online_RunnerReportsNotRun_RequestIsWithdrawnForAllCallers")
{
  const auto request = MakeRequest("key");
  SubmitRequest("entry-1", request);
  SubmitRequest("entry-2", request);
  auto refusal = MakeResult(request, "");
  refusal.result_.code_ = ResultCode::Overloaded;
  refusal.result_.ran_ = Ran::NotRun;
  keeper_->Receive("entry-2", refusal);
  CHECK(keeper_->PopOnlySent<wire::RecordResultReply>("entry-2").code_ ==
        ResultCode::StillRunning);
  keeper_->Receive("entry-1", refusal);
  CHECK(keeper_->PopOnlySent<wire::RecordResultReply>("entry-1").code_ ==
        ResultCode::Ok);
  CHECK(keeper_->PopOnlySent<wire::RecordReply>("entry-2").code_ ==
        ResultCode::Overloaded);
  CHECK(SubmitRequest("entry-2", request).state_ == RecordState::New);
}

TEST_CASE_METHOD(KeeperFixture, "Online_EntryLost_OwnerRunsIdempotentRequest")
{
  // A request whose entry is lost must still get a result.
  const auto request = MakeRequest("key");
  SubmitRequest("entry-1", request);
  keeper_->SetLinkState("entry-1", LinkState::Lost);
  keeper_->AdvanceTime(std::chrono::seconds{ 2 });
  CHECK(SubmitRequest("entry-2", request).state_ == RecordState::Running);
  CHECK(keeper_->PopSent<StartRun>("agent-1").empty());
  keeper_->AdvanceTime(std::chrono::seconds{ 3 });
  const auto start = keeper_->PopOnlySent<StartRun>("agent-1");
  CHECK(start.online_);
  CHECK(start.payload_ == "a name");
  CHECK(start.run_.attempt_ >= jobs::kFirstOwnerAttempt);
  keeper_->Finish("agent-1", start, "answer");
  CHECK(keeper_->PopOnlySent<wire::RecordReply>("entry-2").result_.text_ ==
        "answer");
  keeper_->SetLinkState("entry-1", LinkState::Up);
  keeper_->Receive("entry-1", MakeResult(request, "late"));
  CHECK(
    keeper_->PopOnlySent<wire::RecordResultReply>("entry-1").result_.text_ ==
    "answer");
}

TEST_CASE_METHOD(KeeperFixture, "Online_EntryReconnectsInTime_KeepsRequest")
{
  const auto request = MakeRequest("key");
  SubmitRequest("entry-1", request);
  keeper_->SetLinkState("entry-1", LinkState::Lost);
  keeper_->AdvanceTime(std::chrono::seconds{ 2 });
  keeper_->SetLinkState("entry-1", LinkState::Up);
  keeper_->AdvanceTime(std::chrono::seconds{ 20 });
  CHECK(keeper_->PopSent<StartRun>("agent-1").empty());
}

TEST_CASE_METHOD(KeeperFixture, "Online_EntryReplaced_NonIdempotentIsUnknown")
{
  // A non-idempotent request whose entry restarts may have run. It must end as
  // unknown and not be rerun.
  auto request = MakeRequest("key");
  request.idempotent_ = false;
  SubmitRequest("entry-1", request);
  CHECK(SubmitRequest("entry-2", request).state_ == RecordState::Running);
  keeper_->SetLinkState("entry-1", LinkState::Replaced);
  const auto reply = keeper_->PopOnlySent<wire::RecordReply>("entry-2");
  CHECK(reply.state_ == RecordState::Finished);
  CHECK(reply.result_.code_ == ResultCode::OutcomeUnknown);
  CHECK(reply.result_.ran_ == Ran::Unknown);
  keeper_->AdvanceTime(std::chrono::seconds{ 20 });
  CHECK(keeper_->PopSent<StartRun>("agent-1").empty());
}

TEST_CASE_METHOD(KeeperFixture, "Online_OwnerLost_NextOwnerCompletesRequest")
{
  // An accepted request must complete when its owner and entry are both lost.
  const auto request = MakeRequest("key");
  SubmitRequest("entry-1", request);
  TakeOver();
  FinishSettling();
  const auto start = keeper_->PopOnlySent<StartRun>("agent-1");
  CHECK(SubmitRequest("entry-2", request).state_ == RecordState::Running);
  keeper_->Finish("agent-1", start, "answer");
  CHECK(keeper_->Read(request.job_).items_[0].text_ == "answer");
}

TEST_CASE_METHOD(KeeperFixture, "Online_OwnerLost_EntryThatResendsContinues")
{
  const auto request = MakeRequest("key");
  SubmitRequest("entry-1", request);
  TakeOver();
  CHECK(SubmitRequest("entry-1", request).state_ == RecordState::New);
  FinishSettling();
  CHECK(keeper_->PopSent<StartRun>("agent-1").empty());
  keeper_->Receive("entry-1", MakeResult(request, "answer"));
  CHECK(keeper_->PopOnlySent<wire::RecordResultReply>("entry-1").first_);
}

TEST_CASE_METHOD(KeeperFixture,
                 "Online_OwnerLost_NonIdempotentRequestIsUnknown")
{
  auto request = MakeRequest("key");
  request.idempotent_ = false;
  SubmitRequest("entry-1", request);
  TakeOver();
  CHECK(SubmitRequest("entry-1", request).state_ == RecordState::Running);
  FinishSettling();
  CHECK(keeper_->PopOnlySent<wire::RecordReply>("entry-1").result_.code_ ==
        ResultCode::OutcomeUnknown);
}

TEST_CASE_METHOD(KeeperFixture, "Online_NotDurable_IsRefusedAndMayBeSentAgain")
{
  const auto request = MakeRequest("key");
  keeper_->mode_ = AppendMode::Failing;
  CHECK(SubmitRequest("entry-1", request).code_ == ResultCode::TooFewCopies);
  keeper_->mode_ = AppendMode::Durable;
  CHECK(SubmitRequest("entry-1", request).state_ == RecordState::New);
}

TEST_CASE_METHOD(KeeperFixture,
                 "Online_AgentReportsResultOfLostEntry_IsRecorded")
{
  // A result that the agent reports after the entry is lost must prevent a
  // rerun.
  const auto request = MakeRequest("key");
  SubmitRequest("entry-1", request);
  SubmitRequest("entry-2", request);
  keeper_->SetLinkState("entry-1", LinkState::Lost);
  StartRun start;
  start.run_ = { request.job_, 0, 1 };
  keeper_->Finish("agent-1", start, "answer");
  CHECK(keeper_->PopOnlySent<wire::RecordReply>("entry-2").result_.text_ ==
        "answer");
  CHECK(keeper_->PopOnlySent<wire::RunRecorded>("agent-1").run_ == start.run_);
  keeper_->AdvanceTime(std::chrono::seconds{ 10 });
  CHECK(keeper_->PopSent<StartRun>("agent-1").empty());
  CHECK(keeper_->PopSent<StartRun>("agent-2").empty());
}

TEST_CASE_METHOD(KeeperFixture,
                 "Online_AgentReportsLateResult_OwnersRunIsCancelled")
{
  const auto request = MakeRequest("key");
  SubmitRequest("entry-1", request);
  keeper_->SetLinkState("entry-1", LinkState::Replaced);
  keeper_->AdvanceTime(std::chrono::milliseconds{ 100 });
  const auto start = keeper_->PopOnlySent<StartRun>("agent-1");
  keeper_->Receive(
    "agent-2",
    wire::RunEnded{
      { request.job_, 0, 1 }, 1, ResultCode::Ok, Ran::Ran, "late", 1, 0, {} });
  CHECK(keeper_->PopOnlySent<wire::CancelRun>("agent-1").run_ == start.run_);
  CHECK(keeper_->Status(request.job_).succeeded_ == 1);
  keeper_->AdvanceTime(std::chrono::seconds{ 60 });
  CHECK(keeper_->Status(request.job_).code_ == ResultCode::Expired);
  CHECK(SubmitRequest("entry-2", request).state_ == RecordState::New);
}

} // namespace pumiceturn::keeper
