#pragma once

#include "LibDispatch/Run.h"

#include <cstdint>
#include <map>

namespace pumiceturn::dispatch {

/// Runs that wait for a place at the engine. Online runs are in order of
/// arrival, so that the wait estimated at admission holds; batch runs are
/// ordered by their latest start. Changes take O(log n). Not thread-safe.
class RunQueue
{
public:
  void PushOnline(Run& aRun);

  /// @param aLatestStart Due time minus the remaining run time.
  void PushBatch(Run& aRun, base::Instant aLatestStart);

  /// Removes a run from its queue.
  void Remove(Run& aRun);

  /// @return the next run, or null if the queue is empty.
  [[nodiscard]] Run* FirstOnline() const;
  [[nodiscard]] Run* FirstBatch() const;

  [[nodiscard]] std::uint32_t OnlineCount() const
  {
    return static_cast<std::uint32_t>(online_.size());
  }
  [[nodiscard]] std::uint32_t BatchCount() const
  {
    return static_cast<std::uint32_t>(batch_.size());
  }

private:
  std::uint64_t nextSequence_ = 1;
  std::map<std::uint64_t, Run*> online_;
  std::map<std::pair<base::Instant, std::uint64_t>, Run*> batch_;
};

} // namespace pumiceturn::dispatch
