#include "LibDispatch/Preemption.h"

#include <algorithm>

namespace pumiceturn::dispatch {

namespace {

constexpr double kBytesOfOneToken = 4.0;
constexpr double kLeastSlackSeconds = 0.001;

double
LostWork(const Run& aRun)
{
  const double promptTokens =
    static_cast<double>(aRun.order_.payload_.size()) / kBytesOfOneToken;
  return promptTokens + static_cast<double>(aRun.tokens_);
}

double
CostOf(const Run& aRun, const WaitEstimate& aEstimate, base::Instant aNow)
{
  const double slack =
    std::chrono::duration<double>(SlackOf(aRun, aEstimate, aNow)).count();
  const double again = 1.0 + static_cast<double>(aRun.preemptions_);
  return LostWork(aRun) * again / std::max(slack, kLeastSlackSeconds);
}

bool
MayGiveWay(const Run& aRun)
{
  return !aRun.IsOnline() && aRun.phase_ == RunPhase::Running &&
         aRun.order_.idempotent_;
}

} // namespace

base::Duration
SlackOf(const Run& aRun, const WaitEstimate& aEstimate, base::Instant aNow)
{
  if (aRun.due_ == base::Instant::max()) {
    return base::Duration::max();
  }
  const std::uint32_t most = std::max(aRun.order_.maxTokens_, aRun.tokens_);
  return aRun.due_ - aNow - aEstimate.ExpectedWork(most - aRun.tokens_);
}

Run*
ChooseVictim(std::span<Run* const> aAtEngine,
             const WaitEstimate& aEstimate,
             base::Instant aNow)
{
  Run* victim = nullptr;
  double least = 0.0;
  for (Run* run : aAtEngine) {
    if (!MayGiveWay(*run)) {
      continue;
    }
    const double cost = CostOf(*run, aEstimate, aNow);
    if (victim == nullptr || cost < least) {
      victim = run;
      least = cost;
    }
  }
  return victim;
}

} // namespace pumiceturn::dispatch
