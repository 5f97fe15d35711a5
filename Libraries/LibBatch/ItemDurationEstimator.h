#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::batch {

/// Estimates the remaining run time of items from moving averages of the time
/// per event and the number of events per token. Not thread-safe.
class ItemDurationEstimator
{
public:
  /// Records the duration of an attempt and the number of events that it
  /// produced. Short attempts are ignored.
  void RecordAttempt(std::uint64_t aEventCount, base::Duration aDuration);

  /// Records the total number of events of a completed item.
  /// @param aTokens Prompt tokens plus maximum output tokens.
  void RecordCompleted(std::uint64_t aTokens, std::uint64_t aEventCount);

  /// @param aLastEvent Number of events that the item has already produced.
  /// @return the estimated remaining run time of an item; zero if nothing has
  ///   been recorded.
  [[nodiscard]] base::Duration EstimateRemaining(
    std::uint64_t aTokens,
    std::uint64_t aLastEvent) const;

private:
  struct Average
  {
    double value_ = 0.0;
    std::uint32_t samples_ = 0;

    void Add(double aSample);
  };

  Average secondsPerEvent_;
  Average eventsPerToken_;
};

} // namespace pumiceturn::batch
