#include "LibWire/SendQueues.h"

#include "LibWire/MessageCodec.h"

#include <utility>

namespace pumiceturn::wire {

SendQueues::SendQueues(std::size_t aMaxBytes, std::function<void()> aWake)
  : maxBytes_(aMaxBytes)
  , wake_(std::move(aWake))
{
}

ResultCode
SendQueues::Push(std::string_view aPeer, Message aMessage)
{
  const std::size_t bytes = ApproximateSize(aMessage);
  {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(aPeer);
    if (found == entries_.end() || !found->second.up_) {
      return ResultCode::Disconnected;
    }
    Entry& entry = found->second;
    if (entry.bytes_ + bytes > maxBytes_) {
      return ResultCode::BudgetExhausted;
    }
    entry.bytes_ += bytes;
    entry.queue_.push_back(std::move(aMessage));
    if (entry.ready_) {
      return ResultCode::Ok;
    }
    entry.ready_ = true;
    ready_.push_back(found->first);
    if (ready_.size() > 1) {
      return ResultCode::Ok;
    }
  }
  wake_();
  return ResultCode::Ok;
}

void
SendQueues::Open(const std::string& aPeer)
{
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[aPeer];
  entry.up_ = true;
  ++entry.epoch_;
  entry.bytes_ = 0;
  entry.queue_.clear();
}

void
SendQueues::Close(const std::string& aPeer)
{
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[aPeer];
  entry.up_ = false;
  ++entry.epoch_;
  entry.bytes_ = 0;
  entry.queue_.clear();
}

std::vector<std::string>
SendQueues::TakeReady()
{
  const std::lock_guard lock(mutex_);
  for (const std::string& peer : ready_) {
    entries_[peer].ready_ = false;
  }
  return std::exchange(ready_, {});
}

SendQueues::Batch
SendQueues::Take(std::string_view aPeer, std::size_t aMaxBytes)
{
  Batch batch;
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(aPeer);
  if (found == entries_.end()) {
    return batch;
  }
  Entry& entry = found->second;
  batch.epoch_ = entry.epoch_;
  while (!entry.queue_.empty()) {
    const std::size_t bytes = ApproximateSize(entry.queue_.front());
    if (!batch.messages_.empty() && batch.bytes_ + bytes > aMaxBytes) {
      break;
    }
    batch.bytes_ += bytes;
    batch.messages_.push_back(std::move(entry.queue_.front()));
    entry.queue_.pop_front();
  }
  return batch;
}

void
SendQueues::Release(std::string_view aPeer,
                    std::uint64_t aEpoch,
                    std::size_t aBytes)
{
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(aPeer);
  if (found != entries_.end() && found->second.epoch_ == aEpoch) {
    found->second.bytes_ -= aBytes;
  }
}

void
SendQueues::RecordHeard(const std::string& aPeer, base::Instant aNow)
{
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[aPeer];
  entry.heard_ = true;
  entry.lastHeard_ = aNow;
}

bool
SendQueues::IsUp(std::string_view aPeer) const
{
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(aPeer);
  return found != entries_.end() && found->second.up_;
}

base::Duration
SendQueues::SinceHeard(std::string_view aPeer, base::Instant aNow) const
{
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(aPeer);
  if (found == entries_.end() || !found->second.heard_) {
    return base::Duration::max();
  }
  return aNow - found->second.lastHeard_;
}

std::vector<std::string>
SendQueues::UpPeers() const
{
  std::vector<std::string> peers;
  const std::lock_guard lock(mutex_);
  for (const auto& [peer, entry] : entries_) {
    if (entry.up_) {
      peers.push_back(peer);
    }
  }
  return peers;
}

} // namespace pumiceturn::wire
