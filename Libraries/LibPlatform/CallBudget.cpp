#include "LibPlatform/CallBudget.h"

#include <algorithm>
#include <cmath>

namespace pumiceturn::platform {

namespace {

constexpr double kCostOfOneCall = 1.0;

double
Seconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

bool
CallBudget::TryTake(base::Instant aNow)
{
  saved_ = SavedAt(aNow);
  refilledAt_ = std::max(refilledAt_, aNow);
  if (saved_ < kCostOfOneCall) {
    return false;
  }
  saved_ -= kCostOfOneCall;
  return true;
}

base::Duration
CallBudget::UntilNext(base::Instant aNow) const
{
  const double lacking = kCostOfOneCall - SavedAt(aNow);
  if (lacking <= 0) {
    return base::Duration::zero();
  }
  const double microseconds = lacking / limits_.callsPerSecond_ * 1e6;
  return base::Duration{ static_cast<base::Duration::rep>(
    std::ceil(microseconds)) };
}

double
CallBudget::SavedAt(base::Instant aNow) const
{
  const base::Duration passed =
    std::max(aNow - refilledAt_, base::Duration::zero());
  return std::min(saved_ + Seconds(passed) * limits_.callsPerSecond_,
                  limits_.burst_);
}

} // namespace pumiceturn::platform
