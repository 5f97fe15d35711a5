#pragma once

#include "LibMetadata/StoreClient.h"
#include "LibMetadata/StoreHealth.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::metadata {

/// Keeps a copy of all keys below a prefix: reads them page by page, then
/// follows changes by watches, and reads anew where the store has dropped the
/// history. Calls are spaced out, since each one is counted and charged, so one
/// watch brings the changes of a whole interval. Belongs to the event thread.
class PrefixMirror
{
public:
  struct Options
  {
    std::string prefix_;
    base::Duration longestWatch_{ std::chrono::seconds{ 1 } };
    /// Pause after a watch that brought changes.
    base::Duration pause_{ std::chrono::milliseconds{ 250 } };
    /// Pause after a failed call.
    base::Duration retryPause_{ std::chrono::milliseconds{ 250 } };
  };

  /// Called for each key that appears, changes, or is removed.
  using ChangeHandler = std::function<void(const StoreItem&)>;

  PrefixMirror(boost::asio::io_context& aContext,
               StoreClient& aClient,
               StoreHealth& aHealth,
               Options aOptions,
               ChangeHandler aOnChange);

  void Start() { ReadPage({}); }

  /// Sets the pause after a watch that brought changes, from the next one on.
  void SetPause(base::Duration aPause) { options_.pause_ = aPause; }

  /// @return whether the prefix has been read once.
  [[nodiscard]] bool IsComplete() const { return complete_; }

private:
  void ReadPage(const std::string& aAfter);
  void OnPage(RangeReply aReply);
  void FinishReading();
  void Watch();
  void OnWatch(const WatchReply& aReply);
  void Apply(const StoreItem& aItem);
  void After(base::Duration aPause, void (PrefixMirror::*aStep)());
  void Restart() { ReadPage({}); }

  StoreClient& client_;
  StoreHealth& health_;
  Options options_;
  ChangeHandler onChange_;
  boost::asio::steady_timer timer_;
  std::unordered_map<std::string, std::uint64_t> revisions_;
  std::vector<StoreItem> pages_; ///< Read so far.
  std::optional<std::uint64_t> readRevision_;
  std::uint64_t followedRevision_ = 0;
  bool complete_ = false;
};

} // namespace pumiceturn::metadata
