#include "LibFleet/EndpointTable.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

class EndpointTableFixture
{
protected:
  void Add(const std::string& aId,
           const std::string& aDomain = "a",
           bool aIsDraining = false)
  {
    table_.Put({ aId, "service", "127.0.0.1:1", aDomain, 4, aIsDraining },
               now_);
  }

  RegistrationOutcome AddStarted(const std::string& aId,
                                 std::int64_t aStartedAtMs)
  {
    return table_.Put(
      { aId, "service", "127.0.0.1:1", "a", 4, false, aStartedAtMs }, now_);
  }

  void AddVersion(const std::string& aId,
                  const std::string& aVersion,
                  bool aIsDraining = false)
  {
    EndpointRecord record{ aId, "service", "127.0.0.1:1", "a", 4, aIsDraining };
    record.softwareVersion_ = aVersion;
    table_.Put(record, now_);
  }

  /// @return the id of the endpoint chosen for the rest of a stream.
  std::string ChooseForRest(std::string_view aVersion,
                            WorkClass aWork = WorkClass::Online)
  {
    ChoiceRequest request{ "service", aWork, {} };
    request.softwareVersion_ = aVersion;
    const auto choice = table_.Choose(request, now_, random_);
    return choice ? choice->endpoint_.id_ : std::string();
  }

  std::optional<EndpointChoice> Choose(WorkClass aWork,
                                       std::vector<std::string> aExcluded = {})
  {
    return table_.Choose({ "service", aWork, aExcluded }, now_, random_);
  }

  void Start(const std::string& aId, WorkClass aWork, int aCount)
  {
    for (int attempt = 0; attempt < aCount; ++attempt) {
      table_.CountStart({ aId }, aWork);
    }
  }

  EndpointTable table_{ "a", EndpointTable::Limits{} };
  base::Instant now_{ base::Duration{ 1h } };
  std::mt19937_64 random_{ 1 };
};

TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_OneEndpointIsFull_ChoosesTheOther")
{
  Add("full");
  Add("free");
  Start("full", WorkClass::Online, 4);
  Start("free", WorkClass::Online, 3);
  for (int round = 0; round < 20; ++round) {
    CHECK(Choose(WorkClass::Online)->endpoint_.id_ == "free");
  }
  CHECK(Choose(WorkClass::Online, { "free" })->endpoint_.id_ == "full");
}

// Guards against suspected requests that crash an endpoint for each host that
// sends one.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_CommonKey_ChoosesTheSameAtAllHosts")
{
  EndpointTable other("b", EndpointTable::Limits{});
  std::mt19937_64 otherRandom(99);
  std::set<std::string> chosen;
  for (const char* id : { "e1", "e2", "e3", "e4", "e5", "e6" }) {
    Add(id);
    other.Put({ id, "service", "127.0.0.1:1", "a", 4 }, now_);
  }
  for (std::uint64_t key = 0; key < 50; ++key) {
    ChoiceRequest request{ "service", WorkClass::Online, {} };
    request.commonEndpointKey_ = key;
    const auto choice = table_.Choose(request, now_, random_);
    CHECK(choice->endpoint_.id_ ==
          other.Choose(request, now_, otherRandom)->endpoint_.id_);
    chosen.insert(choice->endpoint_.id_);
  }
  CHECK(chosen.size() == 6);
}

// Guards against suspected requests that wait although others have a slot.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_CommonEndpointIsFull_ChoosesTheNext")
{
  Add("e1");
  Add("e2");
  ChoiceRequest request{ "service", WorkClass::Online, {} };
  request.commonEndpointKey_ = 7;
  const std::string first =
    table_.Choose(request, now_, random_)->endpoint_.id_;
  Start(first, WorkClass::Online, 4);
  CHECK(table_.Choose(request, now_, random_)->endpoint_.id_ != first);
  Start(first == "e1" ? "e2" : "e1", WorkClass::Online, 4);
  CHECK(table_.Choose(request, now_, random_).has_value());
}

// Guards against the rest of a stream from another software version.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_RestOfStream_ChoosesItsVersionOnly")
{
  AddVersion("old", "v1");
  AddVersion("new-1", "v2");
  AddVersion("new-2", "v2");
  Start("old", WorkClass::Online, 6);
  for (int round = 0; round < 20; ++round) {
    CHECK(ChooseForRest("v1") == "old");
  }
  CHECK(ChooseForRest("v3").empty());
  CHECK(table_.HasUsable("service", "v1"));
  CHECK_FALSE(table_.HasUsable("service", "v3"));
}

// Guards against streams that are lost when the last endpoints of their version
// are replaced, and against requests to endpoints that have drained for long.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_LastOfVersionDrains_GetsRestOfStreamsForAWhile")
{
  AddVersion("old", "v1");
  AddVersion("new", "v2");
  AddVersion("old", "v1", true);
  CHECK(ChooseForRest("v1") == "old");
  CHECK(ChooseForRest("v1", WorkClass::Batch).empty());
  CHECK(Choose(WorkClass::Online)->endpoint_.id_ == "new");
  CHECK_FALSE(table_.HasUsable("service", "v1"));
  now_ += EndpointTable::Limits{}.drainingUse_;
  CHECK(ChooseForRest("v1").empty());
}

// Guards against requests to an endpoint that began to drain before this host
// knew it.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_FirstSeenDraining_GetsNoRestOfStreams")
{
  AddVersion("old", "v1", true);
  CHECK(ChooseForRest("v1").empty());
}

