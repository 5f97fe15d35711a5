#include "AgentFixture.h"

#include <catch2/catch.hpp>

namespace pumiceturn::agent {

using base::Ran;
using base::ResultCode;

TEST_CASE_METHOD(EngineFixture, "Agent_OnlineRun_StreamsTheEnginesAnswer")
{
  const wire::StartRun order =
    Order("1", "Where does the name Friis come from");
  Send(order);
  const wire::RunEnded end = EndOf(order.run_);
  CHECK(end.code_ == ResultCode::Ok);
  CHECK(ChunksOf(order.run_) ==
        standin::EngineAnswerText(order.payload_, order.maxTokens_));
  CHECK_FALSE(agent_->IsIdle());
  Send(wire::RunRecorded{ order.run_ });
  WaitUntil([this] { return agent_->IsIdle(); });
}

TEST_CASE_METHOD(EngineFixture, "Agent_OnlineOverBatch_EveryAnswerIsWhole")
{
  // Each caller gets its whole answer, also the family-history society whose
  // lot gave way. A burst of look-ups takes the places of a lot's streams,
  // which go on afterwards from what they had.
  std::vector<wire::StartRun> orders;
  for (int item = 0; item < 6; ++item) {
    const std::string name = "lineage item " + std::to_string(item);
    wire::StartRun order = Order(name, name);
    order.online_ = false;
    order.wantChunks_ = false;
    order.deadlineMs_ = 0;
    order.maxTokens_ = 200;
    order.dueUnixMs_ = base::ToUnixMs(base::WallNow()) + 3600000;
    orders.push_back(order);
    Send(order);
  }
  WaitUntil([this] { return engine_->Stats().tokens_ > 40; });
  std::vector<wire::StartRun> burst;
  for (int request = 0; request < 4; ++request) {
    const std::string name = "look-up " + std::to_string(request);
    burst.push_back(Order(name, name));
    Send(burst.back());
  }
  for (const wire::StartRun& order : burst) {
    CHECK(EndOf(order.run_).code_ == ResultCode::Ok);
    CHECK(ChunksOf(order.run_) ==
          standin::EngineAnswerText(order.payload_, order.maxTokens_));
  }
  for (const wire::StartRun& order : orders) {
    const wire::RunEnded end = EndOf(order.run_);
    CHECK(end.code_ == ResultCode::Ok);
    CHECK(end.text_ ==
          standin::EngineAnswerText(order.payload_, order.maxTokens_));
  }
  CHECK(engine_->Stats().cancelled_ >= 1);
}

TEST_CASE_METHOD(EngineFixture, "Agent_PoisonCrashesEngine_SuspectAndServesOn")
{
  // A request that crashes its engine is known by its content afterwards, and
  // the next request is answered when the engine is back.
  const wire::StartRun poison = Order("1", "CRASH-ENGINE please");
  Send(poison);
  const wire::RunEnded end = EndOf(poison.run_);
  CHECK(end.code_ == ResultCode::EndpointCrashed);
  CHECK(end.ran_ == Ran::Unknown);
  CHECK(quarantine_.Check(poison.fingerprint_, base::MonotonicNow()) ==
        routing::Suspicion::Suspect);
  int attempt = 0;
  wire::RunEnded served;
  do {
    const std::string key = "after the crash " + std::to_string(attempt++);
    const wire::StartRun order = Order(key, key);
    Send(order);
    served = EndOf(order.run_);
    CHECK((served.code_ == ResultCode::Ok || served.ran_ == Ran::NotRun));
  } while (served.code_ != ResultCode::Ok && attempt < 100000);
  CHECK(served.code_ == ResultCode::Ok);
}

TEST_CASE_METHOD(EngineFixture, "Agent_EngineRejects_EndsAsFailedUnknown")
{
  standin::EngineFaults faults;
  faults.rejectCompletions_ = true;
  engine_->SetFaults(faults);
  const wire::StartRun order = Order("1", "Where does Holm come from");
  Send(order);
  const wire::RunEnded end = EndOf(order.run_);
  CHECK(end.code_ == ResultCode::EndpointFailed);
  CHECK(end.ran_ == Ran::Unknown);
}

TEST_CASE_METHOD(EngineFixture, "Agent_ShutdownWithRunningStream_AnswerIsWhole")
{
  // A translator's suggestion is complete although the host is shut down in
  // its middle; a request that comes then is refused as not run.
  wire::StartRun running = Order("1", "a line of dialogue");
  running.maxTokens_ = 200;
  Send(running);
  WaitUntil([this] { return engine_->Stats().tokens_ > 0; });
  agent_->BeginDrain();
  const wire::StartRun late = Order("2", "too late");
  Send(late);
  CHECK(EndOf(late.run_).code_ == ResultCode::Draining);
  CHECK(EndOf(late.run_).ran_ == Ran::NotRun);
  CHECK(EndOf(running.run_).code_ == ResultCode::Ok);
  CHECK(ChunksOf(running.run_) ==
        standin::EngineAnswerText(running.payload_, running.maxTokens_));
  Send(wire::RunRecorded{ running.run_ });
  WaitUntil([this] { return agent_->IsIdle(); });
  CHECK(engine_->RunsOf(late.payload_) == 0);
}

TEST_CASE_METHOD(EngineFixture, "Agent_CancelledRun_StopsAtTheEngine")
{
  wire::StartRun order = Order("1", "a very long answer");
  order.maxTokens_ = 100000;
  Send(order);
  WaitUntil([this] { return engine_->Stats().tokens_ > 0; });
  Send(wire::CancelRun{ order.run_ });
  CHECK(EndOf(order.run_).code_ == ResultCode::Cancelled);
  WaitUntil([this] { return engine_->Stats().running_ == 0; });
  CHECK(agent_->IsIdle());
}

TEST_CASE_METHOD(PlainFixture, "Agent_PlainCallSentTwice_RunsOnce")
{
  // An archive's record is counted once although its entry, not having heard,
  // sent the call again.
  wire::StartRun order = Order("1", "{\"record\": 7}");
  order.idempotent_ = false;
  Send(order);
  Send(order);
  CHECK(EndOf(order.run_).code_ == ResultCode::Ok);
  CHECK(service_->Stats().calls_ == 1);
  CHECK(ChunksOf(order.run_).find("\"count\"") != std::string::npos);
}

TEST_CASE_METHOD(PlainFixture, "Agent_PlainAnswerLost_UnknownAndNotRunAgain")
{
  // A call whose answer was lost is not made a second time, whoever asks.
  standin::PlainServiceFaults faults;
  faults.loseAnswers_ = 1;
  service_->SetFaults(faults);
  wire::StartRun order = Order("1", "{\"record\": 7}");
  order.idempotent_ = false;
  Send(order);
  CHECK(EndOf(order.run_).code_ == ResultCode::OutcomeUnknown);
  order.run_.attempt_ = 2;
  Send(order);
  CHECK(EndOf(order.run_).code_ == ResultCode::OutcomeUnknown);
  CHECK(service_->Stats().calls_ == 1);
}

} // namespace pumiceturn::agent
