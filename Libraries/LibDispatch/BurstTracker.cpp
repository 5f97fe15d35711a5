#include "LibDispatch/BurstTracker.h"

#include <algorithm>
#include <cmath>

namespace pumiceturn::dispatch {

namespace {

// One arrival in a window is no burst: it is served by one preemption, which
// costs it nothing (docs/design/dispatch.md).
constexpr double kNoBurst = 1.5;

} // namespace

void
BurstTracker::OnArrival(base::Instant aNow)
{
  if (aNow - windowStart_ > options_.window_) {
    windowStart_ = aNow;
    inWindow_ = 0;
  }
  ++inWindow_;
  const double decayed = DecayedPeak(aNow);
  peak_ = std::max(decayed, static_cast<double>(inWindow_));
  peakTime_ = aNow;
}

std::uint32_t
BurstTracker::Headroom(std::uint32_t aPlaces, base::Instant aNow) const
{
  const double peak = DecayedPeak(aNow);
  if (peak < kNoBurst) {
    return 0;
  }
  const double most = static_cast<double>(aPlaces) * options_.maxShare_;
  return static_cast<std::uint32_t>(std::min(std::ceil(peak), most));
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
