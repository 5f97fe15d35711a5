#include "GateFixture.h"

#include <catch2/catch.hpp>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

TEST_CASE_METHOD(GateFixture,
                 "Gate_EngineCrash_AllInFlightEndUnknownAndSuspect")
{
  // Answers of innocent requests come after a moment, from another endpoint.
  // One request crashed the engine while two others ran; all connections broke
  // at once; the senders of the others hear that they may run them again.
  Order("entry-a", Online(1));
  Order("entry-a", Online(2));
  Order("keeper-a", Batch(3));
  End(1, StreamResult::Broken);
  CHECK(EndsOf("entry-a", 1).empty());
  End(3, StreamResult::Broken);
  End(2, StreamResult::Broken);
  CHECK(crashes_.size() == 3);
  CHECK(EndsOf("entry-a", 1).at(0).code_ == ResultCode::EndpointCrashed);
  CHECK(EndsOf("entry-a", 2).at(0).ran_ == Ran::Unknown);
  CHECK(EndsOf("keeper-a", 3).at(0).code_ == ResultCode::EndpointCrashed);
  CHECK(gate_.Load(Now().now_).engineDown_);
  Order("entry-a", Online(4));
  CHECK(EndsOf("entry-a", 4).at(0).code_ == ResultCode::NoEndpoint);
  Do(gate_.OnEngineUp(Now()));
  Order("entry-a", Online(5));
  CHECK(StartsOf(5) == 1);
}

TEST_CASE_METHOD(GateFixture, "Gate_OneBrokenConnection_OthersAreNotSuspect")
{
  // One failed request brings no one under suspicion. Its connection broke
  // while the engine went on with the others.
  Order("entry-a", Online(1));
  Order("entry-a", Online(2));
  End(1, StreamResult::Broken);
  Pass(std::chrono::milliseconds{ 100 });
  Token(2, "Als");
  CHECK(crashes_.empty());
  CHECK(EndsOf("entry-a", 1).at(0).code_ == ResultCode::EndpointFailed);
  End(2, StreamResult::Finished);
  CHECK(EndsOf("entry-a", 2).at(0).code_ == ResultCode::Ok);
}

TEST_CASE_METHOD(GateFixture, "Gate_SuspectsKnown_HeartbeatGoesBeforeTheEnds")
{
  // Poison that its caller sends again through another entry meets an entry
  // that knows of it. Peers hear of the suspects before they hear of the ends.
  Order("entry-a", Online(1));
  StreamEnd broken;
  broken.result_ = StreamResult::Broken;
  broken.ran_ = Ran::Unknown;
  broken.code_ = ResultCode::EndpointCrashed;
  const Actions actions = gate_.OnStreamEnded(StreamOf(1), broken, Now());
  std::size_t recorded = actions.size();
  std::size_t spread = actions.size();
  std::size_t told = actions.size();
  for (std::size_t index = actions.size(); index-- > 0;) {
    if (std::holds_alternative<RecordCrash>(actions[index])) {
      recorded = index;
    } else if (std::holds_alternative<SpreadHeartbeat>(actions[index])) {
      spread = index;
    } else if (std::holds_alternative<SendMessage>(actions[index])) {
      told = index;
    }
  }
  CHECK(recorded < spread);
  CHECK(spread < told);
  CHECK(told < actions.size());
}

TEST_CASE_METHOD(GateFixture, "Gate_TwoSuspects_NeverShareTheEngine")
{
  // An innocent request is not refused because it shared an endpoint with
  // poison. After a first crash both are suspect; run one after the other, only
  // the guilty one crashes the engine again.
  crashes_[1] = 1;
  crashes_[2] = 1;
  Order("entry-a", Online(1));
  Order("entry-a", Online(2));
  Order("entry-a", Online(3));
  CHECK(StartsOf(1) == 1);
  CHECK(StartsOf(2) == 0);
  CHECK(StartsOf(3) == 1);
  End(1, StreamResult::Finished);
  CHECK(StartsOf(2) == 1);
}

TEST_CASE_METHOD(GateFixture, "Gate_QuarantinedContent_IsRefusedAsNotRun")
{
  crashes_[1] = 2;
  Order("entry-a", Online(1));
  CHECK(StartsOf(1) == 0);
  CHECK(EndsOf("entry-a", 1).at(0).code_ == ResultCode::Quarantined);
  CHECK(EndsOf("entry-a", 1).at(0).ran_ == Ran::NotRun);
}

