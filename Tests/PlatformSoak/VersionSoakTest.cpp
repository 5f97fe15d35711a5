#include "Tests/PlatformSoak/Environment.h"
#include "Tests/PlatformSoak/VersionSoakFixture.h"

#include <iostream>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

// Guards against streams that join events of two software versions, and against
// refusing resumed streams instead, while versions are released and hosts and
// servers fail. Meta/soak_platform.sh runs more seeds.
TEST_CASE_METHOD(VersionSoakFixture,
                 "VersionSoak_ReleasesAndFaults_StreamsKeepTheirVersion")
{
  const SoakRun run = ReadSoakRun(15);
  const std::uint64_t seed = run.seed_;
  INFO("seed " << seed);
  Run(seed, run.time_);
  const RunCounts& counts = Counts();
  std::cout << fmt::format(
    "seed {}: {} streams, {} begun, {} whole, {} joined; {} resumptions, {} "
    "went on; {} owed, {} of them went on; {} faults, {} releases, {} "
    "restarts\n",
    seed,
    counts.streams_,
    counts.begun_,
    counts.whole_,
    counts.joined_,
    counts.resumptions_,
    counts.goneOn_,
    counts.owed_,
    counts.owedGoneOn_,
    counts.faults_,
    counts.releases_,
    RestartCount());
  for (const std::string& violation : Violations()) {
    std::cout << "seed " << seed << ": " << violation << '\n';
  }
  CHECK(Violations() == std::vector<std::string>());
  CHECK(counts.whole_ > 0);
  CHECK(counts.resumptions_ > 0);
  CHECK(counts.faults_ > 0);
}

} // namespace pumiceturn::adapter
