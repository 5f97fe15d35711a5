#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

namespace {

/// A scheduler whose places are all taken by batch streams with one token each.
class FullOfBatchFixture : public SchedulerFixture
{
public:
  explicit FullOfBatchFixture(Policy aPolicy = BurstHeadroom{})
    : SchedulerFixture(kPlaces, aPolicy)
  {
    for (std::uint64_t job = 1; job <= kPlaces; ++job) {
      Submit("keeper-a", BatchRequest(job));
      AddToken(job, "a");
    }
  }

  static constexpr std::uint32_t kPlaces = 4;
};

class FullOfBatchStrictFixture : public FullOfBatchFixture
{
public:
  FullOfBatchStrictFixture()
    : FullOfBatchFixture(StrictPriority{})
  {
  }
};

class PassThroughFixture : public SchedulerFixture
{
public:
  PassThroughFixture()
    : SchedulerFixture(2, PassThrough{})
  {
  }
};

class StaticHeadroomFixture : public SchedulerFixture
{
public:
  StaticHeadroomFixture()
    : SchedulerFixture(4, StaticHeadroom{ 2 })
  {
  }
};

} // namespace

TEST_CASE_METHOD(
  FullOfBatchFixture,
  "EndpointScheduler_BurstWhileBatchFillsEveryPlace_StartsAtOnce")
{
  // Guards against online requests that wait behind running batch streams.
  for (std::uint64_t job = 11; job <= 13; ++job) {
    Submit("entry-a", OnlineRequest(job));
    CHECK(StartsOf(job) == 1);
  }
  CHECK(cancels_.size() == 3);
  const SchedulerLoad load = scheduler_.Load(Now().now_);
  CHECK(load.onlineRunning_ == 3);
  CHECK(load.batchRunning_ == 1);
  CHECK(load.onlineWaiting_ == 0);
}

TEST_CASE_METHOD(FullOfBatchFixture,
                 "EndpointScheduler_PreemptedRun_ResumesAfterItsTokens")
{
  // Guards against a preempted run that loses or repeats tokens on resumption.
  Submit("entry-a", OnlineRequest(11));
  REQUIRE(cancels_.size() == 1);
  const std::uint64_t victim = cancels_[0].job_.low_;
  EndStream(victim, StreamResult::Cancelled);
  CHECK(EndsOf("keeper-a", victim).empty());
  EndStream(11, StreamResult::Finished);
  Advance(std::chrono::seconds{ 60 });
  REQUIRE(StartsOf(victim) == 2);
  CHECK(starts_.back().resumeTokens_ == 1);
  AddToken(victim, "b");
  EndStream(victim, StreamResult::Finished);
  REQUIRE(EndsOf("keeper-a", victim).size() == 1);
  CHECK(EndsOf("keeper-a", victim)[0].text_ == "ab");
  CHECK(EndsOf("keeper-a", victim)[0].tokens_ == 2);
}

