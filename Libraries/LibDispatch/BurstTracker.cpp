#include "LibDispatch/BurstTracker.h"

#include <algorithm>
#include <cmath>

namespace pumiceturn::dispatch {

namespace {

constexpr double kWeightOfOne = 0.1;

// Half of a preemption is the way of the cancel, the rest that of its news.
constexpr double kCancelShare = 0.5;

double
HalvedBy(base::Duration aTime, base::Duration aHalfLife)
{
  return std::exp2(-static_cast<double>(aTime.count()) /
                   static_cast<double>(aHalfLife.count()));
}

} // namespace

void
BurstTracker::OnArrival(base::Instant aNow)
{
  const base::Duration window{ static_cast<std::int64_t>(
    PreemptionTime(aNow)) };
  if (aNow - windowStart_ > window) {
    windowStart_ = aNow;
    inWindow_ = 0;
  }
  ++inWindow_;
  peak_ = std::max(DecayedPeak(aNow), static_cast<double>(inWindow_));
  peakTime_ = aNow;
}

void
BurstTracker::OnPreempted(base::Duration aTime, base::Instant aNow)
{
  const auto time = static_cast<double>(aTime.count());
  const double known = PreemptionTime(aNow);
  preemptionTime_ = known == 0.0 ? time : known + (time - known) * kWeightOfOne;
  lastPreemption_ = aNow;
}

std::uint32_t
BurstTracker::Headroom(std::uint32_t aPlaces,
                       base::Duration aStep,
                       base::Instant aNow) const
{
  const double cancelTime = PreemptionTime(aNow) * kCancelShare;
  if (cancelTime <= static_cast<double>(aStep.count())) {
    return 0;
  }
  const double most = static_cast<double>(aPlaces) * options_.maxShare_;
  const double wanted = std::ceil(DecayedPeak(aNow));
  return static_cast<std::uint32_t>(std::min(wanted, most));
}

double
BurstTracker::DecayedPeak(base::Instant aNow) const
{
  return peak_ * HalvedBy(aNow - peakTime_, options_.halfLife_);
}

// Where places are kept free, few preemptions happen, so an old slow one must
// not count for ever.
double
BurstTracker::PreemptionTime(base::Instant aNow) const
{
  return preemptionTime_ * HalvedBy(aNow - lastPreemption_, options_.halfLife_);
}

} // namespace pumiceturn::dispatch
