#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::routing {

/// Exponential backoff with jitter, so that requests which failed together do
/// not come back together.
struct Backoff
{
  base::Duration base_{ std::chrono::milliseconds{ 20 } };
  base::Duration longest_{ std::chrono::seconds{ 1 } };

  /// @param aRetry  Counts from 0.
  /// @param aRandom Uniform 64 random bits.
  /// @return between half and the whole of base * 2^retry, at most longest.
  [[nodiscard]] base::Duration Delay(std::uint32_t aRetry,
                                     std::uint64_t aRandom) const;
};

} // namespace pumiceturn::routing