TEST_CASE_METHOD(
  FullOfBatchFixture,
  "EndpointScheduler_LateTokenOfPreemptedStream_IsNotCountedTwice")
{
  // Guards against duplicate text from a late token of a preempted stream.
  Submit("entry-a", OnlineRequest(11));
  const std::uint64_t victim = cancels_.at(0).job_.low_;
  const StreamId former = StreamOf(victim);
  EndStream(victim, StreamResult::Cancelled);
  EndStream(11, StreamResult::Finished);
  Advance(std::chrono::seconds{ 60 });
  REQUIRE(StreamOf(victim).generation_ == 2);
  Apply(scheduler_.OnChunk(former, ResponseChunk{ "b", 1 }, Now()));
  AddToken(victim, "b");
  EndStream(victim, StreamResult::Finished);
  CHECK(EndsOf("keeper-a", victim).at(0).text_ == "ab");
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_ChoiceOfVictim_MostSlackAndLeastLostWork")
{
  wire::StartRun urgent = BatchRequest(1);
  urgent.dueUnixMs_ = base::ToUnixMs(Now().wall_) + 2000;
  Submit("keeper-a", urgent);
  Submit("keeper-a", BatchRequest(2));
  Submit("keeper-a", BatchRequest(3));
  Submit("keeper-a", BatchRequest(4));
  for (int token = 0; token < 200; ++token) {
    AddToken(2, "a");
    AddToken(4, "a");
  }
  Submit("entry-a", OnlineRequest(11));
  CHECK(WasCancelled(3));
  CHECK_FALSE(WasCancelled(1));
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_NonIdempotentBatch_IsNeverPreempted")
{
  // Guards against sending a non-idempotent request twice.
  for (std::uint64_t job = 1; job <= 4; ++job) {
    wire::StartRun request = BatchRequest(job);
    request.idempotent_ = false;
    Submit("keeper-a", request);
  }
  Submit("entry-a", OnlineRequest(11));
  CHECK(cancels_.empty());
  CHECK(StartsOf(11) == 0);
  EndStream(1, StreamResult::Finished);
  CHECK(StartsOf(11) == 1);
}

TEST_CASE_METHOD(FullOfBatchStrictFixture,
                 "EndpointScheduler_StrictPriority_OnlineStartsBeforeBatch")
{
  Submit("keeper-a", BatchRequest(5));
  Submit("entry-a", OnlineRequest(11));
  CHECK(cancels_.empty());
  CHECK(StartsOf(11) == 0);
  EndStream(1, StreamResult::Finished);
  CHECK(StartsOf(11) == 1);
  CHECK(StartsOf(5) == 0);
}

TEST_CASE_METHOD(PassThroughFixture,
                 "EndpointScheduler_PassThrough_SendsEverythingToTheEngine")
{
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Submit("keeper-a", BatchRequest(job));
  }
  Submit("entry-a", OnlineRequest(11));
  CHECK(starts_.size() == 5);
}

TEST_CASE_METHOD(StaticHeadroomFixture,
                 "EndpointScheduler_StaticHeadroom_KeepsPlacesFree")
{
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Submit("keeper-a", BatchRequest(job));
  }
  CHECK(starts_.size() == 2);
  Submit("entry-a", OnlineRequest(11));
  CHECK(StartsOf(11) == 1);
}

TEST_CASE_METHOD(
  SchedulerFixture,
  "EndpointScheduler_DemandAtIdleEndpoint_GrantedAtOnceAndBounded")
{
  // Guards against late first credits and against excess credits.
  Apply(scheduler_.OnBatchDemand(
    "keeper-a", { "origin-llm", 1000, 3600000 }, Now()));
  const auto grants = Sent<wire::BatchGrant>("keeper-a");
  REQUIRE(grants.size() == 1);
  // One for each of the four places, and one more to queue.
  CHECK(grants[0].granted_ == 5);
  for (std::uint64_t job = 1; job <= 5; ++job) {
    Submit("keeper-a", BatchRequest(job));
  }
  CHECK(starts_.size() == 4);
  CHECK(Sent<wire::BatchGrant>("keeper-a").back().granted_ == 5);
  EndStream(1, StreamResult::Finished);
  CHECK(starts_.size() == 5);
  CHECK(Sent<wire::BatchGrant>("keeper-a").back().granted_ == 6);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_LinkUpAgain_CreditsCountFromZero")
{
  // Guards against an owner that gets no credits after its link was replaced.
  Apply(scheduler_.OnBatchDemand(
    "keeper-a", { "origin-llm", 1000, 3600000 }, Now()));
  scheduler_.OnLinkLost("keeper-a", Now());
  Apply(scheduler_.OnLinkUp("keeper-a", Now()));
  sent_.clear();
  Apply(scheduler_.OnBatchDemand(
    "keeper-a", { "origin-llm", 1000, 3600000 }, Now()));
  const auto grants = Sent<wire::BatchGrant>("keeper-a");
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].granted_ == 5);
}

