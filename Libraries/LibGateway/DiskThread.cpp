#include "LibGateway/DiskThread.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace pumiceturn::gateway {

DiskThread::DiskThread(boost::asio::io_context& aContext)
  : context_(aContext)
  , thread_([this] { Loop(); })
{
}

DiskThread::~DiskThread()
{
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void
DiskThread::Post(std::function<void()> aRun, std::function<void()> aOnDone)
{
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back({ std::move(aRun), std::move(aOnDone) });
  }
  wake_.notify_one();
}

void
DiskThread::Loop()
{
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return isStopping_ || !tasks_.empty(); });
    if (tasks_.empty()) {
      return;
    }
    Task task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task.run_();
    if (task.onDone_) {
      boost::asio::post(context_, std::move(task.onDone_));
    }
    lock.lock();
  }
}

} // namespace pumiceturn::gateway
