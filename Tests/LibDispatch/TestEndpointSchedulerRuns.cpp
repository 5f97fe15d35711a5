#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

TEST_CASE_METHOD(SchedulerFixture, "EndpointScheduler_DuplicateStart_RunsOnce")
{
  // Guards against running a resent request twice.
  Submit("entry-a", OnlineRequest(1));
  Apply(scheduler_.OnLinkUp("entry-a", Now()));
  Submit("entry-a", OnlineRequest(1));
  CHECK(StartsOf(1) == 1);
  AddToken(1, "Jutland");
  EndStream(1, StreamResult::Finished);
  Submit("entry-a", OnlineRequest(1));
  CHECK(StartsOf(1) == 1);
  CHECK(EndsOf("entry-a", 1).size() == 2);
  CHECK(Sent<wire::Chunk>("entry-a").size() == 2);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_LinkLostMidStream_MissingChunksAreResent")
{
  // Guards against missing chunks after the link was lost during a stream.
  Submit("entry-a", OnlineRequest(1));
  AddToken(1, "from ");
  AddToken(1, "the ");
  scheduler_.OnLinkLost("entry-a", Now());
  AddToken(1, "north");
  CHECK(Sent<wire::Chunk>("entry-a").size() == 2);
  sent_.clear();
  Apply(scheduler_.OnLinkUp("entry-a", Now()));
  Apply(scheduler_.OnAttachRun("entry-a", { RunIdOf(1), 1 }, Now()));
  const auto chunks = Sent<wire::Chunk>("entry-a");
  REQUIRE(chunks.size() == 2);
  CHECK(chunks[0].sequence_ == 2);
  CHECK(chunks[0].text_ == "the ");
  CHECK(chunks[1].sequence_ == 3);
  CHECK(chunks[1].text_ == "north");
  EndStream(1, StreamResult::Finished);
  REQUIRE(EndsOf("entry-a", 1).size() == 1);
  CHECK(EndsOf("entry-a", 1)[0].lastSequence_ == 3);
}

TEST_CASE_METHOD(
  SchedulerFixture,
  "EndpointScheduler_FinishedWhileLinkDown_ResponseKeptForAttach")
{
  // Guards against losing a response that finished while the link was down.
  Submit("entry-a", OnlineRequest(1));
  scheduler_.OnLinkLost("entry-a", Now());
  AddToken(1, "Zealand");
  EndStream(1, StreamResult::Finished);
  CHECK(EndsOf("entry-a", 1).empty());
  CHECK_FALSE(scheduler_.IsIdle());
  Apply(scheduler_.OnLinkUp("entry-a", Now()));
  Apply(scheduler_.OnAttachRun("entry-a", { RunIdOf(1), 0 }, Now()));
  REQUIRE(Sent<wire::Chunk>("entry-a").size() == 1);
  REQUIRE(EndsOf("entry-a", 1).size() == 1);
  CHECK(EndsOf("entry-a", 1)[0].code_ == ResultCode::Ok);
  Apply(scheduler_.OnRunRecorded({ RunIdOf(1) }, Now()));
  CHECK(scheduler_.IsIdle());
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_StreamFinishesDespiteCancel_EndsOnceAsOk")
{
  // Guards against a wrong or second end when a cancel arrives too late.
  Submit("entry-a", OnlineRequest(1));
  AddToken(1, "Funen");
  Apply(scheduler_.OnCancelRun("entry-a", { RunIdOf(1) }, Now()));
  CHECK(WasCancelled(1));
  EndStream(1, StreamResult::Finished);
  REQUIRE(EndsOf("entry-a", 1).size() == 1);
  CHECK(EndsOf("entry-a", 1)[0].code_ == ResultCode::Ok);
  EndStream(1, StreamResult::Cancelled);
  CHECK(EndsOf("entry-a", 1).size() == 1);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_CancelArrivesBeforeStart_NothingStarts")
{
  // Guards against starting a request whose cancel arrived first.
  Apply(scheduler_.OnCancelRun("entry-a", { RunIdOf(1) }, Now()));
  Submit("entry-a", OnlineRequest(1));
  CHECK(StartsOf(1) == 0);
  REQUIRE(!EndsOf("entry-a", 1).empty());
  CHECK(EndsOf("entry-a", 1).back().code_ == ResultCode::Cancelled);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_CancelWhileWaiting_IsNotRun")
{
  for (std::uint64_t job = 1; job <= 5; ++job) {
    Submit("entry-a", OnlineRequest(job));
  }
  Apply(scheduler_.OnCancelRun("entry-a", { RunIdOf(5) }, Now()));
  REQUIRE(EndsOf("entry-a", 5).size() == 1);
  CHECK(EndsOf("entry-a", 5)[0].ran_ == Ran::NotRun);
  EndStream(1, StreamResult::Finished);
  CHECK(StartsOf(5) == 0);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_NonIdempotentAfterUnknown_NeverRunsAgain")
{
  // Guards against repeating a non-idempotent request of unknown outcome.
  wire::StartRun request = OnlineRequest(1);
  request.idempotent_ = false;
  Submit("entry-a", request);
  EndStream(1, StreamResult::Failed);
  REQUIRE(EndsOf("entry-a", 1).size() == 1);
  CHECK(EndsOf("entry-a", 1)[0].code_ == ResultCode::OutcomeUnknown);
  CHECK(EndsOf("entry-a", 1)[0].ran_ == Ran::Unknown);
  request.run_.attempt_ = 2;
  Submit("entry-b", request);
  CHECK(StartsOf(1) == 1);
  REQUIRE(EndsOf("entry-b", 1).size() == 1);
  CHECK(EndsOf("entry-b", 1)[0].code_ == ResultCode::OutcomeUnknown);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_NonIdempotentCertainlyNotRun_MayRunLater")
{
  wire::StartRun request = OnlineRequest(1);
  request.idempotent_ = false;
  Submit("entry-a", request);
  EndStream(1, StreamResult::NotSent);
  REQUIRE(EndsOf("entry-a", 1).size() == 1);
  CHECK(EndsOf("entry-a", 1)[0].ran_ == Ran::NotRun);
  Apply(scheduler_.OnEngineUp(Now()));
  request.run_.attempt_ = 2;
  Submit("entry-a", request);
  CHECK(StartsOf(1) == 2);
}

TEST_CASE_METHOD(
  SchedulerFixture,
  "EndpointScheduler_ReceiverLostBeforeRecording_KeeperGetsResponse")
{
  // Guards against losing an unrecorded response with its receiver.
  scheduler_.SetKeepers({ "keeper-a", "keeper-b" });
  Submit("entry-a", OnlineRequest(1));
  AddToken(1, "Born");
  AddToken(1, "holm");
  EndStream(1, StreamResult::Finished);
  scheduler_.OnLinkLost("entry-a", Now());
  Advance(std::chrono::seconds{ 6 });
  const auto ends = EndsOf("keeper-a", 1);
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].text_ == "Bornholm");
  Apply(scheduler_.OnRunRecorded({ RunIdOf(1) }, Now()));
  Advance(std::chrono::seconds{ 60 });
  CHECK(EndsOf("keeper-b", 1).empty());
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_AttachToUnknownRun_EndsAsUnknown")
{
  Apply(scheduler_.OnAttachRun("keeper-a", { RunIdOf(9), 0 }, Now()));
  REQUIRE(EndsOf("keeper-a", 9).size() == 1);
  CHECK(EndsOf("keeper-a", 9)[0].code_ == ResultCode::EndpointLost);
  CHECK(EndsOf("keeper-a", 9)[0].ran_ == Ran::Unknown);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_RunOfOlderEpoch_IsRefused")
{
  // Guards against running items of an owner that was paused during a takeover.
  wire::StartRun current = BatchRequest(1);
  current.fence_ = 8;
  Submit("keeper-b", current);
  wire::StartRun stale = BatchRequest(1);
  stale.run_.item_ = 5;
  stale.fence_ = 7;
  Submit("keeper-a", stale);
  const auto ends = EndsOf("keeper-a", 1);
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].code_ == ResultCode::StaleFence);
  CHECK(ends[0].ran_ == Ran::NotRun);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_DeadlinePassesWhileWaiting_IsNotRun")
{
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Submit("entry-a", OnlineRequest(job));
  }
  wire::StartRun urgent = OnlineRequest(5);
  urgent.deadlineMs_ = 200;
  Submit("entry-a", urgent);
  Advance(std::chrono::milliseconds{ 300 });
  REQUIRE(EndsOf("entry-a", 5).size() == 1);
  CHECK(EndsOf("entry-a", 5)[0].ran_ == Ran::NotRun);
  CHECK(EndsOf("entry-a", 5)[0].code_ == ResultCode::DeadlineTooShort);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_ExpectedWaitBeyondDeadline_RefusedAtOnce")
{
  // Guards against accepting requests that cannot meet their deadline.
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Submit("entry-a", OnlineRequest(job));
  }
  Advance(std::chrono::seconds{ 4 });
  AddToken(1, "Lolland");
  EndStream(1, StreamResult::Finished);
  for (std::uint64_t job = 10; job < 14; ++job) {
    Submit("entry-a", OnlineRequest(job));
  }
  wire::StartRun urgent = OnlineRequest(20);
  urgent.deadlineMs_ = 500;
  Submit("entry-a", urgent);
  const auto ends = EndsOf("entry-a", 20);
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].code_ == ResultCode::Overloaded);
  CHECK(ends[0].ran_ == Ran::NotRun);
  CHECK(ends[0].retryAfterMs_ > 1000);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_WaitedTooLongForItsDeadline_IsNotRun")
{
  // Guards against starting requests that can no longer meet their deadline.
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Submit("entry-a", OnlineRequest(job));
  }
  for (int token = 0; token < 10; ++token) {
    Advance(std::chrono::milliseconds{ 100 });
    AddToken(1, "x");
  }
  EndStream(1, StreamResult::Finished);
  Submit("entry-a", OnlineRequest(5));
  wire::StartRun urgent = OnlineRequest(6);
  urgent.deadlineMs_ = 3000;
  Submit("entry-a", urgent);
  Submit("entry-a", OnlineRequest(7));
  CHECK(EndsOf("entry-a", 6).empty());
  Advance(std::chrono::milliseconds{ 2500 });
  EndStream(2, StreamResult::Finished);
  CHECK(StartsOf(6) == 0);
  CHECK(EndsOf("entry-a", 6).at(0).code_ == ResultCode::DeadlineTooShort);
  CHECK(EndsOf("entry-a", 6).at(0).ran_ == Ran::NotRun);
  CHECK(StartsOf(7) == 1);
}

} // namespace pumiceturn::dispatch
