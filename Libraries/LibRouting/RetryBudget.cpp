#include "LibRouting/RetryBudget.h"

#include <algorithm>

namespace pumiceturn::routing {

namespace {
constexpr double kRetryCost = 1.0;
}

void
RetryBudget::RecordFirstAttempt()
{
  available_ = std::min(available_ + limits_.share_, limits_.burst_);
}

bool
RetryBudget::TryConsume()
{
  if (available_ < kRetryCost) {
    return false;
  }
  available_ -= kRetryCost;
  return true;
}

} // namespace pumiceturn::routing
