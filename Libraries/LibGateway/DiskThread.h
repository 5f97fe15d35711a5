#pragma once

#include <boost/asio/io_context.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace pumiceturn::gateway {

/// Runs work that waits for the disk, one after the other, so that a disk that
/// is slow or hangs doesn't hold up the event thread.
class DiskThread
{
public:
  explicit DiskThread(boost::asio::io_context& aContext);
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;
  DiskThread(DiskThread&&) = delete;
  DiskThread& operator=(DiskThread&&) = delete;
  ~DiskThread();

  /// Runs work on the disk's thread and then, where there is one, its follow-up
  /// on the event thread.
  void Run(std::function<void()> aWork, std::function<void()> aThen = {});

private:
  struct Job
  {
    std::function<void()> work_;
    std::function<void()> then_;
  };

  void Loop();

  boost::asio::io_context& context_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_; ///< Guarded by the mutex, as is isEnding_.
  bool isEnding_ = false;
  std::thread thread_;
};

} // namespace pumiceturn::gateway
