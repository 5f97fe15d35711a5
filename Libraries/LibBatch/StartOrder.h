#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace pumiceturn::batch {

/// The due time of an item and its estimated remaining run time.
struct ItemUrgency
{
  base::Instant dueAt_;
  base::Duration remaining_{ 0 };

  /// @return the latest time at which the item can start and still be done in
  ///   time.
  [[nodiscard]] base::Instant LatestStart() const;

  /// @return whether the item would be done in time if it started now.
  [[nodiscard]] bool CanFinishInTime(base::Instant aNow) const
  {
    return LatestStart() >= aNow;
  }
};

/// An item that may start.
struct StartCandidate
{
  std::string job_;
  std::size_t item_ = 0;
  ItemUrgency urgency_;
  bool wasInterrupted_ = false; ///< Whether an earlier attempt was interrupted.
};

/// The capacity of a host to run items.
struct StartConditions
{
  base::Instant now_;
  /// Recent average number of concurrent attempts, as an estimate of the slots.
  double averageAttempts_ = 1.0;
  /// Total remaining run time of the running attempts.
  base::Duration runningWork_{ 0 };
};

/// Orders items for the next free slots:
///
/// 1. Interrupted items that can still be done in time. They go first so that
/// preemption doesn't leave many items started and few finished.
/// 2. Items that can be done in time together, by due time. Under overload the
/// earliest due items are deferred until the others can be done in time;
/// without this, each slot would run an item that misses its due time.
/// 3. Deferred items, then items that can no longer be done in time, by due
/// time.
[[nodiscard]] std::vector<StartCandidate>
OrderStarts(std::vector<StartCandidate> aCandidates,
            const StartConditions& aConditions);

/// @return whether an item should be preempted before another one: items that
///   can no longer be done in time first, since a delay costs least there, then
///   those with the latest possible start.
[[nodiscard]] bool
IsPreemptedBefore(const ItemUrgency& aOne,
                  const ItemUrgency& aOther,
                  base::Instant aNow);

} // namespace pumiceturn::batch
