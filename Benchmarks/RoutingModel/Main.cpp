#include "Model.h"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <string_view>

/// Prints what the routing policy, the retry budget and early refusal do, each
/// against its baselines, in virtual time. The same figures at each run.
namespace pumiceturn::routing {

namespace {

struct NamedPolicy
{
  std::string_view name_;
  Policy policy_;
};

const std::array kPolicies{
  NamedPolicy{ "least of two", PowerOfTwoChoices{} },
  NamedPolicy{ "round robin", RoundRobin{} },
  NamedPolicy{ "random", RandomChoice{} },
};

double
Share(std::uint64_t aPart, std::uint64_t aWhole)
{
  return static_cast<double>(aPart) / static_cast<double>(aWhole);
}

void
PrintImbalance(base::Duration aDelay)
{
  fmt::print("load imbalance, 18 endpoints, 4 entries, reports each second and "
             "{} ms late\n",
             base::ToMs(aDelay));
  fmt::print("{:<14}{:>8}{:>24}{:>16}\n",
             "policy",
             "load",
             "max over mean in flight",
             "in time");
  for (const double load : { 0.5, 0.7, 0.9 }) {
    for (const NamedPolicy& policy : kPolicies) {
      ModelOptions options;
      options.policy_ = policy.policy_;
      options.load_ = load;
      options.reportDelay_ = aDelay;
      options.refusesEarly_ = false;
      const ModelResult result = Model(options).Run();
      fmt::print("{:<14}{:>8.1f}{:>24.2f}{:>16.4f}\n",
                 policy.name_,
                 load,
                 result.imbalance_,
                 Share(result.good_, result.requests_));
    }
  }
  fmt::print("\n");
}

void
PrintAmplification()
{
  fmt::print("retries, 6 of 18 endpoints fail each run at once, load 0.5\n");
  fmt::print("{:<30}{:>18}{:>12}\n", "retry share", "runs per request", "ok");
  for (const bool counts : { true, false }) {
    for (const double share : { 0.1, 1.0 }) {
      ModelOptions options;
      options.failing_ = 6;
      options.load_ = 0.5;
      options.retryShare_ = share;
      options.countsFailures_ = counts;
      const ModelResult result = Model(options).Run();
      fmt::print(
        "{:<30}{:>18.3f}{:>12.4f}\n",
        fmt::format(
          "{} {}", share, counts ? "failed ones avoided" : "failures ignored"),
        Share(result.runs_, result.requests_),
        Share(result.good_, result.requests_));
    }
  }
}

void
PrintGoodput()
{
  fmt::print("\ngoodput, answers in time a second, deadline 6 s\n");
  fmt::print("{:<26}{:>10}{:>10}{:>10}\n", "admission", "1x", "2x", "2x/1x");
  for (const bool refuses : { true, false }) {
    std::array<double, 2> goodput{};
    for (std::size_t times = 0; times < goodput.size(); ++times) {
      ModelOptions options;
      options.load_ = static_cast<double>(times + 1);
      options.refusesEarly_ = refuses;
      const ModelResult result = Model(options).Run();
      goodput.at(times) = static_cast<double>(result.good_) / result.seconds_;
    }
    fmt::print("{:<26}{:>10.2f}{:>10.2f}{:>10.3f}\n",
               refuses ? "refused by expected wait" : "all queued",
               goodput[0],
               goodput[1],
               goodput[1] / goodput[0]);
  }
}

} // namespace

} // namespace pumiceturn::routing

int
main()
{
  using namespace std::chrono_literals;
  pumiceturn::routing::PrintImbalance(5ms);
  pumiceturn::routing::PrintImbalance(500ms);
  pumiceturn::routing::PrintAmplification();
  pumiceturn::routing::PrintGoodput();
  return 0;
}