// Guards against all hosts choosing the emptiest endpoint by the same counts.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_SeveralHaveFreeSlots_RequestsAreSpread")
{
  Add("emptiest");
  Add("emptier");
  Start("emptier", WorkClass::Online, 1);
  constexpr int kRounds = 1000;
  int emptiest = 0;
  for (int round = 0; round < kRounds; ++round) {
    emptiest += Choose(WorkClass::Online)->endpoint_.id_ == "emptiest" ? 1 : 0;
  }
  // Expected share: 16 of 25, by the squares of 4 and 3 free slots.
  CHECK(emptiest > kRounds / 2);
  CHECK(emptiest < kRounds * 3 / 4);
}

TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_BatchPreempted_PausesBatchThere")
{
  Add("one");
  CHECK(Choose(WorkClass::Batch));
  table_.RecordPreemption("one", now_);
  CHECK_FALSE(Choose(WorkClass::Batch));
  CHECK(Choose(WorkClass::Online));
  now_ += 400ms;
  CHECK(Choose(WorkClass::Batch));
}

// Guards against requests that reach an endpoint long after it began to drain,
// or has left, as it is asked for the rest of a stream that it began.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_EndpointLeaves_GetsRestsForAWhileOnly")
{
  Add("a");
  CHECK(table_.MayGetRests({ "a" }, now_));
  Add("a", "a", true);
  CHECK(table_.MayGetRests({ "a" }, now_));
  now_ += EndpointTable::Limits{}.drainingUse_;
  CHECK_FALSE(table_.MayGetRests({ "a" }, now_));
  table_.Remove("a", {}, now_);
  CHECK_FALSE(table_.MayGetRests({ "a" }, now_));
}

TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_DrainingEndpoint_IsNotChosen")
{
  Add("leaving", "a", true);
  CHECK_FALSE(Choose(WorkClass::Online));
  CHECK_FALSE(Choose(WorkClass::Batch));
}

// Guards against batch that fills every slot, so that online requests must
// queue.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_BatchStarts_LeaveRoomForOnline")
{
  Add("one");
  int started = 0;
  while (Choose(WorkClass::Batch)) {
    Start("one", WorkClass::Batch, 1);
    ++started;
  }
  CHECK(started == 3);
  CHECK_FALSE(Choose(WorkClass::Online)->preemptsBatch_);
}

TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_AllSlotsTaken_OnlinePreemptsOwnBatch")
{
  Add("online-only");
  Add("with-batch");
  Start("online-only", WorkClass::Online, 4);
  Start("with-batch", WorkClass::Online, 3);
  Start("with-batch", WorkClass::Batch, 1);
  const auto choice = Choose(WorkClass::Online);
  REQUIRE(choice);
  CHECK(choice->endpoint_.id_ == "with-batch");
  CHECK(choice->preemptsBatch_);
}

// Guards against batch that isn't preempted when a peer's online requests
// overfill an endpoint.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_PeersOverfillEndpoint_PreemptsExcessBatch")
{
  Add("one");
  Start("one", WorkClass::Batch, 3);
  CHECK(table_.BatchToPreempt("one", now_, 0.5) == 0);
  const std::vector<EndpointCounts> counts = { { "one", { 3, 0 } } };
  table_.SetPeerCounts("peer", counts, now_);
  CHECK(table_.BatchToPreempt("one", now_, 0.0) == 2);
  table_.SetPeerCounts("peer", {}, now_);
  CHECK(table_.BatchToPreempt("one", now_, 0.5) == 0);
}

TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_SeveralHostsHaveBatch_EachPreemptsItsShare")
{
  Add("one");
  Start("one", WorkClass::Batch, 2);
  const std::vector<EndpointCounts> counts = { { "one", { 2, 2 } } };
  table_.SetPeerCounts("peer", counts, now_);
  CHECK(table_.BatchToPreempt("one", now_, 0.5) == 1);
}

// Guards against online requests that wait for a slot of a peer's batch because
// that peer isn't asked to preempt it.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_OnlyPeersHaveBatch_NamesPeerToPreempt")
{
  Add("online-only");
  Add("with-batch");
  Start("online-only", WorkClass::Online, 4);
  Start("with-batch", WorkClass::Online, 2);
  const std::vector<EndpointCounts> counts = { { "with-batch", { 1, 1 } } };
  table_.SetPeerCounts("peer", counts, now_);
  const auto choice = Choose(WorkClass::Online);
  REQUIRE(choice);
  CHECK(choice->endpoint_.id_ == "with-batch");
  CHECK(choice->preemptsBatch_);
  CHECK(choice->preemptedPeer_ == "peer");
  table_.AssumePreemption("with-batch", "peer");
  CHECK(Choose(WorkClass::Online)->inFlight_ == 3);
}

// Guards against every host losing a request to the same broken endpoint.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_TwoPeersReportFailure_EndpointIsAvoided")
{
  Add("bad");
  Add("good");
  Start("good", WorkClass::Online, 4);
  const std::vector<EndpointCounts> failed = { { "bad", {}, true } };
  table_.SetPeerCounts("peer-1", failed, now_);
  CHECK(Choose(WorkClass::Online)->endpoint_.id_ == "bad");
  table_.SetPeerCounts("peer-2", failed, now_);
  CHECK(Choose(WorkClass::Online)->endpoint_.id_ == "good");
}

TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_OwnFailure_IsReportedToPeers")
{
  Add("bad");
  CHECK(table_.OwnCounts(now_).empty());
  table_.RecordFailure({ "bad" }, now_);
  REQUIRE(table_.OwnCounts(now_).size() == 1);
  CHECK(table_.OwnCounts(now_).front().isAvoided_);
}

TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_SilentPeer_CountsAreIgnored")
{
  Add("one");
  const std::vector<EndpointCounts> counts = { { "one", { 4, 0 } } };
  table_.SetPeerCounts("peer", counts, now_);
  CHECK_FALSE(Choose(WorkClass::Batch));
  now_ += 2s;
  CHECK(Choose(WorkClass::Batch));
}

TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_FailedEndpoint_IsAvoidedTemporarily")
{
  Add("bad");
  Add("good", "b");
  Start("good", WorkClass::Online, 4);
  table_.RecordFailure({ "bad" }, now_);
  CHECK(Choose(WorkClass::Online)->endpoint_.id_ == "good");
  now_ += 500ms;
  CHECK(Choose(WorkClass::Online)->endpoint_.id_ == "bad");
}

// Guards against using an endpoint whose address belongs to another process,
// after a late heartbeat registered it again.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_ReplacedEndpointRegistersAgain_IsNotUsed")
{
  Add("old");
  Add("other");
  Start("other", WorkClass::Online, 3);
  table_.RecordReplaced({ "old" }, now_);
  Add("old");
  CHECK(Choose(WorkClass::Online)->endpoint_.id_ == "other");
  CHECK_FALSE(table_.IsUsable("old"));
}

// Guards against dropping running endpoints whose registrations lapsed in an
// outage of the store.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_RemovedAfterOutage_StaysForRemovalGrace")
{
  Add("one");
  const base::Instant recoveredAt = now_;
  table_.Remove("one", recoveredAt, now_ + 100ms);
  CHECK(Choose(WorkClass::Online));
  CHECK(table_.Expire(now_ + 1s).empty());
  CHECK(table_.Expire(now_ + 2s) == std::vector<std::string>{ "one" });
  CHECK_FALSE(Choose(WorkClass::Online));
}

TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_RemovedWithoutOutage_IsDropped")
{
  Add("one");
  table_.Remove("one", std::nullopt, now_);
  CHECK_FALSE(Choose(WorkClass::Online));
}

TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_ActiveAfterMoment_HasSurvived")
{
  Add("one");
  table_.RecordActivity({ "one" }, now_ - 1s, now_);
  CHECK_FALSE(table_.HasSurvived("one", now_, now_));
  table_.RecordActivity({ "one" }, now_ - 1s, now_ + 1ms);
  CHECK(table_.HasSurvived("one", now_, now_ + 1ms));
}

TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_StillRegisteredAfterTimeout_HasSurvived")
{
  Add("one");
  CHECK_FALSE(table_.HasSurvived("one", now_, now_ + 4s));
  CHECK(table_.HasSurvived("one", now_, now_ + 5s));
  table_.Remove("one", std::nullopt, now_);
  CHECK_FALSE(table_.HasSurvived("one", now_, now_ + 5s));
}

// Guards against endpoints that stay unused after a restart under their former
// id.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_ReplacedEndpointRestarts_IsUsedAgain")
{
  AddStarted("one", 100);
  table_.RecordReplaced({ "one", 100 }, now_);
  CHECK(AddStarted("one", 100) == RegistrationOutcome::Outdated);
  CHECK_FALSE(Choose(WorkClass::Online));
  CHECK(AddStarted("one", 200) == RegistrationOutcome::New);
  CHECK(Choose(WorkClass::Online));
  // A late report about the previous process.
  table_.RecordReplaced({ "one", 100 }, now_);
  CHECK(table_.IsUsable("one"));
}

// Guards against attempts and failures of a former process that still count
// after a restart.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_RestartsUnderItsId_FormerStateIsDropped")
{
  AddStarted("one", 100);
  for (int attempt = 0; attempt < 4; ++attempt) {
    table_.CountStart({ "one", 100 }, WorkClass::Online);
  }
  const EndpointCounts peerCounts{ "one", { 3, 0 }, true, 100 };
  table_.SetPeerCounts("peer", std::span(&peerCounts, 1), now_);
  table_.RecordFailure({ "one", 100 }, now_);
  CHECK(AddStarted("one", 200) == RegistrationOutcome::Restarted);
  CHECK(Choose(WorkClass::Online)->inFlight_ == 0);
  CHECK(table_.OwnCounts(now_).empty());
}

// Guards against attempts of a former process being subtracted from those of
// the current one.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_UpdatesOfFormerProcess_AreIgnored")
{
  AddStarted("one", 200);
  table_.CountStart({ "one", 200 }, WorkClass::Online);
  table_.CountEnd({ "one", 100 }, WorkClass::Online);
  CHECK(Choose(WorkClass::Online)->inFlight_ == 1);
  const EndpointCounts peerCounts{ "one", { 3, 0 }, false, 100 };
  table_.UpdatePeerCounts("peer", std::span(&peerCounts, 1), now_);
  CHECK(Choose(WorkClass::Online)->inFlight_ == 1);
  CHECK(AddStarted("one", 100) == RegistrationOutcome::Outdated);
  CHECK(Choose(WorkClass::Online)->endpoint_.startedAtMs_ == 200);
  table_.RecordReplaced({ "one", 100 }, now_);
  CHECK(table_.IsUsable("one"));
}

