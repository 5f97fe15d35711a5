#include "Tests/Platform/PromptPartFixture.h"

namespace pumiceturn::adapter {

using namespace std::chrono_literals;

/// Later than kContactTime after the crash number kMaxCrashes, this many
/// requests with a part may still reach endpoints.
constexpr std::size_t kMaxLateSends = 3;

// Guards against requests that have one part of their prompts in common, and
// nothing else, and crash endpoints one after the other.
TEST_CASE_METHOD(PromptPartFixture,
                 "PromptPart_CrashesEndpoints_ReachesNoMoreOfThem")
{
  StartFleet(3, 12);
  Run({}, 7s);
  Settle();
  INFO(CrashCount() << " endpoints crashed");
  CHECK(CrashCount() > 0);
  CHECK(LateSends("bad") <= kMaxLateSends);
}

// Guards against crashes that aren't counted, as they come after the first
// events of a stream.
TEST_CASE_METHOD(PromptPartFixture,
                 "PromptPart_CrashesAfterEvents_ReachesNoMoreOfThem")
{
  StartFleet(3, 12);
  Traffic traffic;
  traffic.eventsBeforeCrash_ = 2;
  traffic.crashDelay_ = 180ms;
  Run(traffic, 7s);
  Settle();
  INFO(CrashCount() << " endpoints crashed");
  CHECK(LateSends("bad") <= kMaxLateSends);
}

// Guards against sound requests that are refused or broken off, as they share
// their other parts with requests that crash endpoints.
TEST_CASE_METHOD(PromptPartFixture,
                 "PromptPart_CrashesEndpoints_OthersAreServed")
{
  StartFleet(3, 12);
  Run({}, 3s);
  const auto since = Clock::now();
  Run({}, 4s);
  Settle();
  CHECK(ServedShare(since) >= 0.9);
}

} // namespace pumiceturn::adapter
