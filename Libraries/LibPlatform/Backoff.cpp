#include "LibPlatform/Backoff.h"

#include <algorithm>

namespace pumiceturn::platform {

base::Duration
Backoff::Next(double aRandom)
{
  const base::Duration step = next_;
  next_ = std::min(step * 2, limits_.longest_);
  const auto half = static_cast<double>(step.count()) / 2.0;
  return base::Duration{ static_cast<base::Duration::rep>(half +
                                                          half * aRandom) };
}

} // namespace pumiceturn::platform