// Guards against taking a restarted endpoint for one that survived a crash.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_LaterAttemptIsActive_HasNotSurvived")
{
  AddStarted("one", 100);
  const base::Instant crash = now_;
  table_.RecordActivity({ "one", 100 }, crash + 100ms, crash + 200ms);
  CHECK_FALSE(table_.HasSurvived("one", crash, crash + 200ms));
  now_ += 3s;
  AddStarted("one", 200);
  table_.RecordActivity({ "one", 200 }, now_, now_ + 100ms);
  CHECK_FALSE(table_.HasSurvived("one", crash, crash + 10s));
}

// Guards against a rest, or a stream that is recorded, at a process whose
// software version isn't known.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_OtherProcessAnswers_GetsNoRestsUntilRegistered")
{
  AddStarted("one", 100);
  table_.RecordOtherProcess({ "one", 100 }, 200, now_);
  ChoiceRequest request{ "service", WorkClass::Online, {} };
  CHECK(table_.Choose(request, now_, random_));
  request.needsProcess_ = true;
  CHECK_FALSE(table_.Choose(request, now_, random_));
  CHECK_FALSE(Choose(WorkClass::Batch));
  CHECK(AddStarted("one", 200) == RegistrationOutcome::Restarted);
  CHECK(table_.Choose(request, now_, random_));
  CHECK(Choose(WorkClass::Batch));
}

// Guards against taking a connection to an endpoint's next process for one to
// the registered process.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_ConnectsAfterLastAnswer_LeadsToUnknownProcess")
{
  AddStarted("one", 100);
  const EndpointIncarnation one{ "one", 100 };
  CHECK_FALSE(table_.LeadsToProcess(one, now_ - 1s, now_));
  table_.RecordProcess(one, now_);
  CHECK(table_.LeadsToProcess(one, now_ - 1s, now_ + 5s));
  CHECK(table_.LeadsToProcess(one, now_ + 50ms, now_ + 5s));
  CHECK_FALSE(table_.LeadsToProcess(one, now_ + 51ms, now_ + 5s));
  AddStarted("one", 200);
  CHECK_FALSE(table_.LeadsToProcess(one, now_ - 1s, now_));
  CHECK_FALSE(table_.LeadsToProcess({ "one", 200 }, now_ - 1s, now_));
}

// Guards against endpoints that serve no streams as they don't say which
// process they are, and against taking a later process for one of these.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_ProcessIsUntold_ConnectionIsUsed")
{
  Add("nameless");
  CHECK(table_.LeadsToProcess({ "nameless", 0 }, now_, now_));
  AddStarted("one", 100);
  table_.RecordProcessUntold({ "one", 100 }, now_);
  CHECK(table_.LeadsToProcess({ "one", 100 }, now_ - 1s, now_ + 60s));
  CHECK(table_.LeadsToProcess({ "one", 100 }, now_ + 50ms, now_ + 60s));
  CHECK_FALSE(table_.LeadsToProcess({ "one", 100 }, now_ + 51ms, now_ + 1s));
}

// Guards against taking the next process of an endpoint whose registration has
// no start for the registered one, although reports tell the start.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_StartIsToldInReportOnly_LaterProcessIsNoticed")
{
  Add("nameless");
  const EndpointIncarnation nameless{ "nameless", 0 };
  CHECK(table_.StartOf(nameless) == 0);
  table_.RecordToldStart(nameless, 100, now_);
  CHECK(table_.StartOf(nameless) == 100);
  CHECK(table_.LeadsToProcess(nameless, now_ + 50ms, now_ + 5s));
  CHECK_FALSE(table_.LeadsToProcess(nameless, now_ + 51ms, now_ + 5s));
  table_.RecordOtherProcess(nameless, 200, now_);
  CHECK_FALSE(table_.LeadsToProcess(nameless, now_, now_));
  ChoiceRequest request{ "service", WorkClass::Online, {} };
  CHECK(table_.Choose(request, now_, random_));
  request.needsProcess_ = true;
  CHECK_FALSE(table_.Choose(request, now_, random_));
}

// Guards against an endpoint that serves no streams after it started again, as
// its registration can't show that it is of the next process.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_RegistrationWithoutStartLasts_IsOfNextProcess")
{
  Add("nameless");
  const EndpointIncarnation nameless{ "nameless", 0 };
  table_.RecordToldStart(nameless, 100, now_);
  ChoiceRequest request{ "service", WorkClass::Online, {} };
  request.needsProcess_ = true;
  const base::Instant firstAt = now_;
  for (; now_ <= firstAt + 15s; now_ += 1500ms) {
    table_.RecordOtherProcess(nameless, 200, now_);
    CHECK_FALSE(table_.Choose(request, now_, random_));
    CHECK(table_.StartOf(nameless) == 100);
  }
  table_.RecordOtherProcess(nameless, 200, now_);
  CHECK(table_.Choose(request, now_, random_));
  CHECK(table_.StartOf(nameless) == 200);
}

// Guards against a restart that isn't noticed as its start time is missing.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_OtherSoftwareWithSameStart_HasRestarted")
{
  EndpointRecord record{ "one", "service", "1.2.3.4:1", "a" };
  record.softwareVersion_ = "v1";
  CHECK(table_.Put(record, now_) == RegistrationOutcome::New);
  CHECK(table_.Put(record, now_) == RegistrationOutcome::Known);
  record.softwareVersion_ = "v2";
  CHECK(table_.Put(record, now_) == RegistrationOutcome::Restarted);
}

