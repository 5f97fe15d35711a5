#include "LibMetadata/ViewTracker.h"

#include <catch2/catch.hpp>

namespace pumiceturn::metadata {

using namespace std::chrono_literals;

class ViewTrackerFixture
{
protected:
  static constexpr base::Duration kFreshnessLifetime = 1s;

  [[nodiscard]] base::BootInstant Now() const { return now_; }
  void Advance(base::Duration aTime) { now_ += aTime; }

  /// View of a follower.
  /// @param aAge Time since the store responded to it.
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
                 "ViewTracker_PeerConfirms_IsConfirmedForRemainingTime")
{
  tracker_.RecordRead(10, Now(), Now());
  Advance(900ms);
  CHECK(tracker_.ApplyView(View(10, 14, 300ms), Now()) ==
        ReportOutcome::Usable);
  CHECK(tracker_.FollowedRevision() == 14);
  Advance(600ms);
  CHECK(tracker_.IsConfirmed(kFreshnessLifetime, Now()));
  Advance(200ms);
  CHECK_FALSE(tracker_.IsConfirmed(kFreshnessLifetime, Now()));
}

// Guards against overlooking a missed change because later reports, which state
// only a revision, seem to confirm the copy.
TEST_CASE_METHOD(ViewTrackerFixture, "ViewTracker_ChangeMissed_IsGap")
{
  tracker_.RecordRead(10, Now(), Now());
  CHECK(tracker_.ApplyView(View(12, 15), Now()) == ReportOutcome::Gap);
  CHECK(tracker_.FollowedRevision() == 10);
  CHECK(tracker_.CheckDelta({ 12, View(16, 16), {} }) == ReportOutcome::Gap);
  tracker_.RecordChange(12);
  tracker_.RecordResponse(15, Now(), Now());
  CHECK(tracker_.ApplyView(View(12, 15), Now()) == ReportOutcome::Usable);
}

TEST_CASE_METHOD(ViewTrackerFixture, "ViewTracker_DeltasInOrder_AreUsable")
{
  tracker_.RecordRead(10, Now(), Now());
  const MirrorDelta delta{ 10, View(13, 14), {} };
  CHECK(tracker_.CheckDelta(delta) == ReportOutcome::Usable);
  tracker_.RecordChange(13);
  tracker_.RecordDelta(delta.view_, Now());
  CHECK(tracker_.FollowedRevision() == 14);
  CHECK(tracker_.CheckDelta({ 13, View(20, 20), {} }) == ReportOutcome::Usable);
}

// Guards against reverting to the outdated view of a follower that was
// suspended.
TEST_CASE_METHOD(ViewTrackerFixture, "ViewTracker_PeerIsBehind_IsIgnored")
{
  tracker_.RecordRead(20, Now(), Now());
  Advance(900ms);
  CHECK(tracker_.ApplyView(View(12, 15), Now()) == ReportOutcome::Ignored);
  CHECK(tracker_.FollowedRevision() == 20);
  tracker_.RecordDelta(View(15, 15), Now());
  CHECK(tracker_.FollowedRevision() == 20);
  Advance(200ms);
  CHECK_FALSE(tracker_.IsConfirmed(kFreshnessLifetime, Now()));
}

// Guards against confirming a copy by messages that waited while this host was
// suspended.
TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_MarkedStale_OnlyALaterCallConfirms")
{
  tracker_.RecordRead(10, Now(), Now());
  const base::BootInstant beforeSuspension = Now();
  Advance(5s);
  tracker_.MarkStale(Now());
  CHECK(tracker_.ApplyView(View(10, 10), Now()) == ReportOutcome::Ignored);
  CHECK(tracker_.CheckDelta({ 10, View(11, 11), {} }) ==
        ReportOutcome::Ignored);
  // The response to a call made before the suspension may have waited during
  // it.
  tracker_.RecordResponse(11, beforeSuspension, Now());
  CHECK_FALSE(tracker_.IsConfirmed(kFreshnessLifetime, Now()));
  tracker_.RecordResponse(12, Now(), Now());
  CHECK(tracker_.IsConfirmed(kFreshnessLifetime, Now()));
  CHECK(tracker_.ApplyView(View(12, 13), Now()) == ReportOutcome::Usable);
}

// Guards against hosts that confirm a copy to each other although none queried
// the store.
TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_ConfirmedByPeer_DoesNotConfirmToOthers")
{
  tracker_.RecordRead(10, Now(), Now());
  Advance(2s);
  (void)tracker_.ApplyView(View(10, 12), Now());
  CHECK(tracker_.IsConfirmed(kFreshnessLifetime, Now()));
  CHECK(tracker_.View(Now()).age_ == 2s);
}

// Guards against all hosts querying the store when a new follower reports its
// first read.
TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_FirstReadThenReport_AdoptsLastChange")
{
  tracker_.RecordRead(50, Now(), Now());
  CHECK(tracker_.View(Now()).lastChangeRevision_ == 50);
  (void)tracker_.ApplyView(View(12, 60), Now());
  CHECK(tracker_.View(Now()).lastChangeRevision_ == 12);
  // A later read doesn't change lastChangeRevision_: its differences are
  // recorded one by one.
  tracker_.RecordRead(70, Now(), Now());
  CHECK(tracker_.View(Now()).lastChangeRevision_ == 12);
}

// Guards against admitting a revoked key because a delayed response makes the
// copy look recent.
TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_ResponseDelayed_CompleteAsOfTheCall")
{
  CHECK_FALSE(tracker_.CompleteAsOf());
  const base::BootInstant firstCall = Now();
  Advance(300ms);
  tracker_.RecordRead(10, firstCall, Now());
  CHECK(tracker_.CompleteAsOf() == firstCall);
  const base::BootInstant secondCall = Now();
  Advance(4s);
  tracker_.RecordResponse(11, secondCall, Now());
  CHECK(tracker_.CompleteAsOf() == secondCall);
  CHECK(tracker_.IsConfirmed(kFreshnessLifetime, Now()));
}

TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_PeerHasSameChanges_CompleteAsOfIsAdopted")
{
  tracker_.RecordRead(10, Now(), Now());
  Advance(3s);
  MirrorView view = View(10, 14);
  view.completeAsOf_ = Now() - 500ms;
  (void)tracker_.ApplyView(view, Now());
  CHECK(tracker_.CompleteAsOf() == Now() - 500ms);
  // An older message changes nothing.
  view.completeAsOf_ = Now() - 2s;
  (void)tracker_.ApplyView(view, Now());
  CHECK(tracker_.CompleteAsOf() == Now() - 500ms);
}

// Guards against taking a follower's completeness for that of a copy that lacks
// a change.
TEST_CASE_METHOD(ViewTrackerFixture,
                 "ViewTracker_CopyLacksChange_KeepsItsCompleteness")
{
  const base::BootInstant read = Now();
  tracker_.RecordRead(10, read, Now());
  Advance(3s);
  MirrorView view = View(12, 14);
  view.completeAsOf_ = Now();
  CHECK(tracker_.ApplyView(view, Now()) == ReportOutcome::Gap);
  CHECK(tracker_.CompleteAsOf() == read);
}

} // namespace pumiceturn::metadata
