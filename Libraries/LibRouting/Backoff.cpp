#include "LibRouting/Backoff.h"

#include <algorithm>

namespace pumiceturn::routing {

base::Duration
Backoff::Delay(std::uint32_t aRetry, std::uint64_t aRandom) const
{
  constexpr std::uint32_t kMaxDoublings = 20;
  const std::uint32_t doublings = std::min(aRetry, kMaxDoublings);
  const base::Duration delay =
    std::min(base_ * (std::int64_t{ 1 } << doublings), max_);
  const auto halfDelay = static_cast<std::uint64_t>(delay.count()) / 2;
  return base::Duration{ static_cast<std::int64_t>(
    halfDelay + (aRandom % (halfDelay + 1))) };
}

} // namespace pumiceturn::routing
