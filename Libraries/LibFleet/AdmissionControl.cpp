#include "LibFleet/AdmissionControl.h"

#include <algorithm>

namespace pumiceturn::fleet {

namespace {

/// Share of the objective that a request may wait for a place. The rest is for
/// the way, the reading of the prompt, and counts that are some ms old.
constexpr double kWaitShare = 0.6;

/// Runs after which their mean time is trusted, and the weight of a new one.
constexpr std::uint32_t kMinSamples = 8;
constexpr double kNewSampleWeight = 0.05;

/// A caller that has less than this share of the longest time seen on its route
/// has been refused before, or is in a hurry: it is queued.
constexpr double kFreshCallerShare = 0.9;

/// Callers heed a time to come back of up to a third of what they have left.
constexpr double kRetryAfterShare = 0.33;
constexpr base::Duration kMaxRetryAfter{ std::chrono::milliseconds{ 1600 } };

/// For a caller that doesn't say how long it waits.
constexpr base::Duration kDefaultClientTimeout{ std::chrono::milliseconds{
  3000 } };

/// Returns are spread over the last part of the time, so that the callers of
/// one burst don't come back as another.
constexpr double kMinRetryAfterPart = 0.6;

base::Duration
Scale(base::Duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<base::Duration>(aDuration * aFactor);
}

} // namespace

void
AdmissionControl::RecordRun(std::string_view aService, base::Duration aDuration)
{
  RunTime& time = runTimes_[std::string(aService)];
  ++time.samples_;
  const double weight = std::max(1.0 / time.samples_, kNewSampleWeight);
  time.mean_ += Scale(aDuration - time.mean_, weight);
}

base::Duration
AdmissionControl::ExpectedWait(const AdmissionRequest& aRequest) const
{
  const auto time = runTimes_.find(std::string(aRequest.service_));
  if (time == runTimes_.end() || time->second.samples_ < kMinSamples ||
      aRequest.running_ < aRequest.slots_) {
    return base::Duration::zero();
  }
  // A place is free whenever one of the runs ends: on average, after the mean
  // time divided by the places.
  const std::uint32_t turns = aRequest.running_ - aRequest.slots_ + 1;
  return Scale(time->second.mean_,
               static_cast<double>(turns) / std::max(1U, aRequest.slots_));
}

bool
AdmissionControl::HasBeenHereBefore(const AdmissionRequest& aRequest)
{
  if (!aRequest.clientTimeout_) {
    return false;
  }
  base::Duration& longest = maxClientTimeout_[std::string(aRequest.route_)];
  longest = std::max(longest, *aRequest.clientTimeout_);
  return *aRequest.clientTimeout_ < Scale(longest, kFreshCallerShare);
}

Admission
AdmissionControl::Check(const AdmissionRequest& aRequest, double aRandom)
{
  Admission admission;
  admission.expectedWait_ = ExpectedWait(aRequest);
  const bool hasBeenHere = HasBeenHereBefore(aRequest);
  const bool hasObjective = aRequest.objective_ > base::Duration::zero();
  if (hasObjective && !hasBeenHere &&
      admission.expectedWait_ > Scale(aRequest.objective_, kWaitShare)) {
    admission.retryAfter_ = RetryAfter(aRequest.clientTimeout_, aRandom);
  }
  return admission;
}

base::Duration
AdmissionControl::RetryAfter(std::optional<base::Duration> aClientTimeout,
                             double aRandom)
{
  const base::Duration longest = std::min(
    Scale(aClientTimeout.value_or(kDefaultClientTimeout), kRetryAfterShare),
    kMaxRetryAfter);
  return Scale(longest,
               kMinRetryAfterPart + (1.0 - kMinRetryAfterPart) * aRandom);
}

} // namespace pumiceturn::fleet
