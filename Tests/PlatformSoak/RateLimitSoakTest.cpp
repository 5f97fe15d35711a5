#include "Tests/PlatformSoak/Environment.h"
#include "Tests/PlatformSoak/RateLimitSoakFixture.h"

#include <iostream>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

// Guards against organisations that get more than their limit while hosts
// restart, are suspended, or are cut off from the store. Meta/soak_platform.sh
// runs more seeds and hosts.
TEST_CASE_METHOD(RateLimitSoakFixture, "RateLimitSoak_RandomFaults_LimitsHold")
{
  const std::uint64_t seed = ReadNumber("PUMICETURN_SOAK_SEED", 1);
  const std::uint64_t seconds = ReadNumber("PUMICETURN_SOAK_SECONDS", 15);
  const std::uint64_t entryHosts = ReadNumber("PUMICETURN_SOAK_HOSTS", 20);
  INFO("seed " << seed);
  Run(seed, std::chrono::seconds(seconds), { entryHosts, 2 + entryHosts / 10 });
  std::size_t ran = 0;
  for (const Result& result : Results()) {
    ran += result.ran_;
    std::cout << fmt::format("seed {}: {} rate {}: {} sent, {} ran, {} over "
                             "limit, most in a window {} of {}\n",
                             seed,
                             result.name_,
                             result.rate_,
                             result.sent_,
                             result.ran_,
                             result.overLimit_,
                             result.mostInWindow_,
                             result.bound_);
  }
  std::cout << fmt::format(
    "seed {}: {} faults, {} restarts\n", seed, FaultCount(), RestartCount());
  for (const std::string& violation : Violations()) {
    std::cout << "seed " << seed << ": " << violation << '\n';
  }
  CHECK(Violations() == std::vector<std::string>());
  CHECK(ran > 0);
  CHECK(FaultCount() > 0);
}

} // namespace pumiceturn::adapter
