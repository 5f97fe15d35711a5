#include "LibDispatch/BurstTracker.h"

#include <algorithm>
#include <cmath>

namespace pumiceturn::dispatch {

namespace {

constexpr double kWeightOfOne = 0.1;

} // namespace

void
BurstTracker::OnArrival(base::Instant aNow)
{
  const base::Duration window{ static_cast<std::int64_t>(preemptionTime_) };
  if (aNow - windowStart_ > window) {
    windowStart_ = aNow;
    inWindow_ = 0;
  }
  ++inWindow_;
  peak_ = std::max(DecayedPeak(aNow), static_cast<double>(inWindow_));
  peakTime_ = aNow;
}

void
BurstTracker::OnPreempted(base::Duration aTime)
{
  const auto time = static_cast<double>(aTime.count());
  preemptionTime_ =
    preemptionTime_ == 0.0
      ? time
      : preemptionTime_ + (time - preemptionTime_) * kWeightOfOne;
}

std::uint32_t
BurstTracker::Headroom(std::uint32_t aPlaces,
                       base::Duration aStep,
                       base::Instant aNow) const
{
  if (preemptionTime_ <= static_cast<double>(aStep.count())) {
    return 0;
  }
  const double most = static_cast<double>(aPlaces) * options_.maxShare_;
  const double wanted = std::ceil(DecayedPeak(aNow));
  return static_cast<std::uint32_t>(std::min(wanted, most));
}

double
BurstTracker::DecayedPeak(base::Instant aNow) const
{
  if (peak_ == 0.0) {
    return 0.0;
  }
  const double halfLives = static_cast<double>((aNow - peakTime_).count()) /
                           static_cast<double>(options_.halfLife_.count());
  return peak_ * std::exp2(-halfLives);
}

} // namespace pumiceturn::dispatch
