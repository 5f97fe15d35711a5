#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::dispatch {

/// Sizes the headroom from recent online bursts: the most arrivals within the
/// time that a preemption takes, decaying as bursts stay away. What comes later
/// than that finds a place by preemption. An engine admits between two steps
/// only, so where a cancel reaches it within a step, a preemption costs an
/// online request nothing, and no place is kept free. Not thread-safe.
class BurstTracker
{
public:
  struct Options
  {
    base::Duration halfLife_{ std::chrono::seconds{ 10 } };
    double maxShare_ = 0.25; ///< Of the places; batch needs the rest.
  };

  explicit BurstTracker(Options aOptions)
    : options_(aOptions)
  {
  }

  void OnArrival(base::Instant aNow);

  /// @param aTime From the decision to the stream's reported end.
  void OnPreempted(base::Duration aTime, base::Instant aNow);

  /// @param aPlaces Requests that the engine runs at once.
  /// @param aStep   Time between two tokens of a stream.
  [[nodiscard]] std::uint32_t Headroom(std::uint32_t aPlaces,
                                       base::Duration aStep,
                                       base::Instant aNow) const;

private:
  [[nodiscard]] double DecayedPeak(base::Instant aNow) const;
  [[nodiscard]] double PreemptionTime(base::Instant aNow) const;

  Options options_;
  double preemptionTime_ = 0.0; ///< Microseconds; 0 before the first one.
  base::Instant lastPreemption_;
  base::Instant windowStart_;
  std::uint32_t inWindow_ = 0;
  double peak_ = 0.0;
  base::Instant peakTime_;
};

} // namespace pumiceturn::dispatch
