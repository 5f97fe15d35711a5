#include "Tests/PlatformSoak/Environment.h"
#include "Tests/PlatformSoak/RepeatSoakFixture.h"

#include <iostream>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

// Guards against requests and items that run more often than their routes
// allow, while servers answer badly, reset connections and restart, hosts end
// and start, and the store is away. Meta/soak_platform.sh runs more seeds.
TEST_CASE_METHOD(RepeatSoakFixture,
                 "RepeatSoak_ServersAnswerBadly_NothingRunsTooOften")
{
  const SoakRun run = ReadSoakRun(15);
  INFO("seed " << run.seed_);
  Run(run.seed_, run.time_);
  const RunCounts& counts = Counts();
  std::cout << fmt::format(
    "seed {}: {} requests, {} whole, {} at several servers; {} jobs, {} runs "
    "of items, {} items failed, {} of them beyond their maximum, {} answers of "
    "500 at most; {} changes of owner, {} servers ended, {} connections reset, "
    "{} restarts\n",
    run.seed_,
    counts.requests_,
    counts.whole_,
    counts.repeated_,
    counts.jobs_,
    counts.itemRuns_,
    counts.failingItems_,
    counts.itemsBeyondMaximum_,
    counts.mostFailures_,
    counts.ownerChanges_,
    counts.serverEnds_,
    counts.resetConnections_,
    RestartCount());
  PrintViolations(run.seed_);
  CHECK(Violations() == std::vector<std::string>());
  CHECK(counts.whole_ > 0);
  CHECK(counts.failingItems_ > 0);
}

} // namespace pumiceturn::adapter
