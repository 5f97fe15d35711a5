#include "LibFleet/StreamLifetime.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

class StreamLifetimeFixture
{
protected:
  base::Instant now_{ 1h };
  StreamLifetime lifetime_;
};

TEST_CASE_METHOD(StreamLifetimeFixture,
                 "StreamLifetime_TimeoutIsRaised_HoldsAtOnce")
{
  lifetime_.SetTimeout(20s, now_);
  CHECK(lifetime_.LongestAt(now_) == 40s);
  lifetime_.SetTimeout(30s, now_);
  CHECK(lifetime_.LongestAt(now_) == 60s);
}

// Guards against forgetting the versions of streams that began under a longer
// timeout than the current one.
TEST_CASE_METHOD(StreamLifetimeFixture,
                 "StreamLifetime_TimeoutIsLowered_HoldsOnceEarlierStreamsEnded")
{
  lifetime_.SetTimeout(20s, now_);
  lifetime_.SetTimeout(1s, now_);
  CHECK(lifetime_.LongestAt(now_ + 39s) == 40s);
  CHECK(lifetime_.LongestAt(now_ + 41s) == StreamLifetime::kMinLifetime);
}

// Guards against forgetting the versions of streams whose callers are more
// patient than their route.
TEST_CASE_METHOD(StreamLifetimeFixture,
                 "StreamLifetime_TimeoutIsShort_HasAMinimum")
{
  CHECK(StreamLifetime::Of(400ms) == StreamLifetime::kMinLifetime);
  CHECK(StreamLifetime::Of(10s) == 20s);
}

TEST_CASE_METHOD(StreamLifetimeFixture,
                 "StreamLifetime_TimeoutIsLoweredTwice_KeepsTheLongest")
{
  lifetime_.SetTimeout(20s, now_);
  lifetime_.SetTimeout(5s, now_);
  now_ += 30s;
  lifetime_.SetTimeout(1s, now_);
  CHECK(lifetime_.LongestAt(now_ + 9s) == 40s);
}

// Guards against a long timeout that holds for ever, as later ones alternate.
TEST_CASE_METHOD(StreamLifetimeFixture,
                 "StreamLifetime_TimeoutsAlternate_FormerOnesExpire")
{
  lifetime_.SetTimeout(60s, now_);
  for (int second = 0; second < 200; ++second) {
    now_ += 1s;
    lifetime_.SetTimeout(second % 2 == 0 ? 10s : 11s, now_);
  }
  CHECK(lifetime_.LongestAt(now_) == 22s);
}

TEST_CASE_METHOD(StreamLifetimeFixture,
                 "StreamLifetime_NoRouteForStreams_HasADefault")
{
  lifetime_.SetTimeout(0s, now_);
  CHECK(lifetime_.LongestAt(now_) == 30s);
}

} // namespace pumiceturn::fleet
