#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::dispatch {

/// Computes the headroom for online requests from recent bursts: the largest
/// number of arrivals within the duration of one preemption, decaying over
/// time. Requests that arrive after that time get the places of batch streams
/// that have been preempted meanwhile. An engine admits
/// requests only between two decoding steps, so no headroom is needed if a
/// cancel reaches it within one step. Not thread-safe.
class BurstTracker
{
public:
  struct Options
  {
    base::Duration halfLife_{ std::chrono::seconds{ 10 } };
    /// Maximum headroom as a share of all places; batch needs the rest.
    double maxShare_ = 0.25;
  };

  explicit BurstTracker(Options aOptions)
    : options_(aOptions)
  {
  }

  void OnArrival(base::Instant aNow);

  /// @param aLatency Time from the preemption decision to the reported end of
  /// the stream.
  void OnPreempted(base::Duration aLatency, base::Instant aNow);

  /// @param aPlaces Number of requests that the engine runs concurrently.
  /// @param aStep   Time between two tokens of a stream.
  /// @return the number of places to keep free of batch.
  [[nodiscard]] std::uint32_t Headroom(std::uint32_t aPlaces,
                                       base::Duration aStep,
                                       base::Instant aNow) const;

private:
  [[nodiscard]] double DecayedPeak(base::Instant aNow) const;
  [[nodiscard]] double PreemptionLatency(base::Instant aNow) const;

  Options options_;
  /// Microseconds; 0 before the first preemption.
  double preemptionLatency_ = 0.0;
  base::Instant lastPreemption_;
  base::Instant windowStart_;
  std::uint32_t windowArrivals_ = 0;
  double peak_ = 0.0;
  base::Instant peakAt_;
};

} // namespace pumiceturn::dispatch
