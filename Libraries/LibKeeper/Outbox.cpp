#include "LibKeeper/Outbox.h"

#include <utility>

namespace pumiceturn::keeper {

void
Outbox::Add(Action aAction)
{
  const std::lock_guard lock(mutex_);
  actions_.push_back(std::move(aAction));
}

void
Outbox::Run()
{
  std::unique_lock lock(mutex_);
  if (running_) {
    return;
  }
  running_ = true;
  while (!actions_.empty()) {
    Action action = std::move(actions_.front());
    actions_.pop_front();
    lock.unlock();
    action();
    // Destructors of captured objects may call back, so they run unlocked.
    action = nullptr;
    lock.lock();
  }
  running_ = false;
}

} // namespace pumiceturn::keeper
