#include "Tests/PlatformSoak/Environment.h"
#include "Tests/PlatformSoak/SoakFixture.h"

#include <iostream>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

// Guards against mixed-up responses, lost or duplicate items, and requests that
// ran although they were reported as not run, under overlapping faults of
// processes, connections and the store. Meta/soak_platform.sh runs more seeds.
TEST_CASE_METHOD(SoakFixture, "PlatformSoak_RandomFaults_ViolateNoGuarantee")
{
  const std::uint64_t seed = ReadNumber("PUMICETURN_SOAK_SEED", 1);
  const std::uint64_t seconds = ReadNumber("PUMICETURN_SOAK_SECONDS", 8);
  INFO("seed " << seed);
  Run(seed, std::chrono::seconds(seconds));
  const RunCounts& counts = Counts();
  std::cout << fmt::format(
    "seed {}: {} complete responses, {} refusals, {} other outcomes, "
    "{} jobs with {} items, {} faults, {} restarts\n",
    seed,
    counts.completeResponses_,
    counts.refusals_,
    counts.otherOutcomes_,
    counts.jobs_,
    counts.items_,
    counts.faults_,
    counts.restarts_);
  for (const std::string& violation : Violations()) {
    std::cout << "seed " << seed << ": " << violation << '\n';
  }
  CHECK(Violations() == std::vector<std::string>());
  CHECK(counts.completeResponses_ > 0);
  CHECK(counts.faults_ > 0);
}

} // namespace pumiceturn::adapter
