#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

TEST_CASE_METHOD(
  SchedulerFixture,
  "EndpointScheduler_EngineCrash_AllInFlightEndUnknownAndSuspect")
{
  // Guards against runs reported as not run after an engine crash.
  Submit("entry-a", OnlineRequest(1));
  Submit("entry-a", OnlineRequest(2));
  Submit("keeper-a", BatchRequest(3));
  EndStream(1, StreamResult::Broken);
  CHECK(EndsOf("entry-a", 1).empty());
  EndStream(3, StreamResult::Broken);
  EndStream(2, StreamResult::Broken);
  CHECK(crashes_.size() == 3);
  CHECK(EndsOf("entry-a", 1).at(0).code_ == ResultCode::EndpointCrashed);
  CHECK(EndsOf("entry-a", 2).at(0).ran_ == Ran::Unknown);
  CHECK(EndsOf("keeper-a", 3).at(0).code_ == ResultCode::EndpointCrashed);
  CHECK(scheduler_.Load(Now().now_).engineDown_);
  Submit("entry-a", OnlineRequest(4));
  CHECK(EndsOf("entry-a", 4).at(0).code_ == ResultCode::NoEndpoint);
  Apply(scheduler_.OnEngineUp(Now()));
  Submit("entry-a", OnlineRequest(5));
  CHECK(StartsOf(5) == 1);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_OneBrokenConnection_OthersAreNotSuspect")
{
  // Guards against marking content as suspect when a single connection fails.
  Submit("entry-a", OnlineRequest(1));
  Submit("entry-a", OnlineRequest(2));
  EndStream(1, StreamResult::Broken);
  Advance(std::chrono::milliseconds{ 100 });
  AddToken(2, "Als");
  CHECK(crashes_.empty());
  CHECK(EndsOf("entry-a", 1).at(0).code_ == ResultCode::EndpointFailed);
  EndStream(2, StreamResult::Finished);
  CHECK(EndsOf("entry-a", 2).at(0).code_ == ResultCode::Ok);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_EngineCrash_HeartbeatPrecedesEnds")
{
  // Guards against retries of suspect content by peers that do not know yet
  // that the content is suspect.
  Submit("entry-a", OnlineRequest(1));
  StreamEnd broken;
  broken.result_ = StreamResult::Broken;
  broken.ran_ = Ran::Unknown;
  broken.code_ = ResultCode::EndpointCrashed;
  const Actions actions = scheduler_.OnStreamEnded(StreamOf(1), broken, Now());
  std::size_t recordedAt = actions.size();
  std::size_t broadcastAt = actions.size();
  std::size_t sentAt = actions.size();
  for (std::size_t index = actions.size(); index-- > 0;) {
    if (std::holds_alternative<RecordCrash>(actions[index])) {
      recordedAt = index;
    } else if (std::holds_alternative<BroadcastHeartbeat>(actions[index])) {
      broadcastAt = index;
    } else if (std::holds_alternative<SendMessage>(actions[index])) {
      sentAt = index;
    }
  }
  CHECK(recordedAt < broadcastAt);
  CHECK(broadcastAt < sentAt);
  CHECK(sentAt < actions.size());
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_TwoSuspects_NeverShareTheEngine")
{
  // Guards against quarantining a request that did not cause the crash.
  crashes_[1] = 1;
  crashes_[2] = 1;
  Submit("entry-a", OnlineRequest(1));
  Submit("entry-a", OnlineRequest(2));
  Submit("entry-a", OnlineRequest(3));
  CHECK(StartsOf(1) == 1);
  CHECK(StartsOf(2) == 0);
  CHECK(StartsOf(3) == 1);
  EndStream(1, StreamResult::Finished);
  CHECK(StartsOf(2) == 1);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_QuarantinedContent_IsRefusedAsNotRun")
{
  crashes_[1] = 2;
  Submit("entry-a", OnlineRequest(1));
  CHECK(StartsOf(1) == 0);
  CHECK(EndsOf("entry-a", 1).at(0).code_ == ResultCode::Quarantined);
  CHECK(EndsOf("entry-a", 1).at(0).ran_ == Ran::NotRun);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_QuarantinedWhileQueued_IsNotRun")
{
  // Guards against starting a request quarantined while it waited.
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Submit("entry-a", OnlineRequest(job));
  }
  Submit("entry-a", OnlineRequest(9));
  crashes_[9] = 2;
  EndStream(1, StreamResult::Finished);
  CHECK(StartsOf(9) == 0);
  CHECK(EndsOf("entry-a", 9).at(0).code_ == ResultCode::Quarantined);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_CrashRepeated_OnlyKnownSuspectIsCounted")
{
  Submit("entry-a", OnlineRequest(1));
  Submit("entry-a", OnlineRequest(2));
  EndStream(1, StreamResult::Broken);
  EndStream(2, StreamResult::Broken);
  Apply(scheduler_.OnEngineUp(Now()));
  wire::StartRun again = OnlineRequest(1);
  again.run_.attempt_ = 2;
  Submit("entry-b", again);
  Submit("entry-b", OnlineRequest(7));
  StreamEnd broken;
  broken.result_ = StreamResult::Broken;
  broken.code_ = ResultCode::EndpointCrashed;
  Apply(scheduler_.OnStreamEnded({ again.run_, 1 }, broken, Now()));
  EndStream(7, StreamResult::Broken);
  CHECK(crashes_.at(1) == 2);
  CHECK(crashes_.at(2) == 1);
  CHECK_FALSE(crashes_.contains(7));
}

TEST_CASE_METHOD(
  SchedulerFixture,
  "EndpointScheduler_CrashDuringDrainWithResultUnrecorded_NothingIsLost")
{
  // Guards against losing an unrecorded result in a crash during a drain.
  Submit("entry-a", OnlineRequest(1));
  Submit("entry-a", OnlineRequest(2));
  AddToken(1, "Fyn");
  EndStream(1, StreamResult::Finished);
  Apply(scheduler_.SetAdmissionState(AdmissionState::Draining, Now()));
  EndStream(2, StreamResult::Broken);
  CHECK(EndsOf("entry-a", 2).at(0).ran_ == Ran::Unknown);
  CHECK_FALSE(scheduler_.IsIdle());
  Apply(scheduler_.OnAttachRun("entry-a", { RunIdOf(1), 0 }, Now()));
  CHECK(EndsOf("entry-a", 1).size() == 2);
  Apply(scheduler_.OnRunRecorded({ RunIdOf(1) }, Now()));
  CHECK(scheduler_.IsIdle());
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_EngineRefusesConnections_QueuedEndAsNotRun")
{
  // Guards against requests that stay queued at an unreachable engine.
  for (std::uint64_t job = 1; job <= 5; ++job) {
    Submit("entry-a", OnlineRequest(job));
  }
  Submit("keeper-a", BatchRequest(6));
  EndStream(1, StreamResult::NotSent);
  for (const std::uint64_t job : { 1, 5 }) {
    CHECK(EndsOf("entry-a", job).at(0).code_ == ResultCode::NoEndpoint);
    CHECK(EndsOf("entry-a", job).at(0).ran_ == Ran::NotRun);
  }
  CHECK(EndsOf("keeper-a", 6).at(0).ran_ == Ran::NotRun);
  CHECK(EndsOf("entry-a", 2).empty());
}

TEST_CASE_METHOD(
  SchedulerFixture,
  "EndpointScheduler_EngineDownForLong_PreemptedRunEndsAsEndpointLost")
{
  // Guards against a preempted item that stays queued at a dead engine.
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Submit("keeper-a", BatchRequest(job));
    AddToken(job, "a");
  }
  Submit("entry-a", OnlineRequest(11));
  const std::uint64_t victim = cancels_.at(0).job_.low_;
  EndStream(victim, StreamResult::Cancelled);
  for (const std::uint64_t job : { 1, 2, 3, 4, 11 }) {
    if (job != victim) {
      EndStream(job, StreamResult::Broken);
    }
  }
  CHECK(EndsOf("keeper-a", victim).empty());
  Advance(std::chrono::seconds{ 11 });
  REQUIRE(EndsOf("keeper-a", victim).size() == 1);
  CHECK(EndsOf("keeper-a", victim)[0].code_ == ResultCode::EndpointLost);
  CHECK(scheduler_.IsIdle());
}

} // namespace pumiceturn::dispatch
