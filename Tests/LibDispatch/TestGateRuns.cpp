#include "GateFixture.h"

#include <catch2/catch.hpp>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

TEST_CASE_METHOD(GateFixture, "Gate_DuplicateStart_RunsOnce")
{
  // A caller sees one answer although its entry sent the order twice: the link
  // was replaced right after the first order, and the entry could not know that
  // it had arrived.
  Order("entry-a", Online(1));
  Do(gate_.OnLinkUp("entry-a", Now()));
  Order("entry-a", Online(1));
  CHECK(StartsOf(1) == 1);
  Token(1, "Jutland");
  End(1, StreamResult::Finished);
  Order("entry-a", Online(1));
  CHECK(StartsOf(1) == 1);
  CHECK(EndsOf("entry-a", 1).size() == 2);
  CHECK(Sent<wire::Chunk>("entry-a").size() == 2);
}

TEST_CASE_METHOD(GateFixture, "Gate_LinkLostMidStream_ResendsAfterSequence")
{
  // A researcher's answer pauses and then goes on without a gap. The link went
  // silent after the first chunk; the second was lost on it; the entry attaches
  // again over a new link with what it has.
  Order("entry-a", Online(1));
  Token(1, "from ");
  Token(1, "the ");
  gate_.OnLinkLost("entry-a", Now());
  Token(1, "north");
  CHECK(Sent<wire::Chunk>("entry-a").size() == 2);
  sent_.clear();
  Do(gate_.OnLinkUp("entry-a", Now()));
  Do(gate_.OnAttachRun("entry-a", { IdOf(1), 1 }, Now()));
  const auto chunks = Sent<wire::Chunk>("entry-a");
  REQUIRE(chunks.size() == 2);
  CHECK(chunks[0].sequence_ == 2);
  CHECK(chunks[0].text_ == "the ");
  CHECK(chunks[1].sequence_ == 3);
  CHECK(chunks[1].text_ == "north");
  End(1, StreamResult::Finished);
  REQUIRE(EndsOf("entry-a", 1).size() == 1);
  CHECK(EndsOf("entry-a", 1)[0].lastSequence_ == 3);
}

TEST_CASE_METHOD(GateFixture, "Gate_FinishedWhileLinkDown_AnswerKeptForAttach")
{
  // The answer comes whole after a break. The stream ended while the link was
  // down, so the end could not be sent; the agent kept it.
  Order("entry-a", Online(1));
  gate_.OnLinkLost("entry-a", Now());
  Token(1, "Zealand");
  End(1, StreamResult::Finished);
  CHECK(EndsOf("entry-a", 1).empty());
  CHECK_FALSE(gate_.IsIdle());
  Do(gate_.OnLinkUp("entry-a", Now()));
  Do(gate_.OnAttachRun("entry-a", { IdOf(1), 0 }, Now()));
  REQUIRE(Sent<wire::Chunk>("entry-a").size() == 1);
  REQUIRE(EndsOf("entry-a", 1).size() == 1);
  CHECK(EndsOf("entry-a", 1)[0].code_ == ResultCode::Ok);
  Do(gate_.OnRunRecorded({ IdOf(1) }, Now()));
  CHECK(gate_.IsIdle());
}

TEST_CASE_METHOD(GateFixture, "Gate_CancelRacesTheEnd_OneTrueEnd")
{
  // A caller gives up just as its answer is finished. The cancel reaches the
  // engine too late; the whole answer is reported as what it is, once.
  Order("entry-a", Online(1));
  Token(1, "Funen");
  Do(gate_.OnCancelRun("entry-a", { IdOf(1) }, Now()));
  CHECK(WasCancelled(1));
  End(1, StreamResult::Finished);
  REQUIRE(EndsOf("entry-a", 1).size() == 1);
  CHECK(EndsOf("entry-a", 1)[0].code_ == ResultCode::Ok);
  End(1, StreamResult::Cancelled);
  CHECK(EndsOf("entry-a", 1).size() == 1);
}

TEST_CASE_METHOD(GateFixture, "Gate_CancelBeforeTheOrder_OrderIsNotRun")
{
  // A cancelled request never starts. The order was still on an old link when
  // the cancel came over the new one.
  Do(gate_.OnCancelRun("entry-a", { IdOf(1) }, Now()));
  Order("entry-a", Online(1));
  CHECK(StartsOf(1) == 0);
  REQUIRE(!EndsOf("entry-a", 1).empty());
  CHECK(EndsOf("entry-a", 1).back().code_ == ResultCode::Cancelled);
}

TEST_CASE_METHOD(GateFixture, "Gate_CancelWhileWaiting_IsNotRun")
{
  for (std::uint64_t job = 1; job <= 5; ++job) {
    Order("entry-a", Online(job));
  }
  Do(gate_.OnCancelRun("entry-a", { IdOf(5) }, Now()));
  REQUIRE(EndsOf("entry-a", 5).size() == 1);
  CHECK(EndsOf("entry-a", 5)[0].ran_ == Ran::NotRun);
  End(1, StreamResult::Finished);
  CHECK(StartsOf(5) == 0);
}

TEST_CASE_METHOD(GateFixture, "Gate_NonIdempotentAfterUnknown_NeverRunsAgain")
{
  // An archive's record is changed at most once. The first attempt's connection
  // failed, so nobody knows whether it took effect; a second attempt arrives.
  wire::StartRun order = Online(1);
  order.idempotent_ = false;
  Order("entry-a", order);
  End(1, StreamResult::Failed);
  REQUIRE(EndsOf("entry-a", 1).size() == 1);
  CHECK(EndsOf("entry-a", 1)[0].code_ == ResultCode::OutcomeUnknown);
  CHECK(EndsOf("entry-a", 1)[0].ran_ == Ran::Unknown);
  order.run_.attempt_ = 2;
  Order("entry-b", order);
  CHECK(StartsOf(1) == 1);
  REQUIRE(EndsOf("entry-b", 1).size() == 1);
  CHECK(EndsOf("entry-b", 1)[0].code_ == ResultCode::OutcomeUnknown);
}

