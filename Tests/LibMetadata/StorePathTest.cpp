#include "LibMetadata/StorePath.h"

#include <catch2/catch.hpp>

namespace pumiceturn::metadata {

class StorePathFixture
{
protected:
  void LoseDirectPath()
  {
    REQUIRE(path_.RecordDirect(PathOutcome::Refused));
    REQUIRE(path_.RecordProbe(PathOutcome::Refused));
  }

  StorePath path_;
  base::Instant now_{ std::chrono::hours{ 1 } };
};

TEST_CASE_METHOD(StorePathFixture, "StorePath_Served_NeedsNoProbe")
{
  CHECK_FALSE(path_.RecordDirect(PathOutcome::Served));
  CHECK_FALSE(path_.IsDirectPathLost());
}

// Guards against giving up the direct path after a single lost response.
TEST_CASE_METHOD(StorePathFixture, "StorePath_OneCallFails_IsNotLostYet")
{
  for (const PathOutcome outcome : { PathOutcome::Refused,
                                     PathOutcome::Throttled,
                                     PathOutcome::Unanswered }) {
    CHECK(path_.RecordDirect(outcome));
    CHECK_FALSE(path_.IsDirectPathLost());
    CHECK_FALSE(path_.RecordProbe(PathOutcome::Served));
  }
}

TEST_CASE_METHOD(StorePathFixture, "StorePath_ManyCallsFail_SendOneProbe")
{
  CHECK(path_.RecordDirect(PathOutcome::Refused));
  CHECK_FALSE(path_.RecordDirect(PathOutcome::Refused));
  CHECK_FALSE(path_.RecordDirect(PathOutcome::Unanswered));
}

TEST_CASE_METHOD(StorePathFixture,
                 "StorePath_ProbeFails_IsLostUntilProbeSucceeds")
{
  LoseDirectPath();
  CHECK(path_.IsDirectPathLost());
  CHECK_FALSE(path_.RecordDirect(PathOutcome::Refused));
  CHECK(path_.RecordProbe(PathOutcome::Unanswered));
  CHECK(path_.IsDirectPathLost());
  CHECK_FALSE(path_.RecordProbe(PathOutcome::Served));
  CHECK_FALSE(path_.IsDirectPathLost());
}

// Guards against multiplied calls through peers while the store is down for all
// hosts.
TEST_CASE_METHOD(StorePathFixture,
                 "StorePath_PeersFailToo_AreNotAskedForAWhile")
{
  LoseDirectPath();
  for (int peer = 0; peer < StorePath::kMaxPeersAsked; ++peer) {
    CHECK(path_.MayAskPeer(now_));
    path_.RecordPeer(PathOutcome::Refused, now_);
  }
  CHECK_FALSE(path_.MayAskPeer(now_));
  CHECK(path_.MayAskPeer(now_ + StorePath::kPeerPause));
}

TEST_CASE_METHOD(StorePathFixture, "StorePath_PeerServes_ResetsFailures")
{
  LoseDirectPath();
  path_.RecordPeer(PathOutcome::Refused, now_);
  path_.RecordPeer(PathOutcome::Refused, now_);
  path_.RecordPeer(PathOutcome::Served, now_);
  path_.RecordPeer(PathOutcome::Refused, now_);
  CHECK(path_.MayAskPeer(now_));
}

} // namespace pumiceturn::metadata
