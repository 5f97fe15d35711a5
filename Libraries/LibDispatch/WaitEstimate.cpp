#include "LibDispatch/WaitEstimate.h"

#include <algorithm>

namespace pumiceturn::dispatch {

namespace {

constexpr double kWeightOfOne = 0.05;

void
Follow(double& aAverage, double aSample)
{
  if (aAverage == 0.0) {
    aAverage = aSample;
    return;
  }
  aAverage += (aSample - aAverage) * kWeightOfOne;
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
  Follow(firstToken_, static_cast<double>(aDelay.count()));
}

void
WaitEstimate::OnBetweenTokens(base::Duration aDelay)
{
  Follow(betweenTokens_, static_cast<double>(aDelay.count()));
}

void
WaitEstimate::OnOnlineFinished(base::Duration aTime, std::uint32_t aTokens)
{
  Follow(onlineRun_, static_cast<double>(aTime.count()));
  Follow(onlineTokens_, static_cast<double>(aTokens));
}

void
WaitEstimate::OnQueuedStart(base::Instant aNow)
{
  if (lastQueuedStart_) {
    const base::Duration interval = aNow - *lastQueuedStart_;
    // Several can start at one moment; the average needs them all.
    Follow(startInterval_,
           std::max(1.0, static_cast<double>(interval.count())));
  }
  lastQueuedStart_ = aNow;
}

base::Duration
WaitEstimate::ExpectedRun(std::uint32_t aMaxTokens) const
{
  const double most =
    aMaxTokens == 0 ? onlineTokens_ : static_cast<double>(aMaxTokens);
  const double tokens = std::min(most, onlineTokens_);
  return ToDuration(firstToken_ + tokens * betweenTokens_);
}

base::Duration
WaitEstimate::ExpectedWork(std::uint32_t aTokens) const
{
  return ToDuration(static_cast<double>(aTokens) * betweenTokens_);
}

base::Duration
WaitEstimate::ExpectedWait(std::uint32_t aAhead, std::uint32_t aPlaces) const
{
  const double places = std::max(1.0, static_cast<double>(aPlaces));
  const double interval = std::max(onlineRun_ / places, startInterval_);
  return ToDuration(interval * static_cast<double>(aAhead));
}

} // namespace pumiceturn::dispatch
