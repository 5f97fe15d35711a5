#include "LibRouting/Backoff.h"

#include <algorithm>

namespace pumiceturn::routing {

base::Duration
Backoff::Delay(std::uint32_t aRetry, std::uint64_t aRandom) const
{
  constexpr std::uint32_t kMostDoublings = 20;
  const std::uint32_t doublings = std::min(aRetry, kMostDoublings);
  const base::Duration whole =
    std::min(base_ * (std::int64_t{ 1 } << doublings), longest_);
  const auto half = static_cast<std::uint64_t>(whole.count()) / 2;
  return base::Duration{ static_cast<std::int64_t>(half +
                                                   (aRandom % (half + 1))) };
}

} // namespace pumiceturn::routing
