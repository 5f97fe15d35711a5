#include "GateFixture.h"

#include <catch2/catch.hpp>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

namespace {

/// A gate whose places are all taken by batch streams with some tokens each.
class FullOfBatch : public GateFixture
{
public:
  explicit FullOfBatch(Policy aPolicy = BurstHeadroom{})
    : GateFixture(kPlaces, aPolicy)
  {
    for (std::uint64_t job = 1; job <= kPlaces; ++job) {
      Order("keeper-a", Batch(job));
      Token(job, "a");
    }
  }

  static constexpr std::uint32_t kPlaces = 4;
};

class FullOfBatchStrict : public FullOfBatch
{
public:
  FullOfBatchStrict()
    : FullOfBatch(StrictPriority{})
  {
  }
};

class EnginesOrder : public GateFixture
{
public:
  EnginesOrder()
    : GateFixture(2, EngineOrder{})
  {
  }
};

class ReservedPlaces : public GateFixture
{
public:
  ReservedPlaces()
    : GateFixture(4, StaticHeadroom{ 2 })
  {
  }
};

} // namespace

TEST_CASE_METHOD(FullOfBatch,
                 "Gate_BurstWhileBatchFillsEveryPlace_StartsAtOnce")
{
  // A translator's suggestion is not late although a lot has just filled the
  // engine. Each online request of a burst takes the place of a batch stream
  // at the moment it arrives.
  for (std::uint64_t job = 11; job <= 13; ++job) {
    Order("entry-a", Online(job));
    CHECK(StartsOf(job) == 1);
  }
  CHECK(cancels_.size() == 3);
  const GateLoad load = gate_.Load(Now().now_);
  CHECK(load.onlineRunning_ == 3);
  CHECK(load.batchRunning_ == 1);
  CHECK(load.onlineWaiting_ == 0);
}

TEST_CASE_METHOD(FullOfBatch, "Gate_PreemptedRun_GoesOnFromItsTokens")
{
  // A lot's item is answered whole although its stream gave way in the middle:
  // the stream goes on after the tokens it had.
  Order("entry-a", Online(11));
  REQUIRE(cancels_.size() == 1);
  const std::uint64_t victim = cancels_[0].job_.low_;
  End(victim, StreamResult::Cancelled);
  CHECK(EndsOf("keeper-a", victim).empty());
  End(11, StreamResult::Finished);
  Pass(std::chrono::seconds{ 60 });
  REQUIRE(StartsOf(victim) == 2);
  CHECK(starts_.back().resumeTokens_ == 1);
  Token(victim, "b");
  End(victim, StreamResult::Finished);
  REQUIRE(EndsOf("keeper-a", victim).size() == 1);
  CHECK(EndsOf("keeper-a", victim)[0].text_ == "ab");
  CHECK(EndsOf("keeper-a", victim)[0].tokens_ == 2);
}

TEST_CASE_METHOD(FullOfBatch,
                 "Gate_LateTokenOfPreemptedStream_IsNotCountedTwice")
{
  // No line of a lot holds a word twice. The engine's last token of the stream
  // that gave way arrives when the resumed one, which generates it again, is
  // under way.
  Order("entry-a", Online(11));
  const std::uint64_t victim = cancels_.at(0).job_.low_;
  const StreamId former = StreamOf(victim);
  End(victim, StreamResult::Cancelled);
  End(11, StreamResult::Finished);
  Pass(std::chrono::seconds{ 60 });
  REQUIRE(StreamOf(victim).generation_ == 2);
  Do(gate_.OnTokens(former, AnswerPart{ "b", 1 }, Now()));
  Token(victim, "b");
  End(victim, StreamResult::Finished);
  CHECK(EndsOf("keeper-a", victim).at(0).text_ == "ab");
}

TEST_CASE_METHOD(GateFixture, "Gate_ChoiceOfVictim_MostSlackAndLeastLostWork")
{
  wire::StartRun urgent = Batch(1);
  urgent.dueUnixMs_ = base::ToUnixMs(Now().wall_) + 2000;
  Order("keeper-a", urgent);
  Order("keeper-a", Batch(2));
  Order("keeper-a", Batch(3));
  Order("keeper-a", Batch(4));
  for (int token = 0; token < 200; ++token) {
    Token(2, "a");
    Token(4, "a");
  }
  Order("entry-a", Online(11));
  CHECK(WasCancelled(3));
  CHECK_FALSE(WasCancelled(1));
}

