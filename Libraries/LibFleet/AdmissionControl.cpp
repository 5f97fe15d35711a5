#include "LibFleet/AdmissionControl.h"

#include <algorithm>

namespace pumiceturn::fleet {

namespace {

/// Share of the objective that a request may spend in a queue. The rest is for
/// the network, prompt processing, and outdated counts.
constexpr double kMaxWaitShare = 0.6;

/// Samples needed before the mean is used.
constexpr std::uint32_t kMinSamples = 8;
constexpr double kMinSampleWeight = 0.05;

/// A caller whose timeout is below this share of the longest one seen on its
/// route is probably retrying after a refusal, or is in a hurry: it is queued.
constexpr double kFirstRequestShare = 0.9;

/// Share of its remaining timeout that a caller accepts as a retry delay.
constexpr double kRetryAfterShare = 0.33;
constexpr base::Duration kMaxRetryAfter{ std::chrono::milliseconds{ 1600 } };

/// Used if the caller states no timeout.
constexpr base::Duration kDefaultClientTimeout{ std::chrono::milliseconds{
  3000 } };

/// Retries are spread between this fraction of the delay and the whole, so that
/// the callers of one burst don't return as another.
constexpr double kMinRetryAfterFraction = 0.6;

base::Duration
Scale(base::Duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<base::Duration>(aDuration * aFactor);
}

} // namespace

void
AdmissionControl::RecordSlotTime(std::string_view aService,
                                 base::Duration aDuration)
{
  SlotTime& time = slotTimes_[std::string(aService)];
  ++time.samples_;
  const double weight = std::max(1.0 / time.samples_, kMinSampleWeight);
  time.mean_ += Scale(aDuration - time.mean_, weight);
}

base::Duration
AdmissionControl::ExpectedWait(const AdmissionRequest& aRequest) const
{
  const auto time = slotTimes_.find(std::string(aRequest.service_));
  if (time == slotTimes_.end() || time->second.samples_ < kMinSamples ||
      aRequest.running_ < aRequest.slots_) {
    return base::Duration::zero();
  }
  // A slot is freed whenever an attempt ends: on average, after the mean time
  // divided by the number of slots.
  const std::uint32_t slotsToFree = aRequest.running_ - aRequest.slots_ + 1;
  return Scale(time->second.mean_,
               static_cast<double>(slotsToFree) /
                 std::max(1U, aRequest.slots_));
}

bool
AdmissionControl::IsLikelyRetry(const AdmissionRequest& aRequest)
{
  if (!aRequest.clientTimeout_) {
    return false;
  }
  base::Duration& maximum = maxClientTimeout_[std::string(aRequest.route_)];
  maximum = std::max(maximum, *aRequest.clientTimeout_);
  return *aRequest.clientTimeout_ < Scale(maximum, kFirstRequestShare);
}

Admission
AdmissionControl::Check(const AdmissionRequest& aRequest, double aRandom)
{
  Admission admission;
  admission.expectedWait_ = ExpectedWait(aRequest);
  const bool isLikelyRetry = IsLikelyRetry(aRequest);
  const bool hasObjective = aRequest.objective_ > base::Duration::zero();
  if (hasObjective && !isLikelyRetry &&
      admission.expectedWait_ > Scale(aRequest.objective_, kMaxWaitShare)) {
    admission.retryAfter_ = RetryAfter(aRequest.clientTimeout_, aRandom);
  }
  return admission;
}

base::Duration
AdmissionControl::RetryAfter(std::optional<base::Duration> aClientTimeout,
                             double aRandom)
{
  const base::Duration maximum = std::min(
    Scale(aClientTimeout.value_or(kDefaultClientTimeout), kRetryAfterShare),
    kMaxRetryAfter);
  return Scale(
    maximum, kMinRetryAfterFraction + (1.0 - kMinRetryAfterFraction) * aRandom);
}

} // namespace pumiceturn::fleet
