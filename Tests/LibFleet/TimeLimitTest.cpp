#include "LibFleet/TimeLimit.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST_CASE("TimeLimit_IsReached_MayHavePassed")
{
  CHECK(MayHavePassed(milliseconds(400), milliseconds(400)));
  CHECK(MayHavePassed(milliseconds(400), milliseconds(401)));
}

// Guards against breaking off responses that end by themselves shortly before
// the limit.
TEST_CASE("TimeLimit_IsNotReached_HasNotPassed")
{
  CHECK_FALSE(MayHavePassed(milliseconds(400), milliseconds(398)));
  CHECK_FALSE(MayHavePassed(milliseconds(30'000), milliseconds(29'900)));
}

// Guards against a response that looks complete as its endpoint's clock counts
// whole milliseconds, and shows the limit a fraction of one early.
TEST_CASE("TimeLimit_EndpointCountsMilliseconds_MayHavePassed")
{
  CHECK(MayHavePassed(milliseconds(400), microseconds(399'100)));
}

// Guards against the same with a clock that is somewhat faster.
TEST_CASE("TimeLimit_EndpointsClockIsFast_MayHavePassed")
{
  CHECK(MayHavePassed(milliseconds(30'000), milliseconds(29'970)));
}

} // namespace pumiceturn::fleet
