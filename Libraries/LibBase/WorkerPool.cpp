#include "LibBase/WorkerPool.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::base {

WorkerPool::WorkerPool(std::size_t aThreads)
{
  const std::size_t count = std::max<std::size_t>(aThreads, 1);
  threads_.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    threads_.emplace_back([this] { RunThread(); });
  }
}

WorkerPool::~WorkerPool()
{
  Stop();
}

void
WorkerPool::Post(Task aTask)
{
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    ready_.push_back(std::move(aTask));
  }
  wake_.notify_one();
}

void
WorkerPool::PostAt(Instant aTime, Task aTask)
{
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    timers_.emplace(aTime, std::move(aTask));
  }
  wake_.notify_one();
}

void
WorkerPool::PostEvery(Duration aInterval, Task aTask)
{
  PostAt(MonotonicNow() + aInterval,
         [this, aInterval, task = std::move(aTask)] {
           task();
           PostEvery(aInterval, task);
         });
}

void
WorkerPool::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void
WorkerPool::RunThread()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (!timers_.empty() && timers_.begin()->first <= MonotonicNow()) {
      ready_.push_back(std::move(timers_.begin()->second));
      timers_.erase(timers_.begin());
    }
    if (!ready_.empty()) {
      Task task = std::move(ready_.front());
      ready_.pop_front();
      lock.unlock();
      task();
      // A captured object's destructor may post again, so it runs unlocked.
      task = nullptr;
      lock.lock();
      continue;
    }
    if (timers_.empty()) {
      wake_.wait(lock);
    } else {
      const Instant next = timers_.begin()->first;
      wake_.wait_until(lock, next);
    }
  }
}

} // namespace pumiceturn::base
