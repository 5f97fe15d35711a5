#pragma once

#include "LibWire/Messages.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace pumiceturn::dispatch {

/// Remembers how runs ended, so that duplicate or late messages get the same
/// RunEnded and start nothing. Also remembers which non-idempotent items may
/// have run.
/// Bounded; evicts the oldest entries first. Not thread-safe.
class RunHistory
{
public:
  static constexpr std::size_t kMaxEnded = 8192;
  static constexpr std::size_t kMaxItems = 65536;

  /// Records how a run ended; a second end of the same run is ignored.
  void RecordEnd(const wire::RunEnded& aEnded);

  /// @return the recorded end, or null.
  [[nodiscard]] const wire::RunEnded* Find(const wire::RunId& aRun) const;

  /// Records that a non-idempotent item may have run.
  void AddItemThatMayHaveRun(const wire::RunId& aRun);

  /// Removes the record of an item that did not reach the endpoint.
  void RemoveItemThatDidNotRun(const wire::RunId& aRun);

  /// @return whether any attempt at the item may have run here.
  [[nodiscard]] bool MayHaveRun(const wire::RunId& aRun) const;

private:
  std::unordered_map<wire::RunId, wire::RunEnded> ended_;
  std::deque<wire::RunId> endedOrder_;
  std::unordered_set<wire::RunId> items_;
  std::deque<wire::RunId> itemOrder_;
};

} // namespace pumiceturn::dispatch
