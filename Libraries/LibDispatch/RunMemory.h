#pragma once

#include "LibWire/Messages.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace pumiceturn::dispatch {

/// What is remembered of runs that are over, so that a message that comes twice
/// or late gets the same answer and starts nothing. Bounded: the oldest are
/// forgotten first. Not thread-safe.
class RunMemory
{
public:
  static constexpr std::size_t kMaxEnded = 8192;
  static constexpr std::size_t kMaxItems = 65536;

  /// Remembers how a run ended; the first end stays.
  void Remember(const wire::RunEnded& aEnded);

  /// @return null if nothing is remembered.
  [[nodiscard]] const wire::RunEnded* Find(const wire::RunId& aRun) const;

  /// Remembers that an item of a non-idempotent kind may have run.
  void RememberItem(const wire::RunId& aRun);

  /// Takes that back for a run that certainly did not reach the endpoint.
  void ForgetItem(const wire::RunId& aRun);

  /// @return whether any attempt at the item may have run here.
  [[nodiscard]] bool HasItem(const wire::RunId& aRun) const;

private:
  std::unordered_map<wire::RunId, wire::RunEnded> ended_;
  std::deque<wire::RunId> endedOrder_;
  std::unordered_set<wire::RunId> items_;
  std::deque<wire::RunId> itemOrder_;
};

} // namespace pumiceturn::dispatch
