#include "LibBatch/ItemPace.h"

#include <algorithm>

namespace pumiceturn::batch {

namespace {

/// Weight of a new sample: an average over the last 20 runs, some seconds of
/// one host's work.
constexpr double kNewSampleWeight = 0.05;

/// Shorter runs tell more of the wait for a place than of the pace.
constexpr std::uint64_t kLeastEvents = 20;

} // namespace

void
ItemPace::Average::Add(double aSample)
{
  ++samples_;
  const double weight = std::max(1.0 / samples_, kNewSampleWeight);
  value_ += (aSample - value_) * weight;
}

void
ItemPace::RecordRun(std::uint64_t aEvents, base::Duration aDuration)
{
  if (aEvents >= kLeastEvents) {
    const std::chrono::duration<double> seconds = aDuration;
    secondsAnEvent_.Add(seconds.count() / static_cast<double>(aEvents));
  }
}

void
ItemPace::RecordCompleted(std::uint64_t aTokens, std::uint64_t aEvents)
{
  if (aTokens > 0) {
    eventsAToken_.Add(static_cast<double>(aEvents) /
                      static_cast<double>(aTokens));
  }
}

base::Duration
ItemPace::Remaining(std::uint64_t aTokens, std::uint64_t aLastEvent) const
{
  const double events =
    std::max(1.0,
             eventsAToken_.value_ * static_cast<double>(aTokens) -
               static_cast<double>(aLastEvent));
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(events * secondsAnEvent_.value_));
}

} // namespace pumiceturn::batch
