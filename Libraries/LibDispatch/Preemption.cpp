#include "LibDispatch/Preemption.h"

#include <algorithm>

namespace pumiceturn::dispatch {

namespace {

constexpr double kBytesPerToken = 4.0; // Rough average, for ranking only.
constexpr double kMinSlackSeconds = 0.001;

double
LostTokens(const Run& aRun)
{
  const double promptTokens =
    static_cast<double>(aRun.request_.payload_.size()) / kBytesPerToken;
  return promptTokens + static_cast<double>(aRun.tokens_);
}

double
CostOf(const Run& aRun, const WaitEstimate& aEstimate, base::Instant aNow)
{
  const double slack =
    std::chrono::duration<double>(SlackOf(aRun, aEstimate, aNow)).count();
  const double preemptionFactor = 1.0 + static_cast<double>(aRun.preemptions_);
  return LostTokens(aRun) * preemptionFactor /
         std::max(slack, kMinSlackSeconds);
}

bool
IsPreemptible(const Run& aRun)
{
  return !aRun.IsOnline() && aRun.phase_ == RunPhase::Running &&
         aRun.request_.idempotent_;
}

} // namespace

base::Duration
SlackOf(const Run& aRun, const WaitEstimate& aEstimate, base::Instant aNow)
{
  if (aRun.due_ == base::Instant::max()) {
    return base::Duration::max();
  }
  const std::uint32_t maxTokens =
    std::max(aRun.request_.maxTokens_, aRun.tokens_);
  return aRun.due_ - aNow -
         aEstimate.ExpectedDecodeTime(maxTokens - aRun.tokens_);
}

Run*
ChooseVictim(std::span<Run* const> aAtEngine,
             const WaitEstimate& aEstimate,
             base::Instant aNow)
{
  Run* victim = nullptr;
  double lowestCost = 0.0;
  for (Run* run : aAtEngine) {
    if (!IsPreemptible(*run)) {
      continue;
    }
    const double cost = CostOf(*run, aEstimate, aNow);
    if (victim == nullptr || cost < lowestCost) {
      victim = run;
      lowestCost = cost;
    }
  }
  return victim;
}

} // namespace pumiceturn::dispatch
