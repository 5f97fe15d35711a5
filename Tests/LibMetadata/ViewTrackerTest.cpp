#include "LibMetadata/ViewTracker.h"

#include <catch2/catch.hpp>

namespace pumiceturn::metadata {

using namespace std::chrono_literals;

class ViewTrackerFixture
{
protected:
  static constexpr base::Duration kTrust = 1s;

  [[nodiscard]] base::BootInstant Now() const { return now_; }
  void Pass(base::Duration aTime) { now_ += aTime; }

  /// A peer that follows the store, and was answered some time ago.
  [[nodiscard]] static MirrorView View(std::uint64_t aLastChange,
                                       std::uint64_t aFollowed,
                                       base::Duration aAge = 0ms)
  {
    return { aLastChange, aFollowed, aAge };
  }

  base::BootInstant now_{ std::chrono::hours(1) };
  ViewTracker tracker_;
};

TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_PeerConfirms_AsksNothingForTheTimeThatIsLeft")
{
  tracker_.RecordRead(10, Now(), Now());
  Pass(900ms);
  CHECK(tracker_.ApplyView(View(10, 14, 300ms), Now()) ==
        ReportOutcome::Current);
  CHECK(tracker_.Followed() == 14);
  Pass(600ms);
  CHECK(tracker_.IsConfirmed(kTrust, Now()));
  Pass(200ms);
  CHECK_FALSE(tracker_.IsConfirmed(kTrust, Now()));
}

// A draining server goes on getting requests at one host. The datagram that
// told the host's copy of it was lost, and later reports of the follower, which
// name only how far it got, were taken for "nothing has changed".
TEST_CASE_METHOD(ViewTrackerFixture, "ViewTracker_ChangeMissed_ShowsAsGap")
{
  tracker_.RecordRead(10, Now(), Now());
  CHECK(tracker_.ApplyView(View(12, 15), Now()) == ReportOutcome::Gap);
  CHECK(tracker_.Followed() == 10);
  CHECK(tracker_.Judge({ 12, View(16, 16), {} }) == ReportOutcome::Gap);
  tracker_.RecordChange(12);
  tracker_.NoteAnswer(15, Now(), Now());
  CHECK(tracker_.ApplyView(View(12, 15), Now()) == ReportOutcome::Current);
}

TEST_CASE_METHOD(ViewTrackerFixture, "ViewTracker_NewsInTurn_JoinUp")
{
  tracker_.RecordRead(10, Now(), Now());
  const MirrorDelta delta{ 10, View(13, 14), {} };
  CHECK(tracker_.Judge(delta) == ReportOutcome::Current);
  tracker_.RecordChange(13);
  tracker_.RecordDelta(delta.view_, Now());
  CHECK(tracker_.Followed() == 14);
  CHECK(tracker_.Judge({ 13, View(20, 20), {} }) == ReportOutcome::Current);
}

// A host is put back to a configuration that has been replaced. A follower was
// frozen, woke, and told its peers what it knew from before.
TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_PeerWithOldNews_ChangesNothing")
{
  tracker_.RecordRead(20, Now(), Now());
  Pass(900ms);
  CHECK(tracker_.ApplyView(View(12, 15), Now()) == ReportOutcome::Ignored);
  CHECK(tracker_.Followed() == 20);
  tracker_.RecordDelta(View(15, 15), Now());
  CHECK(tracker_.Followed() == 20);
  Pass(200ms);
  CHECK_FALSE(tracker_.IsConfirmed(kTrust, Now()));
}

// Requests go to servers that left while this host was frozen. The datagrams
// that waited in its socket say that its copy is fresh, as it was when they
// were sent.
TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_DidNotRun_TrustsOnlyACallMadeAfterwards")
{
  tracker_.RecordRead(10, Now(), Now());
  const base::BootInstant beforeFreeze = Now();
  Pass(5s);
  tracker_.MarkStale(Now());
  CHECK(tracker_.ApplyView(View(10, 10), Now()) == ReportOutcome::Ignored);
  CHECK(tracker_.Judge({ 10, View(11, 11), {} }) == ReportOutcome::Ignored);
  // The answer to a call from before waited just as long.
  tracker_.NoteAnswer(11, beforeFreeze, Now());
  CHECK_FALSE(tracker_.IsConfirmed(kTrust, Now()));
  tracker_.NoteAnswer(12, Now(), Now());
  CHECK(tracker_.IsConfirmed(kTrust, Now()));
  CHECK(tracker_.ApplyView(View(12, 13), Now()) == ReportOutcome::Current);
}

// A hundred hosts follow for themselves although one follows for all: each took
// the age from the others' reports and passed it on, so that a copy that nobody
// had asked for stayed fresh.
TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_ConfirmedByPeer_DoesNotConfirmToOthers")
{
  tracker_.RecordRead(10, Now(), Now());
  Pass(2s);
  (void)tracker_.ApplyView(View(10, 12), Now());
  CHECK(tracker_.IsConfirmed(kTrust, Now()));
  CHECK(tracker_.View(Now()).age_ == 2s);
}

// All hosts ask the store at once when a worker starts anew: it follows, and
// what it read first counts as news that the others lack.
TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_FirstReadThenReport_TakesOverTheLastChange")
{
  tracker_.RecordRead(50, Now(), Now());
  CHECK(tracker_.View(Now()).lastChange_ == 50);
  (void)tracker_.ApplyView(View(12, 60), Now());
  CHECK(tracker_.View(Now()).lastChange_ == 12);
  // Nor does a later read, whose differences are noted one by one.
  tracker_.RecordRead(70, Now(), Now());
  CHECK(tracker_.View(Now()).lastChange_ == 12);
}

// A key that was taken away still ran requests: the answer to a watch, or a
// report of it, had been on its way while the key was taken away.
TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_AnswerWasLongOnItsWay_CompleteAsOfTheCall")
{
  CHECK_FALSE(tracker_.CompleteAsOf());
  const base::BootInstant firstCall = Now();
  Pass(300ms);
  tracker_.RecordRead(10, firstCall, Now());
  CHECK(tracker_.CompleteAsOf() == firstCall);
  const base::BootInstant secondCall = Now();
  Pass(4s);
  tracker_.NoteAnswer(11, secondCall, Now());
  CHECK(tracker_.CompleteAsOf() == secondCall);
  CHECK(tracker_.IsConfirmed(kTrust, Now()));
}

TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_PeerIsComplete_SoIsTheCopyThatReachesIt")
{
  tracker_.RecordRead(10, Now(), Now());
  Pass(3s);
  MirrorView view = View(10, 14);
  view.completeAsOf_ = Now() - 500ms;
  (void)tracker_.ApplyView(view, Now());
  CHECK(tracker_.CompleteAsOf() == Now() - 500ms);
  // What an older message says changes nothing.
  view.completeAsOf_ = Now() - 2s;
  (void)tracker_.ApplyView(view, Now());
  CHECK(tracker_.CompleteAsOf() == Now() - 500ms);
}

// A host that lacks a change took a follower's report for its own.
TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_CopyLacksAChange_IsNotCompleteAsThePeers")
{
  const base::BootInstant read = Now();
  tracker_.RecordRead(10, read, Now());
  Pass(3s);
  MirrorView view = View(12, 14);
  view.completeAsOf_ = Now();
  CHECK(tracker_.ApplyView(view, Now()) == ReportOutcome::Gap);
  CHECK(tracker_.CompleteAsOf() == read);
}

} // namespace pumiceturn::metadata
