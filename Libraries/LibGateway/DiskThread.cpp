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
    isEnding_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void
DiskThread::Run(std::function<void()> aWork, std::function<void()> aThen)
{
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back({ std::move(aWork), std::move(aThen) });
  }
  wake_.notify_one();
}

void
DiskThread::Loop()
{
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return isEnding_ || !jobs_.empty(); });
    if (jobs_.empty()) {
      return;
    }
    Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job.work_();
    if (job.then_) {
      boost::asio::post(context_, std::move(job.then_));
    }
    lock.lock();
  }
}

} // namespace pumiceturn::gateway
