#include "Tests/PlatformSoak/SoakFixture.h"

#include <cstdlib>
#include <iostream>

namespace pumiceturn::adapter {

namespace {

/// @return a number that whoever runs the soak has set, or a default.
std::uint64_t
ReadNumber(const char* aVariable, std::uint64_t aDefault)
{
  // NOLINTNEXTLINE(concurrency-mt-unsafe): there is one thread.
  const char* text = std::getenv(aVariable);
  return text != nullptr ? std::stoull(text) : aDefault;
}

} // namespace

// Processes are killed, stopped, frozen and restarted, their ways to the store
// and to the servers delayed, cut, reset or silenced, and the store fails, all
// overlapping: an answer is mixed up, an item lost or listed twice, or a
// request that was said not to have run has run. Meta/soak_platform.sh plays
// more seeds.
TEST_CASE_METHOD(SoakFixture, "PlatformSoak_FaultsFromASeed_PromisesHold")
{
  const std::uint64_t seed = ReadNumber("PUMICETURN_SOAK_SEED", 1);
  const std::uint64_t seconds = ReadNumber("PUMICETURN_SOAK_SECONDS", 8);
  INFO("seed " << seed);
  Play(seed, std::chrono::seconds(seconds));
  const Tally& played = Played();
  std::cout << fmt::format(
    "seed {}: {} answers, {} refusals, {} other ends, {} lots with {} items, "
    "{} faults, {} restarts\n",
    seed,
    played.wholeAnswers_,
    played.refusals_,
    played.otherEnds_,
    played.jobs_,
    played.items_,
    played.faults_,
    played.restarts_);
  for (const std::string& violation : Violations()) {
    std::cout << "seed " << seed << ": " << violation << '\n';
  }
  CHECK(Violations().empty());
  CHECK(played.wholeAnswers_ > 0);
  CHECK(played.faults_ > 0);
}

} // namespace pumiceturn::adapter
