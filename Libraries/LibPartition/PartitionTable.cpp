#include "LibPartition/PartitionTable.h"

#include <mutex>
#include <unordered_map>

namespace pumiceturn::partition {

struct PartitionTable::State
{
  mutable std::mutex mutex_;
  std::uint32_t count_ = 0;
  std::vector<PartitionRecord> records_; ///< By partition; epoch 0: unknown.
  std::unordered_map<std::uint32_t, std::string> hints_;
};

PartitionTable::PartitionTable()
  : state_(std::make_unique<State>())
{
}

PartitionTable::~PartitionTable() = default;

std::uint32_t
PartitionTable::Count() const
{
  const std::lock_guard lock(state_->mutex_);
  return state_->count_;
}

void
PartitionTable::SetCount(std::uint32_t aCount)
{
  const std::lock_guard lock(state_->mutex_);
  state_->count_ = aCount;
}

std::string
PartitionTable::OwnerOf(std::uint32_t aPartition) const
{
  const std::lock_guard lock(state_->mutex_);
  if (const auto hint = state_->hints_.find(aPartition);
      hint != state_->hints_.end()) {
    return hint->second;
  }
  if (aPartition >= state_->records_.size()) {
    return {};
  }
  return state_->records_[aPartition].owner_;
}

PartitionRecord
PartitionTable::Get(std::uint32_t aPartition) const
{
  const std::lock_guard lock(state_->mutex_);
  if (aPartition >= state_->records_.size()) {
    PartitionRecord unknown;
    unknown.partition_ = aPartition;
    return unknown;
  }
  return state_->records_[aPartition];
}

std::vector<PartitionRecord>
PartitionTable::All() const
{
  const std::lock_guard lock(state_->mutex_);
  std::vector<PartitionRecord> known;
  for (const PartitionRecord& record : state_->records_) {
    if (record.epoch_ != 0) {
      known.push_back(record);
    }
  }
  return known;
}

void
PartitionTable::Update(const PartitionRecord& aRecord)
{
  const std::lock_guard lock(state_->mutex_);
  if (aRecord.partition_ >= state_->records_.size()) {
    const std::size_t before = state_->records_.size();
    state_->records_.resize(aRecord.partition_ + 1U);
    for (std::size_t index = before; index < state_->records_.size(); ++index) {
      state_->records_[index].partition_ = static_cast<std::uint32_t>(index);
    }
  }
  PartitionRecord& held = state_->records_[aRecord.partition_];
  // A read that was begun before a later watch event must not undo it.
  if (aRecord.modRevision_ <= held.modRevision_ ||
      aRecord.epoch_ < held.epoch_) {
    return;
  }
  held = aRecord;
  state_->hints_.erase(aRecord.partition_);
}

void
PartitionTable::Hint(std::uint32_t aPartition, const std::string& aOwner)
{
  const std::lock_guard lock(state_->mutex_);
  state_->hints_[aPartition] = aOwner;
}

} // namespace pumiceturn::partition
