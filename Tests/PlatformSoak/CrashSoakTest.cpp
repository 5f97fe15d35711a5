#include "Tests/PlatformSoak/CrashSoakFixture.h"
#include "Tests/PlatformSoak/Environment.h"

#include <iostream>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

// Guards against requests with one part in their prompts that crash servers one
// after the other, and against sound requests that are refused beside them,
// while hosts end and start and the store is cut off. Meta/soak_platform.sh
// runs more seeds.
TEST_CASE_METHOD(CrashSoakFixture,
                 "CrashSoak_PartCrashesServers_IsRefusedAndOthersAreServed")
{
  const SoakRun run = ReadSoakRun(15);
  const std::uint64_t seed = run.seed_;
  INFO("seed " << seed);
  Run(seed, run.time_);
  const RunCounts& counts = Counts();
  std::cout << fmt::format(
    "seed {}: {} requests with a part, {} sound ones, {} served; {} crashes by "
    "parts, {} late sends, {} own crashes; {} configurations, {} releases, {} "
    "restarts\n",
    seed,
    counts.badSent_,
    counts.soundSent_,
    counts.soundServed_,
    counts.crashesByParts_,
    counts.lateSends_,
    counts.ownCrashes_,
    counts.configurations_,
    counts.releases_,
    RestartCount());
  PrintViolations(seed);
  CHECK(Violations() == std::vector<std::string>());
  CHECK(counts.crashesByParts_ > 0);
  CHECK(counts.soundServed_ > 0);
}

} // namespace pumiceturn::adapter
