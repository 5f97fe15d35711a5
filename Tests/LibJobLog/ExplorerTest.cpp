#include "Explorer.h"

#include <catch2/catch.hpp>

namespace pumiceturn::joblog {

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// Sanitizers look at memory and threads, for which schedules with one fault do;
// the rules are checked in the plain build, ten times as fast.
constexpr std::uint32_t kFaults = 1;
constexpr std::uint64_t kLeastRuns = 500;
constexpr std::uint64_t kLeastEpoch = 2;
#else
constexpr std::uint32_t kFaults = 2;
constexpr std::uint64_t kLeastRuns = 50000;
constexpr std::uint64_t kLeastEpoch = 3;
#endif

} // namespace

// The rules, in every schedule with two faults out of: a message overtaken, a
// link cut with all that was on it, an owner or copy that crashes, one that is
// paused or isolated and later wakes and writes at once, a compare-and-swap
// that takes effect unheard, the key-value service down, time passing while
// messages wait. What a user would see otherwise is an accepted item that is
// gone, or two.
TEST_CASE("Explorer_TwoCopiesTwoFaults_KeepsEveryAcknowledgedRecord")
{
  const Exploration seen =
    Explore({ 2, 2, 3, false }, { .faults_ = kFaults, .faultSteps_ = 90 });
  INFO(seen.violation_);
  REQUIRE(seen.violation_.empty());
  CHECK(seen.acknowledged_ >= 3);
  CHECK(seen.runs_ >= kLeastRuns);
  CHECK(seen.highestEpoch_ >= kLeastEpoch);
  WARN("runs " << seen.runs_ << ", states " << seen.states_
               << ", highest epoch " << seen.highestEpoch_);
}

TEST_CASE("Explorer_ThreeCopiesTwoFaults_KeepsEveryAcknowledgedRecord")
{
  const Exploration seen =
    Explore({ 3, 2, 2, false }, { .faults_ = kFaults, .faultSteps_ = 90 });
  INFO(seen.violation_);
  REQUIRE(seen.violation_.empty());
  CHECK(seen.runs_ >= kLeastRuns);
  CHECK(seen.highestEpoch_ >= kLeastEpoch);
  WARN("runs " << seen.runs_ << ", states " << seen.states_
               << ", highest epoch " << seen.highestEpoch_);
}

// As above, with owners that trim their log whenever they can, so that copies
// come back that need what is gone.
TEST_CASE("Explorer_TrimmedLogTwoFaults_KeepsEveryAcknowledgedRecord")
{
  const Exploration seen =
    Explore({ 2, 2, 2, true }, { .faults_ = kFaults, .faultSteps_ = 70 });
  INFO(seen.violation_);
  REQUIRE(seen.violation_.empty());
  CHECK(seen.runs_ >= kLeastRuns);
  CHECK(seen.highestEpoch_ >= kLeastEpoch);
  WARN("runs " << seen.runs_ << ", states " << seen.states_
               << ", highest epoch " << seen.highestEpoch_);
}

// As above with three faults. It takes minutes, so it runs when named.
TEST_CASE("Explorer_TwoCopiesThreeFaults_KeepsEveryAcknowledgedRecord",
          "[.deep]")
{
  const Exploration seen =
    Explore({ 2, 2, 2, false }, { .faults_ = 3, .faultSteps_ = 90 });
  INFO(seen.violation_);
  REQUIRE(seen.violation_.empty());
  CHECK(seen.runs_ >= kLeastRuns);
  CHECK(seen.highestEpoch_ >= kLeastEpoch);
  WARN("runs " << seen.runs_ << ", states " << seen.states_
               << ", highest epoch " << seen.highestEpoch_);
}

} // namespace pumiceturn::joblog
