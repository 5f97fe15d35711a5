#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::routing {

/// Exponential backoff with jitter, which spreads out the retries of requests
/// that failed together.
struct Backoff
{
  base::Duration base_{ std::chrono::milliseconds{ 20 } };
  base::Duration max_{ std::chrono::seconds{ 1 } };

  /// @param aRetry Number of earlier retries; 0 for the first.
  /// @param aRandom 64 uniform random bits.
  /// @return a delay between d/2 and d, where d is base_ * 2^aRetry but at most
  /// max_.
  [[nodiscard]] base::Duration Delay(std::uint32_t aRetry,
                                     std::uint64_t aRandom) const;
};

} // namespace pumiceturn::routing
