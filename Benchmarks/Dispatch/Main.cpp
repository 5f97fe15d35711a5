#include "DecisionCost.h"
#include "Simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

namespace pumiceturn::bench {

namespace {

struct NamedPolicy
{
  const char* name_;
  dispatch::Policy policy_;
  double headroomShare_ = 0.0;
};

struct NamedEngine
{
  const char* name_;
  standin::EngineModelOptions options_;
  Workload workload_;
};

double
Quantile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(index),
                   aValues.end());
  return aValues[index];
}

std::string
Quantiles(std::vector<double>& aValues)
{
  return fmt::format("{:7.1f} {:7.1f} {:7.1f}",
                     Quantile(aValues, 0.5),
                     Quantile(aValues, 0.95),
                     Quantile(aValues, 0.99));
}

constexpr double kTail = 0.99;

void
PrintRow(const char* aName, Outcome& aOutcome, Outcome& aAlone)
{
  const double idle =
    aOutcome.totalPlaceSeconds_ - aOutcome.onlinePlaceSeconds_;
  fmt::print("{:18} {} {:6.2f} | {} {:6.2f} | {:6.1f}% {:8} {:6} {:5}\n",
             aName,
             Quantiles(aOutcome.firstTokenMs_),
             Quantile(aOutcome.firstTokenMs_, kTail) /
               Quantile(aAlone.firstTokenMs_, kTail),
             Quantiles(aOutcome.betweenTokensMs_),
             Quantile(aOutcome.betweenTokensMs_, kTail) /
               Quantile(aAlone.betweenTokensMs_, kTail),
             100.0 * aOutcome.batchPlaceSeconds_ / idle,
             aOutcome.batchTokens_,
             aOutcome.preempted_,
             aOutcome.refused_);
}

void
ComparePolicies(const NamedEngine& aEngine, double aLoad)
{
  const auto places = static_cast<std::uint32_t>(aEngine.options_.maxRunning_);
  const NamedPolicy policies[] = {
    { "engine order", dispatch::PassThrough{} },
    { "strict priority", dispatch::StrictPriority{} },
    { "static headroom",
      dispatch::StaticHeadroom{
        static_cast<std::uint32_t>(aEngine.options_.maxRunning_ / 4) } },
    { "gate, no headroom", dispatch::BurstHeadroom{}, 0.0 },
    { "gate", dispatch::BurstHeadroom{}, 0.25 },
    { "gate, 1/8 free", dispatch::BurstHeadroom{ places / 8 }, 0.25 },
    { "gate, 1/4 free", dispatch::BurstHeadroom{ places / 4 }, 0.25 },
  };
  Workload workload = aEngine.workload_;
  workload.onlinePerSecond_ *= aLoad;
  fmt::print("\n{}, online load {:.0f}%, bursts of {}\n",
             aEngine.name_,
             100.0 * aLoad,
             workload.burstSize_);
  fmt::print("{:18} {:>23} {:>6} | {:>23} {:>6} | {:>7} {:>8} {:>6} {:>5}\n",
             "",
             "first token p50 95 99",
             "harm99",
             "between p50 95 99 ms",
             "harm99",
             "of idle",
             "tokens",
             "preem.",
             "ref.");
  workload.hasBatch_ = false;
  Outcome alone =
    Simulation(dispatch::BurstHeadroom{}, 0.0, aEngine.options_, workload)
      .Run();
  PrintRow("online alone", alone, alone);
  workload.hasBatch_ = true;
  for (const NamedPolicy& policy : policies) {
    Outcome outcome =
      Simulation(
        policy.policy_, policy.headroomShare_, aEngine.options_, workload)
        .Run();
    PrintRow(policy.name_, outcome, alone);
  }
}

void
PrintIdleToFull(const NamedEngine& aEngine)
{
  Workload workload = aEngine.workload_;
  workload.onlinePerSecond_ = 1e-6;
  workload.burstSize_ =
    static_cast<std::uint32_t>(aEngine.options_.maxRunning_);
  workload.length_ = std::chrono::seconds{ 300 };
  Outcome outcome =
    Simulation(dispatch::BurstHeadroom{}, 0.0, aEngine.options_, workload)
      .Run();
  fmt::print("\n{}: idle to full batch {:.1f} ms\n",
             aEngine.name_,
             outcome.idleToFullMs_);
  fmt::print("bursts of {} over full batch: {} steps began while one of {} "
             "requests waited; first token p50 95 99 {}\n",
             workload.burstSize_,
             outcome.waitingSteps_,
             outcome.firstTokenMs_.size(),
             Quantiles(outcome.firstTokenMs_));
}

/// Online alone, with a deadline of two seconds, above what the engine can do.
void
PrintGoodput(const NamedEngine& aEngine)
{
  fmt::print("{}, online alone, deadline 2 s:\n", aEngine.name_);
  double atOnce = 0.0;
  for (const double load : { 1.0, 2.0 }) {
    Workload workload = aEngine.workload_;
    workload.onlinePerSecond_ *= load;
    workload.burstSize_ = 0;
    workload.hasBatch_ = false;
    workload.onlineDeadlineMs_ = 2000;
    const Outcome outcome =
      Simulation(dispatch::BurstHeadroom{}, 0.0, aEngine.options_, workload)
        .Run();
    const double goodput =
      static_cast<double>(outcome.onlineFinished_) /
      std::chrono::duration<double>(workload.length_).count();
    atOnce = atOnce == 0.0 ? goodput : atOnce;
    fmt::print("  load {:.0f}%: {:.1f} answers a second in time ({:.2f} of the "
               "first), {} refused or late\n",
               100.0 * load,
               goodput,
               goodput / atOnce,
               outcome.refused_);
  }
}

} // namespace

} // namespace pumiceturn::bench

int
main()
{
  using namespace pumiceturn::bench;
  NamedEngine small;
  small.name_ = "8 places, step 8 + 0.5 ms a stream";
  small.workload_.onlinePerSecond_ = 27.0; // Fills the engine.
  small.workload_.burstSize_ = 4;
  small.workload_.onlinePromptBytes_ = 60;
  small.workload_.batchPromptBytes_ = 100;
  NamedEngine large;
  large.name_ = "32 places, step 16 + 0.1 ms a stream";
  large.options_.maxRunning_ = 32;
  large.options_.stepMs_ = 16.0;
  large.options_.stepPerRunningMs_ = 0.1;
  large.options_.prefillPerTokenMs_ = 0.02;
  large.workload_.onlinePerSecond_ = 62.0;
  large.workload_.burstSize_ = 8;
  large.workload_.onlinePromptBytes_ = 60;
  large.workload_.batchPromptBytes_ = 100;
  NamedEngine slow = small;
  slow.name_ = "8 places, cancels take 40 ms";
  slow.workload_.cancelDelay_ = std::chrono::milliseconds{ 40 };
  for (const NamedEngine& engine : { small, large, slow }) {
    PrintIdleToFull(engine);
    PrintGoodput(engine);
    for (const double load : { 0.2, 0.4, 0.6 }) {
      ComparePolicies(engine, load);
    }
  }
  PrintDecisionCosts();
  return 0;
}
