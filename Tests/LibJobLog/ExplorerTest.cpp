#include "Explorer.h"

#include <catch2/catch.hpp>

namespace pumiceturn::joblog {

// The rules, in every schedule with two faults out of: a message overtaken, a
// link cut with all that was on it, an owner or copy that crashes, one that is
// paused and later wakes and writes at once, a compare-and-swap that takes
// effect unheard, the key-value service down, time passing while messages wait.
// What a user would see otherwise is an accepted item that is gone, or two.
TEST_CASE("Explorer_TwoCopiesTwoFaults_KeepsEveryAcknowledgedRecord")
{
  const Exploration seen =
    Explore({ 2, 2, 3 }, { .faults_ = 2, .faultSteps_ = 90 });
  INFO(seen.violation_);
  REQUIRE(seen.violation_.empty());
  CHECK(seen.runs_ > 10000);
  CHECK(seen.highestEpoch_ >= 3);
  CHECK(seen.acknowledged_ >= 3);
  WARN("runs " << seen.runs_ << ", states " << seen.states_
               << ", highest epoch " << seen.highestEpoch_);
}

TEST_CASE("Explorer_ThreeCopiesTwoFaults_KeepsEveryAcknowledgedRecord")
{
  const Exploration seen =
    Explore({ 3, 2, 2 }, { .faults_ = 2, .faultSteps_ = 90 });
  INFO(seen.violation_);
  REQUIRE(seen.violation_.empty());
  WARN("runs " << seen.runs_ << ", states " << seen.states_
               << ", highest epoch " << seen.highestEpoch_);
}

// As above with three faults. It takes minutes, so it runs when named.
TEST_CASE("Explorer_TwoCopiesThreeFaults_KeepsEveryAcknowledgedRecord",
          "[.deep]")
{
  const Exploration seen =
    Explore({ 2, 2, 2 }, { .faults_ = 3, .faultSteps_ = 90 });
  INFO(seen.violation_);
  REQUIRE(seen.violation_.empty());
  WARN("runs " << seen.runs_ << ", states " << seen.states_
               << ", highest epoch " << seen.highestEpoch_);
}

} // namespace pumiceturn::joblog
