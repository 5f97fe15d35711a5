#pragma once

#include <deque>
#include <functional>
#include <mutex>

namespace pumiceturn::keeper {

/// Queue of actions that are added while the job service's lock is held and run
/// after it is released, in the order added. So appends reach the log in the
/// order of the decisions, and an action may call the job service. Thread-safe.
class Outbox
{
public:
  using Action = std::function<void()>;

  void Add(Action aAction);

  /// Runs queued actions until the queue is empty. Returns at once when another
  /// thread or an outer call already runs them; that call runs all actions.
  void Run();

private:
  std::mutex mutex_;
  std::deque<Action> actions_;
  bool running_ = false;
};

} // namespace pumiceturn::keeper