TEST_CASE_METHOD(GateFixture, "Gate_NonIdempotentCertainlyNotRun_MayRunLater")
{
  wire::StartRun order = Online(1);
  order.idempotent_ = false;
  Order("entry-a", order);
  End(1, StreamResult::NotSent);
  REQUIRE(EndsOf("entry-a", 1).size() == 1);
  CHECK(EndsOf("entry-a", 1)[0].ran_ == Ran::NotRun);
  Do(gate_.OnEngineUp(Now()));
  order.run_.attempt_ = 2;
  Order("entry-a", order);
  CHECK(StartsOf(1) == 2);
}

TEST_CASE_METHOD(GateFixture,
                 "Gate_ReceiverLostBeforeRecording_KeeperGetsAnswer")
{
  // A researcher reads the answer by its key through another entry. The entry
  // that asked died right after the stream ended, before it had the answer
  // recorded, so the agent offers the whole of it to a keeper.
  gate_.SetKeepers({ "keeper-a", "keeper-b" });
  Order("entry-a", Online(1));
  Token(1, "Born");
  Token(1, "holm");
  End(1, StreamResult::Finished);
  gate_.OnLinkLost("entry-a", Now());
  Pass(std::chrono::seconds{ 6 });
  const auto ends = EndsOf("keeper-a", 1);
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].text_ == "Bornholm");
  Do(gate_.OnRunRecorded({ IdOf(1) }, Now()));
  Pass(std::chrono::seconds{ 60 });
  CHECK(EndsOf("keeper-b", 1).empty());
}

TEST_CASE_METHOD(GateFixture, "Gate_AttachToUnknownRun_SaysUnknown")
{
  Do(gate_.OnAttachRun("keeper-a", { IdOf(9), 0 }, Now()));
  REQUIRE(EndsOf("keeper-a", 9).size() == 1);
  CHECK(EndsOf("keeper-a", 9)[0].code_ == ResultCode::EndpointLost);
  CHECK(EndsOf("keeper-a", 9)[0].ran_ == Ran::Unknown);
}

TEST_CASE_METHOD(GateFixture, "Gate_RunOfOlderEpoch_IsRefused")
{
  // A lot's item is answered by its present owner alone. A keeper that was
  // paused through a takeover wakes and gives out the same item as before.
  wire::StartRun present = Batch(1);
  present.fence_ = 8;
  Order("keeper-b", present);
  wire::StartRun stale = Batch(1);
  stale.run_.item_ = 5;
  stale.fence_ = 7;
  Order("keeper-a", stale);
  const auto ends = EndsOf("keeper-a", 1);
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].code_ == ResultCode::StaleFence);
  CHECK(ends[0].ran_ == Ran::NotRun);
}

TEST_CASE_METHOD(GateFixture, "Gate_DeadlinePassesWhileWaiting_IsNotRun")
{
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Order("entry-a", Online(job));
  }
  wire::StartRun hurried = Online(5);
  hurried.deadlineMs_ = 200;
  Order("entry-a", hurried);
  Pass(std::chrono::milliseconds{ 300 });
  REQUIRE(EndsOf("entry-a", 5).size() == 1);
  CHECK(EndsOf("entry-a", 5)[0].ran_ == Ran::NotRun);
  CHECK(EndsOf("entry-a", 5)[0].code_ == ResultCode::DeadlineTooShort);
}

TEST_CASE_METHOD(GateFixture, "Gate_ExpectedWaitBeyondDeadline_RefusedAtOnce")
{
  // Under overload a caller hears at once that it should come back, instead of
  // waiting for an answer that cannot be in time.
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Order("entry-a", Online(job));
  }
  Pass(std::chrono::seconds{ 4 });
  Token(1, "Lolland");
  End(1, StreamResult::Finished);
  for (std::uint64_t job = 10; job < 14; ++job) {
    Order("entry-a", Online(job));
  }
  wire::StartRun hurried = Online(20);
  hurried.deadlineMs_ = 500;
  Order("entry-a", hurried);
  const auto ends = EndsOf("entry-a", 20);
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].code_ == ResultCode::Overloaded);
  CHECK(ends[0].ran_ == Ran::NotRun);
  CHECK(ends[0].retryAfterMs_ > 1000);
}

TEST_CASE_METHOD(GateFixture, "Gate_WaitedTooLongForItsRun_IsNotBegun")
{
  // Under overload answers keep coming in time: a request that can no longer be
  // answered before its deadline does not take a place from one that can.
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Order("entry-a", Online(job));
  }
  for (int token = 0; token < 10; ++token) {
    Pass(std::chrono::milliseconds{ 100 });
    Token(1, "x");
  }
  End(1, StreamResult::Finished);
  Order("entry-a", Online(5));
  wire::StartRun hurried = Online(6);
  hurried.deadlineMs_ = 3000;
  Order("entry-a", hurried);
  Order("entry-a", Online(7));
  CHECK(EndsOf("entry-a", 6).empty());
  Pass(std::chrono::milliseconds{ 2500 });
  End(2, StreamResult::Finished);
  CHECK(StartsOf(6) == 0);
  CHECK(EndsOf("entry-a", 6).at(0).code_ == ResultCode::DeadlineTooShort);
  CHECK(EndsOf("entry-a", 6).at(0).ran_ == Ran::NotRun);
  CHECK(StartsOf(7) == 1);
}

} // namespace pumiceturn::dispatch
