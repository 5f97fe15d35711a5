#pragma once

#include "LibBase/Time.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace pumiceturn::base {

/// Threads that run tasks in the order posted, and timers. Tasks take the locks
/// of the shared tables they work on; docs/ARCHITECTURE.md states the lock
/// order.
class WorkerPool
{
public:
  using Task = std::function<void()>;

  /// @param aThreads Number of threads, at least 1.
  explicit WorkerPool(std::size_t aThreads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Queues a task. After Stop() it is dropped.
  void Post(Task aTask);

  /// Queues a task to start no earlier than the time given.
  void PostAt(Instant aTime, Task aTask);

  /// Runs a task again and again, each start aInterval after the last one
  /// ended.
  void PostEvery(Duration aInterval, Task aTask);

  /// Ends the threads after the tasks now running. Queued tasks are dropped.
  void Stop();

private:
  void RunThread();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Task> ready_;
  std::multimap<Instant, Task> timers_;
  std::vector<std::thread> threads_;
  bool stopping_ = false;
};

} // namespace pumiceturn::base
