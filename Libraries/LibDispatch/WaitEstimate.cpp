#include "LibDispatch/WaitEstimate.h"

#include <algorithm>

namespace pumiceturn::dispatch {

namespace {

constexpr double kSampleWeight = 0.05;

void
UpdateAverage(double& aAverage, double aSample)
{
  if (aAverage == 0.0) {
    aAverage = aSample;
    return;
  }
  aAverage += (aSample - aAverage) * kSampleWeight;
}

base::Duration
ToDuration(double aMicroseconds)
{
  return base::Duration{ static_cast<std::int64_t>(aMicroseconds) };
}

} // namespace

void
WaitEstimate::OnFirstToken(base::Duration aDelay)
{
  UpdateAverage(firstTokenDelay_, static_cast<double>(aDelay.count()));
}

void
WaitEstimate::OnInterTokenDelay(base::Duration aDelay)
{
  UpdateAverage(interTokenDelay_, static_cast<double>(aDelay.count()));
}

void
WaitEstimate::OnOnlineFinished(base::Duration aTime, std::uint32_t aTokens)
{
  UpdateAverage(onlineRunTime_, static_cast<double>(aTime.count()));
  UpdateAverage(onlineTokens_, static_cast<double>(aTokens));
}

void
WaitEstimate::OnQueuedStart(base::Instant aNow)
{
  if (lastQueuedStart_) {
    const base::Duration interval = aNow - *lastQueuedStart_;
    // Several requests can start at the same time. An average of zero would
    // mean that there are no samples.
    UpdateAverage(startInterval_,
                  std::max(1.0, static_cast<double>(interval.count())));
  }
  lastQueuedStart_ = aNow;
}

base::Duration
WaitEstimate::ExpectedRunTime(std::uint32_t aMaxTokens) const
{
  const double maxTokens =
    aMaxTokens == 0 ? onlineTokens_ : static_cast<double>(aMaxTokens);
  const double tokens = std::min(maxTokens, onlineTokens_);
  return ToDuration(firstTokenDelay_ + tokens * interTokenDelay_);
}

base::Duration
WaitEstimate::ExpectedDecodeTime(std::uint32_t aTokens) const
{
  return ToDuration(static_cast<double>(aTokens) * interTokenDelay_);
}

base::Duration
WaitEstimate::ExpectedWait(std::uint32_t aPosition, std::uint32_t aPlaces) const
{
  const double places = std::max(1.0, static_cast<double>(aPlaces));
  const double interval = std::max(onlineRunTime_ / places, startInterval_);
  return ToDuration(interval * static_cast<double>(aPosition));
}

} // namespace pumiceturn::dispatch