// Guards against an endpoint that is known by its former process for good, as
// the clock of its machine was set back before it started again.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_ClockWasSetBack_ProcessIsAcceptedOnceItAnswers")
{
  AddStarted("one", 200);
  CHECK(AddStarted("one", 100) == RegistrationOutcome::Outdated);
  table_.RecordOtherProcess({ "one", 200 }, 100, now_);
  CHECK(AddStarted("one", 150) == RegistrationOutcome::Outdated);
  CHECK(AddStarted("one", 100) == RegistrationOutcome::Restarted);
}

// Guards against an endpoint that serves no streams, as its reports and its
// registration name different starts.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_ReportContradictsLastingRegistration_IsUsed")
{
  AddStarted("one", 100);
  const EndpointIncarnation one{ "one", 100 };
  ChoiceRequest request{ "service", WorkClass::Online, {} };
  request.needsProcess_ = true;
  const base::Instant firstAt = now_;
  for (; now_ <= firstAt + 15s; now_ += 1500ms) {
    table_.RecordOtherProcess(one, 200, now_);
    CHECK_FALSE(table_.Choose(request, now_, random_));
    CHECK_FALSE(table_.LeadsToProcess(one, now_, now_));
  }
  table_.RecordOtherProcess(one, 200, now_);
  CHECK(table_.Choose(request, now_, random_));
  CHECK(table_.LeadsToProcess(one, now_, now_));
}

// Guards against a stream that goes on at an endpoint's next process, as the
// registration of the former one can't change while the store is away.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_StoreIsAway_ContradictedRegistrationIsNotUsed")
{
  AddStarted("one", 100);
  const EndpointIncarnation one{ "one", 100 };
  ChoiceRequest request{ "service", WorkClass::Online, {} };
  request.needsProcess_ = true;
  const base::Instant firstAt = now_;
  const auto contradict = [&](base::Instant aEnd, base::Duration aAge) {
    for (; now_ <= aEnd; now_ += 500ms) {
      table_.SetRegistrationAge(aAge, now_);
      table_.RecordOtherProcess(one, 200, now_);
      CHECK_FALSE(table_.Choose(request, now_, random_));
      CHECK_FALSE(table_.LeadsToProcess(one, now_, now_));
    }
  };
  contradict(firstAt + 60s, 6s);
  // The store is back: the process has its time to register.
  contradict(firstAt + 60s + 15s, 100ms);
  now_ += 500ms;
  table_.RecordOtherProcess(one, 200, now_);
  CHECK(table_.Choose(request, now_, random_));
}

// Guards against the same where this process was suspended, so that it doesn't
// know yet how old its registrations are.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_SuspendedMeanwhile_ContradictionBeginsAnew")
{
  AddStarted("one", 100);
  const EndpointIncarnation one{ "one", 100 };
  table_.SetRegistrationAge(100ms, now_);
  table_.RecordOtherProcess(one, 200, now_);
  now_ += 60s;
  table_.RecordOtherProcess(one, 200, now_);
  CHECK_FALSE(table_.LeadsToProcess(one, now_, now_));
}

// Guards against sending requests to an endpoint whose registration is
// unreadable.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_UnreadableRegistration_IsNotUsed")
{
  Add("one");
  table_.CountStart({ "one" }, WorkClass::Online);
  table_.MarkUnreadable("one");
  CHECK_FALSE(Choose(WorkClass::Online));
  CHECK_FALSE(table_.IsUsable("one"));
  Add("one");
  CHECK(Choose(WorkClass::Online)->inFlight_ == 1);
}

// Guards against preempting batch at an endpoint that would serve waiting
// online requests first.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_OnlineIsQueued_PreemptsBatchElsewhere")
{
  Add("queue");
  Add("batch");
  Start("queue", WorkClass::Online, 6);
  Start("queue", WorkClass::Batch, 3);
  Start("batch", WorkClass::Online, 3);
  Start("batch", WorkClass::Batch, 1);
  for (int round = 0; round < 50; ++round) {
    const auto choice = Choose(WorkClass::Online);
    CHECK(choice->endpoint_.id_ == "batch");
    CHECK(choice->preemptsBatch_);
  }
}

// Guards against hosts choosing the same slot until the next update with all
// counts.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_PeerSendsChange_OtherCountsStay")
{
  Add("one");
  Add("two");
  const std::vector<EndpointCounts> all = { { "one", { 4, 0 }, false },
                                            { "two", { 3, 0 }, false } };
  table_.SetPeerCounts("peer", all, now_);
  CHECK(Choose(WorkClass::Online)->endpoint_.id_ == "two");
  const std::vector<EndpointCounts> changed = { { "one", { 3, 0 }, false },
                                                { "two", { 4, 0 }, false } };
  table_.UpdatePeerCounts("peer", std::span(changed).first(1), now_);
  table_.UpdatePeerCounts("peer", std::span(changed).last(1), now_);
  CHECK(Choose(WorkClass::Online)->endpoint_.id_ == "one");
  CHECK(Choose(WorkClass::Online)->inFlight_ == 3);
}

/// Eight endpoints in two cells, of which this host belongs to the first.
class DividedEndpointTableFixture : protected EndpointTableFixture
{
protected:
  DividedEndpointTableFixture()
  {
    for (int number = 0; number < 8; ++number) {
      Add("endpoint-" + std::to_string(number));
    }
    table_.SetCells(2, 0);
    for (int number = 0; number < 8; ++number) {
      const std::string id = "endpoint-" + std::to_string(number);
      (table_.CellOf(id) == 0U ? own_ : others_).push_back(id);
    }
  }

