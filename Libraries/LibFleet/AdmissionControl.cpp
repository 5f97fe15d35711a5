#include "LibFleet/AdmissionControl.h"

#include <algorithm>

namespace pumiceturn::fleet {

namespace {

/// Share of the objective that a request may spend in a queue. The rest is for
/// the network, prompt processing, and errors of the estimate due to outdated
/// counts.
constexpr double kMaxWaitShare = 0.6;

/// Samples needed before the mean is used.
constexpr std::uint32_t kMinSamples = 8;
constexpr double kMinSampleWeight = 0.05;

/// A request whose timeout is below this share of the longest one seen on its
/// route is taken for a retry after a refusal, and isn't refused again.
constexpr double kFirstRequestMinTimeoutShare = 0.9;

/// Maximum retry delay, as a share of the caller's timeout, so that enough of
/// it remains for the retry. Callers heed a delay of at most a third of the
/// time that they have left.
constexpr double kRetryAfterShare = 0.33;
constexpr base::Duration kMaxRetryAfter{ std::chrono::milliseconds{ 1600 } };

/// Used if the caller states no timeout.
constexpr base::Duration kDefaultCallerTimeout{ std::chrono::milliseconds{
  3000 } };

/// Retries are spread between this fraction of the delay and the whole, so that
/// the callers of one burst don't return as another.
constexpr double kMinRetryAfterFraction = 0.6;

/// @return the share of the objective that a request may spend in a queue. Less
///         urgent requests are refused earlier, so that more urgent ones find
///         shorter queues.
double
MaxWaitShare(std::uint32_t aRank)
{
  return kMaxWaitShare / (1.0 + aRank);
}

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
      aRequest.inFlight_ < aRequest.slots_) {
    return base::Duration::zero();
  }
  // A slot is freed whenever an attempt ends: on average, after the mean time
  // divided by the number of slots, and later at a slow endpoint.
  const std::uint32_t slotsToFree = aRequest.inFlight_ - aRequest.slots_ + 1;
  return Scale(time->second.mean_,
               static_cast<double>(slotsToFree) /
                 std::max(1U, aRequest.slots_) / aRequest.pace_);
}

bool
AdmissionControl::IsLikelyRetry(const AdmissionRequest& aRequest)
{
  if (!aRequest.callerTimeout_) {
    return false;
  }
  base::Duration& maximum = maxCallerTimeout_[std::string(aRequest.route_)];
  maximum = std::max(maximum, *aRequest.callerTimeout_);
  return *aRequest.callerTimeout_ <
         Scale(maximum, kFirstRequestMinTimeoutShare);
}

AdmissionDecision
AdmissionControl::Check(const AdmissionRequest& aRequest, double aRandom)
{
  AdmissionDecision admission;
  admission.expectedWait_ = ExpectedWait(aRequest);
  const bool isLikelyRetry = IsLikelyRetry(aRequest);
  const bool hasObjective = aRequest.objective_ > base::Duration::zero();
  if (hasObjective && !isLikelyRetry &&
      admission.expectedWait_ >
        Scale(aRequest.objective_, MaxWaitShare(aRequest.rank_))) {
    admission.retryAfter_ = RetryAfter(aRequest.callerTimeout_, aRandom);
  }
  return admission;
}

base::Duration
AdmissionControl::RetryAfter(std::optional<base::Duration> aCallerTimeout,
                             double aRandom)
{
  const base::Duration maximum = std::min(
    Scale(aCallerTimeout.value_or(kDefaultCallerTimeout), kRetryAfterShare),
    kMaxRetryAfter);
  return Scale(
    maximum, kMinRetryAfterFraction + (1.0 - kMinRetryAfterFraction) * aRandom);
}

} // namespace pumiceturn::fleet
