#pragma once

#include "LibBase/WorkerPool.h"

#include <deque>
#include <memory>
#include <mutex>

namespace pumiceturn::base {

/// Runs tasks on a worker pool one at a time, in the order posted. Thread-safe.
class Strand
{
public:
  /// @param aPool Outlives the strand's last task.
  explicit Strand(WorkerPool& aPool);

  void Post(WorkerPool::Task aTask);

private:
  /// Shared with the pool's tasks, so that a strand may go before they run.
  struct Queue
  {
    std::mutex mutex_;
    std::deque<WorkerPool::Task> tasks_;
    bool running_ = false;
  };

  static void RunBatch(WorkerPool& aPool, const std::shared_ptr<Queue>& aQueue);

  WorkerPool& pool_;
  std::shared_ptr<Queue> queue_;
};

} // namespace pumiceturn::base
