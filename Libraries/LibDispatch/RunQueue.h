#pragma once

#include "LibDispatch/Run.h"

#include <cstdint>
#include <map>

namespace pumiceturn::dispatch {

/// Runs that wait for room at the engine: online in order of arrival, so that
/// the wait promised at admission holds; batch by least laxity. Each change
/// costs O(log n). Not thread-safe.
class RunQueue
{
public:
  void PushOnline(Run& aRun);

  /// @param aLatestStart Due time less the work that remains.
  void PushBatch(Run& aRun, base::Instant aLatestStart);

  /// Takes a run out from wherever it waits.
  void Remove(Run& aRun);

  /// @return null when none waits.
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
  std::uint64_t nextTicket_ = 1;
  std::map<std::uint64_t, Run*> online_;
  std::map<std::pair<base::Instant, std::uint64_t>, Run*> batch_;
};

} // namespace pumiceturn::dispatch
