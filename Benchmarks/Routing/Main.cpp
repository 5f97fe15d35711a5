#include "LibRouting/EndpointChooser.h"
#include "LibRouting/Subset.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

/// Processor time of routing decisions: one choice, with its start and end, for
/// fleets of today's and of the target's size, and the choice of a subset.
namespace pumiceturn::routing {

namespace {

constexpr std::uint32_t kCapacity = 8;
constexpr std::size_t kDomains = 3;
constexpr std::uint64_t kPrefixes = 64;

std::vector<EndpointDescription>
DescribeFleet(std::size_t aCount)
{
  std::vector<EndpointDescription> fleet;
  fleet.reserve(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    fleet.push_back({ "endpoint-" + std::to_string(index),
                      "domain-" + std::to_string(index % kDomains),
                      kCapacity });
  }
  return fleet;
}

EndpointChooser
MakeLinkedChooser(const Policy& aPolicy, std::size_t aCount, base::Instant aNow)
{
  EndpointChooser chooser("domain-0", aPolicy);
  const auto fleet = DescribeFleet(aCount);
  chooser.SetEndpoints(fleet);
  wire::Heartbeat report;
  report.running_ = kCapacity / 2;
  report.capacity_ = kCapacity;
  for (const EndpointDescription& endpoint : fleet) {
    chooser.SetLinked(endpoint.name_, true);
    chooser.OnHeartbeat(endpoint.name_, report, aNow);
  }
  return chooser;
}

void
DecideOnce(benchmark::State& aState, const Policy& aPolicy)
{
  base::Instant now{ std::chrono::seconds{ 1000 } };
  auto chooser =
    MakeLinkedChooser(aPolicy, static_cast<std::size_t>(aState.range(0)), now);
  std::mt19937_64 random{ 1 };
  std::uint64_t request = 0;
  while (aState.KeepRunning()) {
    now += std::chrono::microseconds{ 1 };
    ChoiceRequest asked;
    // One in two requests has a prefix that some endpoint may hold.
    asked.prefix_ = request % 2 == 0 ? 0 : 1 + (random() % kPrefixes);
    const auto choice = chooser.Choose(asked, now, random);
    chooser.OnStarted(choice->endpoint_, asked.prefix_, false);
    chooser.OnEnded(choice->endpoint_, false, RunOutcome::Answered, now);
    ++request;
  }
}

void
LeastOfTwoDecision(benchmark::State& aState)
{
  DecideOnce(aState, PowerOfTwoChoices{});
}

void
RoundRobinDecision(benchmark::State& aState)
{
  DecideOnce(aState, RoundRobin{});
}

void
RandomDecision(benchmark::State& aState)
{
  DecideOnce(aState, RandomChoice{});
}

void
HeartbeatTaken(benchmark::State& aState)
{
  base::Instant now{ std::chrono::seconds{ 1000 } };
  auto chooser = MakeLinkedChooser(
    PowerOfTwoChoices{}, static_cast<std::size_t>(aState.range(0)), now);
  wire::Heartbeat report;
  report.running_ = 3;
  report.capacity_ = kCapacity;
  while (aState.KeepRunning()) {
    chooser.OnHeartbeat("endpoint-1", report, now);
  }
}

void
SubsetOfTwenty(benchmark::State& aState)
{
  const auto fleet = DescribeFleet(static_cast<std::size_t>(aState.range(0)));
  std::vector<SubsetCandidate> candidates;
  candidates.reserve(fleet.size());
  for (const EndpointDescription& endpoint : fleet) {
    candidates.push_back({ endpoint.name_, endpoint.failureDomain_ });
  }
  while (aState.KeepRunning()) {
    benchmark::DoNotOptimize(ChooseSubset("host-1", candidates, 20));
  }
}

BENCHMARK(LeastOfTwoDecision)->Arg(18)->Arg(20)->Arg(1800);
BENCHMARK(RoundRobinDecision)->Arg(18)->Arg(1800);
BENCHMARK(RandomDecision)->Arg(18)->Arg(1800);
BENCHMARK(HeartbeatTaken)->Arg(18)->Arg(20)->Arg(1800);
BENCHMARK(SubsetOfTwenty)->Arg(18)->Arg(1800);

} // namespace

} // namespace pumiceturn::routing

BENCHMARK_MAIN();