  bool IsInOwnCell(const std::string& aId) const
  {
    return std::find(own_.begin(), own_.end(), aId) != own_.end();
  }

  void FillOwnCell(WorkClass aWork, int aCount)
  {
    for (const std::string& id : own_) {
      Start(id, aWork, aCount);
    }
  }

  std::vector<std::string> own_;
  std::vector<std::string> others_;
};

TEST_CASE_METHOD(DividedEndpointTableFixture,
                 "EndpointTable_OwnCellHasFreeSlots_IsChosen")
{
  REQUIRE(own_.size() == 4);
  FillOwnCell(WorkClass::Online, 3);
  for (int round = 0; round < 20; ++round) {
    CHECK(IsInOwnCell(Choose(WorkClass::Online)->endpoint_.id_));
  }
}

// Guards against requests that wait in a full cell while its neighbour has free
// slots.
TEST_CASE_METHOD(DividedEndpointTableFixture,
                 "EndpointTable_OwnCellIsFull_OnlineWorkUsesOthers")
{
  FillOwnCell(WorkClass::Online, 4);
  for (int round = 0; round < 20; ++round) {
    CHECK_FALSE(IsInOwnCell(Choose(WorkClass::Online)->endpoint_.id_));
  }
  CHECK_FALSE(Choose(WorkClass::Batch));
}

// Guards against requests that fail although only this cell's endpoints are
// lost.
TEST_CASE_METHOD(DividedEndpointTableFixture,
                 "EndpointTable_OwnCellIsAvoided_OnlineWorkUsesOthers")
{
  for (const std::string& id : own_) {
    table_.RecordFailure({ id }, now_);
  }
  CHECK_FALSE(IsInOwnCell(Choose(WorkClass::Online)->endpoint_.id_));
  CHECK(IsInOwnCell(Choose(WorkClass::Online, others_)->endpoint_.id_));
}

// Guards against overload of an endpoint of another cell, whose attempts this
// host doesn't know.
TEST_CASE_METHOD(DividedEndpointTableFixture,
                 "EndpointTable_EndpointOfOtherCellReportsLoad_FreeOneIsChosen")
{
  FillOwnCell(WorkClass::Online, 4);
  for (std::size_t index = 1; index < others_.size(); ++index) {
    table_.RecordLoad({ others_[index] }, { 4, 2 }, now_);
  }
  for (int round = 0; round < 20; ++round) {
    CHECK(Choose(WorkClass::Online)->endpoint_.id_ == others_[0]);
  }
  now_ += 2s;
  std::set<std::string> chosen;
  for (int round = 0; round < 50; ++round) {
    chosen.insert(Choose(WorkClass::Online)->endpoint_.id_);
  }
  CHECK(chosen.size() > 1);
}

TEST_CASE_METHOD(DividedEndpointTableFixture,
                 "EndpointTable_OwnCellRunsBatch_IsPreemptedThere")
{
  FillOwnCell(WorkClass::Batch, 4);
  const auto choice = Choose(WorkClass::Online);
  CHECK(choice->preemptsBatch_);
  CHECK(IsInOwnCell(choice->endpoint_.id_));
}

// Guards against work for a machine that others slow down at this moment, and
// against work withheld from it once its report is outdated.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_SlowFor600ms_GetsItsShareOnlyAfterwards")
{
  for (const char* id : { "slow", "b", "c", "d" }) {
    Add(id);
  }
  constexpr int kRounds = 20000;
  const auto shareOfSlow = [this] {
    int slow = 0;
    for (int round = 0; round < kRounds; ++round) {
      const auto choice = Choose(WorkClass::Online);
      const bool isSlow = choice->endpoint_.id_ == "slow";
      slow += isSlow ? 1 : 0;
    }
    return static_cast<double>(slow) / kRounds;
  };
  for (int report = 0; report < 3; ++report) {
    table_.RecordLoad({ "slow" }, { 0, 0, 250 }, now_);
    CHECK(shareOfSlow() == Approx(0.4 / 3.4).epsilon(0.1));
    now_ += 200ms;
  }
  table_.RecordLoad({ "slow" }, { 0, 0, 100 }, now_);
  CHECK(shareOfSlow() == Approx(0.25).epsilon(0.1));
  table_.RecordLoad({ "slow" }, { 0, 0, 250 }, now_);
  CHECK(Choose(WorkClass::Online, { "b", "c", "d" })->speed_ == Approx(0.4));
  now_ += 301ms;
  CHECK(shareOfSlow() == Approx(0.25).epsilon(0.1));
  CHECK(Choose(WorkClass::Online, { "b", "c", "d" })->speed_ == 1.0);
}

