#include "LibBatch/ItemDurationEstimator.h"

#include <algorithm>

namespace pumiceturn::batch {

namespace {

/// Weight of a new sample in the moving average.
constexpr double kNewSampleWeight = 0.05;

/// The duration of shorter attempts is dominated by the wait for a slot.
constexpr std::uint64_t kMinEvents = 20;

} // namespace

void
ItemDurationEstimator::Average::Add(double aSample)
{
  ++samples_;
  const double weight = std::max(1.0 / samples_, kNewSampleWeight);
  value_ += (aSample - value_) * weight;
}

void
ItemDurationEstimator::RecordAttempt(std::uint64_t aEvents,
                                     base::Duration aDuration)
{
  if (aEvents >= kMinEvents) {
    const std::chrono::duration<double> seconds = aDuration;
    secondsPerEvent_.Add(seconds.count() / static_cast<double>(aEvents));
  }
}

void
ItemDurationEstimator::RecordCompleted(std::uint64_t aTokens,
                                       std::uint64_t aEvents)
{
  if (aTokens > 0) {
    eventsPerToken_.Add(static_cast<double>(aEvents) /
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
