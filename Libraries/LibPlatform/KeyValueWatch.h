#pragma once

#include "LibBase/Result.h"
#include "LibPlatform/Backoff.h"
#include "LibPlatform/Gateway.h"

#include <httplib.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace pumiceturn::platform {

/// One watch on a prefix with a thread of its own. A stream that ends is armed
/// again from the last revision seen, so an outage loses no change.
class KeyValueWatch
{
public:
  struct Options
  {
    std::vector<std::string> addresses_;
    std::string prefix_;
    std::uint64_t afterRevision_ = 0;
    base::Duration connectTimeout_{ base::Duration{ 2000000 } };
    /// Longest silence. A stream can go dead without an error, where something
    /// between the ends forgot the connection; arming again finds what it hid.
    base::Duration longestSilence_{ base::Duration{ 60000000 } };
    Backoff::Limits backoff_;
  };

  struct Handlers
  {
    std::function<void(const WatchEvent&)> changed_;
    std::function<void()> broken_;
    /// Takes a call from the budget. @return the wait until one is left, or
    /// zero.
    std::function<base::Duration()> takeCall_;
  };

  KeyValueWatch(Options aOptions, Handlers aHandlers);
  ~KeyValueWatch();
  KeyValueWatch(const KeyValueWatch&) = delete;
  KeyValueWatch& operator=(const KeyValueWatch&) = delete;

  /// Ends the thread; no handler is called afterwards. Not from a handler.
  void Stop();

private:
  void RunThread();
  void Stream(httplib::Client& aClient);
  bool TakeBytes(std::string& aBuffer, std::string_view aBytes);
  bool TakeLine(std::string_view aLine);
  bool TakeReply(const gateway::WatchReply& aReply);
  bool WaitFor(base::Duration aWait);
  void WaitForBudget();

  Options options_;
  Handlers handlers_;
  Backoff backoff_;
  std::minstd_rand random_;
  std::uint64_t seenRevision_;
  std::size_t nextAddress_ = 0;

  std::mutex mutex_;
  std::condition_variable wake_;
  std::shared_ptr<httplib::Client> client_; ///< The stream open now.
  bool stopping_ = false;
  bool ended_ = false;
  std::thread thread_;
};

} // namespace pumiceturn::platform
