#include "AgentFixture.h"

#include <catch2/catch.hpp>

namespace pumiceturn::agent {

using base::Ran;
using base::ResultCode;

TEST_CASE_METHOD(EngineFixture, "Agent_OnlineRun_StreamsTheEnginesResponse")
{
  const wire::StartRun request =
    MakeRequest("1", "Where does the name Friis come from");
  Send(request);
  const wire::RunEnded end = EndOf(request.run_);
  CHECK(end.code_ == ResultCode::Ok);
  CHECK(ChunkTextOf(request.run_) ==
        standin::EngineAnswerText(request.payload_, request.maxTokens_));
  CHECK_FALSE(agent_->IsIdle());
  Send(wire::RunRecorded{ request.run_ });
  WaitUntil([this] { return agent_->IsIdle(); });
}

TEST_CASE_METHOD(EngineFixture,
                 "Agent_OnlinePreemptsBatch_EveryResponseIsComplete")
{
  // Guards against incomplete responses when online preempts batch.
  std::vector<wire::StartRun> requests;
  for (int item = 0; item < 6; ++item) {
    const std::string name = "lineage item " + std::to_string(item);
    wire::StartRun request = MakeRequest(name, name);
    request.online_ = false;
    request.wantChunks_ = false;
    request.deadlineMs_ = 0;
    request.maxTokens_ = 200;
    request.dueUnixMs_ = base::ToUnixMs(base::WallNow()) + 3600000;
    requests.push_back(request);
    Send(request);
  }
  WaitUntil([this] { return engine_->Stats().tokens_ > 40; });
  std::vector<wire::StartRun> burst;
  for (int request = 0; request < 4; ++request) {
    const std::string name = "look-up " + std::to_string(request);
    burst.push_back(MakeRequest(name, name));
    Send(burst.back());
  }
  for (const wire::StartRun& request : burst) {
    CHECK(EndOf(request.run_).code_ == ResultCode::Ok);
    CHECK(ChunkTextOf(request.run_) ==
          standin::EngineAnswerText(request.payload_, request.maxTokens_));
  }
  for (const wire::StartRun& request : requests) {
    const wire::RunEnded end = EndOf(request.run_);
    CHECK(end.code_ == ResultCode::Ok);
    CHECK(end.text_ ==
          standin::EngineAnswerText(request.payload_, request.maxTokens_));
  }
  CHECK(engine_->Stats().cancelled_ >= 1);
}

TEST_CASE_METHOD(EngineFixture,
                 "Agent_RequestCrashesEngine_MarkedSuspectAndAgentRecovers")
{
  // Guards against an unmarked suspect and a missed engine recovery.
  const wire::StartRun crashing = MakeRequest("1", "CRASH-ENGINE please");
  Send(crashing);
  const wire::RunEnded end = EndOf(crashing.run_);
  CHECK(end.code_ == ResultCode::EndpointCrashed);
  CHECK(end.ran_ == Ran::Unknown);
  CHECK(quarantine_.Check(crashing.fingerprint_, base::MonotonicNow()) ==
        routing::Suspicion::Suspect);
  int requestCount = 0;
  wire::RunEnded served;
  do {
    const std::string key = "after the crash " + std::to_string(requestCount++);
    const wire::StartRun request = MakeRequest(key, key);
    Send(request);
    served = EndOf(request.run_);
    CHECK((served.code_ == ResultCode::Ok || served.ran_ == Ran::NotRun));
  } while (served.code_ != ResultCode::Ok && requestCount < 100000);
  CHECK(served.code_ == ResultCode::Ok);
}

TEST_CASE_METHOD(EngineFixture,
                 "Agent_EngineReturnsError_EndsAsFailedWithUnknownOutcome")
{
  standin::EngineFaults faults;
  faults.rejectCompletions_ = true;
  engine_->SetFaults(faults);
  const wire::StartRun request = MakeRequest("1", "Where does Holm come from");
  Send(request);
  const wire::RunEnded end = EndOf(request.run_);
  CHECK(end.code_ == ResultCode::EndpointFailed);
  CHECK(end.ran_ == Ran::Unknown);
}

TEST_CASE_METHOD(EngineFixture,
                 "Agent_ShutdownWithRunningStream_ResponseIsComplete")
{
  // Guards against truncated responses and against new work during a shutdown.
  wire::StartRun running = MakeRequest("1", "a line of dialogue");
  running.maxTokens_ = 200;
  Send(running);
  WaitUntil([this] { return engine_->Stats().tokens_ > 0; });
  agent_->BeginDrain();
  const wire::StartRun late = MakeRequest("2", "too late");
  Send(late);
  CHECK(EndOf(late.run_).code_ == ResultCode::Draining);
  CHECK(EndOf(late.run_).ran_ == Ran::NotRun);
  CHECK(EndOf(running.run_).code_ == ResultCode::Ok);
  CHECK(ChunkTextOf(running.run_) ==
        standin::EngineAnswerText(running.payload_, running.maxTokens_));
  Send(wire::RunRecorded{ running.run_ });
  WaitUntil([this] { return agent_->IsIdle(); });
  CHECK(engine_->RunsOf(late.payload_) == 0);
}

TEST_CASE_METHOD(EngineFixture, "Agent_CancelledRun_StopsAtTheEngine")
{
  wire::StartRun request = MakeRequest("1", "a very long answer");
  request.maxTokens_ = 100000;
  Send(request);
  WaitUntil([this] { return engine_->Stats().tokens_ > 0; });
  Send(wire::CancelRun{ request.run_ });
  CHECK(EndOf(request.run_).code_ == ResultCode::Cancelled);
  WaitUntil([this] { return engine_->Stats().running_ == 0; });
  CHECK(agent_->IsIdle());
}

TEST_CASE_METHOD(PlainFixture, "Agent_PlainCallSentTwice_RunsOnce")
{
  // Guards against running a call twice when the Entry sends it again.
  wire::StartRun request = MakeRequest("1", "{\"record\": 7}");
  request.idempotent_ = false;
  Send(request);
  Send(request);
  CHECK(EndOf(request.run_).code_ == ResultCode::Ok);
  CHECK(service_->Stats().calls_ == 1);
  CHECK(ChunkTextOf(request.run_).find("\"count\"") != std::string::npos);
}

TEST_CASE_METHOD(PlainFixture, "Agent_PlainResponseLost_UnknownAndNotRunAgain")
{
  // Guards against repeating a non-idempotent call whose response was lost.
  standin::PlainServiceFaults faults;
  faults.loseAnswers_ = 1;
  service_->SetFaults(faults);
  wire::StartRun request = MakeRequest("1", "{\"record\": 7}");
  request.idempotent_ = false;
  Send(request);
  CHECK(EndOf(request.run_).code_ == ResultCode::OutcomeUnknown);
  request.run_.attempt_ = 2;
  Send(request);
  CHECK(EndOf(request.run_).code_ == ResultCode::OutcomeUnknown);
  CHECK(service_->Stats().calls_ == 1);
}

} // namespace pumiceturn::agent
