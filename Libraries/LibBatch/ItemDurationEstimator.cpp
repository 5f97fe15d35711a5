#include "LibBatch/ItemDurationEstimator.h"

#include <algorithm>

namespace pumiceturn::batch {

namespace {

/// Minimum weight of a new sample; with fewer samples, all have equal weight.
constexpr double kMinSampleWeight = 0.05;

/// Minimum number of events for an attempt to be recorded. The duration of
/// shorter attempts is dominated by the wait at the endpoint.
constexpr std::uint64_t kMinEvents = 20;

} // namespace

void
ItemDurationEstimator::Average::Add(double aSample)
{
  ++samples_;
  const double weight = std::max(1.0 / samples_, kMinSampleWeight);
  value_ += (aSample - value_) * weight;
}

void
ItemDurationEstimator::RecordAttempt(std::uint64_t aEventCount,
                                     base::Duration aDuration)
{
  if (aEventCount >= kMinEvents) {
    const std::chrono::duration<double> seconds = aDuration;
    secondsPerEvent_.Add(seconds.count() / static_cast<double>(aEventCount));
  }
}

void
ItemDurationEstimator::RecordCompleted(std::uint64_t aTokens,
                                       std::uint64_t aEventCount)
{
  if (aTokens > 0) {
    eventsPerToken_.Add(static_cast<double>(aEventCount) /
                        static_cast<double>(aTokens));
  }
}

base::Duration
ItemDurationEstimator::EstimateRemaining(std::uint64_t aTokens,
                                         std::uint64_t aLastEvent) const
{
  const double events =
    std::max(1.0,
             eventsPerToken_.value_ * static_cast<double>(aTokens) -
               static_cast<double>(aLastEvent));
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(events * secondsPerEvent_.value_));
}

} // namespace pumiceturn::batch
