#include "FakeKeyValue.h"

namespace pumiceturn::joblog {

using base::ResultCode;
using platform::KeyValue;

partition::KeyValueAccess
FakeKeyValue::Access()
{
  partition::KeyValueAccess access;
  access.get_ =
    [this](std::string_view aKey) -> base::Result<std::optional<KeyValue>> {
    const std::lock_guard lock(mutex_);
    ++calls_;
    if (isDown_) {
      return base::Fail(ResultCode::PlatformUnavailable);
    }
    const auto entry = entries_.find(std::string(aKey));
    return entry == entries_.end() ? std::optional<KeyValue>{}
                                   : std::optional<KeyValue>(entry->second);
  };
  access.range_ =
    [this](std::string_view aPrefix) -> base::Result<platform::RangeReply> {
    const std::lock_guard lock(mutex_);
    ++calls_;
    if (isDown_) {
      return base::Fail(ResultCode::PlatformUnavailable);
    }
    platform::RangeReply reply;
    reply.revision_ = revision_;
    for (const auto& [key, entry] : entries_) {
      if (key.starts_with(aPrefix)) {
        reply.entries_.push_back(entry);
      }
    }
    return reply;
  };
  access.compareAndSwap_ = [this](const std::vector<platform::Swap>& aSwaps) {
    return Swap(aSwaps);
  };
  access.watch_ =
    [this](std::string aPrefix,
           std::uint64_t aAfterRevision,
           const std::function<void(const platform::WatchEvent&)>& aHandler,
           const std::function<void()>&) {
      std::vector<KeyValue> missed;
      {
        const std::lock_guard lock(mutex_);
        ++calls_;
        for (const auto& [key, entry] : entries_) {
          if (key.starts_with(aPrefix) && entry.modRevision_ > aAfterRevision) {
            missed.push_back(entry);
          }
        }
        watchers_.push_back(Watcher{ std::move(aPrefix), aHandler });
      }
      for (const KeyValue& entry : missed) {
        aHandler(platform::WatchEvent{ entry, false });
      }
    };
  return access;
}

base::Result<std::uint64_t>
FakeKeyValue::Swap(const std::vector<platform::Swap>& aSwaps)
{
  std::vector<KeyValue> changed;
  std::uint64_t revision = 0;
  bool isLost = false;
  {
    const std::lock_guard lock(mutex_);
    ++calls_;
    if (isDown_) {
      return base::Fail(ResultCode::PlatformOutcomeUnknown);
    }
    for (const platform::Swap& swap : aSwaps) {
      const auto entry = entries_.find(swap.key_);
      const std::uint64_t current =
        entry == entries_.end() ? 0 : entry->second.modRevision_;
      if (current != swap.expectedRevision_) {
        return base::Fail(ResultCode::PlatformConflict);
      }
    }
    ++swaps_;
    revision = ++revision_;
    for (const platform::Swap& swap : aSwaps) {
      entries_[swap.key_] = KeyValue{ swap.key_, swap.value_, revision };
      changed.push_back(entries_[swap.key_]);
      swappedBytes_ += swap.key_.size() + swap.value_.size();
    }
    if (answersToLose_ > 0) {
      --answersToLose_;
      isLost = true;
    }
  }
  Notify(changed);
  if (isLost) {
    return base::Fail(ResultCode::PlatformOutcomeUnknown);
  }
  return revision;
}

void
FakeKeyValue::Notify(const std::vector<KeyValue>& aChanged)
{
  std::vector<Watcher> watchers;
  {
    const std::lock_guard lock(mutex_);
    watchers = watchers_;
  }
  for (const KeyValue& entry : aChanged) {
    for (const Watcher& watcher : watchers) {
      if (entry.key_.starts_with(watcher.prefix_)) {
        watcher.handler_(platform::WatchEvent{ entry, false });
      }
    }
  }
}

void
FakeKeyValue::SetDown(bool aDown)
{
  const std::lock_guard lock(mutex_);
  isDown_ = aDown;
}

void
FakeKeyValue::LoseAnswers(std::uint32_t aCount)
{
  const std::lock_guard lock(mutex_);
  answersToLose_ = aCount;
}

std::uint64_t
FakeKeyValue::CallCount() const
{
  const std::lock_guard lock(mutex_);
  return calls_;
}

std::uint64_t
FakeKeyValue::SwapCount() const
{
  const std::lock_guard lock(mutex_);
  return swaps_;
}

std::uint64_t
FakeKeyValue::SwappedBytes() const
{
  const std::lock_guard lock(mutex_);
  return swappedBytes_;
}

} // namespace pumiceturn::joblog
