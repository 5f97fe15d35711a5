#pragma once

#include "LibBase/Time.h"

#include <algorithm>

namespace pumiceturn::standin {

/// A token bucket that holds one second's worth. Not thread-safe.
class RateLimit
{
public:
  /// @param aPerSecond 0: no limit.
  void SetRate(double aPerSecond)
  {
    perSecond_ = aPerSecond;
    left_ = std::max(1.0, aPerSecond);
  }

  [[nodiscard]] bool TryTake(base::Instant aNow)
  {
    if (perSecond_ <= 0.0) {
      return true;
    }
    const std::chrono::duration<double> passed = aNow - last_;
    last_ = aNow;
    left_ =
      std::min(std::max(1.0, perSecond_), left_ + passed.count() * perSecond_);
    if (left_ < 1.0) {
      return false;
    }
    left_ -= 1.0;
    return true;
  }

private:
  double perSecond_ = 0.0;
  double left_ = 1.0;
  base::Instant last_;
};

} // namespace pumiceturn::standin