// Guards against speeds of a process that is gone.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_EndpointDropped_ItsPaceIsDropped")
{
  const auto speed = [this] {
    return Choose(WorkClass::Online, { "b" })->speed_;
  };
  const auto makeSlow = [this](std::int64_t aStartedAtMs) {
    AddStarted("a", aStartedAtMs);
    Add("b");
    table_.RecordLoad({ "a", aStartedAtMs }, { 0, 0, 100 }, now_);
    for (int event = 0; event < 100; ++event) {
      table_.RecordEventInterval({ "a", aStartedAtMs }, 50ms, now_);
      table_.RecordEventInterval({ "b" }, 25ms, now_);
    }
  };
  makeSlow(1);
  REQUIRE(speed() < 0.9);
  table_.Remove("a", std::nullopt, now_);
  AddStarted("a", 1);
  CHECK(speed() == 1.0);
  makeSlow(1);
  REQUIRE(speed() < 0.9);
  table_.Remove("a", now_, now_);
  now_ += 3s;
  REQUIRE(table_.Expire(now_).size() == 1);
  AddStarted("a", 1);
  CHECK(speed() == 1.0);
  makeSlow(1);
  REQUIRE(speed() < 0.9);
  AddStarted("a", 2);
  CHECK(speed() == 1.0);
  makeSlow(2);
  REQUIRE(speed() < 0.9);
  table_.RecordReplaced({ "a", 2 }, now_);
  AddStarted("a", 3);
  CHECK(speed() == 1.0);
}

// Guards against other choices, random draws included, in a deployment whose
// endpoints report no slowness.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_NoSlownessReported_ChoicesAreUnchanged")
{
  EndpointTable other("a", EndpointTable::Limits{});
  std::mt19937_64 random = random_;
  for (const char* id : { "a", "b", "c" }) {
    Add(id);
    other.Put({ id, "service", "127.0.0.1:1", "a", 4 }, now_);
  }
  for (int round = 0; round < 200; ++round) {
    table_.RecordLoad({ "a" }, { 1, 0 }, now_);
    table_.RecordEventInterval({ "a" }, 90ms, now_);
    table_.RecordEventInterval({ "b" }, 10ms, now_);
    const auto choice = Choose(WorkClass::Online);
    const auto expected =
      other.Choose({ "service", WorkClass::Online, {} }, now_, random);
    REQUIRE(choice->endpoint_.id_ == expected->endpoint_.id_);
    REQUIRE(choice->speed_ == 1.0);
  }
  CHECK(random == random_);
}

// Guards against taking a pause that all endpoints make for the loss of each.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_ActivityOfService_CountsSilentAndActive")
{
  for (const char* id : { "one", "two", "three", "idle" }) {
    Add(id);
  }
  for (const char* id : { "one", "two", "three" }) {
    table_.CountStreaming({ id }, now_);
  }
  const base::Instant startedAt = now_;
  now_ += 290ms;
  CHECK(table_.ActivityOf("service", now_).silent_ == 0);
  CHECK(table_.ActivityOf("service", now_).active_ == 3);
  table_.RecordActivity({ "two" }, startedAt, now_);
  now_ += 20ms;
  CHECK(table_.ActivityOf("service", now_).silent_ == 2);
  CHECK(table_.ActivityOf("service", now_).active_ == 1);
  CHECK(table_.ActivityOf("other", now_).silent_ == 0);
}

// Guards against taking endpoints for silent that owe no event: of a response
// that comes whole, of a prompt that is read, of a stream that isn't read.
TEST_CASE_METHOD(EndpointTableFixture, "EndpointTable_NoEventIsDue_IsNotSilent")
{
  Add("one");
  Add("two");
  Start("one", WorkClass::Online, 2);
  table_.CountStreaming({ "two" }, now_);
  table_.CountNotStreaming({ "two" });
  now_ += 5s;
  CHECK(table_.ActivityOf("service", now_).silent_ == 0);
}

// Guards against avoiding all endpoints, and refusing requests, after a pause
// that all of them made.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_MostAreSilent_IsNotRecordedAsFailures")
{
  for (const char* id : { "one", "two", "three" }) {
    Add(id);
    table_.CountStreaming({ id }, now_);
  }
  now_ += 900ms;
  CHECK_FALSE(table_.RecordSilence({ "one" }, 900ms, now_));
  CHECK(Choose(WorkClass::Online)->hasSlot_);
  // Sound endpoints have gone on by then.
  now_ += 1200ms;
  CHECK(table_.RecordSilence({ "one" }, 200ms, now_));
}

// Guards against sending requests to a lost endpoint.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_OneOfThreeIsSilent_IsAvoided")
{
  for (const char* id : { "one", "two", "three" }) {
    Add(id);
    table_.CountStreaming({ id }, now_);
  }
  const base::Instant startedAt = now_;
  now_ += 900ms;
  table_.RecordActivity({ "two" }, startedAt, now_);
  table_.RecordActivity({ "three" }, startedAt, now_);
  CHECK(table_.RecordSilence({ "one" }, 900ms, now_));
  const auto counts = table_.OwnCounts(now_);
  REQUIRE(counts.size() == 1);
  CHECK(counts[0].endpoint_ == "one");
  CHECK(counts[0].isAvoided_);
}

// Guards against preferring a lost endpoint once its attempts have moved away,
// as all its slots seem free.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_AttemptsLeftSilentEndpoints_GetFewRequests")
{
  for (const char* id : { "one", "two", "lost", "gone" }) {
    Add(id);
    Start(id, WorkClass::Online, 1);
    table_.CountStreaming({ id }, now_);
  }
  const base::Instant startedAt = now_;
  now_ += 900ms;
  table_.RecordActivity({ "one" }, startedAt, now_);
  table_.RecordActivity({ "two" }, startedAt, now_);
  for (const char* id : { "lost", "gone" }) {
    table_.RecordSilence({ id }, 900ms, now_);
    table_.CountNotStreaming({ id });
    table_.CountEnd({ id }, WorkClass::Online);
  }
  now_ += 10s;
  table_.RecordActivity({ "one" }, startedAt, now_);
  table_.RecordActivity({ "two" }, startedAt, now_);
  constexpr int kRequests = 1000;
  int atSilent = 0;
  for (int request = 0; request < kRequests; ++request) {
    const std::string id = Choose(WorkClass::Online)->endpoint_.id_;
    atSilent += id == "lost" || id == "gone" ? 1 : 0;
  }
  CHECK(atSilent > 0);
  CHECK(atSilent < kRequests / 4);
  table_.RecordActivity({ "lost" }, now_, now_);
  CHECK(table_.ActivityOf("service", now_).silent_ == 1);
}

