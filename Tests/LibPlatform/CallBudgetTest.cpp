#include "LibPlatform/CallBudget.h"
#include "LibPlatform/Backoff.h"

#include <catch2/catch.hpp>

namespace pumiceturn::platform {

using namespace std::chrono_literals;

TEST_CASE("CallBudget_BurstSpent_RefusesUntilRefilled")
{
  const base::Instant start{};
  CallBudget budget({ .callsPerSecond_ = 2.0, .burst_ = 3.0 }, start);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(budget.TryTake(start));
  }
  CHECK_FALSE(budget.TryTake(start));
  CHECK(budget.UntilNext(start) == 500ms);
  CHECK_FALSE(budget.TryTake(start + 499ms));
  CHECK(budget.TryTake(start + 500ms));
  CHECK_FALSE(budget.TryTake(start + 500ms));
}

TEST_CASE("CallBudget_LongIdle_SavesNoMoreThanTheBurst")
{
  const base::Instant start{};
  CallBudget budget({ .callsPerSecond_ = 5.0, .burst_ = 2.0 }, start);
  const base::Instant later = start + 1h;
  CHECK(budget.TryTake(later));
  CHECK(budget.TryTake(later));
  CHECK_FALSE(budget.TryTake(later));
}

TEST_CASE("CallBudget_TimeGoesBack_GivesNoCalls")
{
  const base::Instant start = base::Instant{} + 1h;
  CallBudget budget({ .callsPerSecond_ = 1.0, .burst_ = 1.0 }, start);
  REQUIRE(budget.TryTake(start));
  CHECK_FALSE(budget.TryTake(start - 1h));
  CHECK_FALSE(budget.TryTake(start));
  CHECK(budget.TryTake(start + 1s));
}

TEST_CASE("Backoff_RepeatedFailures_DoublesUpToTheLongest")
{
  Backoff backoff({ .first_ = 100ms, .longest_ = 300ms });
  CHECK(backoff.Next(0.0) == 50ms);
  CHECK(backoff.Next(0.5) == 150ms);
  CHECK(backoff.Next(0.0) == 150ms);
  CHECK(backoff.Next(0.0) == 150ms);
  backoff.Reset();
  CHECK(backoff.Next(0.0) == 50ms);
}

} // namespace pumiceturn::platform
