#pragma once

#include <boost/asio/io_context.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace pumiceturn::gateway {

/// Runs disk operations in order on a thread of their own, so that a slow or
/// hanging disk doesn't block the event thread.
class DiskThread
{
public:
  explicit DiskThread(boost::asio::io_context& aContext);
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;
  DiskThread(DiskThread&&) = delete;
  DiskThread& operator=(DiskThread&&) = delete;
  ~DiskThread();

  /// Queues a task.
  /// @param aRun    Runs on the disk thread.
  /// @param aOnDone Runs on the event thread after aRun; may be empty.
  void Post(std::function<void()> aRun, std::function<void()> aOnDone = {});

private:
  struct Task
  {
    std::function<void()> run_;
    std::function<void()> onDone_;
  };

  void Loop();

  boost::asio::io_context& context_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Task> tasks_; ///< Guarded by mutex_, like isStopping_.
  bool isStopping_ = false;
  std::thread thread_;
};

} // namespace pumiceturn::gateway
