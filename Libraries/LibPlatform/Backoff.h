#pragma once

#include "LibBase/Time.h"

namespace pumiceturn::platform {

/// Waits between attempts that double up to a limit, with jitter, so that hosts
/// that failed together do not come back together. Not thread-safe.
class Backoff
{
public:
  struct Limits
  {
    base::Duration first_{ base::Duration{ 100000 } };
    base::Duration longest_{ base::Duration{ 10000000 } };
  };

  explicit Backoff(Limits aLimits)
    : limits_(aLimits)
    , next_(aLimits.first_)
  {
  }

  /// @param aRandom Uniform in [0, 1).
  /// @return a wait between half of the present step and the whole of it.
  base::Duration Next(double aRandom);

  /// Begins again at the first step, after a success.
  void Reset() { next_ = limits_.first_; }

private:
  Limits limits_;
  base::Duration next_;
};

} // namespace pumiceturn::platform
