#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::batch {

/// How long items run, as this host has seen: the time between two events, and
/// how many events an item of a size makes. Averages that forget, so that they
/// follow engines that slow down as they fill up. Takes times as arguments, is
/// not thread-safe.
class ItemPace
{
public:
  /// Records a run that made events.
  void RecordRun(std::uint64_t aEvents, base::Duration aDuration);

  /// Records the whole length of an item.
  /// @param aTokens Of its prompt and its longest output.
  void RecordCompleted(std::uint64_t aTokens, std::uint64_t aEvents);

  /// @return how long an item still runs; zero as long as nothing is known.
  [[nodiscard]] base::Duration Remaining(std::uint64_t aTokens,
                                         std::uint64_t aLastEvent) const;

private:
  struct Average
  {
    double value_ = 0.0;
    std::uint32_t samples_ = 0;

    void Add(double aSample);
  };

  Average secondsAnEvent_;
  Average eventsAToken_;
};

} // namespace pumiceturn::batch
