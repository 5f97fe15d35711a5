#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace pumiceturn::standin {

/// Runs each connection of a server on a thread of its own. Threads are made
/// when first needed, up to a bound; connections beyond it wait. The library's
/// own pool starts all its threads at once. Thread-safe.
class GrowingThreadPool : public httplib::TaskQueue
{
public:
  explicit GrowingThreadPool(std::size_t aMaxThreads)
    : maxThreads_(aMaxThreads)
  {
  }

  void enqueue(std::function<void()> aTask) override;
  void shutdown() override;

private:
  void RunThread();

  const std::size_t maxThreads_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

} // namespace pumiceturn::standin
