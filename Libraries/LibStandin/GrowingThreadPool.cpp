#include "LibStandin/GrowingThreadPool.h"

namespace pumiceturn::standin {

void
GrowingThreadPool::enqueue(std::function<void()> aTask)
{
  const std::scoped_lock lock(mutex_);
  tasks_.push_back(std::move(aTask));
  if (tasks_.size() > idle_ && threads_.size() < maxThreads_) {
    threads_.emplace_back([this] { RunThread(); });
  }
  wake_.notify_one();
}

void
GrowingThreadPool::shutdown()
{
  std::vector<std::thread> threads;
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
    threads.swap(threads_);
  }
  wake_.notify_all();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void
GrowingThreadPool::RunThread()
{
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_;
    wake_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
    --idle_;
    if (tasks_.empty()) {
      return;
    }
    const std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

} // namespace pumiceturn::standin