TEST_CASE_METHOD(GateFixture, "Gate_NonIdempotentBatch_IsNeverPreempted")
{
  // A record that may be changed only once is not asked for twice. A resumed
  // stream would be a second request to the endpoint.
  for (std::uint64_t job = 1; job <= 4; ++job) {
    wire::StartRun order = Batch(job);
    order.idempotent_ = false;
    Order("keeper-a", order);
  }
  Order("entry-a", Online(11));
  CHECK(cancels_.empty());
  CHECK(StartsOf(11) == 0);
  End(1, StreamResult::Finished);
  CHECK(StartsOf(11) == 1);
}

TEST_CASE_METHOD(FullOfBatchStrict,
                 "Gate_StrictPriority_WaitsForAPlaceThenGoesFirst")
{
  Order("keeper-a", Batch(5));
  Order("entry-a", Online(11));
  CHECK(cancels_.empty());
  CHECK(StartsOf(11) == 0);
  End(1, StreamResult::Finished);
  CHECK(StartsOf(11) == 1);
  CHECK(StartsOf(5) == 0);
}

TEST_CASE_METHOD(EnginesOrder, "Gate_EngineOrder_SendsEverythingOn")
{
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Order("keeper-a", Batch(job));
  }
  Order("entry-a", Online(11));
  CHECK(starts_.size() == 5);
}

TEST_CASE_METHOD(ReservedPlaces, "Gate_StaticHeadroom_KeepsPlacesFree")
{
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Order("keeper-a", Batch(job));
  }
  CHECK(starts_.size() == 2);
  Order("entry-a", Online(11));
  CHECK(StartsOf(11) == 1);
}

TEST_CASE_METHOD(GateFixture,
                 "Gate_DemandAtIdleEndpoint_GrantedAtOnceAndBounded")
{
  // A lot begins within one exchange on an idle endpoint, and no more of it
  // comes than fits, so that none waits in front of the engine.
  Do(gate_.OnBatchDemand("keeper-a", { "origin-llm", 1000, 3600000 }, Now()));
  const auto grants = Sent<wire::BatchGrant>("keeper-a");
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].granted_ == 5);
  for (std::uint64_t job = 1; job <= 5; ++job) {
    Order("keeper-a", Batch(job));
  }
  CHECK(starts_.size() == 4);
  CHECK(Sent<wire::BatchGrant>("keeper-a").back().granted_ == 5);
  End(1, StreamResult::Finished);
  CHECK(starts_.size() == 5);
  CHECK(Sent<wire::BatchGrant>("keeper-a").back().granted_ == 6);
}

TEST_CASE_METHOD(GateFixture, "Gate_LinkUpAgain_CreditsCountFromZero")
{
  // A lot goes on after a break of the link. The credits of the old link are
  // gone on both sides; fresh ones are granted on the next demand.
  Do(gate_.OnBatchDemand("keeper-a", { "origin-llm", 1000, 3600000 }, Now()));
  gate_.OnLinkLost("keeper-a", Now());
  Do(gate_.OnLinkUp("keeper-a", Now()));
  sent_.clear();
  Do(gate_.OnBatchDemand("keeper-a", { "origin-llm", 1000, 3600000 }, Now()));
  const auto grants = Sent<wire::BatchGrant>("keeper-a");
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].granted_ == 5);
}

TEST_CASE_METHOD(GateFixture, "Gate_Drain_RefusesNewAndFinishesWhatRuns")
{
  // No caller's answer is cut off when an operator drains a host. What runs
  // goes on, what waits as batch goes elsewhere, what is new is refused.
  for (std::uint64_t job = 1; job <= 3; ++job) {
    Order("entry-a", Online(job));
  }
  Order("keeper-a", Batch(4));
  Order("keeper-a", Batch(5));
  Do(gate_.SetIntake(Intake::Draining, Now()));
  CHECK(heartbeats_ == 1);
  CHECK(gate_.Load(Now().now_).draining_);
  CHECK(EndsOf("keeper-a", 5).at(0).code_ == ResultCode::Draining);
  CHECK(EndsOf("keeper-a", 5).at(0).ran_ == Ran::NotRun);
  Order("entry-a", Online(6));
  CHECK(EndsOf("entry-a", 6).at(0).code_ == ResultCode::Draining);
  CHECK(EndsOf("entry-a", 6).at(0).ran_ == Ran::NotRun);
  Do(gate_.OnBatchDemand("keeper-a", { "origin-llm", 9, 3600000 }, Now()));
  CHECK(Sent<wire::BatchGrant>("keeper-a").empty());
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Token(job, "x");
    End(job, StreamResult::Finished);
    CHECK_FALSE(gate_.IsIdle());
    Do(gate_.OnRunRecorded({ IdOf(job) }, Now()));
  }
  CHECK(gate_.IsIdle());
}

