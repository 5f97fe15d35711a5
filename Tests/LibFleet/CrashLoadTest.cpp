#include "Tests/LibFleet/CrashLoadFixture.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

/// Endpoints that a part may cost on average.
constexpr double kMaxMeanCrashes = 5;

/// @return how many runs to make: PUMICETURN_CRASH_RUNS, or fewer for CI.
static std::uint64_t
RunCount(std::uint64_t aUsual)
{
  // NOLINTNEXTLINE(concurrency-mt-unsafe): there is one thread.
  const char* text = std::getenv("PUMICETURN_CRASH_RUNS");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : aUsual;
}

class CrashLoadRunsFixture : protected CrashLoadFixture
{
protected:
  /// Runs one load with several seeds, and checks that the parts are refused,
  /// and only they.
  /// @return how many endpoints each part cost, on average.
  double CheckDecisions(const std::string& aName,
                        const Load& aLoad,
                        std::uint64_t aRuns)
  {
    std::size_t crashes = 0;
    std::size_t most = 0;
    std::size_t late = 0;
    std::size_t sound = 0;
    std::size_t refused = 0;
    for (std::uint64_t seed = 1; seed <= aRuns; ++seed) {
      const Outcome outcome = Run(aLoad, 10s, seed);
      crashes += outcome.crashesByParts_;
      most = std::max(most, outcome.crashesByParts_);
      late += outcome.lateSends_;
      sound += outcome.soundRefused_;
      refused += outcome.badRefused_;
    }
    const std::size_t causes = aLoad.areBadPartsTogether_ ? 1 : aLoad.badParts_;
    const double mean =
      static_cast<double>(crashes) / static_cast<double>(aRuns * causes);
    std::cout << aName << ": " << mean << " endpoints lost by a part, " << most
              << " at most in a run, " << late << " late sends, " << refused
              << " of " << aRuns * causes << " refused, " << sound
              << " sound parts refused\n";
    INFO(aName);
    CHECK(late == 0);
    CHECK(sound == 0);
    CHECK(refused == aRuns * causes);
    return mean;
  }
};

// Load: one part that crashes endpoints, at several rates and fleet sizes.
// Guards against a fleet lost to it.
TEST_CASE_METHOD(CrashLoadRunsFixture, "CrashLoad_OnePart_CostsFewEndpoints")
{
  const std::uint64_t runs = RunCount(20);
  double sum = 0;
  const std::vector<double> rates{ 2, 5, 10, 20 };
  for (const double rate : rates) {
    Load load;
    load.badParts_ = 1;
    load.badPerSecond_ = rate;
    sum += CheckDecisions(
      "18 endpoints, " + std::to_string(rate) + "/s", load, runs);
  }
  CHECK(sum / static_cast<double>(rates.size()) <= kMaxMeanCrashes);
  Load large;
  large.badParts_ = 1;
  large.hosts_ = 40;
  large.endpoints_ = 180;
  large.soundPerSecond_ = 800;
  large.rareParts_ = 3000;
  CheckDecisions("40 hosts, 180 endpoints", large, 2);
}

// Load: a part that crashes endpoints from the moment at which all hosts have
// started, before any request has been answered. Guards against refusing the
// popular parts beside it.
TEST_CASE_METHOD(CrashLoadRunsFixture,
                 "CrashLoad_PartFromTheStart_OnlyItIsRefused")
{
  Load load;
  load.badParts_ = 1;
  load.badFrom_ = 0s;
  std::size_t crashes = 0;
  const std::uint64_t runs = RunCount(20);
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    const Outcome outcome = Run(load, 8s, seed);
    crashes += outcome.crashesByParts_;
    INFO("seed " << seed);
    CHECK(outcome.lateSends_ == 0);
    CHECK(outcome.soundRefused_ == 0);
    CHECK(outcome.badRefused_ == 1);
  }
  std::cout << "from the start: "
            << static_cast<double>(crashes) / static_cast<double>(runs)
            << " endpoints lost by the part\n";
}

// Load: two and three parts, in different requests or always in the same.
TEST_CASE_METHOD(CrashLoadRunsFixture, "CrashLoad_SeveralParts_EachIsRefused")
{
  const std::uint64_t runs = RunCount(20);
  for (const std::size_t parts : { 2, 3 }) {
    for (const bool areTogether : { false, true }) {
      Load load;
      load.badParts_ = parts;
      load.areBadPartsTogether_ = areTogether;
      CheckDecisions(std::to_string(parts) +
                       (areTogether ? " parts together" : " parts apart"),
                     load,
                     runs);
    }
  }
}

// Load: a part beside endpoints that crash by themselves.
TEST_CASE_METHOD(CrashLoadRunsFixture,
                 "CrashLoad_PartBesideOwnCrashes_IsToldApart")
{
  Load load;
  load.badParts_ = 1;
  load.ownCrashesPerSecond_ = 0.4;
  load.massCrashInterval_ = 5s;
  CheckDecisions("beside own crashes", load, RunCount(20));
}

// Load: endpoints crash by themselves, one by one and a fifth at once. Guards
// against refusing sound requests.
TEST_CASE_METHOD(CrashLoadRunsFixture,
                 "CrashLoad_OwnCrashesAlone_NoPartIsRefused")
{
  Load load;
  load.ownCrashesPerSecond_ = 0.4;
  std::size_t refused = 0;
  std::size_t broken = 0;
  const std::uint64_t runs = RunCount(40);
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    load.massCrashInterval_ = std::chrono::milliseconds(2000 + seed % 7 * 600);
    const Outcome outcome = Run(load, 20s, seed);
    refused += outcome.soundRefused_;
    broken += outcome.soundBroken_;
  }
  std::cout << runs << " runs with own crashes: " << broken
            << " requests broken, " << refused << " sound parts refused\n";
  CHECK(broken > 0);
  CHECK(refused == 0);
}

} // namespace pumiceturn::fleet
