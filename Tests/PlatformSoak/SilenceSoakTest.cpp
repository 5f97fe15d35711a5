#include "Tests/PlatformSoak/Environment.h"
#include "Tests/PlatformSoak/SilenceSoakFixture.h"

#include <iostream>

namespace pumiceturn::adapter {

// Guards against answers that are lost while sound servers fall silent and go
// on, beside configurations, releases and restarts of hosts.
// Meta/soak_platform.sh runs more seeds.
TEST_CASE_METHOD(SilenceSoakFixture,
                 "SilenceSoak_ServersSilentBesidePlannedWork_NoAnswerIsLost")
{
  const std::uint64_t seed = ReadNumber("PUMICETURN_SOAK_SEED", 1);
  const std::uint64_t seconds = ReadNumber("PUMICETURN_SOAK_SECONDS", 10);
  INFO("seed " << seed);
  Run(seed, std::chrono::seconds(seconds));
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
  for (const std::string& violation : Violations()) {
    std::cout << "seed " << seed << ": " << violation << '\n';
  }
  if (!Violations().empty()) {
    std::cout << "seed " << seed << ": logs in " << LogFolder() << '\n';
  }
  CHECK(Violations().empty());
  CHECK(answers.complete_ > 0);
  CHECK(counts.silences_ > 0);
  CHECK(counts.configurations_ > 1);
}

} // namespace pumiceturn::adapter