TEST_CASE_METHOD(GateFixture, "Gate_QuarantinedWhileItWaits_IsNotRun")
{
  // Poison that is recognised elsewhere does not get its next crash here.
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Order("entry-a", Online(job));
  }
  Order("entry-a", Online(9));
  crashes_[9] = 2;
  End(1, StreamResult::Finished);
  CHECK(StartsOf(9) == 0);
  CHECK(EndsOf("entry-a", 9).at(0).code_ == ResultCode::Quarantined);
}

TEST_CASE_METHOD(GateFixture, "Gate_PoisonResent_OnlyItIsBlamedTheSecondTime")
{
  Order("entry-a", Online(1));
  Order("entry-a", Online(2));
  End(1, StreamResult::Broken);
  End(2, StreamResult::Broken);
  Do(gate_.OnEngineUp(Now()));
  wire::StartRun again = Online(1);
  again.run_.attempt_ = 2;
  Order("entry-b", again);
  Order("entry-b", Online(7));
  StreamEnd broken;
  broken.result_ = StreamResult::Broken;
  broken.code_ = ResultCode::EndpointCrashed;
  Do(gate_.OnStreamEnded({ again.run_, 1 }, broken, Now()));
  End(7, StreamResult::Broken);
  CHECK(crashes_.at(1) == 2);
  CHECK(crashes_.at(2) == 1);
  CHECK_FALSE(crashes_.contains(7));
}

TEST_CASE_METHOD(GateFixture,
                 "Gate_CrashDuringDrainWithResultUnrecorded_NothingIsLost")
{
  // Two things at once: the host is being drained when poison crashes the
  // engine. The finished answer stays until it is recorded, the others end
  // truthfully, and the agent is idle afterwards.
  Order("entry-a", Online(1));
  Order("entry-a", Online(2));
  Token(1, "Fyn");
  End(1, StreamResult::Finished);
  Do(gate_.SetIntake(Intake::Draining, Now()));
  End(2, StreamResult::Broken);
  CHECK(EndsOf("entry-a", 2).at(0).ran_ == Ran::Unknown);
  CHECK_FALSE(gate_.IsIdle());
  Do(gate_.OnAttachRun("entry-a", { IdOf(1), 0 }, Now()));
  CHECK(EndsOf("entry-a", 1).size() == 2);
  Do(gate_.OnRunRecorded({ IdOf(1) }, Now()));
  CHECK(gate_.IsIdle());
}

TEST_CASE_METHOD(GateFixture,
                 "Gate_EngineTakesNoConnection_WaitingGoesElsewhere")
{
  // Callers in the queue of a dead engine are answered by another endpoint:
  // they hear at once, and truthfully, that they were not run here.
  for (std::uint64_t job = 1; job <= 5; ++job) {
    Order("entry-a", Online(job));
  }
  Order("keeper-a", Batch(6));
  End(1, StreamResult::NotSent);
  for (const std::uint64_t job : { 1, 5 }) {
    CHECK(EndsOf("entry-a", job).at(0).code_ == ResultCode::NoEndpoint);
    CHECK(EndsOf("entry-a", job).at(0).ran_ == Ran::NotRun);
  }
  CHECK(EndsOf("keeper-a", 6).at(0).ran_ == Ran::NotRun);
  CHECK(EndsOf("entry-a", 2).empty());
}

TEST_CASE_METHOD(GateFixture,
                 "Gate_EngineDownForLong_PreemptedRunGoesBackToItsOwner")
{
  // A lot's item is not stuck at a dead engine: it had given way to online work
  // just before the engine went down for good.
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Order("keeper-a", Batch(job));
    Token(job, "a");
  }
  Order("entry-a", Online(11));
  const std::uint64_t victim = cancels_.at(0).job_.low_;
  End(victim, StreamResult::Cancelled);
  for (const std::uint64_t job : { 1, 2, 3, 4, 11 }) {
    if (job != victim) {
      End(job, StreamResult::Broken);
    }
  }
  CHECK(EndsOf("keeper-a", victim).empty());
  Pass(std::chrono::seconds{ 11 });
  REQUIRE(EndsOf("keeper-a", victim).size() == 1);
  CHECK(EndsOf("keeper-a", victim)[0].code_ == ResultCode::EndpointLost);
  CHECK(gate_.IsIdle());
}

} // namespace pumiceturn::dispatch
