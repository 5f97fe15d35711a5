#include "KeeperFixture.h"

namespace pumiceturn::keeper {

using base::Ran;
using base::ResultCode;
using wire::LinkState;
using wire::RecordState;
using wire::StartRun;

TEST_CASE_METHOD(KeeperFixture, "Online_SecondCaller_HearsTheFirstOnesResult")
{
  // A portal sends a look-up again through another entry while the first one
  // runs. Both callers get the one answer.
  const auto request = Request("key");
  CHECK(Ask("entry-1", request).state_ == RecordState::New);
  CHECK(Ask("entry-2", request).state_ == RecordState::Running);
  CHECK(Ask("entry-1", request).state_ == RecordState::New);
  keeper_->From("entry-1", Result(request, "answer"));
  const auto recorded = keeper_->SentOne<wire::RecordResultReply>("entry-1");
  CHECK(recorded.first_);
  const auto later = keeper_->SentOne<wire::RecordReply>("entry-2");
  CHECK(later.state_ == RecordState::Finished);
  CHECK(later.result_.text_ == "answer");
  CHECK(Ask("entry-3", request).result_.text_ == "answer");
  auto other = request;
  other.digest_ = 2;
  CHECK(Ask("entry-3", other).code_ == ResultCode::KeyConflict);
}

TEST_CASE_METHOD(KeeperFixture, "Online_SecondResult_IsAnsweredWithTheFirst")
{
  const auto request = Request("key");
  Ask("entry-1", request);
  keeper_->From("entry-1", Result(request, "answer"));
  keeper_->Sent<wire::RecordResultReply>("entry-1");
  keeper_->From("entry-1", Result(request, "answer"));
  CHECK(keeper_->SentOne<wire::RecordResultReply>("entry-1").first_);
  keeper_->From("entry-2", Result(request, "other"));
  const auto reply = keeper_->SentOne<wire::RecordResultReply>("entry-2");
  CHECK_FALSE(reply.first_);
  CHECK(reply.result_.text_ == "answer");
}

TEST_CASE_METHOD(KeeperFixture, "Online_RefusedNotRun_IsWithdrawnForWaitersToo")
{
  const auto request = Request("key");
  Ask("entry-1", request);
  Ask("entry-2", request);
  auto refusal = Result(request, "");
  refusal.result_.code_ = ResultCode::Overloaded;
  refusal.result_.ran_ = Ran::NotRun;
  keeper_->From("entry-2", refusal);
  CHECK(keeper_->SentOne<wire::RecordResultReply>("entry-2").code_ ==
        ResultCode::StillRunning);
  keeper_->From("entry-1", refusal);
  CHECK(keeper_->SentOne<wire::RecordResultReply>("entry-1").code_ ==
        ResultCode::Ok);
  CHECK(keeper_->SentOne<wire::RecordReply>("entry-2").code_ ==
        ResultCode::Overloaded);
  CHECK(Ask("entry-2", request).state_ == RecordState::New);
}

TEST_CASE_METHOD(KeeperFixture, "Online_EntryLost_OwnerRunsIdempotentRequest")
{
  // An entry's host goes with a request under way. The caller asks again
  // through another entry and must get an answer, though nobody runs it.
  const auto request = Request("key");
  Ask("entry-1", request);
  keeper_->Link("entry-1", LinkState::Lost);
  keeper_->Pass(std::chrono::seconds{ 2 });
  CHECK(Ask("entry-2", request).state_ == RecordState::Running);
  CHECK(keeper_->Sent<StartRun>("agent-1").empty());
  keeper_->Pass(std::chrono::seconds{ 3 });
  const auto start = keeper_->SentOne<StartRun>("agent-1");
  CHECK(start.online_);
  CHECK(start.payload_ == "a name");
  CHECK(start.run_.attempt_ >= jobs::kFirstOwnerAttempt);
  keeper_->Finish("agent-1", start, "answer");
  CHECK(keeper_->SentOne<wire::RecordReply>("entry-2").result_.text_ ==
        "answer");
  keeper_->Link("entry-1", LinkState::Up);
  keeper_->From("entry-1", Result(request, "late"));
  CHECK(keeper_->SentOne<wire::RecordResultReply>("entry-1").result_.text_ ==
        "answer");
}

TEST_CASE_METHOD(KeeperFixture, "Online_EntryBackInTime_KeepsItsRequest")
{
  const auto request = Request("key");
  Ask("entry-1", request);
  keeper_->Link("entry-1", LinkState::Lost);
  keeper_->Pass(std::chrono::seconds{ 2 });
  keeper_->Link("entry-1", LinkState::Up);
  keeper_->Pass(std::chrono::seconds{ 20 });
  CHECK(keeper_->Sent<StartRun>("agent-1").empty());
}

TEST_CASE_METHOD(KeeperFixture, "Online_EntryReplaced_NonIdempotentIsUnknown")
{
  // A plain service's call may not be repeated. Its entry restarts while it
  // runs; the caller asks again and must hear that it may have run.
  auto request = Request("key");
  request.idempotent_ = false;
  Ask("entry-1", request);
  CHECK(Ask("entry-2", request).state_ == RecordState::Running);
  keeper_->Link("entry-1", LinkState::Replaced);
  const auto reply = keeper_->SentOne<wire::RecordReply>("entry-2");
  CHECK(reply.state_ == RecordState::Finished);
  CHECK(reply.result_.code_ == ResultCode::OutcomeUnknown);
  CHECK(reply.result_.ran_ == Ran::Unknown);
  keeper_->Pass(std::chrono::seconds{ 20 });
  CHECK(keeper_->Sent<StartRun>("agent-1").empty());
}

TEST_CASE_METHOD(KeeperFixture, "Online_OwnerLost_NextOwnerFinishesIt")
{
  // Owner and entry are lost together right after the caller heard that the
  // request was accepted. The caller reads the answer by its key later.
  const auto request = Request("key");
  Ask("entry-1", request);
  TakeOver();
  Settle();
  const auto start = keeper_->SentOne<StartRun>("agent-1");
  CHECK(Ask("entry-2", request).state_ == RecordState::Running);
  keeper_->Finish("agent-1", start, "answer");
  CHECK(keeper_->Read(request.job_).items_[0].text_ == "answer");
}

TEST_CASE_METHOD(KeeperFixture, "Online_OwnerLost_EntryThatAsksAgainGoesOn")
{
  const auto request = Request("key");
  Ask("entry-1", request);
  TakeOver();
  CHECK(Ask("entry-1", request).state_ == RecordState::New);
  Settle();
  CHECK(keeper_->Sent<StartRun>("agent-1").empty());
  keeper_->From("entry-1", Result(request, "answer"));
  CHECK(keeper_->SentOne<wire::RecordResultReply>("entry-1").first_);
}

TEST_CASE_METHOD(KeeperFixture, "Online_NonIdempotentOwnerLost_IsUnknown")
{
  auto request = Request("key");
  request.idempotent_ = false;
  Ask("entry-1", request);
  TakeOver();
  CHECK(Ask("entry-1", request).state_ == RecordState::Running);
  Settle();
  CHECK(keeper_->SentOne<wire::RecordReply>("entry-1").result_.code_ ==
        ResultCode::OutcomeUnknown);
}

TEST_CASE_METHOD(KeeperFixture, "Online_NotDurable_IsRefusedAndMayComeAgain")
{
  const auto request = Request("key");
  keeper_->mode_ = AppendMode::Failing;
  CHECK(Ask("entry-1", request).code_ == ResultCode::TooFewCopies);
  keeper_->mode_ = AppendMode::Durable;
  CHECK(Ask("entry-1", request).state_ == RecordState::New);
}

TEST_CASE_METHOD(KeeperFixture,
                 "Online_AgentOffersResultOfLostEntry_IsRecorded")
{
  // An entry goes after its endpoint has answered. The agent offers the whole
  // answer to a keeper, so nothing runs again.
  const auto request = Request("key");
  Ask("entry-1", request);
  Ask("entry-2", request);
  keeper_->Link("entry-1", LinkState::Lost);
  StartRun start;
  start.run_ = { request.job_, 0, 1 };
  keeper_->Finish("agent-1", start, "answer");
  CHECK(keeper_->SentOne<wire::RecordReply>("entry-2").result_.text_ ==
        "answer");
  CHECK(keeper_->SentOne<wire::RunRecorded>("agent-1").run_ == start.run_);
  keeper_->Pass(std::chrono::seconds{ 10 });
  CHECK(keeper_->Sent<StartRun>("agent-1").empty());
  CHECK(keeper_->Sent<StartRun>("agent-2").empty());
}

TEST_CASE_METHOD(KeeperFixture, "Online_LateResultOfLostEntry_StopsOwnersRun")
{
  const auto request = Request("key");
  Ask("entry-1", request);
  keeper_->Link("entry-1", LinkState::Replaced);
  keeper_->Pass(std::chrono::milliseconds{ 100 });
  const auto start = keeper_->SentOne<StartRun>("agent-1");
  keeper_->From(
    "agent-2",
    wire::RunEnded{
      { request.job_, 0, 1 }, 1, ResultCode::Ok, Ran::Ran, "late", 1, 0, {} });
  CHECK(keeper_->SentOne<wire::CancelRun>("agent-1").run_ == start.run_);
  CHECK(keeper_->Status(request.job_).succeeded_ == 1);
  keeper_->Pass(std::chrono::seconds{ 60 });
  CHECK(keeper_->Status(request.job_).code_ == ResultCode::Expired);
  CHECK(Ask("entry-2", request).state_ == RecordState::New);
}

} // namespace pumiceturn::keeper
