#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::dispatch {

/// Sizes the headroom from recent online bursts: the most arrivals within the
/// time that a preemption takes, decaying as bursts stay away. What comes
/// later than that finds a place by preemption. Not thread-safe.
class BurstTracker
{
public:
  struct Options
  {
    base::Duration window_{ std::chrono::milliseconds{ 50 } };
    base::Duration halfLife_{ std::chrono::seconds{ 10 } };
    double maxShare_ = 0.125; ///< Of the places; batch needs the rest.
  };

  explicit BurstTracker(Options aOptions)
    : options_(aOptions)
  {
  }

  void OnArrival(base::Instant aNow);

  /// @param aPlaces Requests that the engine runs at once.
  [[nodiscard]] std::uint32_t Headroom(std::uint32_t aPlaces,
                                       base::Instant aNow) const;

private:
  [[nodiscard]] double DecayedPeak(base::Instant aNow) const;

  Options options_;
  base::Instant windowStart_;
  std::uint32_t inWindow_ = 0;
  double peak_ = 0.0;
  base::Instant peakTime_;
};

} // namespace pumiceturn::dispatch