// Guards against callers that wait for a process whose place another one has.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_AnotherProcessAtItsAddress_IsReplaced")
{
  AddStarted("one", 100);
  EndpointRecord record;
  record.id_ = "one";
  record.address_ = "10.0.0.1:1";
  record.service_ = "service";
  record.startedAtMs_ = 100;
  CHECK_FALSE(table_.IsReplaced(record));
  EndpointRecord next = record;
  next.id_ = "two";
  next.service_ = "other";
  next.startedAtMs_ = 50;
  table_.Put(next, now_);
  CHECK_FALSE(table_.IsReplaced(record));
  next.startedAtMs_ = 200;
  table_.Put(next, now_);
  CHECK(table_.IsReplaced(record));
  CHECK_FALSE(table_.IsReplaced(next));
}

// Guards against moving an attempt from one lost endpoint to another.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_SilentEndpointsExcluded_ActiveOneIsChosen")
{
  for (const char* id : { "one", "two", "three" }) {
    Add(id);
    table_.CountStreaming({ id }, now_);
  }
  const base::Instant startedAt = now_;
  now_ += 900ms;
  table_.RecordActivity({ "three" }, startedAt, now_);
  ChoiceRequest request{ "service", WorkClass::Online, {} };
  request.evidence_ = Evidence::NotSilent;
  for (int round = 0; round < 50; ++round) {
    CHECK(table_.Choose(request, now_, random_)->endpoint_.id_ == "three");
  }
  now_ += 400ms;
  CHECK_FALSE(table_.Choose(request, now_, random_));
}

// Guards against moving an attempt to a lost endpoint that owes this host no
// event yet.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_SendingRequired_UnheardEndpointIsExcluded")
{
  for (const char* id : { "unheard", "sending" }) {
    Add(id);
    Start(id, WorkClass::Online, 1);
  }
  const base::Instant startedAt = now_;
  now_ += 400ms;
  table_.RecordActivity({ "sending" }, startedAt, now_);
  ChoiceRequest request{ "service", WorkClass::Online, {} };
  request.evidence_ = Evidence::Sending;
  for (int round = 0; round < 50; ++round) {
    CHECK(table_.Choose(request, now_, random_)->endpoint_.id_ == "sending");
  }
  Add("idle");
  table_.CountEnd({ "sending" }, WorkClass::Online);
  CHECK(table_.Choose(request, now_, random_));
}

// Guards against batch items that never run, as their small service has no
// endpoint in the cell of the host that owns them.
TEST_CASE_METHOD(DividedEndpointTableFixture,
                 "EndpointTable_ServiceIsNotInOwnCell_BatchUsesOtherCells")
{
  table_.Put({ "small", "small", "127.0.0.1:1", "a", 4 }, now_);
  const std::size_t cell = table_.CellOf("small").value();
  for (const std::size_t ownCell : { cell, 1 - cell }) {
    table_.SetCells(2, ownCell);
    CHECK(table_.BatchCapacityOf("small", now_) == BatchCapacity::FreeSlot);
    const auto choice =
      table_.Choose({ "small", WorkClass::Batch, {} }, now_, random_);
    REQUIRE(choice);
    CHECK(choice->endpoint_.id_ == "small");
  }
  // Its slots there are those that it reports as free.
  table_.RecordLoad({ "small" }, { 4, 0 }, now_);
  CHECK(table_.BatchCapacityOf("small", now_) == BatchCapacity::Full);
  CHECK_FALSE(table_.Choose({ "small", WorkClass::Batch, {} }, now_, random_));
}

TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_BatchCapacity_IsThatOfChoose")
{
  CHECK(table_.BatchCapacityOf("service", now_) == BatchCapacity::NoEndpoint);
  Add("draining", "a", true);
  CHECK(table_.BatchCapacityOf("service", now_) == BatchCapacity::NoEndpoint);
  Add("ready");
  for (int attempts = 0; attempts < 4; ++attempts) {
    const bool isFree =
      table_.BatchCapacityOf("service", now_) == BatchCapacity::FreeSlot;
    CHECK(isFree == Choose(WorkClass::Batch).has_value());
    Start("ready", WorkClass::Batch, 1);
  }
  CHECK(table_.BatchCapacityOf("service", now_) == BatchCapacity::Full);
}

// Guards against batch items that never run where each endpoint has one slot.
TEST_CASE_METHOD(EndpointTableFixture,
                 "EndpointTable_EndpointsHaveOneSlot_BatchRunsAtIdleOnes")
{
  table_.Put({ "single", "service", "127.0.0.1:1", "a", 1 }, now_);
  CHECK(Choose(WorkClass::Batch).has_value());
  Start("single", WorkClass::Online, 1);
  CHECK_FALSE(Choose(WorkClass::Batch));
  table_.Put({ "none", "service", "127.0.0.1:2", "a", 0 }, now_);
  CHECK_FALSE(Choose(WorkClass::Batch));
}

} // namespace pumiceturn::fleet
