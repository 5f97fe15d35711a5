#include "LibMetadata/StorePath.h"

#include <catch2/catch.hpp>

namespace pumiceturn::metadata {

class StorePathFixture
{
protected:
  void LoseOwnWay()
  {
    REQUIRE(path_.NoteOwn(PathOutcome::Refused));
    REQUIRE(path_.NoteProbe(PathOutcome::Refused));
  }

  StorePath path_;
  base::Instant now_{ std::chrono::hours{ 1 } };
};

TEST_CASE_METHOD(StorePathFixture, "StorePath_Served_NeedsNoProbe")
{
  CHECK_FALSE(path_.NoteOwn(PathOutcome::Served));
  CHECK_FALSE(path_.IsOwnLost());
}

// One answer got lost on a connection; the store is well.
TEST_CASE_METHOD(StorePathFixture, "StorePath_OneCallFails_IsNotLostYet")
{
  for (const PathOutcome outcome : { PathOutcome::Refused,
                                     PathOutcome::Throttled,
                                     PathOutcome::Unanswered }) {
    CHECK(path_.NoteOwn(outcome));
    CHECK_FALSE(path_.IsOwnLost());
    CHECK_FALSE(path_.NoteProbe(PathOutcome::Served));
  }
}

TEST_CASE_METHOD(StorePathFixture, "StorePath_ManyCallsFail_SendOneProbe")
{
  CHECK(path_.NoteOwn(PathOutcome::Refused));
  CHECK_FALSE(path_.NoteOwn(PathOutcome::Refused));
  CHECK_FALSE(path_.NoteOwn(PathOutcome::Unanswered));
}

TEST_CASE_METHOD(StorePathFixture, "StorePath_ProbeFails_IsLostUntilOneServes")
{
  LoseOwnWay();
  CHECK(path_.IsOwnLost());
  CHECK_FALSE(path_.NoteOwn(PathOutcome::Refused));
  CHECK(path_.NoteProbe(PathOutcome::Unanswered));
  CHECK(path_.IsOwnLost());
  CHECK_FALSE(path_.NoteProbe(PathOutcome::Served));
  CHECK_FALSE(path_.IsOwnLost());
}

// The store is down for all: hosts that ask peers only multiply calls.
TEST_CASE_METHOD(StorePathFixture, "StorePath_PeersFailToo_AreLeftAloneAWhile")
{
  LoseOwnWay();
  for (int peer = 0; peer < StorePath::kPeersAsked; ++peer) {
    CHECK(path_.MayAskPeer(now_));
    path_.NotePeer(PathOutcome::Refused, now_);
  }
  CHECK_FALSE(path_.MayAskPeer(now_));
  CHECK(path_.MayAskPeer(now_ + StorePath::kPeerPause));
}

TEST_CASE_METHOD(StorePathFixture, "StorePath_APeerServes_IsAskedAgain")
{
  LoseOwnWay();
  path_.NotePeer(PathOutcome::Refused, now_);
  path_.NotePeer(PathOutcome::Refused, now_);
  path_.NotePeer(PathOutcome::Served, now_);
  path_.NotePeer(PathOutcome::Refused, now_);
  CHECK(path_.MayAskPeer(now_));
}

} // namespace pumiceturn::metadata