TEST_CASE_METHOD(GateFixture,
                 "Gate_DrainWithReceiverLost_ResultHandedOverAtOnce")
{
  // An answer is readable although both ends of its link went: the entry died,
  // then the agent's host was drained. The result goes to a keeper at once.
  gate_.SetKeepers({ "keeper-a" });
  Order("entry-a", Online(1));
  Token(1, "Samsø");
  End(1, StreamResult::Finished);
  gate_.OnLinkLost("entry-a", Now());
  Do(gate_.SetIntake(Intake::Draining, Now()));
  REQUIRE(EndsOf("keeper-a", 1).size() == 1);
  CHECK(EndsOf("keeper-a", 1)[0].text_ == "Samsø");
}

TEST_CASE_METHOD(GateFixture, "Gate_OwnerReplaced_ItsWaitingItemsAreDropped")
{
  for (std::uint64_t job = 1; job <= 5; ++job) {
    Order("keeper-a", Batch(job));
  }
  Do(gate_.OnPeerReplaced("keeper-a", Now()));
  CHECK(EndsOf("keeper-a", 5).at(0).ran_ == Ran::NotRun);
  End(1, StreamResult::Finished);
  CHECK(StartsOf(5) == 0);
}

TEST_CASE("GrantBook_TwoOwners_SplitByDemandAndSlack")
{
  GrantBook book;
  book.OnDemand("keeper-a", 100, 3600000);
  book.OnDemand("keeper-b", 300, 3600000);
  auto grants = book.Allocate(8);
  REQUIRE(grants.size() == 2);
  CHECK(grants[0] == GrantBook::Grant{ "keeper-a", 2 });
  CHECK(grants[1] == GrantBook::Grant{ "keeper-b", 6 });
  book.OnDemand("keeper-a", 100, -1);
  grants = book.Allocate(4);
  REQUIRE(!grants.empty());
  CHECK(grants[0] == GrantBook::Grant{ "keeper-a", 6 });
}

TEST_CASE("GrantBook_OwnerWithoutItems_ItsCreditsGoToOthers")
{
  GrantBook book;
  book.OnDemand("keeper-a", 4, 3600000);
  book.Allocate(4);
  CHECK(book.Outstanding() == 4);
  book.OnDemand("keeper-a", 0, 0);
  CHECK(book.Outstanding() == 0);
}

TEST_CASE("BurstTracker_SlowPreemptions_HeadroomFollowsBurstsAndDecays")
{
  constexpr base::Duration kStep = std::chrono::milliseconds{ 20 };
  BurstTracker tracker{ BurstTracker::Options{} };
  const base::Instant start{ std::chrono::hours{ 1 } };
  tracker.OnPreempted(std::chrono::milliseconds{ 60 }, start);
  CHECK(tracker.Headroom(32, kStep, start) == 0);
  for (int arrival = 0; arrival < 3; ++arrival) {
    tracker.OnArrival(start);
  }
  CHECK(tracker.Headroom(32, kStep, start) == 3);
  CHECK(tracker.Headroom(8, kStep, start) == 2);
  CHECK(tracker.Headroom(32, kStep, start + std::chrono::seconds{ 4 }) == 3);
  CHECK(tracker.Headroom(32, kStep, start + std::chrono::seconds{ 20 }) == 0);
}

TEST_CASE("BurstTracker_PreemptionsWithinAStep_NoPlaceIsKeptFree")
{
  constexpr base::Duration kStep = std::chrono::milliseconds{ 20 };
  BurstTracker tracker{ BurstTracker::Options{} };
  const base::Instant start{ std::chrono::hours{ 1 } };
  tracker.OnPreempted(std::chrono::milliseconds{ 2 }, start);
  for (int arrival = 0; arrival < 8; ++arrival) {
    tracker.OnArrival(start);
  }
  CHECK(tracker.Headroom(32, kStep, start) == 0);
}

TEST_CASE("ConcurrencyLimit_FirstTokensLate_FallsToWhatTheEngineRuns")
{
  // Online answers start promptly on an engine that runs fewer streams than was
  // declared: first tokens of the streams it queues come late, and the limit
  // falls until none does.
  constexpr std::uint32_t kRealPlaces = 8;
  ConcurrencyLimit::Options options;
  options.most_ = 16;
  ConcurrencyLimit limit{ options };
  for (int sample = 0; sample < 400; ++sample) {
    const bool isQueued = limit.Current() > kRealPlaces && sample % 2 == 0;
    const auto delay = isQueued ? std::chrono::milliseconds{ 2000 }
                                : std::chrono::milliseconds{ 30 };
    limit.OnFirstToken(delay, limit.Current());
  }
  CHECK(limit.Current() <= kRealPlaces + 1);
  CHECK(limit.Current() >= kRealPlaces - 1);
}

} // namespace pumiceturn::dispatch
