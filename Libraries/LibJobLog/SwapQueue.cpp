#include "LibJobLog/SwapQueue.h"

#include "LibJobLog/Events.h"
#include "LibPartition/PartitionCodec.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::joblog {

using base::ResultCode;
using partition::PartitionRecord;

SwapQueue::SwapQueue(const LogOptions& aOptions,
                     LogPorts aPorts,
                     Resolved aResolved)
  : options_(aOptions)
  , ports_(std::move(aPorts))
  , resolved_(std::move(aResolved))
  , retryDelay_(aOptions.retryDelay_)
{
}

void
SwapQueue::Add(const PartitionRecord& aRecord)
{
  {
    const std::lock_guard lock(mutex_);
    waiting_[aRecord.partition_] = aRecord;
    if (std::exchange(isPosted_, true)) {
      return;
    }
  }
  PostFlush(options_.swapDelay_);
}

void
SwapQueue::Stop()
{
  stopped_ = true;
}

void
SwapQueue::PostFlush(base::Duration aDelay)
{
  ports_.pool_.PostAt(base::MonotonicNow() + aDelay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Flush();
    }
  });
}

/// Makes one call. isPosted_ stays set until nothing waits, so that calls never
/// overlap.
void
SwapQueue::Flush()
{
  if (stopped_) {
    return;
  }
  const Records records = Take();
  bool isAnswered = true;
  if (!records.empty()) {
    const auto outcome = base::Capture([&] { return Call(records); });
    if (const auto* revision = std::get_if<std::uint64_t>(&outcome)) {
      for (const PartitionRecord& record : records) {
        resolved_(record.partition_, SwapApplied{ record.writeId_, *revision });
      }
    } else if (std::get<base::Failure>(outcome).code_ ==
               ResultCode::PlatformConflict) {
      isAnswered = ResolveConflict(records);
    } else {
      isAnswered = false;
      GiveBack(records);
    }
  }
  base::Duration delay = options_.swapDelay_;
  {
    const std::lock_guard lock(mutex_);
    if (waiting_.empty()) {
      isPosted_ = false;
      retryDelay_ = options_.retryDelay_;
      return;
    }
    if (isAnswered) {
      retryDelay_ = options_.retryDelay_;
    } else {
      delay = retryDelay_;
      retryDelay_ = std::min(2 * retryDelay_, options_.retryDelayMax_);
    }
  }
  PostFlush(delay);
}

SwapQueue::Records
SwapQueue::Take()
{
  const std::lock_guard lock(mutex_);
  Records records;
  while (!waiting_.empty() && records.size() < kMaxSwapsPerCall) {
    records.push_back(std::move(waiting_.begin()->second));
    waiting_.erase(waiting_.begin());
  }
  return records;
}

void
SwapQueue::GiveBack(const Records& aRecords)
{
  const std::lock_guard lock(mutex_);
  for (const PartitionRecord& record : aRecords) {
    waiting_.try_emplace(record.partition_, record);
  }
}

base::Result<std::uint64_t>
SwapQueue::Call(const Records& aRecords)
{
  std::vector<platform::Swap> swaps;
  swaps.reserve(aRecords.size());
  for (const PartitionRecord& record : aRecords) {
    swaps.push_back(platform::Swap{
      partition::PartitionKey(options_.keyPrefix_, record.partition_),
      partition::EncodePartitionRecord(record),
      record.modRevision_ });
  }
  return ports_.keyValue_.compareAndSwap_(swaps);
}

/// Finds out which record of a refused call met a conflict. The others wait
/// for the next call.
/// @return false if the records could not be read.
bool
SwapQueue::ResolveConflict(const Records& aRecords)
{
  const auto outcome = base::Capture([&] { return ReadCurrent(aRecords); });
  if (std::holds_alternative<base::Failure>(outcome)) {
    GiveBack(aRecords);
    return false;
  }
  const auto& current = std::get<0>(outcome);
  for (const PartitionRecord& record : aRecords) {
    const auto found = current.find(record.partition_);
    const PartitionRecord held =
      found == current.end() ? PartitionRecord{} : found->second;
    if (held.writeId_ == record.writeId_) {
      resolved_(record.partition_,
                SwapApplied{ record.writeId_, held.modRevision_ });
    } else if (held.modRevision_ == record.modRevision_) {
      GiveBack({ record });
    } else {
      resolved_(record.partition_, SwapRefused{ record.writeId_, held });
    }
  }
  return true;
}

base::Result<std::map<std::uint32_t, PartitionRecord>>
SwapQueue::ReadCurrent(const Records& aRecords)
{
  std::vector<platform::KeyValue> entries;
  if (aRecords.size() == 1) {
    BOOST_LEAF_AUTO(entry,
                    ports_.keyValue_.get_(partition::PartitionKey(
                      options_.keyPrefix_, aRecords.front().partition_)));
    if (entry) {
      entries.push_back(std::move(*entry));
    }
  } else {
    BOOST_LEAF_AUTO(
      reply,
      ports_.keyValue_.range_(partition::PartitionPrefix(options_.keyPrefix_)));
    entries = std::move(reply.entries_);
  }
  std::map<std::uint32_t, PartitionRecord> records;
  for (const platform::KeyValue& entry : entries) {
    BOOST_LEAF_AUTO(
      record, partition::ParsePartitionRecord(options_.keyPrefix_, entry));
    records[record.partition_] = std::move(record);
  }
  return records;
}

} // namespace pumiceturn::joblog
