#include "LibDispatch/BurstTracker.h"

#include <algorithm>
#include <cmath>

namespace pumiceturn::dispatch {

namespace {

constexpr double kSampleWeight = 0.1;

// Share of the preemption latency that passes before the cancel reaches the
// engine. The rest is the time until the end of the stream is reported.
constexpr double kCancelShare = 0.5;

double
RecencyWeight(base::Duration aElapsed, base::Duration aHalfLife)
{
  return std::exp2(-static_cast<double>(aElapsed.count()) /
                   static_cast<double>(aHalfLife.count()));
}

} // namespace

void
BurstTracker::OnArrival(base::Instant aNow)
{
  const base::Duration window{ static_cast<std::int64_t>(
    PreemptionLatency(aNow)) };
  if (aNow - windowStart_ > window) {
    windowStart_ = aNow;
    windowArrivals_ = 0;
  }
  ++windowArrivals_;
  peak_ = std::max(DecayedPeak(aNow), static_cast<double>(windowArrivals_));
  peakAt_ = aNow;
}

void
BurstTracker::OnPreempted(base::Duration aLatency, base::Instant aNow)
{
  const auto latency = static_cast<double>(aLatency.count());
  const double average = PreemptionLatency(aNow);
  preemptionLatency_ =
    average == 0.0 ? latency : average + (latency - average) * kSampleWeight;
  lastPreemption_ = aNow;
}

std::uint32_t
BurstTracker::Headroom(std::uint32_t aPlaces,
                       base::Duration aStep,
                       base::Instant aNow) const
{
  const double cancelTime = PreemptionLatency(aNow) * kCancelShare;
  if (cancelTime <= static_cast<double>(aStep.count())) {
    return 0;
  }
  const double maxHeadroom = static_cast<double>(aPlaces) * options_.maxShare_;
  const double wanted = std::ceil(DecayedPeak(aNow));
  return static_cast<std::uint32_t>(std::min(wanted, maxHeadroom));
}

double
BurstTracker::DecayedPeak(base::Instant aNow) const
{
  return peak_ * RecencyWeight(aNow - peakAt_, options_.halfLife_);
}

// The average decays with time: while there is headroom, there are hardly any
// preemptions, so no new sample would correct a value that is too high.
double
BurstTracker::PreemptionLatency(base::Instant aNow) const
{
  return preemptionLatency_ *
         RecencyWeight(aNow - lastPreemption_, options_.halfLife_);
}

} // namespace pumiceturn::dispatch
