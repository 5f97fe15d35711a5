#pragma once

#include "LibBase/Time.h"

namespace pumiceturn::platform {

/// Limits a host's calls to the platform, whose rates are counted for the whole
/// fleet: a token bucket. Not thread-safe.
class CallBudget
{
public:
  struct Limits
  {
    double callsPerSecond_ = 5.0;
    double burst_ = 10.0; ///< Calls that may be saved up.
  };

  CallBudget(Limits aLimits, base::Instant aNow)
    : limits_(aLimits)
    , saved_(aLimits.burst_)
    , refilledAt_(aNow)
  {
  }

  /// Takes one call from what is saved.
  /// @return false if nothing is left; the caller then must not call.
  [[nodiscard]] bool TryTake(base::Instant aNow);

  /// @return time until one call is saved again; zero if one is.
  [[nodiscard]] base::Duration UntilNext(base::Instant aNow) const;

private:
  [[nodiscard]] double SavedAt(base::Instant aNow) const;

  Limits limits_;
  double saved_;
  base::Instant refilledAt_;
};

} // namespace pumiceturn::platform
