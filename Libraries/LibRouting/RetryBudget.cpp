#include "LibRouting/RetryBudget.h"

#include <algorithm>

namespace pumiceturn::routing {

namespace {
constexpr double kCostOfOneRetry = 1.0;
}

void
RetryBudget::RecordAttempt()
{
  saved_ = std::min(saved_ + limits_.share_, limits_.burst_);
}

bool
RetryBudget::TryTake()
{
  if (saved_ < kCostOfOneRetry) {
    return false;
  }
  saved_ -= kCostOfOneRetry;
  return true;
}

} // namespace pumiceturn::routing
