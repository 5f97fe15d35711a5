#include "Tests/PlatformSoak/Environment.h"
#include "Tests/PlatformSoak/SilenceSoakFixture.h"

#include <iostream>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

// Guards against answers that are lost while sound servers fall silent and go
// on, beside configurations, releases and restarts of hosts.
// Meta/soak_platform.sh runs more seeds.
TEST_CASE_METHOD(SilenceSoakFixture,
                 "SilenceSoak_ServersSilentBesidePlannedWork_NoAnswerIsLost")
{
  const SoakRun run = ReadSoakRun(10);
  const std::uint64_t seed = run.seed_;
  INFO("seed " << seed);
  Run(seed, run.time_);
  const RunCounts& counts = Counts();
  const AnswerCheck::Counts& answers = Answers();
  std::cout << fmt::format(
    "seed {}: {} requests, {} complete, {} refused, {} failed, {} cut, {} "
    "unanswered, {} sent into a close, {} given up, {} behind a close; {} kept "
    "connections closed; {} silences, {} configurations, {} releases, {} "
    "stops, {} restarts\n",
    seed,
    answers.requests_,
    answers.complete_,
    answers.refused_,
    answers.failed_,
    answers.cut_,
    answers.unanswered_,
    answers.crossed_,
    answers.givenUp_,
    answers.unanswerable_,
    counts.closedWhileIdle_,
    counts.silences_,
    counts.configurations_,
    counts.releases_,
    counts.stops_,
    RestartCount());
  PrintViolations(seed);
  CHECK(Violations() == std::vector<std::string>());
  CHECK(answers.complete_ > 0);
  CHECK(counts.silences_ > 0);
  CHECK(counts.configurations_ > 1);
}

} // namespace pumiceturn::adapter