TEST_CASE_METHOD(
  SchedulerFixture,
  "EndpointScheduler_Drain_NewRunsAreRefusedAndStartedRunsFinish")
{
  // Guards against truncated responses when a host is drained.
  for (std::uint64_t job = 1; job <= 3; ++job) {
    Submit("entry-a", OnlineRequest(job));
  }
  Submit("keeper-a", BatchRequest(4));
  Submit("keeper-a", BatchRequest(5));
  Apply(scheduler_.SetAdmissionState(AdmissionState::Draining, Now()));
  CHECK(heartbeats_ == 1);
  CHECK(scheduler_.Load(Now().now_).draining_);
  CHECK(EndsOf("keeper-a", 5).at(0).code_ == ResultCode::Draining);
  CHECK(EndsOf("keeper-a", 5).at(0).ran_ == Ran::NotRun);
  Submit("entry-a", OnlineRequest(6));
  CHECK(EndsOf("entry-a", 6).at(0).code_ == ResultCode::Draining);
  CHECK(EndsOf("entry-a", 6).at(0).ran_ == Ran::NotRun);
  Apply(
    scheduler_.OnBatchDemand("keeper-a", { "origin-llm", 9, 3600000 }, Now()));
  CHECK(Sent<wire::BatchGrant>("keeper-a").empty());
  for (std::uint64_t job = 1; job <= 4; ++job) {
    AddToken(job, "x");
    EndStream(job, StreamResult::Finished);
    CHECK_FALSE(scheduler_.IsIdle());
    Apply(scheduler_.OnRunRecorded({ RunIdOf(job) }, Now()));
  }
  CHECK(scheduler_.IsIdle());
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_DrainWithReceiverLost_ResultOfferedAtOnce")
{
  // Guards against losing a result when the link to the receiver is lost and
  // the agent then drains.
  scheduler_.SetKeepers({ "keeper-a" });
  Submit("entry-a", OnlineRequest(1));
  AddToken(1, "Samsø");
  EndStream(1, StreamResult::Finished);
  scheduler_.OnLinkLost("entry-a", Now());
  Apply(scheduler_.SetAdmissionState(AdmissionState::Draining, Now()));
  REQUIRE(EndsOf("keeper-a", 1).size() == 1);
  CHECK(EndsOf("keeper-a", 1)[0].text_ == "Samsø");
}

TEST_CASE_METHOD(SchedulerFixture,
                 "EndpointScheduler_OwnerReplaced_QueuedItemsAreDropped")
{
  for (std::uint64_t job = 1; job <= 5; ++job) {
    Submit("keeper-a", BatchRequest(job));
  }
  Apply(scheduler_.OnPeerReplaced("keeper-a", Now()));
  CHECK(EndsOf("keeper-a", 5).at(0).ran_ == Ran::NotRun);
  EndStream(1, StreamResult::Finished);
  CHECK(StartsOf(5) == 0);
}

TEST_CASE("CreditLedger_TwoOwners_SplitByDemandAndSlack")
{
  CreditLedger ledger;
  ledger.SetDemand("keeper-a", 100, 3600000);
  ledger.SetDemand("keeper-b", 300, 3600000);
  auto grants = ledger.Allocate(8);
  REQUIRE(grants.size() == 2);
  CHECK(grants[0] == CreditLedger::Grant{ "keeper-a", 2 });
  CHECK(grants[1] == CreditLedger::Grant{ "keeper-b", 6 });
  ledger.SetDemand("keeper-a", 100, -1);
  grants = ledger.Allocate(4);
  REQUIRE(!grants.empty());
  CHECK(grants[0] == CreditLedger::Grant{ "keeper-a", 6 });
}

TEST_CASE("CreditLedger_OwnerWithoutItems_CreditsAreNotOutstanding")
{
  CreditLedger ledger;
  ledger.SetDemand("keeper-a", 4, 3600000);
  ledger.Allocate(4);
  CHECK(ledger.Outstanding() == 4);
  ledger.SetDemand("keeper-a", 0, 0);
  CHECK(ledger.Outstanding() == 0);
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

TEST_CASE("ConcurrencyLimit_FirstTokensLate_FallsToPlacesOfEngine")
{
  // Guards against late first tokens when the declared limit is too high.
  constexpr std::uint32_t kRealPlaces = 8;
  ConcurrencyLimit::Options options;
  options.max_ = 16;
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
