#pragma once

#include <deque>
#include <functional>
#include <mutex>

namespace pumiceturn::keeper {

/// Calls to other parts that were decided with the keeper's lock held, and are
/// made without it, in the order decided. So appends reach the log in the order
/// of the decisions, and a callee may call back at once. Thread-safe.
class Outbox
{
public:
  using Action = std::function<void()>;

  void Add(Action aAction);

  /// Runs what was added, until nothing is left. Where another thread, or a
  /// caller further up, does so already, that one runs it all.
  void Drain();

private:
  std::mutex mutex_;
  std::deque<Action> actions_;
  bool draining_ = false;
};

} // namespace pumiceturn::keeper
