#include "LibBase/Strand.h"

#include <utility>

namespace pumiceturn::base {

namespace {

/// Tasks run before the pool's thread is offered to other strands.
constexpr int kTasksInOneTurn = 32;

} // namespace

Strand::Strand(WorkerPool& aPool)
  : pool_(aPool)
  , queue_(std::make_shared<Queue>())
{
}

void
Strand::Post(WorkerPool::Task aTask)
{
  {
    const std::lock_guard lock(queue_->mutex_);
    queue_->tasks_.push_back(std::move(aTask));
    if (queue_->running_) {
      return;
    }
    queue_->running_ = true;
  }
  pool_.Post([&pool = pool_, queue = queue_] { RunBatch(pool, queue); });
}

void
Strand::RunBatch(WorkerPool& aPool, const std::shared_ptr<Queue>& aQueue)
{
  for (int count = 0; count < kTasksInOneTurn; ++count) {
    WorkerPool::Task task;
    {
      const std::lock_guard lock(aQueue->mutex_);
      if (aQueue->tasks_.empty()) {
        aQueue->running_ = false;
        return;
      }
      task = std::move(aQueue->tasks_.front());
      aQueue->tasks_.pop_front();
    }
    task();
  }
  aPool.Post([&aPool, aQueue] { RunBatch(aPool, aQueue); });
}

} // namespace pumiceturn::base
